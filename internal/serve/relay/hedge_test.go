package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
)

const (
	// testTimeout is the time-out of a call to a worker, testReply the time of a reply.
	testTimeout = 450 * time.Millisecond
	testReply   = 5 * time.Millisecond
)

// lossyWorkers answer each call after a time with an outcome, or not at all if that is NoReply.
type lossyWorkers struct {
	calls  atomic.Int64
	answer func(call int64) (time.Duration, engine.Outcome)
}

func (w *lossyWorkers) call(ctx context.Context) engine.Outcome {
	delay, outcome := w.answer(w.calls.Add(1))
	ctx, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	select {
	case <-time.After(delay):
		return outcome
	case <-ctx.Done():
		return engine.NoReply
	}
}

// Execute implements Workers.
func (w *lossyWorkers) Execute(ctx context.Context, _ engine.Command, _ int64) engine.Outcome {
	return w.call(ctx)
}

// Renew implements Workers.
func (w *lossyWorkers) Renew(ctx context.Context, _ engine.Renewal, _ int64) (work.RenewalReply, engine.Outcome) {
	return work.RenewalReply{}, w.call(ctx)
}

// Guards against a worker that gets nothing for a second because one answer was lost, against copies of orders that this
// process may not send any more, and against a run that is released while a copy of its start may still be executed.
func TestSecondCopy(t *testing.T) {
	type answer struct {
		after   time.Duration
		outcome engine.Outcome
	}
	lost := answer{time.Minute, engine.NoReply}
	start, renewal := Order{Command: engine.Start{Worker: "w"}}, Order{Renewal: engine.Renewal{Worker: "w", Wait: time.Second}}
	for _, x := range []struct {
		name    string
		order   Order
		answers []answer
		may     bool
		outcome engine.Outcome
		copies  int64
		within  time.Duration
	}{
		{"answered", start, []answer{{testReply, engine.Applied}}, true, engine.Applied, 1, testReply},
		{"declined", start, []answer{{testReply, engine.Full}}, true, engine.Full, 1, testReply},
		{"answer lost", start, []answer{lost, {testReply, engine.Applied}}, true, engine.AppliedAgain, 2, hedgeDelay + testReply},
		{"connection broken", start, []answer{{testReply, engine.NoReply}, {testReply, engine.Applied}}, true, engine.AppliedAgain, 2,
			2 * testReply},
		{"ended before the second copy", start, []answer{lost, {testReply, engine.Outdated}}, true, engine.DeclinedAgain, 2,
			hedgeDelay + testReply},
		{"no room for the second copy", start, []answer{lost, {testReply, engine.Full}}, true, engine.DeclinedAgain, 2,
			hedgeDelay + testReply},
		{"second copy fenced", start, []answer{lost, {testReply, engine.Fenced}}, true, engine.FencedAgain, 2, hedgeDelay + testReply},
		{"first copy fenced, second executed before", start, []answer{{hedgeDelay + 10*testReply, engine.Fenced},
			{testReply, engine.Applied}}, true, engine.AppliedAgain, 2, hedgeDelay + 10*testReply},
		{"first copy fenced, second unknown", start, []answer{{hedgeDelay + 10*testReply, engine.Fenced}, lost}, true,
			engine.FencedAgain, 2, hedgeDelay + 10*testReply},
		{"no copy sent", start, []answer{{hedgeDelay + 10*testReply, engine.NotSent}, {20 * testReply, engine.NotSent}}, true,
			engine.NotSent, 2, hedgeDelay + 20*testReply},
		{"second copy not sent", start, []answer{lost, {0, engine.NotSent}}, true, engine.NoReply, 2, testTimeout},
		{"first answer late", start, []answer{{hedgeDelay + 2*testReply, engine.Applied}, lost}, true, engine.AppliedAgain, 2,
			hedgeDelay + 2*testReply},
		{"declined before the second copy was executed", start, []answer{{hedgeDelay + 10*testReply, engine.Full},
			{20 * testReply, engine.Applied}}, true, engine.AppliedAgain, 2, hedgeDelay + 20*testReply},
		{"outdated before the second copy was answered", start, []answer{{hedgeDelay + 10*testReply, engine.Outdated},
			{20 * testReply, engine.Applied}}, true, engine.AppliedAgain, 2, hedgeDelay + 20*testReply},
		{"declined, second copy unknown", start, []answer{{hedgeDelay + 10*testReply, engine.Full}, lost}, true,
			engine.DeclinedAgain, 2, hedgeDelay + testTimeout},
		{"silent worker", start, []answer{lost, lost}, true, engine.NoReplyAgain, 2, testTimeout},
		{"no permission left", start, []answer{lost, {testReply, engine.Applied}}, false, engine.NoReply, 1, testTimeout},
		{"renewal that waits", renewal, []answer{{time.Second, engine.Applied}}, true, engine.Applied, 1, time.Second},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &lossyWorkers{answer: func(call int64) (time.Duration, engine.Outcome) {
					a := x.answers[min(int(call), len(x.answers))-1]
					return a.after, a.outcome
				}}
				if x.order.Command == nil {
					w.answer = func(int64) (time.Duration, engine.Outcome) { return testTimeout - time.Millisecond, engine.Applied }
					x.within = testTimeout
				}
				began := time.Now()
				r := NewExecutor(w, zap.NewNop()).Run(t.Context(), x.order, func() bool { return x.may })
				took := time.Since(began)
				synctest.Wait()
				if r.Outcome != x.outcome || w.calls.Load() != x.copies || took > x.within {
					t.Errorf("%s after %v with %d copies, want %s within %v with %d", r.Outcome, took, w.calls.Load(), x.outcome,
						x.within, x.copies)
				}
			})
		})
	}
}

