package leader_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/serve/leader"
)

// lateReplies are workers whose replies the leader reads too late for a while: they execute everything at once, but the
// calls time out, all but those with a long time-out.
type lateReplies struct {
	leader.Workers
	mu   sync.Mutex
	late bool
	// reported are the tasks whose successful end was in a reply, violations the starts of such tasks.
	reported   map[work.TaskID]bool
	violations []string
}

func (w *lateReplies) setLate(late bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = late
}

// Execute implements leader.Workers.
func (w *lateReplies) Execute(ctx context.Context, c engine.Command, fence int64) engine.Outcome {
	outcome := w.Workers.Execute(ctx, c, fence)
	w.mu.Lock()
	defer w.mu.Unlock()
	if s, ok := c.(engine.Start); ok && outcome == engine.Applied && w.reported[s.Run.Task] {
		w.violations = append(w.violations, fmt.Sprintf("%s: run %d after the end was reported", s.Run.Task, s.Run.Number))
	}
	if w.late {
		return engine.NoReply
	}
	return outcome
}

// Renew implements leader.Workers.
func (w *lateReplies) Renew(ctx context.Context, r engine.Renewal, fence int64) (work.RenewalReply, engine.Outcome) {
	reply, outcome := w.Workers.Renew(ctx, r, fence)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range reply.Ended {
		if e.How == work.Done {
			w.reported[e.Run.Task] = true
		}
	}
	if w.late && !r.Patient {
		return work.RenewalReply{}, engine.NoReply
	}
	return reply, outcome
}

// Guards against a leader that starts tasks again whose end a worker has reported: short of processor time, it gave up
// calls whose replies had arrived, and took the workers' leases for expired and their runs for lost.
func TestRepliesReadLate(t *testing.T) {
	// The replies are late from before, during or after the starts on.
	for delay := time.Duration(0); delay < 600*time.Millisecond; delay += 50 * time.Millisecond {
		workers := &lateReplies{reported: map[work.TaskID]bool{}}
		adjust := func(o *leader.Options) {
			workers.Workers = o.Workers
			o.Workers = workers
		}
		testClusterWith(t, adjust, func(c *cluster) {
			defer func() { workers.violations = append(workers.violations, c.fakeWorkers.Violations...) }()
			const jobs = 8
			ids := make([]work.JobID, jobs)
			for i := range ids {
				ids[i] = work.JobID(fmt.Sprintf("%016x", i))
				c.submit(context.Background(), work.Job{ID: ids[i], Queue: "q", Customer: "c", Accepted: time.Now().UnixMilli(),
					Steps: []work.Step{{Count: 4, Need: work.Need{CPU: 500}}}})
			}
			time.Sleep(delay)
			workers.setLate(true)
			time.Sleep(8 * time.Second)
			workers.setLate(false)
			time.Sleep(10 * time.Second)
			for _, id := range ids {
				if s := c.state(id); s != work.Completed {
					t.Errorf("replies late after %v: job %s is %q", delay, id, s)
				}
			}
		})
		for _, v := range workers.violations {
			t.Errorf("replies late after %v: %s", delay, v)
		}
	}
}
