package leader_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
)

// recordingWorkers records the times of start commands.
type recordingWorkers struct {
	*fakes.Workers
	mu     sync.Mutex
	starts []time.Time
}

// Execute implements leader.Workers.
func (w *recordingWorkers) Execute(ctx context.Context, c engine.Command, fence int64) engine.Outcome {
	if _, ok := c.(engine.Start); ok {
		w.mu.Lock()
		w.starts = append(w.starts, time.Now())
		w.mu.Unlock()
	}
	return w.Workers.Execute(ctx, c, fence)
}

// startsAfter returns the number of start commands after a point in time.
func (w *recordingWorkers) startsAfter(t time.Time) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.starts {
		if s.After(t) {
			n++
		}
	}
	return n
}

// Guards against a leader that goes on sending commands although neither the store nor its peers have confirmed its
// leadership for longer than a later leader waits before it treats runs that it can't observe as ended.
func TestAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		time.Sleep(5 * time.Second)
		steps := []work.Step{{Count: 1, Need: work.Need{CPU: 100}}}
		for i := range 11 {
			steps = append(steps, work.Step{Count: 1, Need: work.Need{CPU: 100}, After: []int{i}})
		}
		for i := range 4 {
			c.submit(t.Context(), work.Job{ID: work.JobID(fmt.Sprintf("%016x", i)), Queue: "q", Customer: "c",
				Accepted: time.Now().UnixMilli(), Steps: steps})
		}
		for _, e := range c.entries {
			e.link.SetFaults(fakes.Faults{Down: true})
		}
		failedAt := time.Now()
		time.Sleep(10 * time.Second)
		// Leadership counts for 2 s after the last confirmation, which came before the store failed.
		if n := c.workers.startsAfter(failedAt.Add(2100 * time.Millisecond)); n > 0 {
			t.Errorf("%d start commands without authority", n)
		}
		if c.workers.startsAfter(failedAt) == 0 {
			t.Error("no start command while the leader still had authority: the test shows nothing")
		}
		for _, e := range c.entries {
			e.link.SetFaults(fakes.Faults{})
		}
		time.Sleep(time.Minute)
		if s := c.state("0000000000000000"); s != work.Completed {
			t.Errorf("the job is %q a minute after the store answers again", s)
		}
		for _, e := range c.entries {
			c.kill(e)
		}
	})
}
