package engine

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/fair"
)

// passedOverLimit is how long smaller tasks may take the place of a larger one that comes before them.
const passedOverLimit = 200 * time.Millisecond

// maxReservedPart is the largest part of a pool's workers that are reserved, rounded up.
const maxReservedPart = 0.1

// releaseReserved opens the workers that are reserved for steps to other steps.
func (p *pool) releaseReserved() {
	for _, w := range p.shares.reserved {
		w.reservedFor = nil
	}
	p.shares.reserved = p.shares.reserved[:0]
}

// mayReserve reports whether workers may be reserved for a step.
func (sc *Scheduler) mayReserve(s *stepState) bool {
	return !s.spec.LongRunning && !s.spec.Gang && !s.hasSuspects() && !sc.queueOf(s.job).NeedsTicket && sc.withinCap(s, 1)
}

// notePassedOver notes that no worker has room for a step while one has room for smaller tasks of later ones, and reports whether
// the workers have room for any task.
func (sc *Scheduler) notePassedOver(s *stepState, c *candidates, now time.Time) (hasRoom bool) {
	for _, w := range c.open {
		if hasRoom = w.reservedFor == nil && c.least.FitsIn(w.free()); hasRoom {
			break
		}
	}
	if hasRoom && s.passedOverSince.IsZero() && sc.mayReserve(s) {
		s.passedOverSince = now
	}
	return hasRoom
}

// reserveWorkers keeps the workers that are closest to fitting free for the first steps that have been passed over for
// passedOverLimit, also once these are late. In each pass it is the closest one, so that a change of the worker never moves the start
// further away.
func (sc *Scheduler) reserveWorkers(p *pool, list []rankedStep, c *candidates, now time.Time) {
	p.releaseReserved()
	if !sc.options.Contention {
		return
	}
	for i := range list {
		s := list[i].state
		if s.passedOverSince.IsZero() || now.Sub(s.passedOverSince) < passedOverLimit || list[i].rank.class == fair.Expired ||
			!sc.mayReserve(s) {
			continue
		}
		if w := sc.closestToFitting(s, c); w != nil {
			w.reservedFor = s
			p.shares.reserved = append(p.shares.reserved, w)
		}
		if float64(len(p.shares.reserved)) >= maxReservedPart*float64(len(c.workers)) {
			return
		}
	}
}

// closestToFitting returns the worker of which the least part must become free for a task of a step, nil if there is none.
func (sc *Scheduler) closestToFitting(s *stepState, c *candidates) (best *worker) {
	least := 0.0
	for _, w := range c.workers {
		if !s.need.FitsIn(w.Capacity.Minus(w.longRunning)) || !w.Has(s.spec.Label) || w.reservedFor != nil || w.held || w.isIsolated() ||
			w.unknownRuns > 0 || s.spec.MaxPerWorker > 0 && sc.countRuns(s, w) >= s.spec.MaxPerWorker {
			continue
		}
		if missing := shortage(s.need, w); best == nil || missing < least {
			best, least = w, missing
		}
	}
	return best
}

// shortage returns the largest part of a worker's capacity that must become free for a need.
func shortage(n work.Need, w *worker) float64 {
	free := w.free()
	part := func(need, free, capacity int64) float64 {
		return float64(max(need-free, 0)) / float64(max(capacity, 1))
	}
	return max(part(n.CPU, free.CPU, w.Capacity.CPU), part(n.Memory, free.Memory, w.Capacity.Memory),
		part(n.GPU, free.GPU, w.Capacity.GPU))
}
