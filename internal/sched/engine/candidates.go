package engine

import (
	"cmp"
	"slices"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// candidates are the workers of a pool that may get tasks in a planning pass. During a pass their free capacity only
// decreases, so a need that has been found too large for all of them need not be compared with them again.
type candidates struct {
	workers []*worker
	// open are the workers that fit least, the smallest need of the pool's waiting tasks in each dimension, as of the
	// beginning of the pass.
	open  []*worker
	least work.Need
	// tooLarge are the needs that fit on no worker with a label, by label. None of them is at least as large as another
	// one of its label in every dimension.
	tooLarge map[string][]work.Need
	// packing are the workers that still fit least, in the order in which finite tasks without a preferred rack choose
	// them; nil until such a task needs it.
	packing []packedWorker
}

// packedWorker is a worker with its score for a finite task without a preferred rack.
type packedWorker struct {
	worker *worker
	score  float64
}

func newCandidates(least work.Need) *candidates {
	return &candidates{least: least, tooLarge: map[string][]work.Need{}}
}

func (c *candidates) add(w *worker) {
	c.workers = append(c.workers, w)
	if c.least.FitsIn(w.free()) {
		c.open = append(c.open, w)
	}
}

// isTooLarge reports whether a step's need is known to fit on no worker.
func (c *candidates) isTooLarge(s *stepState) bool {
	need, label := s.need, s.spec.Label
	isTooLarge := func(o work.Need) bool { return o.FitsIn(need) }
	return slices.ContainsFunc(c.tooLarge[""], isTooLarge) ||
		label != "" && slices.ContainsFunc(c.tooLarge[label], isTooLarge)
}

// haveCapacity reports whether a worker that satisfies the step's label has capacity for one of its tasks. If none has,
// no task or gang of the step can be placed and no ticket for it is needed.
func (sc *Scheduler) haveCapacity(c *candidates, s *stepState) bool {
	if c.isTooLarge(s) {
		return false
	}
	need, label := s.need, s.spec.Label
	for _, w := range c.open {
		sc.comparisons++
		if need.FitsIn(w.free()) && w.Has(label) {
			return true
		}
	}
	c.tooLarge[label] = append(slices.DeleteFunc(c.tooLarge[label], need.FitsIn), need)
	return false
}

// mayPlace reports whether a task of a step may be placed in this pass: some worker has capacity for it, a cordoned one
// only if the step may use these, and the customer's cap allows it. The cap does not matter to a step that needs
// tickets, since these are requested before the cap allows a start, and capacity not to one with suspects, for which a
// worker is held.
func (sc *Scheduler) mayPlace(s *stepState, workers, cordoned *candidates) bool {
	if !s.hasSuspects() && !s.spec.LongRunning && !sc.haveCapacity(workers, s) {
		return false
	}
	needsTicket := sc.queueOf(s.job).NeedsTicket
	if !needsTicket && !sc.withinCap(s, 1) {
		return false
	}
	return s.hasSuspects() || sc.haveCapacity(workers, s) || s.spec.LongRunning && !needsTicket && sc.haveCapacity(cordoned, s)
}

// isPacked reports whether the score of a worker for a step's tasks does not depend on the step.
func (s *stepState) isPacked() bool {
	return !s.spec.LongRunning && !s.spec.SameRack && s.spec.Rack == "" && !s.spec.Gang
}

// chooseFullest returns the worker with the highest score that fits one more task of a step for which isPacked holds, or
// nil.
func (sc *Scheduler) chooseFullest(c *candidates, s *stepState) *worker {
	if c.packing == nil {
		sc.pack(c)
	}
	for _, p := range c.packing {
		if sc.fits(s, p.worker) {
			return p.worker
		}
	}
	return nil
}

// pack orders the workers that have room for finite tasks.
func (sc *Scheduler) pack(c *candidates) {
	c.packing = make([]packedWorker, 0, len(c.open))
	for _, w := range c.open {
		if c.least.FitsIn(w.free()) {
			w.slowness = sc.runTimes.Slowness(string(w.ID))
			c.packing = append(c.packing, packedWorker{w, w.packingScore()})
		}
	}
	slices.SortFunc(c.packing, packedWorker.compare)
}

// compare orders workers by score, the highest first, and then by ID.
func (p packedWorker) compare(o packedWorker) int {
	return cmp.Or(cmp.Compare(o.score, p.score), cmp.Compare(p.worker.ID, o.worker.ID))
}

// noteStart records that a task has been started on a worker, whose place among the others changes with its free
// capacity.
func (c *candidates) noteStart(w *worker) {
	i := slices.IndexFunc(c.packing, func(p packedWorker) bool { return p.worker == w })
	if i < 0 {
		return
	}
	if !c.least.FitsIn(w.free()) {
		c.packing = slices.Delete(c.packing, i, i+1)
		return
	}
	p := packedWorker{w, w.packingScore()}
	to, _ := slices.BinarySearchFunc(c.packing[:i], p, packedWorker.compare)
	copy(c.packing[to+1:i+1], c.packing[to:i])
	c.packing[to] = p
}
