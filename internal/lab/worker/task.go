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

// task is a task id the worker knows; its fields are guarded by the worker's lock.
type task struct {
	reservation worker.Reservation
	start       worker.Start
	status      worker.Status
	// expires ends the reservation or the lease.
	expires time.Time
	expiry  *time.Timer
	finish  *time.Timer
	begun   time.Time
	// resumed is the run time an earlier run had reached; factor is the throttle at the start.
	resumed time.Duration
	factor  float64
	ended   chan struct{}
	endedAt time.Time
	answer  []byte
	forgot  bool
}

// checkpoint is the state that a stopped task leaves.
type checkpoint struct {
	Done time.Duration `json:"done"`
}

func (t *task) cancel() {
	if t.expiry != nil {
		t.expiry.Stop()
	}
	if t.finish != nil {
		t.finish.Stop()
	}
}

func (t *task) reached(now time.Time) time.Duration {
	return t.resumed + time.Duration(float64(now.Sub(t.begun))/max(t.factor, 1e-9))
}

// after runs f under the lock once d has passed, unless the worker has rebooted; a freeze delays it.
func (w *Worker) after(d time.Duration, f func()) *time.Timer {
	boot := w.boots
	guarded := func() {
		if w.boots == boot && !w.down {
			f()
		}
	}
	return time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.thaw != nil {
			w.late = append(w.late, guarded)
			return
		}
		guarded()
	})
}

func (w *Worker) reserveLocked(r worker.Reservation) error {
	w.sweepLocked()
	if t, ok := w.tasks[r.Task]; ok {
		return w.repeatLocked(t, r)
	}
	switch {
	case w.refuses || w.restarts || w.down:
		return worker.ErrLeaving
	case r.Slots < 1 || w.used+r.Slots > w.listing.Slots:
		return worker.ErrBusy
	}
	t := &task{reservation: r, status: worker.Status{Task: r.Task, State: worker.Reserved}, ended: make(chan struct{})}
	w.tasks[r.Task] = t
	w.used += r.Slots
	w.holdLocked(t, r.TTL)
	w.recordLocked(record.Reserved, t, "")
	return nil
}

func (w *Worker) repeatLocked(t *task, r worker.Reservation) error {
	switch t.status.State {
	case worker.Fenced, worker.Stopped:
		return worker.ErrFenced
	case worker.Reserved:
		w.holdLocked(t, r.TTL)
	}
	return nil
}

// holdLocked sets when the reservation or lease runs out.
func (w *Worker) holdLocked(t *task, d time.Duration) {
	if t.expiry != nil {
		t.expiry.Stop()
	}
	t.expires = time.Now().Add(d)
	t.expiry = w.after(d, func() { w.lapseLocked(t) })
}

func (w *Worker) lapseLocked(t *task) {
	if t.status.State.Ended() || time.Now().Before(t.expires) {
		return
	}
	if t.status.State == worker.Reserved {
		w.recordLocked(record.Lapsed, t, "")
		w.used -= t.reservation.Slots
		t.cancel()
		t.status.State = worker.Stopped
		close(t.ended)
		delete(w.tasks, t.reservation.Task)
		return
	}
	w.endLocked(t, worker.Stopped, record.Lapsed, "lease ran out")
}

func (w *Worker) startLocked(s worker.Start) error {
	t, ok := w.tasks[s.Task]
	if !ok || w.restarts || w.down {
		return worker.ErrReservationExpired
	}
	w.lapseLocked(t)
	if w.tasks[s.Task] != t {
		return worker.ErrReservationExpired
	}
	switch t.status.State {
	case worker.Fenced, worker.Stopped:
		return worker.ErrFenced
	case worker.Running, worker.Done, worker.Failed:
		return nil
	}
	w.beginLocked(t, s)
	return nil
}

func (w *Worker) beginLocked(t *task, s worker.Start) {
	t.start, t.begun, t.factor = s, time.Now(), w.throttle
	t.status.State = worker.Running
	var c checkpoint
	if json.Unmarshal(s.Checkpoint, &c) == nil {
		t.resumed = max(c.Done, 0)
	}
	w.recordLocked(record.Started, t, "")
	w.holdLocked(t, s.Lease)
	h := input.Parse(s.Input)
	run := h.Duration()
	if h.Crash {
		run /= 2
	}
	left := time.Duration(float64(max(run-t.resumed, 0)) * t.factor)
	t.finish = w.after(left, func() { w.finishLocked(t, h) })
}

func (w *Worker) finishLocked(t *task, h input.Header) {
	w.lapseLocked(t)
	switch {
	case t.status.State != worker.Running:
	case w.failing != "":
		w.failLocked(t, w.failing)
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

func (w *Worker) stopLocked(id fleet.TaskID, save bool) worker.Status {
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
		if save {
			// Encoding a struct of one number can't fail.
			t.status.Checkpoint, _ = json.Marshal(checkpoint{Done: t.reached(time.Now())})
		}
		w.endLocked(t, worker.Stopped, record.Stopped, "")
	}
	return w.statusLocked(t)
}

func (w *Worker) endLocked(t *task, s worker.TaskState, e record.Event, detail string) {
	t.cancel()
	t.endedAt = time.Now()
	if t.status.State == worker.Running {
		t.status.Ran = t.endedAt.Sub(t.begun)
	}
	t.status.State = s
	t.start.Input, t.start.Checkpoint = nil, nil
	w.used -= t.reservation.Slots
	w.recordLocked(e, t, detail)
	close(t.ended)
}

func (w *Worker) renewLocked(q worker.RenewRequest) []worker.Status {
	found := []worker.Status{}
	for _, id := range q.Tasks {
		t, ok := w.tasks[id]
		if !ok {
			continue
		}
		w.lapseLocked(t)
		if t.status.State == worker.Running {
			w.holdLocked(t, q.Lease)
		}
		found = append(found, w.statusLocked(t))
	}
	return found
}

func (w *Worker) statusLocked(t *task) worker.Status {
	s := t.status
	if s.State == worker.Running {
		s.Ran = time.Since(t.begun)
	}
	return s
}

func (w *Worker) recordLocked(e record.Event, t *task, detail string) {
	r := t.reservation
	w.writeLocked(record.Journal{
		Event: e, Pool: r.Pool, Team: r.Team, Queue: r.Queue, Slots: r.Slots, Task: t.status.Task,
		Key: t.start.Key, Once: t.start.Once, State: t.status.State, Detail: detail,
	})
}

// sweepLocked forgets tasks that ended long ago.
func (w *Worker) sweepLocked() {
	now := time.Now()
	if now.Sub(w.swept) < time.Minute {
		return
	}
	w.swept = now
	for id, t := range w.tasks {
		if t.status.State.Ended() && now.Sub(t.endedAt) > retention {
			delete(w.tasks, id)
		}
	}
}
