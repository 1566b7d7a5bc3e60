package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/sched/admit"
	"github.com/yuccahaven/yuccahaven/internal/state/claim"
)

// task is one job from its admission to its final answer and the end of its last attempt.
type task struct {
	id        string
	job       Job
	pool      fleet.PoolName
	team      fleet.TeamName
	submitted time.Time
	timeout   time.Duration
	deadline  time.Time
	// recorded tasks have a record in the store, which names every attempt before its start.
	recorded bool
	async    bool
	// held says that the input is counted in the memory for request bodies.
	held   bool
	digest string // of the input, where a record is kept
	timer  *time.Timer

	limit   int           // of the waiting tasks of the queue
	granted chan *attempt // an attempt that holds permits and a ceiling unit
	done    chan struct{} // closed when the final answer is known
	// life ends when the final answer was given early, so that calls on the caller's behalf end too.
	life context.Context
	quit context.CancelFunc

	mu       sync.Mutex
	phase    Phase
	work     reject.Work
	resolved bool
	answer   Answer
	err      *reject.Error
	callers  int // that wait for the answer

	// The fields below belong to the goroutine that runs the task.
	admitted   bool
	ticket     *admit.Ticket[*task]
	record     claim.Record
	number     int
	starts     int
	checkpoint []byte
	// failedAt is the worker of the attempt that failed last, declined the number of its permits given back since.
	failedAt fleet.InstanceID
	declined int
}

// resolve sets the final answer; only the first one counts.
func (t *task) resolve(a Answer, err *reject.Error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.resolveLocked(a, err)
}

func (t *task) resolveLocked(a Answer, err *reject.Error) bool {
	if t.resolved {
		return false
	}
	t.resolved, t.answer, t.err = true, a, err
	t.phase = PhaseDone
	if err != nil {
		t.phase = PhaseRejected
	}
	if t.timer != nil {
		t.timer.Stop()
	}
	close(t.done)
	return true
}

// giveUp answers the caller at once with what is known of the work; the task's goroutine then cleans up.
func (t *task) giveUp(k reject.Kind, retry time.Duration, detail string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := reject.New(k, t.work, "%s", detail).WithRetryAfter(retry)
	if !t.resolveLocked(Answer{}, e) {
		return false
	}
	t.quit()
	return true
}

// beginStart notes that a start is about to be sent, unless the final answer was already given. It returns what was
// known of the work before, for undoStart.
func (t *task) beginStart() (reject.Work, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.resolved {
		return "", false
	}
	before := t.work
	if t.work == reject.WorkNotRun {
		t.work = reject.WorkUnknown
	}
	return before, true
}

// undoStart restores what was known of the work, once it is certain that a sent start had no effect.
func (t *task) undoStart(before reject.Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.resolved {
		t.work, t.phase = before, PhaseWaiting
	}
}

func (t *task) setRunning() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.resolved {
		t.work, t.phase = reject.WorkRun, PhaseRunning
	}
}

func (t *task) setWork(w reject.Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.resolved {
		t.work = w
	}
}

func (t *task) setWaiting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.resolved {
		t.phase = PhaseWaiting
	}
}

func (t *task) knownWork() reject.Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.work
}

// addCaller counts the callers that wait for the answer.
func (t *task) addCaller(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.callers += n
}

// isShared reports whether more than one caller waits.
func (t *task) isShared() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.callers > 1
}

// result returns the final answer; it is valid once done is closed.
func (t *task) result() (Answer, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err != nil {
		return Answer{}, t.err
	}
	return t.answer, nil
}

func (t *task) progress() Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Progress{ID: t.id, Phase: t.phase, Answer: t.answer, Rejection: t.err}
}

// hasQuit reports whether the task was given up on.
func (t *task) hasQuit() bool {
	return t.life.Err() != nil
}

// asRejection turns any error into a rejection with what is known of the work.
func asRejection(err error, work reject.Work) *reject.Error {
	var e *reject.Error
	if errors.As(err, &e) {
		c := *e
		c.Work = work
		return &c
	}
	return reject.New(reject.KindInternal, work, "internal error").WithCause(err)
}
