package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/serve/relay"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/state/rowlog"
)

// Guards against a leader that steps down because a worker declines one of its own calls, which was meant for the worker's
// former incarnation, and against one that goes on after a worker has seen the token of a later leader.
func TestFencedCalls(t *testing.T) {
	for _, x := range []struct {
		name    string
		restart bool
		order   func(fence int64) relay.Order
		lost    bool
	}{
		{"start for the former incarnation", true, func(f int64) relay.Order {
			return relay.Order{Command: engine.Start{Worker: "w", Fence: f}}
		}, false},
		{"renewal for the former incarnation", true, func(f int64) relay.Order {
			return relay.Order{Renewal: engine.Renewal{Worker: "w", Fence: f}}
		}, false},
		{"start for the present incarnation", true, func(f int64) relay.Order {
			return relay.Order{Command: engine.Start{Worker: "w", Fence: f + 1}}
		}, true},
		{"stop without a restart", false, func(f int64) relay.Order {
			return relay.Order{Command: engine.Stop{Worker: "w", Fence: f}}
		}, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, err := elect.Acquire(t.Context(), fakes.NewTable().Link(), elect.Identity{Name: "a", Boot: "a.1", Address: "a"},
					table.Item{})
				if err != nil {
					t.Fatal(err)
				}
				s := newSession(New(Options{Workers: &countingWorkers{}, Scheduler: engine.DefaultOptions(), Log: zap.NewNop()}), l,
					rowlog.New(1))
				s.scheduler.SetWorkers([]work.Worker{{ID: "w", Pool: "p", Incarnation: 1}})
				s.scheduler.HandleRenewal(engine.Renewal{Worker: "w", Fence: l.FencingToken()}, work.RenewalReply{Incarnation: 1}, time.Now())
				s.scheduler.PrepareRenewal(engine.Renewal{Worker: "w", ExtendLease: true})
				if err := s.commit(t.Context()); err != nil {
					t.Fatal(err)
				}
				if x.restart {
					s.scheduler.SetWorkers([]work.Worker{{ID: "w", Pool: "p", Incarnation: 2}})
				}
				s.handleResults([]relay.Result{{Order: x.order(l.FencingToken()), Outcome: engine.Fenced}})
				if l.Lost() != x.lost {
					t.Errorf("leadership lost: %t, want %t", l.Lost(), x.lost)
				}
			})
		})
	}
}

// Guards against calls to a new incarnation with a token that a later leader could have: without a transaction that the store
// has confirmed since leadership was acquired there is no higher one, and the worker gets no calls until there is.
func TestNoTokenForIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, err := elect.Acquire(t.Context(), fakes.NewTable().Link(), elect.Identity{Name: "a", Boot: "a.1", Address: "a"}, table.Item{})
		if err != nil {
			t.Fatal(err)
		}
		s := newSession(New(Options{Workers: &countingWorkers{}, Scheduler: engine.DefaultOptions(), Log: zap.NewNop()}), l, rowlog.New(1))
		s.scheduler.SetWorkers([]work.Worker{{ID: "w", Pool: "p", Incarnation: 1}})
		s.scheduler.HandleRenewal(engine.Renewal{Worker: "w", Fence: l.FencingToken()}, work.RenewalReply{Incarnation: 1}, time.Now())
		s.scheduler.PrepareRenewal(engine.Renewal{Worker: "w", ExtendLease: true})
		s.scheduler.SetWorkers([]work.Worker{{ID: "w", Pool: "p", Incarnation: 2}})
		if o, _, ok := s.scheduler.NextRenewal("w"); ok {
			t.Errorf("a renewal with the token %d, the term has %d", o.Fence, l.FencingToken())
		}
		s.scheduler.TakeTouched()
		if err := s.commit(t.Context()); err != nil {
			t.Fatal(err)
		}
		if o, _, ok := s.scheduler.NextRenewal("w"); !ok || o.Fence <= l.FencingToken() || o.Fence > int64(l.Version()) {
			t.Errorf("renewal %t with the token %d, the store has confirmed %d to %d", ok, o.Fence, l.FencingToken(), l.Version())
		}
		if n := len(s.scheduler.TakeTouched()); n != 1 {
			t.Errorf("%d workers need a renewal", n)
		}
	})
}
