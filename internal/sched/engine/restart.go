package engine

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"go.uber.org/zap"
)

// handleRestart releases the runs of a worker that has restarted, but those whose start the new incarnation may execute,
// and resets what depends on its incarnation: whether it is confirmed or ended, its end numbers, its clock and its leases.
// A worker that may run tasks of a former leader stays so until the new incarnation has reported its run lists, since it
// has not seen the fencing token of this one before.
func (sc *Scheduler) handleRestart(w *worker, incarnation int64) {
	sc.log.Info("engine: worker restarted; releasing its runs", zap.String("worker", string(w.ID)),
		zap.Int64("born", incarnation), zap.Int64("former", w.Incarnation), zap.Int("runs", len(w.runs)))
	sc.giveUpRunsBefore(w, "worker restarted")
	sc.recordCrash(w)
	w.Incarnation, w.restartedAt = incarnation, time.Now()
	w.confirmed, w.ended = false, false
	w.handledEnd, w.ackedEnd, w.ackDelivered = 0, 0, 0
	w.unackedEnds = nil
	w.clock, w.lastLeaseEnd, w.releasedLease = 0, 0, 0
	w.clockReadAt, w.formerLeasesEnd = time.Time{}, time.Time{}
	w.largestCapacity = work.Need{}
	w.cordoned, w.closed = false, false
	sc.index.updateDraining(w)
	sc.index.updateUnacked(w)
	w.lateStartsUntil = time.Time{}
	if len(w.runs) > 0 {
		// The clock of the new incarnation starts anew, so that a start meant for the former one asks for a long lease.
		w.lateStartsUntil = time.Now().Add(lateCommandTime + max(sc.options.MaxLease, sc.options.Lease))
	}
	sc.touch(w)
}

// giveUpRunsBefore gives up the runs of a worker's former incarnation. A run that this one did not list, or whose start was
// or may have been sent more than once, may exist in the new one, if a start came late: it is stopped there, which rules it
// out, and counts as possible until then.
func (sc *Scheduler) giveUpRunsBefore(w *worker, reason string) {
	now := time.Now()
	for _, r := range w.runs {
		sc.rememberGivenUp(r, reason)
		copiesLeft := (r.repeated || r.copiesUnknown) && now.Sub(r.startedAt) < lateCommandTime
		if !r.listedAt.IsZero() && !copiesLeft {
			sc.releaseRun(r)
			continue
		}
		r.phase, r.phaseSince = startUnknown, now
		r.stopSentAt, r.stopAppliedAt = time.Time{}, time.Time{}
		sc.requestStop(r, reasonStartUnknown)
	}
}
