package worker

import (
	"fmt"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
)

// FailAll makes every task that ends from now on fail with an error text; an empty text ends the fault.
func (w *Worker) FailAll(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failText = text
}

// Throttle multiplies the run time of tasks that start from now on.
func (w *Worker) Throttle(factor float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.throttleFactor = max(factor, 0)
}

// Leave sets the leaving flag of the worker's report. With refuse, the worker also declines reservations; without it,
// it still accepts work, so that a check can tell whether the entry instances avoid a leaving worker by themselves.
func (w *Worker) Leave(leaving, refuse bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving, w.refusesReservations = leaving, leaving && refuse
	if leaving {
		w.writeJournalLocked(record.Journal{Event: record.Leaving})
	}
}

// Silence makes the open connections permanently unresponsive; new ones work.
func (w *Worker) Silence() {
	w.mu.Lock()
	e := w.endpoint
	w.mu.Unlock()
	if e != nil {
		e.Silence()
	}
}

// Freeze stops the worker like a suspended machine: requests wait and no task ends, while its clock runs on.
func (w *Worker) Freeze() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.thawed == nil {
		w.thawed = make(chan struct{})
	}
}

// Thaw ends a freeze. Timers that fired during it run before any request that waited.
func (w *Worker) Thaw() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.thawed == nil {
		return
	}
	thawed, delayed := w.thawed, w.delayed
	w.thawed, w.delayed = nil, nil
	for _, f := range delayed {
		f()
	}
	close(thawed)
}

// Die makes the worker fail without notice and lose all its tasks; it stays down until Boot.
func (w *Worker) Die() { w.shutDown(record.Died) }

func (w *Worker) shutDown(e record.Event) {
	w.mu.Lock()
	if !w.down {
		w.loseTasksLocked()
		w.writeJournalLocked(record.Journal{Event: e})
	}
	endpoint := w.endpoint
	w.mu.Unlock()
	if endpoint != nil {
		endpoint.Refuse()
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
	if w.endpoint == nil {
		return nil
	}
	return w.endpoint.Reopen()
}

// Reboot restarts the worker with a system version. While tasks run, the reboot is recorded in the journal as a fault
// and declined with ErrNotIdle, unless it is forced.
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
		w.writeJournalLocked(record.Journal{Event: record.Fault, Detail: fmt.Sprintf("reboot while %d tasks run", running)})
		if !force {
			return ErrNotIdle
		}
	}
	if w.rebooting || w.down {
		return nil
	}
	w.rebooting = true
	time.AfterFunc(rebootDelay, func() { w.restart(version) })
	return nil
}

func (w *Worker) restart(version string) {
	w.shutDown(record.Down)
	time.AfterFunc(w.bootTime, func() {
		w.mu.Lock()
		w.version = version
		w.mu.Unlock()
		// If the port can't be opened again, the worker stays unreachable, which callers notice.
		_ = w.Boot()
	})
}

func (w *Worker) loseTasksLocked() {
	for _, t := range w.tasks {
		t.stopTimers()
	}
	w.tasks, w.usedSlots = map[fleet.TaskID]*task{}, 0
	w.down = true
}

// awaitThaw waits for the end of a freeze, even if the client has disconnected: a suspended machine finds the request
// in its socket when it resumes.
func (w *Worker) awaitThaw() {
	w.mu.Lock()
	thawed := w.thawed
	w.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}
