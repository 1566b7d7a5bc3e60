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
	// ErrQueue means that no such queue is in force.
	ErrQueue = errors.New("engine: no such queue")
	// ErrImpossible means that no worker and no cap allows one of the job's tasks.
	ErrImpossible = errors.New("engine: the job can never run")
	// ErrUnknown means that no such job is known.
	ErrUnknown = errors.New("engine: no such job")
)

// firstVersion is the version of a job that was just taken in.
const firstVersion = 1

// Submit takes a job in, unless it is known already, and returns its version: the job is accepted once a commit holds
// that version.
func (b *Scheduler) Submit(j work.Job) (int, error) {
	if known, ok := b.jobs[j.ID]; ok {
		b.log.Info("engine: job submitted again", zap.String("job", string(j.ID)), zap.String("state", string(known.state)))
		return firstVersion, nil
	}
	q, ok := b.config.Queue(j.Queue)
	if !ok {
		return 0, ErrQueue
	}
	if err := b.possible(j, q); err != nil {
		return 0, err
	}
	n := &job{Job: j, terms: termsOf(q), state: work.Pending, shown: work.Pending, bundles: map[bundleKey]*bundle{}}
	b.jobs[j.ID] = n
	b.open(n)
	b.arrive(n)
	n.deadline = b.objective(n)
	b.touch(n)
	return n.version, nil
}

// possible reports why a job can never run.
func (b *Scheduler) possible(j work.Job, q work.Queue) error {
	limit := b.config.Customers[j.Customer].Cap
	for i, s := range j.Steps {
		if !s.Reserved().Under(limit) {
			return fmt.Errorf("%w: step %d needs more than its customer may run", ErrImpossible, i)
		}
		seen, fits := false, false
		for _, w := range b.workers {
			if w.Pool == q.Pool && w.listed && !w.ended {
				seen = true
				fits = fits || s.Reserved().Within(w.Capacity)
			}
		}
		if seen && !fits {
			return fmt.Errorf("%w: step %d needs more than any worker has", ErrImpossible, i)
		}
	}
	return nil
}

// Cancel ends a job. It returns the version whose commit confirms it, and ErrUnknown for a job that is not known.
func (b *Scheduler) Cancel(id work.JobID) (int, error) {
	j, ok := b.jobs[id]
	if !ok {
		return 0, ErrUnknown
	}
	if !j.state.Final() {
		b.log.Info("engine: job cancelled", zap.String("job", string(id)), zap.String("state", string(j.state)))
		b.finishJob(j, work.Cancelled)
	}
	return j.version, nil
}

// Written reports whether the store holds a version of a job or a later one.
func (b *Scheduler) Written(id work.JobID, version int) bool {
	j, ok := b.jobs[id]
	return !ok || j.stored && j.committed >= version
}

// State returns what callers may see of a job.
func (b *Scheduler) State(id work.JobID) (work.State, string, error) {
	j, ok := b.jobs[id]
	if !ok || !j.stored {
		return "", "", ErrUnknown
	}
	if j.shown.Final() {
		return j.shown, j.Queue, nil
	}
	if j.started {
		return work.Running, j.Queue, nil
	}
	return work.Pending, j.Queue, nil
}

// Waiting counts the accepted jobs of a queue for which no task has started.
func (b *Scheduler) Waiting(queue string) int {
	n := 0
	for _, j := range b.jobs {
		if j.Queue == queue && j.stored && !j.started && !j.state.Final() {
			n++
		}
	}
	return n
}

// objective returns when a job should be complete.
func (b *Scheduler) objective(j *job) time.Time {
	q := b.queueOf(j)
	stretch := max(q.Stretch, 1)
	return time.UnixMilli(j.Accepted).Add(time.Duration(stretch * float64(b.chain(&j.Job)))).Add(q.Objective)
}

// chain estimates the longest chain of work of a job.
func (b *Scheduler) chain(j *work.Job) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		var from time.Duration
		for _, a := range s.After {
			from = max(from, ends[a])
		}
		ends[i] = from + b.estimate(j.Queue, s)
		longest = max(longest, ends[i])
	}
	return longest
}