// Load pattern: 30 % of the answers of 48 workers are lost for some seconds, as by a network that drops packets one way. Guards
// against workers that stand idle because of it: without second copies three in ten orders are of unknown outcome, each after
// 450 ms.
func TestLostAnswersLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 2))
		var mu sync.Mutex
		w := &lossyWorkers{answer: func(int64) (time.Duration, engine.Outcome) {
			mu.Lock()
			defer mu.Unlock()
			if random.Float64() < 0.3 {
				return time.Minute, engine.NoReply
			}
			return testReply, engine.Applied
		}}
		e := NewExecutor(w, zap.NewNop())
		var unknown, orders atomic.Int64
		var loops sync.WaitGroup
		for range 48 {
			loops.Go(func() {
				for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(95 * time.Millisecond) {
					orders.Add(1)
					r := e.Run(t.Context(), Order{Command: engine.Start{Worker: "w"}}, func() bool { return true })
					if r.Outcome == engine.NoReply || r.Outcome == engine.NoReplyAgain {
						unknown.Add(1)
					}
				}
			})
		}
		loops.Wait()
		if unknown.Load()*100 > 15*orders.Load() {
			t.Errorf("%d of %d orders of unknown outcome, want 15%% at most", unknown.Load(), orders.Load())
		}
	})
}

// Load pattern: this process gets too little processor time, so that every reply comes late. Guards against second copies that
// double its work then.
func TestSecondCopiesBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &lossyWorkers{answer: func(int64) (time.Duration, engine.Outcome) { return hedgeDelay + 50*time.Millisecond, engine.Applied }}
		e := NewExecutor(w, zap.NewNop())
		const orders = 5000
		var loops sync.WaitGroup
		for range orders {
			loops.Go(func() { e.Run(t.Context(), Order{Command: engine.Start{Worker: "w"}}, func() bool { return true }) })
			time.Sleep(time.Millisecond)
		}
		loops.Wait()
		if copies := w.calls.Load() - orders; copies > maxHedges {
			t.Errorf("%d second copies of %d orders", copies, orders)
		}
	})
}
