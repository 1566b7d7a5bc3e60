package engine

import (
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// SetMachineCapacities records the capacity of each machine by the platform's list of machines. A worker may report less
// for a while.
func (sc *Scheduler) SetMachineCapacities(capacities map[string]work.Need) {
	sc.machineCapacities = capacities
}

// KnowsMachines reports whether the platform's list of machines has been read.
func (sc *Scheduler) KnowsMachines() bool { return sc.machineCapacities != nil }

// WorkerCapacity returns the capacity that a worker reported last, or false if it is not listed or has ended.
func (sc *Scheduler) WorkerCapacity(id work.WorkerID) (work.Need, bool) {
	w, ok := sc.workers[id]
	if !ok || !w.listed || w.ended {
		return work.Need{}, false
	}
	return w.Capacity, true
}

// isDescribed reports whether the labels and the capacity known of a worker are those of its current incarnation. After a
// restart the worker may be of another kind, and its report may come later than its first reply.
func (w *worker) isDescribed() bool {
	return w.describedIncarnation == 0 || w.describedIncarnation >= w.Incarnation
}

// ConfirmReports records that the list of workers held all their reports at a time.
func (sc *Scheduler) ConfirmReports(at time.Time) {
	if age := at.Sub(sc.reportsCurrentAt); sc.options.MaxReportAge > 0 && !sc.reportsCurrentAt.IsZero() &&
		age > sc.options.MaxReportAge {
		sc.log.Info("engine: reports of the workers are current again", zap.Duration("after", age))
	}
	if at.After(sc.reportsCurrentAt) {
		sc.reportsCurrentAt = at
	}
}

// mayHaveCapacity reports whether the capacity that a worker reported may be relied on: the worker itself rejects tasks
// that don't fit, or a smaller capacity would be known by now.
func (sc *Scheduler) mayHaveCapacity(w *worker, now time.Time) bool {
	return sc.options.MaxReportAge == 0 || sc.config.Pools[w.Pool].EnforcesLimits ||
		now.Sub(sc.reportsCurrentAt) <= sc.options.MaxReportAge
}

// potentialCapacity returns the capacity that a worker may have again: the largest that it reported since its start and
// that of its machine.
func (sc *Scheduler) potentialCapacity(w *worker) work.Need {
	return w.largestCapacity.Max(sc.machineCapacities[w.Machine])
}
