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

// slowWorkers reply to starts late.
type slowWorkers struct {
	leader.Workers
	// delay is the time from the execution of a start to its reply. The worker silent, if any, executes no start and
	// gives no reply within timeout.
	delay, timeout time.Duration
	silent         work.WorkerID

	mu sync.Mutex
	// pending counts the starts without a reply, most is its maximum.
	pending, most int
	// firstStart is when each worker got its first start, starts counts all of them.
	firstStart map[work.WorkerID]time.Time
	starts     int
	// lastStart is when the last start was issued.
	lastStart time.Time
}

// Execute implements leader.Workers.
func (w *slowWorkers) Execute(ctx context.Context, c engine.Command, fence int64) engine.Outcome {
	start, ok := c.(engine.Start)
	if !ok {
		return w.Workers.Execute(ctx, c, fence)
	}
	w.record(start.Worker)
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.pending--
	}()
	if start.Worker == w.silent {
		time.Sleep(w.timeout)
		return engine.NoReply
	}
	outcome := w.Workers.Execute(ctx, c, fence)
	time.Sleep(w.delay)
	return outcome
}

func (w *slowWorkers) record(id work.WorkerID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	w.lastStart = time.Now()
	w.pending++
	w.most = max(w.most, w.pending)
	if w.firstStart[id].IsZero() {
		w.firstStart[id] = time.Now()
	}
}

// testBacklog runs a test on a cluster whose workers reply late and that has accepted a job.
func testBacklog(t *testing.T, w *slowWorkers, tasks int, need work.Need, f func()) {
	w.firstStart = map[work.WorkerID]time.Time{}
	testClusterWith(t, func(o *leader.Options) {
		if w.Workers == nil {
			w.Workers = o.Workers
		}
		o.Workers = w
	}, func(c *cluster) {
		c.submit(context.Background(), work.Job{ID: "0123456789abcdef", Queue: "q", Customer: "c",
			Accepted: time.Now().UnixMilli(), Steps: []work.Step{{Count: tasks, Need: need}}})
		f()
	})
}

// Guards against a leader that issues thousands of starts at once: their time-outs ran while they waited for processor
// time, and the leader took the workers for dead although these had replied.
func TestBacklogWaitsInPlan(t *testing.T) {
	const tasks = 600
	w := &slowWorkers{delay: 90 * time.Millisecond}
	testBacklog(t, w, tasks, work.Need{CPU: 10}, func() {
		// The replies are late, so the bound stays at 64: the tasks have started within 0.9 s.
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.most > 64 {
			t.Errorf("%d starts waited for their replies at the same time", w.most)
		}
		if w.starts < tasks {
			t.Errorf("%d of %d tasks have started", w.starts, tasks)
		}
	})
}

// Guards against starts that wait for the next check of timers although the replies before them have arrived.
func TestReplyAllowsNextStarts(t *testing.T) {
	w := &slowWorkers{}
	testBacklog(t, w, 200, work.Need{CPU: 10}, func() {
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		// 200 tasks need four passes, each after the replies of 1 ms to the one before and a pause of 4 ms.
		if d := w.lastStart.Sub(w.firstStart["w0"]); w.starts < 200 || d > 25*time.Millisecond {
			t.Errorf("%d of 200 tasks have started, the last one %v after the first one", w.starts, d)
		}
	})
}

// Guards against starts on one worker that does not reply and that keep all others waiting until they time out.
func TestSilentWorkerDoesNotHoldStarts(t *testing.T) {
	w := &slowWorkers{silent: "w0", timeout: 450 * time.Millisecond}
	// 66 tasks fit on a worker, and w0 is chosen first.
	testBacklog(t, w, 100, work.Need{CPU: 60}, func() {
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		silent, next := w.firstStart["w0"], w.firstStart["w1"]
		if silent.IsZero() || next.IsZero() {
			t.Fatalf("first starts: %v", w.firstStart)
		}
		// The starts count for 100 ms, and the scheduler looks for what is due every 100 ms.
		if d := next.Sub(silent); d > 200*time.Millisecond {
			t.Errorf("the next worker got its first start %v after the silent one", d)
		}
	})
}
