package worker

import (
	"encoding/json"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/input"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/rest"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
)

// task is the state of a task id that the worker knows; its fields are guarded by the worker's lock.
type task struct {
	reservation worker.Reservation
	start       worker.Start
	status      worker.Status
	// expiresAt is when the reservation or the lease expires.
	expiresAt   time.Time
	expiryTimer *time.Timer
	finishTimer *time.Timer
	startedAt   time.Time
	// resumedFrom is the run time that the checkpoint of an earlier run had reached; throttleAtStart is the worker's
	// throttle factor when the task started.
	resumedFrom     time.Duration
	throttleAtStart float64
	ended           chan struct{}
	endedAt         time.Time
	answer          []byte
	acknowledged    bool
}

// checkpoint is the state that a stopped task saves.
type checkpoint struct {
	Done time.Duration `json:"done"`
}

func (t *task) stopTimers() {
	if t.expiryTimer != nil {
		t.expiryTimer.Stop()
	}
	if t.finishTimer != nil {
		t.finishTimer.Stop()
	}
}

func (t *task) progress(now time.Time) time.Duration {
	return t.resumedFrom + time.Duration(float64(now.Sub(t.startedAt))/max(t.throttleAtStart, 1e-9))
}

// after runs f with the lock held once d has passed, unless the worker went down or booted meanwhile; a freeze delays
// it.
func (w *Worker) after(d time.Duration, f func()) *time.Timer {
	boot := w.bootCount
	guarded := func() {
		if w.bootCount == boot && !w.down {
			f()
		}
	}
	return time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.thawed != nil {
			w.delayed = append(w.delayed, guarded)
			return
		}
		guarded()
	})
}

func (w *Worker) reserveLocked(r worker.Reservation) error {
	w.removeEndedLocked()
	if t, ok := w.tasks[r.Task]; ok {
		return w.repeatReservationLocked(t, r)
	}
	switch {
	case w.refusesReservations || w.rebooting || w.down:
		return worker.ErrLeaving
	case r.Slots < 1 || w.usedSlots+r.Slots > w.listing.Slots:
		return worker.ErrBusy
	}
	t := &task{reservation: r, status: worker.Status{Task: r.Task, State: worker.Reserved}, ended: make(chan struct{})}
	w.tasks[r.Task] = t
	w.usedSlots += r.Slots
	w.setExpiryLocked(t, r.TTL)
	w.recordLocked(record.Reserved, t, "")
	return nil
}

func (w *Worker) repeatReservationLocked(t *task, r worker.Reservation) error {
	switch t.status.State {
	case worker.Fenced, worker.Stopped:
		return worker.ErrFenced
	case worker.Reserved:
		w.setExpiryLocked(t, r.TTL)
	}
	return nil
}

// setExpiryLocked sets when the reservation or lease expires.
func (w *Worker) setExpiryLocked(t *task, d time.Duration) {
	if t.expiryTimer != nil {
		t.expiryTimer.Stop()
	}
	t.expiresAt = time.Now().Add(d)
	t.expiryTimer = w.after(d, func() { w.expireLocked(t) })
}

func (w *Worker) expireLocked(t *task) {
	if t.status.State.Ended() || time.Now().Before(t.expiresAt) {
		return
	}
	if t.status.State == worker.Reserved {
		w.recordLocked(record.Expired, t, "")
		w.usedSlots -= t.reservation.Slots
		t.stopTimers()
		t.status.State = worker.Stopped
		close(t.ended)
		delete(w.tasks, t.reservation.Task)
		return
	}
	w.endLocked(t, worker.Stopped, record.Expired, "lease ran out")
}

func (w *Worker) startLocked(s worker.Start) error {
	t, ok := w.tasks[s.Task]
	if !ok || w.rebooting || w.down {
		return worker.ErrReservationExpired
	}
	w.expireLocked(t)
	if w.tasks[s.Task] != t {
		return worker.ErrReservationExpired
	}
	switch t.status.State {
	case worker.Fenced, worker.Stopped:
		return worker.ErrFenced
	case worker.Running, worker.Done, worker.Failed:
		return nil
	}
	w.runLocked(t, s)
	return nil
}

