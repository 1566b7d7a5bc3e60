package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// evict stops long-running tasks on leaving workers, those on cordoned workers as far as disruption budgets and free
// capacity allow, and finite tasks, except those of gangs, that can't finish before their worker leaves, so that all
// continue elsewhere.
func (sc *Scheduler) evict(now time.Time) {
	var list []*worker
	for _, w := range sc.index.draining {
		if !w.ended {
			list = append(list, w)
		}
	}
	// The order decides which tasks leave first, so it must be deterministic.
	slices.SortFunc(list, func(x, y *worker) int { return cmp.Compare(x.ID, y.ID) })
	for _, w := range list {
		for _, r := range slices.SortedFunc(maps.Values(w.runs), func(x, y *run) int {
			return x.key.Task.Compare(y.key.Task)
		}) {
			if r.stepState == nil || r.stopRequested {
				continue
			}
			s := r.stepState
			if s.spec.LongRunning {
				if w.Leaving || sc.canEvict(r, now) && sc.canRelocate(r, now) {
					sc.requestStop(r, "worker is leaving or cordoned")
				}
				continue
			}
			if !w.Leaving {
				continue
			}
			remaining := sc.estimate(s.job.Queue, *s.spec) - now.Sub(r.startedAt)
			if remaining > w.DrainTime+drainMargin && !s.spec.Gang {
				sc.requestStop(r, "worker leaves before the run can finish")
			}
		}
	}
}

// minRelocationInterval is the least time that a long-running task stays on a cordoned worker before it may be moved
// again.
const minRelocationInterval = 3 * time.Second

// canRelocate reports whether a long-running task may leave a cordoned worker: it has been there for
// minRelocationInterval, and the other usable workers that it fits on and that aren't cordoned outnumber the long-running
// tasks of its pool that wait, are stopping or are starting, so that two tasks don't leave for the same free capacity.
func (sc *Scheduler) canRelocate(r *run, now time.Time) bool {
	if now.Sub(r.startedAt) < minRelocationInterval {
		return false
	}
	competing := 0
	for s := range sc.pool(r.worker.Pool).ready {
		if s.spec.LongRunning {
			competing += s.waiting
		}
	}
	fitting := 0
	for _, w := range sc.index.byPool[r.worker.Pool] {
		for _, o := range w.runs {
			if o.stepState != nil && o.stepState.spec.LongRunning && (o.stopRequested || o.phase != active) {
				competing++
			}
		}
		if w != r.worker && !w.cordoned && sc.usable(w, now) && sc.fits(r.stepState, w) {
			fitting++
		}
	}
	return fitting > competing
}

// drainMargin is how much longer than its announced drain time a leaving worker is expected to run.
const drainMargin = 500 * time.Millisecond
