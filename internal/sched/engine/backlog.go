package engine

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// expiredLateness is the lateness from which nobody is expected to wait for a job any more, as a multiple of the time between
// its acceptance and its deadline.
const expiredLateness = 2

// Backlog returns the number of finite tasks that have not started, by customer. Tasks of jobs that nobody is expected to wait
// for any more don't count, nor do rounds that are not open yet.
func (sc *Scheduler) Backlog() map[string]int {
	now := time.Now()
	backlog := map[string]int{}
	for _, j := range sc.unfinished {
		if sc.hasExpired(j, now) {
			continue
		}
		for _, s := range j.stepStates {
			if !s.spec.LongRunning && !s.spec.BestEffort {
				backlog[j.Customer] += s.waiting
			}
		}
	}
	return backlog
}

// hasExpired reports whether nobody is expected to wait for a job any more. Repeated jobs don't expire.
func (sc *Scheduler) hasExpired(j *job, now time.Time) bool {
	if j.Rounds() != 1 {
		return false
	}
	allowed := j.deadline.Sub(time.UnixMilli(j.Accepted))
	return now.After(j.deadline.Add(expiredLateness * allowed))
}

// NewJob describes a job that is not accepted yet.
type NewJob struct {
	// Tasks are its finite tasks, of all its rounds.
	Tasks int
	// Allowed is the time between its acceptance and its deadline.
	Allowed time.Duration
}

// Describe describes a job that is not accepted yet.
func (sc *Scheduler) Describe(j work.Job) NewJob {
	n := NewJob{}
	for _, s := range j.Steps {
		if !s.LongRunning && !s.BestEffort {
			n.Tasks += s.Count
		}
	}
	n.Tasks *= j.Rounds()
	n.Allowed = sc.jobDeadline(&job{Job: j}).Sub(time.UnixMilli(j.Accepted))
	return n
}

// Withdraw removes a job that no batch has held yet, and reports whether it did: the job is not stored then and never will be.
func (sc *Scheduler) Withdraw(id work.JobID) bool {
	j, ok := sc.jobs[id]
	if !ok || j.stored || j.batched {
		return false
	}
	delete(sc.jobs, id)
	delete(sc.unfinished, id)
	delete(sc.dirty, id)
	sc.arrived[j.settings.Pool] -= j.arrival
	return true
}
