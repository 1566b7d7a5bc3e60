package worker

import (
	"fmt"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
)

// FailAll makes every task that ends from now on fail with an error text; "" ends that.
func (w *Worker) FailAll(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = text
}

// Throttle multiplies the run time of tasks that start from now on.
func (w *Worker) Throttle(factor float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.throttle = max(factor, 0)
}

// Leave sets the leaving flag of the worker's report. With refuse the worker also declines reservations;
// without it, it still accepts work, so that a checker sees whether the fleet stays away by itself.
func (w *Worker) Leave(leaving, refuse bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving, w.refuses = leaving, leaving && refuse
	if leaving {
		w.writeLocked(record.Journal{Event: record.Leaving})
	}
}

// Silence makes the present connections unresponsive for good; new ones work.
func (w *Worker) Silence() {
	w.mu.Lock()
	d := w.door
	w.mu.Unlock()
	if d != nil {
		d.Silence()
	}
}

// Freeze stops the worker like a paused machine: requests wait and nothing ends, while its clock goes on.
func (w *Worker) Freeze() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.thaw == nil {
		w.thaw = make(chan struct{})
	}
}

// Thaw ends a freeze. What fell due meanwhile happens before any request that waited.
func (w *Worker) Thaw() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.thaw == nil {
		return
	}
	thaw, late := w.thaw, w.late
	w.thaw, w.late = nil, nil
	for _, f := range late {
		f()
	}
	close(thaw)
}

// Die loses the worker with everything it held, without notice, until Boot.
func (w *Worker) Die() { w.goDown(record.Died) }

func (w *Worker) goDown(e record.Event) {
	w.mu.Lock()
	if !w.down {
		w.dropLocked()
		w.writeLocked(record.Journal{Event: e})
	}
	d := w.door
	w.mu.Unlock()
	if d != nil {
		d.Refuse()
	}
}

// Boot starts a worker that died.
func (w *Worker) Boot() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.down {
		return nil
	}
	w.bootLocked()
	if w.door == nil {
		return nil
	}
	return w.door.Reopen()
}

// Reboot restarts the worker with a system version. While tasks run it is declined with ErrNotIdle,
// or with force carried out and written to the journal as a fault.
func (w *Worker) Reboot(version string, force bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := 0
	for _, t := range w.tasks {
		if t.status.State == worker.Running {
			running++
		}
	}
	if running > 0 {
		w.writeLocked(record.Journal{Event: record.Fault, Detail: fmt.Sprintf("reboot while %d tasks run", running)})
		if !force {
			return ErrNotIdle
		}
	}
	if w.restarts || w.down {
		return nil
	}
	w.restarts = true
	time.AfterFunc(rebootDelay, func() { w.restart(version) })
	return nil
}

func (w *Worker) restart(version string) {
	w.goDown(record.Down)
	time.AfterFunc(w.bootTime, func() {
		w.mu.Lock()
		w.version = version
		w.mu.Unlock()
		// A port that can't be opened again shows as a worker that stays away.
		_ = w.Boot()
	})
}

func (w *Worker) dropLocked() {
	for _, t := range w.tasks {
		t.cancel()
	}
	w.tasks, w.used = map[fleet.TaskID]*task{}, 0
	w.down = true
}

// pause waits for the end of a freeze, even if the client has gone: a paused machine finds the request in its socket.
func (w *Worker) pause() {
	w.mu.Lock()
	thaw := w.thaw
	w.mu.Unlock()
	if thaw != nil {
		<-thaw
	}
}
