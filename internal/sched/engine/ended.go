package engine

import (
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// workerEnd is why a worker has certainly ended.
type workerEnd struct {
	// reason is for the log.
	reason string
	// replaced means that another worker has taken its place or will, so that it can't come back under its id.
	replaced bool
	// noneAt is a time at which its machine ran no worker; zero if none is known.
	noneAt time.Time
}

// The ends of workers that can't come back under their ids.
var (
	endReplaced    = workerEnd{reason: "another worker answers at its address", replaced: true}
	endTakenAway   = workerEnd{reason: "its machine was taken away", replaced: true}
	endOtherWorker = workerEnd{reason: "its machine runs another worker", replaced: true}
)

// markEnded releases the runs of a worker that has certainly ended, but those that a later incarnation may start.
func (sc *Scheduler) markEnded(w *worker, end workerEnd) {
	if w.ended {
		return
	}
	sc.log.Info("engine: worker ended; releasing its runs", zap.String("worker", string(w.ID)),
		zap.String("why", end.reason), zap.Int("runs", len(w.runs)))
	sc.giveUpRuns(w, end)
	w.releasedLease = w.lastLeaseEnd
	w.ended = true
	w.endedAt = time.Now()
	if len(w.runs) == 0 {
		sc.clearInUse(w)
	}
	delete(sc.inherited, w.ID)
}

// MarkWorkerEnded records that the platform has taken a worker's machine away, which ends all runs on it: its machine ran another
// worker or none in a list that was requested after that.
func (sc *Scheduler) MarkWorkerEnded(id work.WorkerID) {
	sc.Close(id, false)
	if w, ok := sc.workers[id]; ok {
		sc.markEnded(w, endTakenAway)
		sc.forgetGivenUp(w)
	}
}

// Machine is an entry of the platform's list of machines.
type Machine struct {
	// Worker is the worker that the machine runs, "" for none.
	Worker work.WorkerID
	// Up means that the machine is neither down nor in an operation.
	Up bool
}

// Reconcile marks workers ended by the platform's list of machines, by name; sent is when the list was requested. A machine runs
// one worker at a time: a worker that is inherited or has not replied since before sent, and whose machine runs another worker
// or none, has ended, and its tasks need not wait for its leases to expire. Of workers whose machine isn't in the list only the
// lingering runs are released, once the platform does not list the worker either.
func (sc *Scheduler) Reconcile(machines map[string]Machine, sent time.Time) {
	now := time.Now()
	for id, w := range sc.workers {
		current, found := machines[w.Machine]
		switch {
		case w.Machine == "" || found && current.Worker == id:
			continue
		case !found:
			if len(machines) > 0 && !w.listed {
				sc.releaseAllLingering(w, "its machine is gone")
			}
			continue
		case w.ended:
			sc.reconcileLingering(w, current, sent)
			continue
		}
		end := workerEnd{reason: "its machine runs no worker", noneAt: sent}
		if current.Worker != "" {
			end = endOtherWorker
		}
		unseen := sc.inherited[id] != nil && !w.confirmed
		if unseen && !end.replaced && sent.Before(sc.formerCallsEnd) {
			// A start of the former leader may reach the next incarnation, and which ones it has sent is not known.
			w.onlyFinite = true
			continue
		}
		if unseen || !w.unresponsiveSince.IsZero() && w.unresponsiveSince.Before(sent) {
			sc.log.Info("engine: machine runs another worker or none; marking worker ended", zap.String("machine", w.Machine),
				zap.String("worker", string(id)), zap.String("now", string(current.Worker)), zap.Bool("up", current.Up),
				zap.Duration("list", now.Sub(sent)), zap.Bool("prior", unseen), zap.Bool("listed", w.listed),
				zap.Duration("silent", elapsed(w.unresponsiveSince, now)), zap.Duration("lease", sc.leasesEnd(w).Sub(now)),
				zap.Int("runs", len(w.runs)))
			sc.markCrashed(w, end)
		}
	}
}

// AwaitsLeaseExpiry reports whether tasks wait for the leases of an unresponsive or inherited worker to expire.
func (sc *Scheduler) AwaitsLeaseExpiry() bool {
	if len(sc.inherited) > 0 {
		return true
	}
	for _, w := range sc.workers {
		if (w.ended || !w.unresponsiveSince.IsZero()) && len(w.runs) > 0 {
			return true
		}
	}
	return false
}
