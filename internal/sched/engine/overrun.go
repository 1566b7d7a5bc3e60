package engine

import (
	"math"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

const (
	// overrunGain is the weight of a new overrun, overrunDeviations the number of deviations above the mean overrun that a
	// job is given time for, as retransmission time-outs are computed.
	overrunGain       = 1.0 / 20
	overrunDeviations = 2
	// overrunMinSamples is the number of overruns from which they count. Before, jobs are given defaultOverrun, a share of
	// their estimated run time.
	overrunMinSamples = 20
	defaultOverrun    = 0.25
	// maxStartMargin is the largest margin, as a share of the time that a job can wait from its acceptance.
	maxStartMargin = 0.5
)

// overrunModel is the mean of the overruns of a queue's jobs and their mean deviation from it, in seconds. The overrun of a
// job is the time from its first start to its end beyond the estimate at its first start: tasks of a step that take longer
// than the mean, and the time to start and report them.
type overrunModel struct {
	count           int
	mean, deviation float64
}

// observe adds an overrun.
func (m *overrunModel) observe(overrun time.Duration) {
	m.count++
	gain := max(overrunGain, 1/float64(m.count))
	off := overrun.Seconds() - m.mean
	m.mean += gain * off
	m.deviation += gain * (math.Abs(off) - m.deviation)
}

// noteEstimatedEnd records when a job that starts in time should end.
func (sc *Scheduler) noteEstimatedEnd(s *stepState, now time.Time) {
	j := s.job
	if j.started || j.restored || j.Rounds() != 1 || s.spec.LongRunning {
		return
	}
	if remaining := sc.remaining(s, now); now.Add(remaining).Before(j.deadline) {
		j.estimatedEnd = now.Add(remaining)
	}
}

// observeOverrun adds the overrun of a completed job to the model of its queue.
func (sc *Scheduler) observeOverrun(j *job) {
	if j.state != work.Completed || j.estimatedEnd.IsZero() {
		return
	}
	m, ok := sc.overruns[j.Queue]
	if !ok {
		m = &overrunModel{}
		sc.overruns[j.Queue] = m
	}
	m.observe(j.finishedAt.Sub(j.estimatedEnd))
}

// startMargin returns how long before its latest start a job must start so that it probably ends in time. In a full pool a
// job that has less time left would take the place of another one and be late all the same. A job that has started needs
// none: what it has done would be lost.
func (sc *Scheduler) startMargin(s *stepState, latestStart, now time.Time) time.Duration {
	if s.job.started {
		return 0
	}
	// remaining also renews what is expected of the step.
	remaining, wait := sc.remaining(s, now), latestStart.Sub(time.UnixMilli(s.job.Accepted))
	return sc.probableOverrun(s.job.Queue, s.expected.Spread(), remaining, wait)
}

// probableOverrun returns by how much a job of a queue that takes a time by estimate probably takes longer, within the time that
// it can wait from its acceptance. With learned run times the spread is that of the queue's run times as a share of their mean:
// it is known from finished tasks of all jobs, also of late ones, and survives a change of leader.
func (sc *Scheduler) probableOverrun(queue string, spread float64, estimated, wait time.Duration) time.Duration {
	margin := time.Duration(defaultOverrun * float64(estimated))
	m := sc.overruns[queue]
	if m != nil && m.count < overrunMinSamples {
		m = nil
	}
	switch {
	case sc.options.RunTimes:
		margin = time.Duration(overrunDeviations * spread * float64(estimated))
		if m != nil {
			margin += time.Duration(m.mean * float64(time.Second))
		}
	case m != nil:
		margin = time.Duration((m.mean + overrunDeviations*m.deviation) * float64(time.Second))
	}
	return max(min(margin, time.Duration(maxStartMargin*float64(wait))), 0)
}
