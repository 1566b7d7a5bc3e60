package runner

import (
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
	"github.com/yuccahaven/yuccahaven/internal/state/claim"
)

// state is one state of a task's life; each has one function that leads to the next.
type state interface{ isState() }

type (
	// waiting: in line for permits and a ceiling unit.
	waiting struct{}
	// permitted: permits and a ceiling unit are held.
	permitted struct{ *attempt }
	// reserved: the worker holds slots for a second.
	reserved struct{ *attempt }
	// claimed: the record, if the task needs one, names this attempt.
	claimed struct{ *attempt }
	// doubtful: a start was sent and its reply lost.
	doubtful struct{ *attempt }
	// running: the worker has confirmed the start.
	running struct{ *attempt }
	// stopping: the task was given up on or is moved, and must end at its worker.
	stopping struct {
		*attempt
		move bool
	}
	// ended: the worker says that the task holds no slot any more.
	ended struct {
		*attempt
		status worker.Status
	}
	// lost: the lease has certainly lapsed or the worker has forgotten the task.
	lost struct {
		*attempt
		detail string
	}
	// watched: the worker runs an attempt that another entry instance started.
	watched struct{ *attempt }
	// finished: nothing is left to do.
	finished struct{}
	// following: the record names an attempt that this entry instance did not start.
	following struct{ record claim.Record }
)

func (waiting) isState()   {}
func (permitted) isState() {}
func (reserved) isState()  {}
func (claimed) isState()   {}
func (doubtful) isState()  {}
func (running) isState()   {}
func (stopping) isState()  {}
func (ended) isState()     {}
func (lost) isState()      {}
func (watched) isState()   {}
func (finished) isState()  {}
func (following) isState() {}

// live leads a task through its states until it needs nothing more.
func (r *Runner) live(t *task, s state) {
	for s != (finished{}) {
		s = r.step(t, s)
	}
	if t.async {
		r.settleRecord(t)
	}
	r.forget(t)
}

func (r *Runner) step(t *task, s state) state {
	switch s := s.(type) {
	case waiting:
		return r.wait(t)
	case permitted:
		return r.reserve(s.attempt)
	case reserved:
		return r.claim(s.attempt)
	case claimed:
		return r.checkAndStart(s.attempt)
	case doubtful:
		return r.settleStart(s.attempt)
	case running:
		return r.await(s.attempt)
	case stopping:
		return r.stop(s.attempt, s.move)
	case ended:
		return r.conclude(s.attempt, s.status)
	case lost:
		return r.giveOver(s.attempt, s.detail)
	case watched:
		return r.watch(s.attempt)
	case following:
		return r.follow(t, s.record)
	}
	return finished{}
}
