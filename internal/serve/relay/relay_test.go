package relay_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/serve/relay"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// workers record the orders that reach them.
type workers struct {
	mu sync.Mutex
	// starts are the times at which each task was started.
	starts map[work.TaskID][]time.Time
	specs  map[string]int
	// fences are the fencing tokens of the calls that were not renewals.
	fences map[work.RunKey]int64
	// renewals counts the calls for a renewal. The reply lists an end from endsAt on.
	renewals int
	endsAt   time.Time
	// outcome is that of starts.
	outcome engine.Outcome
}

// Execute implements relay.Workers.
func (w *workers) Execute(_ context.Context, c engine.Command, fence int64) engine.Outcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s, ok := c.(engine.Stop); ok {
		w.fences[s.Run] = fence
	}
	if s, ok := c.(engine.Start); ok {
		w.fences[s.Run] = fence
		if s.Spec == "malformed" {
			panic("malformed")
		}
		w.starts[s.Run.Task] = append(w.starts[s.Run.Task], time.Now())
		w.specs[s.Spec]++
	}
	return w.outcome
}

// Renew implements relay.Workers.
func (w *workers) Renew(ctx context.Context, r engine.Renewal, _ int64) (work.RenewalReply, engine.Outcome) {
	w.mu.Lock()
	w.renewals++
	endsAt := w.endsAt
	w.mu.Unlock()
	select {
	case <-time.After(min(r.Wait, max(time.Until(endsAt), 0))):
	case <-ctx.Done():
		return work.RenewalReply{}, engine.NoReply
	}
	reply := work.RenewalReply{Incarnation: 1, Clock: 5}
	if !time.Now().Before(endsAt) {
		reply.Ended = []work.End{{Number: 1, Run: run(1), How: work.Done}}
	}
	return reply, engine.Applied
}

func run(i int) work.RunKey {
	return work.RunKey{Task: work.TaskID{Job: work.JobID(fmt.Sprintf("%016x", i))}, Number: 1}
}

func start(i int) relay.Order {
	return relay.Order{Sent: time.Now(), Command: engine.Start{Worker: "w", Address: "w:1", Run: run(i), Spec: "spec"}}
}

type orderStream = fakes.Stream[peer.RelayOrders, peer.RelayReport]

// setup is a leader's pool with one relay.
type setup struct {
	workers   *workers
	pool      *relay.Pool
	authority time.Duration
	knownTerm int64

	mu      sync.Mutex
	results []relay.Result
	// leader and relay are the ends of the last stream.
	leader *orderStream
	relay  *fakes.Stream[peer.RelayReport, peer.RelayOrders]
	opened int
}

// pass lets a time pass, and waits until everything that was due has been done.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// testRelay runs a test on a leader with a relay that takes orders.
func testRelay(t *testing.T, f func(s *setup)) {
	synctest.Test(t, func(t *testing.T) {
		s := &setup{authority: 2 * time.Second, workers: &workers{starts: map[work.TaskID][]time.Time{}, specs: map[string]int{},
			fences: map[work.RunKey]int64{}, endsAt: time.Now().Add(time.Hour)}}
		server := relay.NewServer(s.workers, func() int64 { return s.knownTerm }, metrics.NewRegistry(), zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		s.pool = relay.NewPool(relay.Options{Term: 3, Fence: 7, Authority: func() time.Duration { return s.authority },
			Registry: metrics.NewRegistry(), Log: zap.NewNop(),
			Deliver: func(r []relay.Result) {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.results = append(s.results, r...)
			},
			Open: func(context.Context, string) (relay.OrderStream, error) {
				l, r := fakes.NewStream[peer.RelayOrders, peer.RelayReport]()
				s.mu.Lock()
				s.leader, s.relay = l, r
				s.opened++
				s.mu.Unlock()
				go func() {
					_ = server.Serve(ctx, r)
					_ = r.Close()
				}()
				return l, nil
			}})
		s.pool.SetRelays(ctx, map[string]string{"r": "r:1"})
		pass(time.Second)
		f(s)
		cancel()
		s.pool.Wait()
		time.Sleep(10 * time.Second)
	})
}

// outcomes returns the outcomes of the orders so far.
func (s *setup) outcomes() map[engine.Outcome]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := map[engine.Outcome]int{}
	for _, r := range s.results {
		m[r.Outcome]++
	}
	return m
}

