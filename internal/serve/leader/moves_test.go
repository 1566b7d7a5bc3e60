package leader

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plan/shift"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/state/rules"
)

// fakeMachines returns the replies in turn to requests for the list of machines; a nil reply is an error. It has
// no other methods.
type fakeMachines struct {
	Machines
	replies [][]Machine
}

func (f *fakeMachines) List(context.Context) ([]Machine, error) {
	reply := f.replies[0]
	f.replies = f.replies[1:]
	if reply == nil {
		return nil, errors.New("too many requests")
	}
	return reply, nil
}

// Guards against more machines down at once than a wave's cap (a LIMIT violation): a failed request for the list made
// the list from before the maintenance count as new, in which the machines were still up.
func TestFailedListKeepsOperations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := []Machine{{Name: "m", Pool: "p", Up: true}}
		s := &session{log: zap.NewNop(), scheduler: engine.New(engine.DefaultOptions(), 1, nil),
			planWake: make(chan struct{}, 1), commitWake: make(chan struct{}, 1),
			service: &Service{Options: Options{Machines: &fakeMachines{replies: [][]Machine{up, nil, up}}, Log: zap.NewNop(),
				Moves: MoveOptions{Maintenance: 2 * time.Second}}}}
		m := &mover{session: s, machines: map[string]Machine{}, operations: map[string]*operation{}}
		pass := func() {
			m.refreshMachines(t.Context())
			synctest.Wait()
			m.finishOperations()
		}
		pass()
		m.operations["m"] = &operation{machine: "m", wave: 1, startedAt: time.Now()}
		time.Sleep(3 * time.Second)
		pass()
		if len(m.operations) != 1 {
			t.Error("a failed request for the list ended the operation")
		}
		time.Sleep(time.Second)
		pass()
		if len(m.operations) != 0 {
			t.Error("a new list with the machine up did not end the operation")
		}
	})
}

// Guards against a machine that is kept from tasks for good because it does not become empty, and against one that gets
// tasks again while the platform may be moving it.
func TestMoveOfBusyMachineEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &session{log: zap.NewNop(), scheduler: engine.New(engine.DefaultOptions(), 1, nil)}
		w := work.Worker{ID: "w", Pool: "p", Capacity: work.Need{CPU: 1000}}
		s.scheduler.SetWorkers([]work.Worker{w})
		run := work.RunKey{Task: work.TaskID{Job: "0123456789abcdef"}, Number: 1}
		s.scheduler.HandleRenewal(engine.Renewal{Worker: "w"}, work.RenewalReply{Active: []work.Active{{Run: run}}},
			time.Now())
		waiting := &operation{machine: "m", worker: "w", pool: "q", plannedAt: time.Now()}
		sent := &operation{machine: "n", worker: "w", pool: "q", plannedAt: time.Now(), sentAt: time.Now()}
		m := &mover{session: s, busyUntil: map[string]time.Time{}, operations: map[string]*operation{"m": waiting, "n": sent}}
		m.dueOperations()
		if len(m.operations) != 2 {
			t.Error("a move ended at once")
		}
		time.Sleep(maxDrainTime + time.Second)
		m.dueOperations()
		if m.operations["m"] != nil || m.operations["n"] == nil {
			t.Errorf("after %v the operations are %v", maxDrainTime+time.Second, m.operations)
		}
	})
}

// Guards against two runs of a long-running task at once: it was started on a cordoned worker while the call for the
// maintenance of its machine was in progress, released when the call was confirmed, and started elsewhere, although the
// worker lived on because the maintenance had taken place earlier.
func TestNothingStartsDuringMachineCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scheduler := engine.New(engine.DefaultOptions(), 1, nil)
		scheduler.Configure(work.NewConfig(work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p"}}}))
		scheduler.SetWorkers([]work.Worker{{ID: "w", Pool: "p", Capacity: work.Need{CPU: 1000}, Incarnation: 1}})
		scheduler.HandleRenewal(engine.Renewal{Worker: "w"}, work.RenewalReply{Incarnation: 1}, time.Now())
		if _, err := scheduler.Submit(work.Job{ID: "0123456789abcdef", Queue: "q",
			Steps: []work.Step{{Count: 1, LongRunning: true, Need: work.Need{CPU: 100}}}}); err != nil {
			t.Fatal(err)
		}
		b, err := scheduler.Batch()
		if err != nil {
			t.Fatal(err)
		}
		scheduler.HandleCommit(b)
		op := &operation{machine: "m", worker: "w", wave: 1}
		m := &mover{session: &session{log: zap.NewNop(), scheduler: scheduler}, busyUntil: map[string]time.Time{},
			operations: map[string]*operation{"m": op}}
		expect := func(when string, starts int) {
			time.Sleep(busyBackoff)
			if c := dispatch(t, scheduler); len(c) != starts {
				t.Errorf("%s: %d starts, want %d", when, len(c), starts)
			}
		}
		if len(m.dueOperations()) != 1 {
			t.Fatal("the machine is empty and its maintenance not due")
		}
		expect("during the call", 0)
		m.handleResult(op, Unknown)
		expect("while the platform may carry the call out", 0)
		m.handleResult(op, Unavailable)
		expect("while the platform may carry out an earlier call", 0)
		m.machines, m.listedAt = map[string]Machine{"m": {Name: "m", Up: true, Worker: "w"}}, time.Now()
		time.Sleep(time.Millisecond)
		m.handleResult(op, Busy)
		m.finishOperations()
		expect("while the machine may be busy with an earlier call", 0)
		if len(m.dueOperations()) != 0 {
			t.Error("another call for a machine that may be busy with an earlier one")
		}
		m.machines, m.listedAt = map[string]Machine{"m": {Name: "m", InMaintenance: true}}, time.Now()
		m.finishOperations()
		expect("while a list shows that the machine is busy with an earlier call", 0)
		m.machines, m.listedAt = map[string]Machine{"m": {Name: "m", Up: true, Worker: "w"}}, time.Now()
		m.finishOperations()
		expect("after a list has shown that the platform has declined", 1)
	})
}

