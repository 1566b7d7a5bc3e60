package engine

import (
	"time"

	"go.uber.org/zap"
)

// A run lingers after it was given up while a copy of its start may still be executed by a later incarnation of its worker, or
// may have been by one that has not reported it. Its task does not start elsewhere until the worker has reported its run lists
// under a higher fencing token, another worker has taken its place, or the start is too old.

// maxLateness returns the time by which every copy of a run's start has been executed, if it ever is.
func (r *run) maxLateness() time.Time {
	if r.phase == active && !r.repeated && !r.copiesUnknown {
		return r.phaseSince
	}
	return r.startedAt.Add(lateCommandTime)
}

// mayLinger reports whether a copy of a run's start may be executed, or have been executed, by an incarnation of its worker
// that has not reported it, and whether that matters: a speculative task may have several runs, and one that is complete does
// not start again. No worker ran on its machine at a time, unless that is zero.
func (sc *Scheduler) mayLinger(r *run, noneAt, now time.Time) bool {
	copiesLeft := r.repeated || r.copiesUnknown
	s := r.stepState
	switch {
	case s == nil || s.spec.Speculative || s.job.state.Final() || s.tasks[r.key.Task.Index].done:
		return false
	case !r.listedAt.IsZero() && !copiesLeft:
		return false
	case now.After(r.maxLateness().Add(sc.options.maxLeaseTime())):
		return false
	}
	return !r.maxLateness().Before(noneAt)
}

// linger gives up a run whose start may still be executed.
func (r *run) linger(now time.Time) {
	if !r.lingers {
		r.lingers, r.lingersUntil = true, r.maxLateness()
	}
	r.phase, r.phaseSince = startUnknown, now
	r.stopSentAt, r.stopAppliedAt = time.Time{}, time.Time{}
}

// releaseLingering releases a run that lingers, and the worker's record once it has no other.
func (sc *Scheduler) releaseLingering(r *run, why string) {
	w := r.worker
	sc.log.Info("engine: start of a run that was given up is ruled out", zap.Stringer("task", r.key.Task),
		zap.Int64("run", r.key.Number), zap.String("worker", string(w.ID)), zap.String("why", why),
		zap.Duration("age", time.Since(r.startedAt)))
	sc.releaseRun(r)
	if len(w.runs) == 0 && (w.ended || !w.confirmed) {
		sc.clearInUse(w)
	}
}

// expireLingering releases the lingering runs of a worker that has ended or is silent whose starts can't be executed any more
// and whose leases have expired, if an incarnation that was not seen has executed them.
func (sc *Scheduler) expireLingering(w *worker, now time.Time) {
	if !w.ended && !w.silent {
		return
	}
	for _, r := range w.runs {
		if r.lingers && sc.leasesExpired(r.lingersUntil.Add(sc.options.maxLeaseTime()), now) {
			sc.releaseLingering(r, "too old, leases expired")
		}
	}
}

// reconcileLingering releases lingering runs of an ended worker by its machine's entry in a list that was requested at a time:
// another worker declines their starts, and a machine without one at a time after the last start runs none of them.
func (sc *Scheduler) reconcileLingering(w *worker, current Machine, sent time.Time) {
	if current.Worker != "" {
		sc.releaseAllLingering(w, "its machine runs another worker")
		return
	}
	for _, r := range w.runs {
		if r.lingers && sent.After(r.lingersUntil) {
			sc.releaseLingering(r, "too old, its machine runs no worker")
		}
	}
}

// releaseAllLingering releases the lingering runs of a worker that can't come back under its id.
func (sc *Scheduler) releaseAllLingering(w *worker, why string) {
	for _, r := range w.runs {
		if r.lingers {
			sc.releaseLingering(r, why)
		}
	}
}

// holdsOnlyLingering reports whether a worker has runs and all of them linger.
func (w *worker) holdsOnlyLingering() bool {
	for _, r := range w.runs {
		if !r.lingers {
			return false
		}
	}
	return len(w.runs) > 0
}
