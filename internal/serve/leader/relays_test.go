package leader_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plan/assign"
	"github.com/yuccahaven/yuccahaven/internal/serve/leader"
	"github.com/yuccahaven/yuccahaven/internal/serve/relay"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// relayStream is a stream of orders and reports between two instances.
type relayStream struct {
	from, to *entry
	orders   *fakes.Stream[peer.RelayOrders, peer.RelayReport]
	reports  *fakes.Stream[peer.RelayReport, peer.RelayOrders]
}

func (s *relayStream) hold(held bool) {
	s.orders.Hold(held)
	s.reports.Hold(held)
}

// addRelay makes an instance a relay, and lets it use the others as relays if it leads.
func (c *cluster) addRelay(e *entry, o *leader.Options) {
	e.relay = relay.NewServer(e.workers, func() int64 {
		elector := e.elector.Load()
		if elector == nil {
			return 0
		}
		r, _ := elector.Leader()
		return r.Term
	}, metrics.NewRegistry(), zap.NewNop())
	o.Assign = assign.Options{MinWorkers: 1, WorkersPerRelay: 2, Margin: 500 * time.Millisecond, Imbalance: 1.5}
	o.OpenRelay = func(ctx context.Context, address string) (relay.OrderStream, error) {
		return c.openRelay(ctx, e, address)
	}
}

func (c *cluster) openRelay(ctx context.Context, from *entry, address string) (relay.OrderStream, error) {
	i := slices.IndexFunc(c.entries, func(e *entry) bool { return e.name == address })
	to := c.entries[i]
	c.mu.Lock()
	defer c.mu.Unlock()
	if to.ctx.Err() != nil {
		return nil, errors.New("connection refused")
	}
	s := &relayStream{from: from, to: to}
	s.orders, s.reports = fakes.NewStream[peer.RelayOrders, peer.RelayReport]()
	s.hold(slices.Contains(c.apart, from) != slices.Contains(c.apart, to))
	c.relays = append(c.relays, s)
	server, process := to.relay, to.ctx
	go func() {
		stop := context.AfterFunc(process, func() { _ = s.reports.Close() })
		defer stop()
		_ = server.Serve(process, s.reports)
		_ = s.reports.Close()
	}()
	return s.orders, nil
}

// silence holds up what is sent on the present streams of relays of an instance, in one direction or both. It does not
// end; new streams work.
func (c *cluster) silence(e *entry, orders, reports bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.relays {
		if s.to == e || s.from == e {
			s.orders.Hold(orders)
			s.reports.Hold(reports)
		}
	}
}

func (c *cluster) relaysInUse() int {
	used := map[string]bool{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.relays {
		used[s.to.name] = true
	}
	return len(used)
}

// relayFault injects a fault of a relay, or of the leader, and ends it after a random time.
func (c *cluster) relayFault(r *rand.Rand) {
	span := time.Duration(300+r.IntN(4000)) * time.Millisecond
	e := c.entries[r.IntN(len(c.entries))]
	switch r.IntN(7) {
	case 0:
		c.kill(e)
		time.Sleep(span / 3)
		c.start(e)
	case 1:
		c.silence(e, true, r.IntN(2) == 0)
		time.Sleep(span)
	case 2:
		c.silence(e, false, true)
		time.Sleep(span)
	case 3:
		// The instance reaches no worker.
		c.cutWorkers(e, 0, true)
		c.cutWorkers(e, 0, false)
		time.Sleep(span)
	case 4:
		// It reaches half of them.
		c.cutWorkers(e, 2*r.IntN(2), true)
		time.Sleep(span)
	case 5:
		// It reaches no other instance, and the store refuses it.
		e.link.SetFaults(fakes.Faults{Down: true})
		c.setApart(e)
		time.Sleep(span)
		c.setApart()
	case 6:
		// It reaches no other instance for as long as connections bear, and then receives all at once.
		c.setApart(e)
		time.Sleep(span)
		c.setApart()
	}
	e.link.SetFaults(fakes.Faults{})
	for i := range 4 {
		e.workers.setCut(work.WorkerID(fmt.Sprintf("w%d", i)), false)
	}
}

// Guards against double runs, runs after an acknowledged end, false failures and jobs that stall when orders go through
// relays, which are killed, cut off one way or both, from workers, the leader or the store, and receive orders late.
func TestRelayHistories(t *testing.T) {
	for seed := range uint64(2 * historyCount) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			testStartedCluster(t, &cluster{adjust: func(*leader.Options) {}, relayed: true}, 4, seed, func(c *cluster) {
				testRelayHistory(t, c, seed)
			})
		})
	}
}

func testRelayHistory(t *testing.T, c *cluster, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 19))
	c.fakeWorkers.SetFaults(fakes.WorkerFaults{NoReplyRate: 0.03, MaxDelay: 8 * time.Second, FailureRate: 0.1, MaxFailures: 1})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	const jobs = 30
	for i := range jobs {
		j := work.Job{ID: work.JobID(fmt.Sprintf("%016x", i)), Queue: "q", Customer: "c", Accepted: time.Now().UnixMilli(),
			Steps: []work.Step{{Count: 1 + r.IntN(4), Need: work.Need{CPU: 1000, Memory: 500}},
				{Count: 1, Need: work.Need{CPU: 500}, After: []int{0}}}}
		go c.submit(ctx, j)
		time.Sleep(time.Duration(r.IntN(500)) * time.Millisecond)
		if i%3 == 2 {
			c.relayFault(r)
		}
	}
	c.fakeWorkers.Heal()
	time.Sleep(time.Minute)
	for i := range jobs {
		if s := c.state(work.JobID(fmt.Sprintf("%016x", i))); s != work.Completed {
			t.Errorf("job %d is %q a minute after the last fault", i, s)
		}
	}
	for _, v := range c.fakeWorkers.Check() {
		t.Error(v)
	}
	if n := c.relaysInUse(); n < 2 {
		t.Errorf("%d relays were used: the test shows nothing", n)
	}
}
