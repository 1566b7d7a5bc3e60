package engine

import (
	"slices"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// candidates are the workers of a pool that may get tasks in a planning pass. During a pass their free capacity only
// decreases, so a need that has been found too large for all of them need not be compared with them again.
type candidates struct {
	workers []*worker
	// tooLarge are the needs that fit on no worker with a label, by label. None of them is at least as large as another
	// one of its label in every dimension.
	tooLarge map[string][]work.Need
}

func newCandidates() *candidates { return &candidates{tooLarge: map[string][]work.Need{}} }

// haveCapacity reports whether a worker that satisfies the step's label has capacity for one of its tasks. If none has,
// no task or gang of the step can be placed and no ticket for it is needed.
func (sc *Scheduler) haveCapacity(c *candidates, s *stepState) bool {
	need, label := s.spec.Reserved(), s.spec.Label
	isTooLarge := func(o work.Need) bool { return o.FitsIn(need) }
	if slices.ContainsFunc(c.tooLarge[""], isTooLarge) || slices.ContainsFunc(c.tooLarge[label], isTooLarge) {
		return false
	}
	for _, w := range c.workers {
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
	needsTicket := sc.queueOf(s.job).NeedsTicket
	if !needsTicket && !sc.withinCap(s, 1) {
		return false
	}
	return s.hasSuspects() || sc.haveCapacity(workers, s) || s.spec.LongRunning && !needsTicket && sc.haveCapacity(cordoned, s)
}
