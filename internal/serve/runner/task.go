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
	// inputCounted says that the input is counted in the memory for request bodies.
	inputCounted bool
	digest       string // of the input, where a record is kept
	timer        *time.Timer

	queueLimit int           // of the waiting tasks of the queue
	granted    chan *attempt // receives an attempt that holds a permit and ceiling units
	done       chan struct{} // closed when the final answer is known
	// accepted is closed when the record of an asynchronous task is stored or could not be stored; nil for other tasks,
	// and for those taken over, whose record was stored before.
	accepted chan struct{}
	// ctx ends when the caller is answered before the task has ended, so that calls on behalf of the caller end too.
	ctx  context.Context
	stop context.CancelFunc

	mu        sync.Mutex
	phase     Phase
	work      reject.Work
	completed bool
	answer    Answer
	err       *reject.Error
	callers   int // that wait for the answer

	// The fields below belong to the goroutine that runs the task.
	admitted      bool
	ticket        *admit.Ticket[*task]
	record        claim.Record
	attemptNumber int
	starts        int
	checkpoint    []byte
	// failedWorker ran the attempt that failed last; declinedPermits counts the permits of it that were given back
	// since.
	failedWorker    fleet.InstanceID
	declinedPermits int
}

// complete sets the final answer; only the first call has an effect.
func (t *task) complete(a Answer, err *reject.Error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.completeLocked(a, err)
}

func (t *task) completeLocked(a Answer, err *reject.Error) bool {
	if t.completed {
		return false
	}
	t.completed, t.answer, t.err = true, a, err
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

// abandon answers the caller at once with what is known of the work; the goroutine of the task then cleans up.
func (t *task) abandon(k reject.Kind, retry time.Duration, detail string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := reject.New(k, t.work, "%s", detail).WithRetryAfter(retry)
	if !t.completeLocked(Answer{}, e) {
		return false
	}
	t.stop()
	return true
}

// beginStart notes that a start is about to be sent, unless the final answer was already given, and returns what was
// known of the work before, for undoStart.
func (t *task) beginStart() (reject.Work, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.completed {
		return "", false
	}
	before := t.work
	if t.work == reject.WorkNotRun {
		t.work = reject.WorkUnknown
	}
	return before, true
}

// undoStart restores what was known of the work once a sent start is known to have had no effect.
func (t *task) undoStart(before reject.Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.completed {
		t.work, t.phase = before, PhaseWaiting
	}
}

func (t *task) setRunning() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.completed {
		t.work, t.phase = reject.WorkRun, PhaseRunning
	}
}

func (t *task) setWork(w reject.Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.completed {
		t.work = w
	}
}

func (t *task) setWaiting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.completed {
		t.phase = PhaseWaiting
	}
}

func (t *task) knownWork() reject.Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.work
}

// addCaller adds n to the number of callers that wait for the answer.
func (t *task) addCaller(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.callers += n
}

// isShared reports whether more than one caller waits for the answer.
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

// isAbandoned reports whether abandon gave the final answer before the task ended, or the task was not accepted.
func (t *task) isAbandoned() bool {
	return t.ctx.Err() != nil
}

// asRejection turns any error into a rejection that says what is known of the work.
func asRejection(err error, work reject.Work) *reject.Error {
	var e *reject.Error
	if errors.As(err, &e) {
		c := *e
		c.Work = work
		return &c
	}
	return reject.New(reject.KindInternal, work, "internal error").WithCause(err)
}
