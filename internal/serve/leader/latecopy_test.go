package leader_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/serve/leader"
)

// replyDelay is the time of the reply to the first copy of a start, which is longer than the time after which a second one is
// sent.
const replyDelay = 200 * time.Millisecond

// heldCopy is workers to which the second copy of the first run of a task is held up; the first copy is executed.
type heldCopy struct {
	leader.Workers
	// executeFirst means that the first copy is executed at once, and otherwise with its reply; loseReply means that it
	// has no reply.
	executeFirst, loseReply bool

	mu     sync.Mutex
	copies int
	held   func()
	worker work.WorkerID
}

// Execute implements leader.Workers.
func (w *heldCopy) Execute(ctx context.Context, c engine.Command, fence int64) engine.Outcome {
	s, ok := c.(engine.Start)
	if !ok || s.Run.Number%1000 != 1 {
		return w.Workers.Execute(ctx, c, fence)
	}
	w.mu.Lock()
	w.copies++
	number := w.copies
	if number == 2 {
		w.worker = s.Worker
		w.held = func() { w.Workers.Execute(context.Background(), c, fence) }
	}
	w.mu.Unlock()
	if number == 2 {
		<-ctx.Done()
		return engine.NoReply
	}
	outcome := engine.NoReply
	if w.executeFirst {
		outcome = w.Workers.Execute(ctx, c, fence)
	}
	time.Sleep(replyDelay)
	if !w.executeFirst {
		outcome = w.Workers.Execute(ctx, c, fence)
	}
	if w.loseReply {
		return engine.NoReply
	}
	return outcome
}

// heldStart returns the worker that the copy held up is for and a function that delivers it, nil if there is none.
func (w *heldCopy) heldStart() (work.WorkerID, func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.worker, w.held
}

// Guards against two runs of a task at once: its start was sent twice, the first copy was executed, and the worker restarted
// under its ID; the run was released as one that had been sent once, and the new incarnation executed the second copy late.
func TestSecondCopyExecutedAfterRestart(t *testing.T) {
	for _, x := range []struct {
		name                    string
		executeFirst, loseReply bool
	}{
		{"first copy answered late", false, false},
		{"run listed before the answer", true, false},
		{"no answer to either copy", true, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			workers := &heldCopy{executeFirst: x.executeFirst, loseReply: x.loseReply}
			adjust := func(o *leader.Options) {
				workers.Workers = o.Workers
				o.Workers = workers
			}
			testClusterOf(t, 1, adjust, func(c *cluster) {
				c.fakeWorkers.SetRunTime(5 * time.Second)
				c.submit(context.Background(), work.Job{ID: "00000000000000a1", Queue: "q", Customer: "c",
					Accepted: time.Now().UnixMilli(), Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 500}}}})
				time.Sleep(time.Second)
				id, deliver := workers.heldStart()
				if deliver == nil {
					t.Error("no second copy was sent")
					return
				}
				c.fakeWorkers.Crash(id)
				c.fakeWorkers.Restart(id)
				time.Sleep(time.Second)
				deliver()
				time.Sleep(10 * time.Second)
				for _, v := range c.fakeWorkers.Check() {
					t.Error(v)
				}
				if s := c.state("00000000000000a1"); s != work.Completed {
					t.Errorf("the job is %q", s)
				}
			})
		})
	}
}
