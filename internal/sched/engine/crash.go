package engine

import (
	"time"

	"go.uber.org/zap"
)

// crashWindow is how long a run must be known to be active before a crash of its worker is no longer ascribed to it.
const crashWindow = 500 * time.Millisecond

// confirmedFor returns how long a run is known to have been active: until its worker's last reply.
func (r *run) confirmedFor() time.Duration { return max(0, r.worker.clockReadAt.Sub(r.startedAt)) }

// isPlannedEnd reports whether the end of a worker may follow from an announcement or from an operation of this system
// on its machine.
func (sc *Scheduler) isPlannedEnd(w *worker) bool {
	return w.Leaving || w.cordoned || sc.evacuated[w.Zone]
}

// markCrashed records that a worker has ended without an operation of this system.
func (sc *Scheduler) markCrashed(w *worker, reason string) {
	sc.markEnded(w, reason)
	sc.recordCrash(w)
}

// recordCrash logs which runs a crash of a worker may be ascribed to: those given up there that were not known to be
// active for crashWindow. Each is considered once.
func (sc *Scheduler) recordCrash(w *worker) {
	if sc.isPlannedEnd(w) {
		sc.forgetGivenUp(w)
		return
	}
	candidates, confirmed := 0, 0
	for key, g := range w.givenUp {
		if g.considered {
			continue
		}
		if g.confirmedFor >= crashWindow {
			confirmed++
			continue
		}
		candidates++
		sc.log.Info("engine: worker crashed soon after the start of a run", zap.Stringer("task", key.Task),
			zap.Int64("run", key.Number), zap.String("worker", string(w.ID)), zap.Duration("active", g.confirmedFor))
	}
	if candidates+confirmed > 0 {
		sc.log.Warn("engine: worker crashed", zap.String("worker", string(w.ID)), zap.String("zone", w.Zone),
			zap.Int("candidates", candidates), zap.Int("confirmed", confirmed))
	}
	sc.forgetGivenUp(w)
}

// forgetGivenUp excludes the runs given up so far from the attribution of a later crash.
func (sc *Scheduler) forgetGivenUp(w *worker) {
	for key, g := range w.givenUp {
		g.considered = true
		w.givenUp[key] = g
	}
}
