package engine

import (
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// A worker declines calls with a lower fencing token than the highest that it has seen, and forgets that when it restarts.
// Nothing else in a call tells its incarnations apart: whatever was sent to the former one may be executed by the new one.
// Therefore the calls to an incarnation carry a higher token than those to the one before it. From the first reply to such a
// call on, the incarnation declines all earlier ones, and its lists show what these have done before.

// fences are the fencing tokens of a term. All that former leaders use are lower than the first one, all that later leaders use
// are higher than the last one.
type fences struct{ first, last int64 }

// ConfirmFences sets the fencing tokens that this term may use: from the store's version at which leadership was acquired to
// the last one at which the store has confirmed it.
func (sc *Scheduler) ConfirmFences(first, last int64) {
	sc.fences = fences{first, last}
	waiting := sc.awaitingFence
	sc.awaitingFence = nil
	for _, w := range waiting {
		sc.touch(w)
	}
}

// fence returns the fencing token for calls to a worker's present incarnation.
func (sc *Scheduler) fence(w *worker) int64 { return sc.fences.first + w.fenceRaise }

// hasFence reports whether the term has a fencing token for a worker's present incarnation. If not, the worker gets no calls
// until the store has confirmed another transaction.
func (sc *Scheduler) hasFence(w *worker) bool { return sc.fence(w) <= sc.fences.last }

// raiseFence makes the next calls to a worker carry a higher fencing token, unless no call that a new incarnation must not
// execute has the present one.
func (sc *Scheduler) raiseFence(w *worker) {
	if !w.fenceUsed {
		return
	}
	w.fenceRaise++
	w.fenceUsed = false
	sc.log.Info("engine: calls to a new incarnation carry a higher fencing token", zap.String("worker", string(w.ID)),
		zap.Int64("fence", sc.fence(w)), zap.Bool("confirmed", sc.hasFence(w)))
	if !sc.hasFence(w) {
		sc.awaitingFence = append(sc.awaitingFence, w)
	}
}

// ExplainsFenced reports whether a worker may have declined a call because it has seen a higher fencing token of this term: the
// call says nothing of a later leader then.
func (sc *Scheduler) ExplainsFenced(id work.WorkerID, fence int64) bool {
	w, ok := sc.workers[id]
	return !ok || fence < sc.fence(w)
}