// Guards against a worker that gets no tasks any more because its machine was missing from one list: the operation ended
// and nothing opened the worker again.
func TestWorkerOpensWhenOperationEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scheduler := engine.New(engine.DefaultOptions(), 1, nil)
		scheduler.Configure(work.NewConfig(work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p"}}}))
		scheduler.SetWorkers([]work.Worker{{ID: "w", Pool: "p", Capacity: work.Need{CPU: 1000}, Incarnation: 1}})
		scheduler.HandleRenewal(engine.Renewal{Worker: "w"}, work.RenewalReply{Incarnation: 1}, time.Now())
		if _, err := scheduler.Submit(work.Job{ID: "0123456789abcdef", Queue: "q",
			Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 100}}}}); err != nil {
			t.Fatal(err)
		}
		b, err := scheduler.Batch()
		if err != nil {
			t.Fatal(err)
		}
		scheduler.HandleCommit(b)
		op := &operation{machine: "m", worker: "w", wave: 1}
		m := &mover{session: &session{log: zap.NewNop(), scheduler: scheduler, service: &Service{}},
			busyUntil: map[string]time.Time{}, operations: map[string]*operation{"m": op}}
		m.dueOperations()
		m.handleResult(op, Unknown)
		time.Sleep(time.Second)
		m.machines, m.listedAt = map[string]Machine{}, time.Now()
		m.finishOperations()
		if c := dispatch(t, scheduler); len(m.operations) != 0 || len(c) != 1 {
			t.Errorf("%d operations, %d starts", len(m.operations), len(c))
		}
	})
}

// Load pattern: the end of a wave while a queue's turn asks for machines. Guards against machines of the wave that are moved
// to the queue's pool in the time that is left for their maintenance.
func TestOverdueMachinesAreNotMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := work.NewConfig(work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p", Attempts: 1}},
			Pools: map[string]work.Pool{"p": {Name: "p"}, "off": {Name: "off", Spare: true}}})
		s := &session{log: zap.NewNop(), scheduler: engine.New(engine.DefaultOptions(), 1, nil), service: &Service{}}
		s.scheduler.Configure(config)
		s.scheduler.SetWorkers([]work.Worker{{ID: "w", Pool: "p", Capacity: work.Need{CPU: 1000}}})
		s.scheduler.HandleRenewal(engine.Renewal{Worker: "w"}, work.RenewalReply{}, time.Now())
		if _, err := s.scheduler.Submit(work.Job{ID: "0123456789abcdef", Queue: "q", Accepted: time.Now().UnixMilli(),
			Steps: []work.Step{{Count: 9, Need: work.Need{CPU: 1000}, Estimate: time.Second}}}); err != nil {
			t.Fatal(err)
		}
		batch, err := s.scheduler.Batch()
		if err != nil {
			t.Fatal(err)
		}
		s.scheduler.HandleCommit(batch)
		m := &mover{session: s, planner: shift.New(shift.Default()), operations: map[string]*operation{},
			busyUntil: map[string]time.Time{}, overdue: map[string]bool{"m1": true}, machines: map[string]Machine{}}
		for _, name := range []string{"m1", "m2"} {
			m.machines[name] = Machine{Name: name, Pool: "off", Up: true, Capacity: work.Need{CPU: 4000}}
		}
		for range 20 {
			time.Sleep(moveInterval)
			m.planMoves(rules.Rules{Config: config})
		}
		if m.operations["m1"] != nil || m.operations["m2"] == nil {
			t.Errorf("operations: %v", m.operations)
		}
	})
}
