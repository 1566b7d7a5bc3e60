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

// watched notes when tasks are started.
type watched struct {
	*fakes.Workers
	mu     sync.Mutex
	starts []time.Time
}

// Execute implements leader.Workers.
func (w *watched) Execute(ctx context.Context, o engine.Command, fence int64) engine.Outcome {
	if _, ok := o.(engine.Start); ok {
		w.mu.Lock()
		w.starts = append(w.starts, time.Now())
		w.mu.Unlock()
	}
	return w.Workers.Execute(ctx, o, fence)
}

// after counts the starts after a time.
func (w *watched) after(t time.Time) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.starts {
		if s.After(t) {
			n++
		}
	}
	return n
}

// Guards against a holder that goes on ordering although neither the store nor its peers have confirmed the seat for
// longer than a later holder waits before it takes what it can't see as ended.
func TestAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		time.Sleep(5 * time.Second)
		steps := []work.Step{{Count: 1, Need: work.Need{CPU: 100}}}
		for i := range 11 {
			steps = append(steps, work.Step{Count: 1, Need: work.Need{CPU: 100}, After: []int{i}})
		}
		for i := range 4 {
			w.submit(t.Context(), work.Job{ID: work.JobID(fmt.Sprintf("%016x", i)), Queue: "q", Customer: "c",
				Accepted: time.Now().UnixMilli(), Steps: steps})
		}
		for _, e := range w.entries {
			e.link.Set(fakes.Faults{Down: true})
		}
		cut := time.Now()
		time.Sleep(10 * time.Second)
		// The seat counts for 2 s after the last confirmation, which came before the cut.
		if n := w.workers.after(cut.Add(2100 * time.Millisecond)); n > 0 {
			t.Errorf("%d starts without authority", n)
		}
		if w.workers.after(cut) == 0 {
			t.Error("no start while the holder still had its authority: the test shows nothing")
		}
		for _, e := range w.entries {
			e.link.Set(fakes.Faults{})
		}
		time.Sleep(time.Minute)
		if s := w.state("0000000000000000"); s != work.Completed {
			t.Errorf("the job is %q a minute after the store is back", s)
		}
		for _, e := range w.entries {
			w.kill(e)
		}
	})
}