func (w *Worker) runLocked(t *task, s worker.Start) {
	t.start, t.startedAt, t.throttleAtStart = s, time.Now(), w.throttleFactor
	t.status.State = worker.Running
	var c checkpoint
	if json.Unmarshal(s.Checkpoint, &c) == nil {
		t.resumedFrom = max(c.Done, 0)
	}
	w.recordLocked(record.Started, t, "")
	w.setExpiryLocked(t, s.Lease)
	h := input.Parse(s.Input)
	run := h.Duration()
	if h.Crash {
		run /= 2
	}
	remaining := time.Duration(float64(max(run-t.resumedFrom, 0)) * t.throttleAtStart)
	t.finishTimer = w.after(remaining, func() { w.finishLocked(t, h) })
}

func (w *Worker) finishLocked(t *task, h input.Header) {
	w.expireLocked(t)
	switch {
	case t.status.State != worker.Running:
	case w.failText != "":
		w.failLocked(t, w.failText)
	case h.Crash:
		w.failLocked(t, "task process crashed")
	case h.Fail != "":
		w.failLocked(t, h.Fail)
	default:
		t.answer = input.Answer(t.start.Input)
		t.status.Length, t.status.Digest = int64(len(t.answer)), rest.HexDigest(t.answer)
		w.endLocked(t, worker.Done, record.Ended, "")
	}
}

func (w *Worker) failLocked(t *task, text string) {
	t.status.Error = text
	w.endLocked(t, worker.Failed, record.Ended, text)
}

func (w *Worker) stopLocked(id fleet.TaskID, withCheckpoint bool) worker.Status {
	t, ok := w.tasks[id]
	if !ok {
		t = &task{status: worker.Status{Task: id}, ended: make(chan struct{})}
		w.tasks[id] = t
		w.endLocked(t, worker.Fenced, record.Fenced, "")
		return t.status
	}
	switch t.status.State {
	case worker.Reserved:
		w.endLocked(t, worker.Fenced, record.Fenced, "")
	case worker.Running:
		if withCheckpoint {
			// Encoding a struct of one number can't fail.
			t.status.Checkpoint, _ = json.Marshal(checkpoint{Done: t.progress(time.Now())})
		}
		w.endLocked(t, worker.Stopped, record.Stopped, "")
	}
	return w.statusLocked(t)
}

func (w *Worker) endLocked(t *task, s worker.TaskState, e record.Event, detail string) {
	t.stopTimers()
	t.endedAt = time.Now()
	if t.status.State == worker.Running {
		t.status.Ran = t.endedAt.Sub(t.startedAt)
	}
	t.status.State = s
	t.start.Input, t.start.Checkpoint = nil, nil
	w.usedSlots -= t.reservation.Slots
	w.recordLocked(e, t, detail)
	close(t.ended)
}

func (w *Worker) renewLocked(q worker.RenewRequest) []worker.Status {
	statuses := []worker.Status{}
	for _, id := range q.Tasks {
		t, ok := w.tasks[id]
		if !ok {
			continue
		}
		w.expireLocked(t)
		if t.status.State == worker.Running {
			w.setExpiryLocked(t, q.Lease)
		}
		statuses = append(statuses, w.statusLocked(t))
	}
	return statuses
}

func (w *Worker) statusLocked(t *task) worker.Status {
	s := t.status
	if s.State == worker.Running {
		s.Ran = time.Since(t.startedAt)
	}
	return s
}

func (w *Worker) recordLocked(e record.Event, t *task, detail string) {
	r := t.reservation
	w.writeJournalLocked(record.Journal{
		Event: e, Pool: r.Pool, Team: r.Team, Queue: r.Queue, Slots: r.Slots, Task: t.status.Task,
		Key: t.start.Key, Once: t.start.Once, State: t.status.State, Detail: detail,
	})
}

// removeEndedLocked removes tasks that ended more than retention ago, at most once a minute.
func (w *Worker) removeEndedLocked() {
	now := time.Now()
	if now.Sub(w.cleanedAt) < time.Minute {
		return
	}
	w.cleanedAt = now
	for id, t := range w.tasks {
		if t.status.State.Ended() && now.Sub(t.endedAt) > retention {
			delete(w.tasks, id)
		}
	}
}
