package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
)

// doneBefore is an operation that the platform confirms because it took place before the machine's worker started.
type doneBefore struct {
	mover     *mover
	scheduler *engine.Scheduler
	operation *operation
}

// newDoneBefore returns an operation on the machine of a worker that the scheduler does not know yet, which is due.
func newDoneBefore(t *testing.T) *doneBefore {
	t.Helper()
	scheduler := engine.New(engine.DefaultOptions(), 1, nil)
	scheduler.Configure(work.NewConfig(work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p"}}}))
	if _, err := scheduler.Submit(work.Job{ID: "0123456789abcdef", Queue: "q",
		Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 100}}}}); err != nil {
		t.Fatal(err)
	}
	op := &operation{machine: "m", worker: "w", wave: 1}
	m := &mover{session: &session{log: zap.NewNop(), scheduler: scheduler, service: &Service{}}, operations: map[string]*operation{"m": op},
		busyUntil: map[string]time.Time{}}
	if len(m.dueOperations()) != 1 {
		t.Fatal("the maintenance is not due")
	}
	return &doneBefore{m, scheduler, op}
}

// list delivers a list of machines that is requested now.
func (d *doneBefore) list(x Machine) {
	time.Sleep(time.Millisecond)
	d.mover.machines, d.mover.listedAt = map[string]Machine{"m": x}, time.Now()
	d.mover.finishOperations()
}

// appear lets an incarnation of a worker write its entry and report that it runs nothing.
func (d *doneBefore) appear(t *testing.T, id work.WorkerID, incarnation int64) {
	t.Helper()
	d.scheduler.SetWorkers([]work.Worker{{ID: id, Pool: "p", Machine: "m", Capacity: work.Need{CPU: 1000}, Incarnation: incarnation}})
	for range 2 {
		o, _, _ := d.scheduler.NextRenewal(id)
		d.scheduler.HandleRenewal(o, work.RenewalReply{Incarnation: incarnation}, time.Now())
	}
	b, err := d.scheduler.Batch()
	if err != nil {
		t.Fatal(err)
	}
	d.scheduler.HandleCommit(b)
}

// starts returns the number of starts that are sent now.
func (d *doneBefore) starts(t *testing.T) int {
	t.Helper()
	return len(dispatch(t, d.scheduler))
}

// Guards against two runs of a task at once: a worker that the scheduler did not know yet got tasks while a call for its machine was
// outstanding, and the platform's confirmation, of an operation that had taken place before, ended it in the scheduler's books.
func TestOperationDoneBeforeEndsNoWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDoneBefore(t)
		if d.appear(t, "w", 1); d.starts(t) != 0 {
			t.Error("a task starts during the call")
		}
		if d.mover.handleResult(d.operation, Started); d.starts(t) != 0 {
			t.Error("a task starts on a worker that may have ended")
		}
		d.list(Machine{Name: "m", Up: true, Worker: "w"})
		if len(d.mover.operations) != 0 || d.scheduler.Usage("w").Ended || d.starts(t) != 1 {
			t.Errorf("the worker is up: %d operations, %+v", len(d.mover.operations), d.scheduler.Usage("w"))
		}
	})
}

// Guards against a worker that counts as running after a list has shown that the operation has ended it.
func TestOperationEndsWorker(t *testing.T) {
	for _, x := range []Machine{{Name: "m", InMaintenance: true}, {Name: "m", Up: true, Worker: "w2"}} {
		synctest.Test(t, func(t *testing.T) {
			d := newDoneBefore(t)
			d.appear(t, "w", 1)
			d.mover.handleResult(d.operation, Started)
			if d.scheduler.Usage("w").Ended {
				t.Error("ended before a list shows it")
			}
			if d.list(x); !d.scheduler.Usage("w").Ended {
				t.Errorf("not ended after a list with %+v", x)
			}
			if d.appear(t, "w2", 2); d.starts(t) != 1 {
				t.Error("the next worker of the machine gets no task")
			}
		})
	}
}

// Guards against tasks that are lost because they start on a worker which has restarted under its id while a call for its machine
// was outstanding.
func TestRestartDuringMachineCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDoneBefore(t)
		d.appear(t, "w", 1)
		if d.appear(t, "w", 2); d.starts(t) != 0 {
			t.Error("a task starts during the call")
		}
		d.mover.handleResult(d.operation, Busy)
		if d.starts(t) != 1 {
			t.Error("no task starts after the platform has declined")
		}
	})
}

// Guards against an operation for a machine that has another worker by now, which runs tasks.
func TestOperationForReplacedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDoneBefore(t)
		d.mover.handleResult(d.operation, Unavailable)
		if d.appear(t, "w2", 2); d.starts(t) != 1 {
			t.Error("no task starts although no call is outstanding")
		}
		time.Sleep(busyBackoff)
		if len(d.mover.dueOperations()) != 0 {
			t.Error("due while another worker of the machine runs a task")
		}
		d.list(Machine{Name: "m", Up: true, Worker: "w2"})
		if len(d.mover.dueOperations()) != 0 || len(d.mover.operations) != 0 {
			t.Error("not given up although the machine has another worker")
		}
	})
}
