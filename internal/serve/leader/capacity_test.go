package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plan/shift"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/state/rules"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// Guards against refusing a job for good because a new leader has seen the workers only while their capacity is small:
// what their machines have decides, and until the machines are listed the caller has to try again.
func TestShrunkWorkersDoNotMakeJobsImpossible(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := []Machine{{Name: "m", Pool: "p", Up: true, Worker: "w", Capacity: work.Need{CPU: 4000, Memory: 4000}}}
		s := &session{log: zap.NewNop(), scheduler: engine.New(engine.DefaultOptions(), 1, nil),
			planWake: make(chan struct{}, 1), commitWake: make(chan struct{}, 1), committed: make(chan struct{}),
			leadership: &elect.Leadership{},
			service:    &Service{Options: Options{Machines: &fakeMachines{replies: [][]Machine{list}}, Log: zap.NewNop()}}}
		s.scheduler.Configure(work.NewConfig(work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p"}},
			Customers: map[string]work.Customer{"c": {Name: "c", Cap: work.Need{CPU: 8000}}}}))
		s.scheduler.SetWorkers([]work.Worker{{ID: "w", Pool: "p", Machine: "m", Capacity: work.Need{CPU: 500}}})
		submit := func(id work.JobID, cpu int64) peer.Result {
			// The session commits nothing, so that the outcome of an accepted job remains unknown.
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			return s.submit(ctx, peer.SubmitRequest{Job: work.Job{ID: id, Queue: "q", Customer: "c",
				Steps: []work.Step{{Count: 1, Need: work.Need{CPU: cpu}}}}}).Result
		}
		for _, c := range []struct {
			id   work.JobID
			cpu  int64
			want peer.Result
		}{{"00000000000000a1", 2000, peer.NotLeader}, {"00000000000000a2", 9000, peer.Impossible}} {
			if got := submit(c.id, c.cpu); got != c.want {
				t.Errorf("before the list of machines a task of %d gets %s, want %s", c.cpu, got, c.want)
			}
		}
		m := &mover{session: s, machines: map[string]Machine{}, operations: map[string]*operation{}}
		m.refreshMachines(t.Context())
		synctest.Wait()
		for _, c := range []struct {
			id   work.JobID
			cpu  int64
			want peer.Result
		}{{"00000000000000a1", 2000, peer.Unknown}, {"00000000000000a2", 5000, peer.Impossible}} {
			if got := submit(c.id, c.cpu); got != c.want {
				t.Errorf("after the list of machines a task of %d gets %s, want %s", c.cpu, got, c.want)
			}
		}
	})
}

// Guards against a pool that counts as supplied, so that no machine is moved to it, although its workers have shrunk: the
// platform's list of machines does not show that.
func TestShrunkWorkersCountForMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		s := &session{log: zap.NewNop(), scheduler: engine.New(engine.DefaultOptions(), 1, nil),
			leadership: &elect.Leadership{}, service: &Service{Options: Options{Log: zap.NewNop()}}}
		config := work.NewConfig(work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p"}},
			Pools: map[string]work.Pool{"p": {Name: "p"}, "spare": {Name: "spare", Spare: true}}})
		s.scheduler.Configure(config)
		m := &mover{session: s, planner: shift.New(shift.Default()), operations: map[string]*operation{},
			refusedPools: map[string][]string{}, busyUntil: map[string]time.Time{}, listedAt: start, startedAt: start,
			machines: map[string]Machine{
				"m": {Name: "m", Pool: "p", Up: true, Worker: "w", Capacity: work.Need{CPU: 4000}},
				"n": {Name: "n", Pool: "p", Up: true, Worker: "x", Capacity: work.Need{CPU: 4000}}}}
		for _, c := range []struct{ capacity, want int64 }{{1000, 5000}, {4000, 8000}} {
			// The worker of machine n has not been listed yet.
			s.scheduler.SetWorkers([]work.Worker{{ID: "w", Pool: "p", Machine: "m", Capacity: work.Need{CPU: c.capacity}}})
			time.Sleep(time.Second)
			m.planMoves(rules.Rules{Config: config})
			if got := m.planner.Reports()[0].CPU; got != c.want {
				t.Errorf("with a capacity of %d the pool counts %d, want %d", c.capacity, got, c.want)
			}
		}
	})
}
