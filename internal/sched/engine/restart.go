package engine

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"go.uber.org/zap"
)

// handleRestart releases the runs of a worker that has restarted, but those whose start the new incarnation may execute, and
// resets what depends on its incarnation: its fencing token, whether it is confirmed or ended, its end numbers, its clock and
// its leases. A worker that may run tasks of a former leader stays so until the new incarnation has reported its run lists.
func (sc *Scheduler) handleRestart(w *worker, incarnation int64) {
	sc.log.Info("engine: worker restarted; releasing its runs", zap.String("worker", string(w.ID)),
		zap.Int64("born", incarnation), zap.Int64("former", w.Incarnation), zap.Int("runs", len(w.runs)))
	sc.giveUpRuns(w, workerEnd{reason: "worker restarted"})
	sc.recordCrash(w)
	sc.raiseFence(w)
	w.Incarnation, w.restarted = incarnation, true
	w.confirmed, w.endsUnread, w.ended = false, false, false
	w.handledEnd, w.ackedEnd, w.ackDelivered = 0, 0, 0
	w.unackedEnds = nil
	w.clock, w.lastLeaseEnd, w.releasedLease = 0, 0, 0
	w.clockReadAt, w.formerLeasesEnd = time.Time{}, time.Time{}
	w.largestCapacity = work.Need{}
	w.cordoned = false
	sc.index.updateDraining(w)
	sc.index.updateUnacked(w)
	sc.touch(w)
}
