package runner

import (
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
	"github.com/yuccahaven/yuccahaven/internal/state/claim"
)

// state is one state of a task; each has a function that returns the next one.
type state interface{ isState() }

type (
	// waiting: queued for a permit and ceiling units.
	waiting struct{}
	// permitted: a permit and ceiling units are held.
	permitted struct{ *attempt }
	// reserved: the worker holds slots for reservationTTL.
	reserved struct{ *attempt }
	// claimed: the record, if the task needs one, names this attempt, or could not be written for an idempotent task.
	claimed struct{ *attempt }
	// startUnknown: a start was sent and its reply lost.
	startUnknown struct{ *attempt }
	// running: the worker has confirmed the start.
	running struct{ *attempt }
	// stopping: the task was abandoned or must be evacuated, and has to end at its worker.
	stopping struct {
		*attempt
		move bool
	}
	// ended: the worker reports that the task holds no slot any more.
	ended struct {
		*attempt
		status worker.Status
	}
	// lost: the lease has expired for certain or the worker no longer knows the task.
	lost struct {
		*attempt
		detail string
	}
	// monitored: the worker runs an attempt that another entry instance started.
	monitored struct{ *attempt }
	// finished: nothing is left to do.
	finished struct{}
	// followingRecord: a record was read that another request, entry instance or attempt may have written.
	followingRecord struct{ record claim.Record }
)

func (waiting) isState()         {}
func (permitted) isState()       {}
func (reserved) isState()        {}
func (claimed) isState()         {}
func (startUnknown) isState()    {}
func (running) isState()         {}
func (stopping) isState()        {}
func (ended) isState()           {}
func (lost) isState()            {}
func (monitored) isState()       {}
func (finished) isState()        {}
func (followingRecord) isState() {}

// runStates runs the state machine of a task until it is finished.
func (r *Runner) runStates(t *task, s state) {
	for s != (finished{}) {
		s = r.step(t, s)
	}
	if t.async {
		r.recordRejection(t)
	}
	r.remove(t)
}

func (r *Runner) step(t *task, s state) state {
	switch s := s.(type) {
	case waiting:
		return r.awaitPermit(t)
	case permitted:
		return r.reserve(s.attempt)
	case reserved:
		return r.claim(s.attempt)
	case claimed:
		return r.checkAndStart(s.attempt)
	case startUnknown:
		return r.resolveStart(s.attempt)
	case running:
		return r.pollUntilEnd(s.attempt)
	case stopping:
		return r.stop(s.attempt, s.move)
	case ended:
		return r.conclude(s.attempt, s.status)
	case lost:
		return r.fail(s.attempt, s.detail)
	case monitored:
		return r.monitor(s.attempt)
	case followingRecord:
		return r.followRecord(t, s.record)
	}
	return finished{}
}