// Guards against outcomes that get lost or come late, and against a job's spec that is sent once for each of its tasks.
func TestOrdersReachWorkers(t *testing.T) {
	testRelay(t, func(s *setup) {
		var orders []relay.Order
		for i := range 8 {
			orders = append(orders, start(i))
		}
		if !s.pool.Send("r", orders) {
			t.Fatal("the relay takes no orders")
		}
		pass(20 * time.Millisecond)
		if got := s.outcomes(); got[engine.Applied] != 8 {
			t.Errorf("outcomes after 20 ms: %v", got)
		}
		if s.workers.specs["spec"] != 8 {
			t.Errorf("specs at the worker: %v", s.workers.specs)
		}
	})
}

// Guards against an order that its relay sends with the fencing token of another incarnation than the one it was planned for.
func TestOrdersKeepTheirFences(t *testing.T) {
	testRelay(t, func(s *setup) {
		var orders []relay.Order
		for i := range 9 {
			o := start(i)
			c := o.Command.(engine.Start)
			c.Fence = int64(7 + i%3)
			o.Command = c
			if i > 5 {
				o.Command = engine.Stop{Worker: "w", Address: "w:1", Run: c.Run, Fence: c.Fence}
			}
			orders = append(orders, o)
		}
		if !s.pool.Send("r", orders) {
			t.Fatal("the relay takes no orders")
		}
		pass(50 * time.Millisecond)
		if got := s.outcomes(); got[engine.Applied] != len(orders) {
			t.Errorf("outcomes after 50 ms: %v", got)
		}
		for i := range orders {
			if got, want := s.workers.fences[run(i)], int64(7+i%3); got != want {
				t.Errorf("order %d has the fencing token %d, want %d", i, got, want)
			}
		}
	})
}

// Guards against a relay that takes what it can't reach for what the leader can't reach: only the leader's own calls
// show that a worker does not reply.
func TestRelayedOutcomes(t *testing.T) {
	testRelay(t, func(s *setup) {
		stop := relay.Order{Sent: time.Now(), Command: engine.Stop{Worker: "w", Address: "w:1", Run: run(1)}}
		for _, x := range []struct {
			order         relay.Order
			outcome, want engine.Outcome
		}{
			{stop, engine.NoReply, engine.RelayNoReply},
			{start(1), engine.NoReply, engine.RelayNoReplyAgain},
			{start(1), engine.NotSent, engine.RelayNotSent},
			{start(1), engine.Full, engine.Full},
			{start(1), engine.Fenced, engine.Fenced},
		} {
			s.workers.outcome = x.outcome
			before := s.outcomes()[x.want]
			s.pool.Send("r", []relay.Order{x.order})
			pass(20 * time.Millisecond)
			if s.outcomes()[x.want] != before+1 {
				t.Errorf("%v becomes %v", x.outcome, s.outcomes())
			}
		}
	})
}

// Guards against a look at each worker every 150 ms on behalf of the leader, and against an end that is reported late.
func TestRenewalWaitsForEnd(t *testing.T) {
	testRelay(t, func(s *setup) {
		renewal := relay.Order{Sent: time.Now(), Renewal: engine.Renewal{Worker: "w", Address: "w:1", ExtendLease: true,
			LeaseEnd: 6000, Wait: 150 * time.Millisecond}}
		s.workers.endsAt = time.Now().Add(500 * time.Millisecond)
		s.pool.Send("r", []relay.Order{renewal})
		pass(490 * time.Millisecond)
		if got := s.outcomes(); len(got) != 0 {
			t.Errorf("reported before the end: %v", got)
		}
		pass(30 * time.Millisecond)
		if got := s.outcomes(); got[engine.Applied] != 1 || len(s.results[0].Reply.Ended) != 1 {
			t.Errorf("20 ms after the end: %v", got)
		}
	})
}

// Guards against a wave that waits for a task to be at work, because its relay repeats the renewal until a run ends.
func TestPromptRenewal(t *testing.T) {
	testRelay(t, func(s *setup) {
		s.pool.Send("r", []relay.Order{{Sent: time.Now(), Renewal: engine.Renewal{Worker: "w", Address: "w:1", ExtendLease: true,
			LeaseEnd: 6000, Wait: 150 * time.Millisecond, Prompt: true}}})
		pass(200 * time.Millisecond)
		if got := s.outcomes(); got[engine.Applied] != 1 || s.workers.renewals != 1 {
			t.Errorf("outcomes %v after %d calls of the worker", got, s.workers.renewals)
		}
	})
}

