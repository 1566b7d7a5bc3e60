package engine

import (
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Errors of submissions.
var (
	// ErrUnknownQueue means that the current config has no such queue.
	ErrUnknownQueue = errors.New("engine: no such queue")
	// ErrImpossible means that one of the job's tasks exceeds the capacity of every worker of its pool or its customer's
	// cap.
	ErrImpossible = errors.New("engine: the job can never run")
	// ErrUnknownJob means that the scheduler has no such job.
	ErrUnknownJob = errors.New("engine: no such job")
)

// NoWorkerFitsError is the ErrImpossible of a job with a step that exceeds the capacity of every worker of its pool.
type NoWorkerFitsError struct{ Step int }

// Error returns the error's text.
func (e *NoWorkerFitsError) Error() string {
	return fmt.Sprintf("%v: step %d needs more than any worker has", ErrImpossible, e.Step)
}

// Unwrap returns ErrImpossible.
func (e *NoWorkerFitsError) Unwrap() error { return ErrImpossible }

// firstVersion is the version of a newly accepted job.
const firstVersion = 1

// Submit adds a job, unless the scheduler has it already, and returns its version: the job is accepted once a commit
// holds that version.
func (sc *Scheduler) Submit(j work.Job) (int, error) {
	if known, ok := sc.jobs[j.ID]; ok {
		// While the store has not taken the job, its instance asks again and again.
		if known.stored {
			sc.log.Info("engine: job submitted again", zap.String("job", string(j.ID)),
				zap.String("state", string(known.state)))
		}
		return firstVersion, nil
	}
	q, ok := sc.config.Queue(j.Queue)
	if !ok {
		return 0, ErrUnknownQueue
	}
	if err := sc.checkPossible(j, q); err != nil {
		return 0, err
	}
	n := &job{Job: j, owner: sc.customer(j.Customer), settings: settingsOf(q), state: work.Pending, storedState: work.Pending,
		stepStates: map[stepKey]*stepState{}}
	sc.jobs[j.ID] = n
	sc.unfinished[j.ID] = n
	sc.openRound(n)
	sc.recordArrival(n)
	if sc.options.Contention {
		sc.pool(q.Pool).shares.rates.Add(n.owner.index, sc.workOf(j), time.Now())
	}
	n.deadline = sc.jobDeadline(n)
	sc.markDirty(n)
	return n.version, nil
}

// checkPossible returns an error that says why a job can never run, or nil. The workers' capacity counts only if the
// pool has any listed, and then the capacity that they may have again.
func (sc *Scheduler) checkPossible(j work.Job, q work.Queue) error {
	limit := sc.config.Customers[j.Customer].Cap
	for i, s := range j.Steps {
		if !s.Reserved().WithinLimit(limit) {
			return fmt.Errorf("%w: step %d needs more than its customer may run", ErrImpossible, i)
		}
		seen, fits := false, false
		for _, w := range sc.index.byPool[q.Pool] {
			if w.listed && !w.ended {
				seen = true
				fits = fits || s.Reserved().FitsIn(sc.potentialCapacity(w))
			}
		}
		if seen && !fits {
			return &NoWorkerFitsError{Step: i}
		}
	}
	return nil
}

// Cancel ends a job; one that has ended keeps its state. It returns the version whose commit confirms that, and
// ErrUnknownJob for a job it does not have.
func (sc *Scheduler) Cancel(id work.JobID) (int, error) {
	j, ok := sc.jobs[id]
	if !ok {
		return 0, ErrUnknownJob
	}
	if !j.state.Final() {
		sc.log.Info("engine: job cancelled", zap.String("job", string(id)), zap.String("state", string(j.state)))
		sc.finishJob(j, work.Cancelled)
	}
	return j.version, nil
}

// Has reports whether the scheduler has a job, stored or not.
func (sc *Scheduler) Has(id work.JobID) bool { return sc.jobs[id] != nil }

// Unstored returns the version of a job of which the store does not have the end yet, or which it does not have at all; unstored
// is false for any other job.
func (sc *Scheduler) Unstored(id work.JobID) (version int, unstored, isNew bool) {
	j, ok := sc.jobs[id]
	switch {
	case !ok:
		return 0, false, false
	case !j.stored:
		return firstVersion, true, true
	}
	return j.version, j.state.Final() && !j.storedState.Final(), false
}

// QueueOf returns the queue of a job that the scheduler has, "" otherwise.
func (sc *Scheduler) QueueOf(id work.JobID) string {
	if j, ok := sc.jobs[id]; ok {
		return j.Queue
	}
	return ""
}

// IsStored reports whether the store holds a version of a job, or a later one; true for a job that is no longer kept.
func (sc *Scheduler) IsStored(id work.JobID, version int) bool {
	j, ok := sc.jobs[id]
	return !ok || j.stored && j.committedVersion >= version
}

// State returns a job's state as callers may see it, and its queue, or ErrUnknownJob while the store does not have it.
func (sc *Scheduler) State(id work.JobID) (work.State, string, error) {
	j, ok := sc.jobs[id]
	if !ok || !j.stored {
		return "", "", ErrUnknownJob
	}
	if j.storedState.Final() {
		return j.storedState, j.Queue, nil
	}
	if j.started {
		return work.Running, j.Queue, nil
	}
	return work.Pending, j.Queue, nil
}

// Waiting returns the number of accepted jobs of a queue that have neither started a task nor ended.
func (sc *Scheduler) Waiting(queue string) int {
	n := 0
	for _, j := range sc.unfinished {
		if j.Queue == queue && j.stored && !j.started {
			n++
		}
	}
	return n
}

// jobDeadline returns when a job should be complete, counted from its acceptance: after the critical path of one round,
// stretched by the queue's factor, at least 1, plus the queue's objective.
func (sc *Scheduler) jobDeadline(j *job) time.Time {
	q := sc.queueOf(j)
	stretch := max(q.Stretch, 1)
	return time.UnixMilli(j.Accepted).Add(time.Duration(stretch * float64(sc.criticalPath(&j.Job)))).Add(q.Objective)
}

// criticalPath estimates the run time of the longest chain of dependent steps of a job.
func (sc *Scheduler) criticalPath(j *work.Job) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		s := &j.Steps[i]
		var from time.Duration
		for _, a := range s.After {
			from = max(from, ends[a])
		}
		ends[i] = from + sc.estimateFor(j, s)
		longest = max(longest, ends[i])
	}
	return longest
}