// Guards against a relay that executes orders long after they were sent, because the network held them up: their leader
// may have decided otherwise, or may lead no more.
func TestHeldUpOrdersAreWithheld(t *testing.T) {
	testRelay(t, func(s *setup) {
		s.leader.Hold(true)
		s.pool.Send("r", []relay.Order{start(1)})
		pass(3 * time.Second)
		s.leader.Hold(false)
		pass(time.Second)
		if n := len(s.workers.starts); n > 0 {
			t.Errorf("%d tasks were started 3 s after the order was sent", n)
		}
	})
}

// Guards against a relay that executes orders of a leader whose authority has ended.
func TestOrdersWithoutAuthorityAreWithheld(t *testing.T) {
	testRelay(t, func(s *setup) {
		s.authority = 0
		s.pool.Send("r", []relay.Order{start(1)})
		pass(time.Second)
		if got := s.outcomes(); len(s.workers.starts) > 0 || got[engine.Withheld] != 1 {
			t.Errorf("%d starts, outcomes %v", len(s.workers.starts), got)
		}
	})
}

// Guards against a relay that executes orders of a former leader although it knows the later one.
func TestOrdersOfFormerTermAreWithheld(t *testing.T) {
	testRelay(t, func(s *setup) {
		s.knownTerm = 4
		s.pool.Send("r", []relay.Order{start(1)})
		pass(time.Second)
		if got := s.outcomes(); len(s.workers.starts) > 0 || got[engine.Withheld] != 1 {
			t.Errorf("%d starts, outcomes %v", len(s.workers.starts), got)
		}
	})
}

// Guards against orders without an outcome, which would occupy capacity for good, when a relay falls silent, and against
// a relay that gets no orders any more after its connection alone has failed.
func TestSilentRelay(t *testing.T) {
	testRelay(t, func(s *setup) {
		s.relay.Hold(true)
		s.pool.Send("r", []relay.Order{start(1)})
		pass(time.Second)
		if got := s.outcomes(); got[engine.RelayLost] != 1 {
			t.Errorf("outcomes 1 s after the relay fell silent: %v", got)
		}
		pass(time.Second)
		if s.opened != 2 || !s.pool.Send("r", []relay.Order{start(2)}) {
			t.Errorf("%d streams were opened, state %+v", s.opened, s.pool.States())
		}
	})
}

// Guards against orders that were never sent and count as possibly executed, and the other way round.
func TestOrdersOfLostRelay(t *testing.T) {
	testRelay(t, func(s *setup) {
		s.pool.Send("r", []relay.Order{start(1)})
		_ = s.leader.Close()
		pass(time.Second)
		got := s.outcomes()
		if total := got[engine.RelayLost] + got[engine.Withheld]; total != 1 {
			t.Errorf("outcomes: %v", got)
		}
		if got[engine.Withheld] > 0 && len(s.workers.starts) > 0 {
			t.Error("an order that was executed counts as not sent")
		}
	})
}

// Guards against orders that are lost because their relay is replaced by another one.
func TestRetiredRelayReports(t *testing.T) {
	testRelay(t, func(s *setup) {
		s.pool.Send("r", []relay.Order{start(1)})
		s.pool.SetRelays(t.Context(), map[string]string{})
		if s.pool.Send("r", []relay.Order{start(2)}) {
			t.Error("a relay that is no longer one takes orders")
		}
		pass(time.Second)
		if got := s.outcomes(); got[engine.Applied] != 1 {
			t.Errorf("outcomes: %v", got)
		}
	})
}

// Guards against a relay to which no orders come any more although its reports reach the leader: it would count as up,
// and each order through it would be lost after seconds.
func TestRelayWithoutOrders(t *testing.T) {
	testRelay(t, func(s *setup) {
		s.leader.Hold(true)
		pass(2 * time.Second)
		if s.opened != 2 || !s.pool.Send("r", []relay.Order{start(1)}) {
			t.Fatalf("%d streams were opened, state %+v", s.opened, s.pool.States())
		}
		pass(100 * time.Millisecond)
		if got := s.outcomes(); got[engine.Applied] != 1 {
			t.Errorf("outcomes through the second stream: %v", got)
		}
	})
}

// Guards against one order that ends the process of its relay: another relay would get the same order after that.
func TestPanicInRelay(t *testing.T) {
	testRelay(t, func(s *setup) {
		bad := start(1)
		bad.Command = engine.Start{Worker: "w", Address: "w:1", Run: run(1), Spec: "malformed"}
		s.pool.Send("r", []relay.Order{bad, start(2)})
		pass(time.Second)
		if got := s.outcomes(); got[engine.RelayNoReplyAgain] != 1 || got[engine.Applied] != 1 {
			t.Errorf("outcomes: %v", got)
		}
	})
}
