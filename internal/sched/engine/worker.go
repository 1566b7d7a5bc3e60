package engine

import (
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// worker is a worker with its runs and the state of its leases.
type worker struct {
	work.Worker
	// listed means that the platform lists the worker now.
	listed bool
	// ended means that nothing runs on the worker any more; it is only kept until the platform stops listing it.
	ended   bool
	endedAt time.Time
	// confirmed means that the worker has reported its run lists under this term's fencing token, so that it rejects
	// commands of former leaders.
	confirmed bool
	// onlyFinite means that of the runs that a former leader may have started on an inherited worker only those of finite tasks
	// may still exist.
	onlyFinite bool
	// endsUnread means that its last list of ends was cut off, so that runs may have ended there that are not known.
	endsUnread bool
	// inUse means that tasks may run on the worker, inUseStored that the store has a record of that.
	inUse, inUseStored bool
	// describedIncarnation is the incarnation that reported the worker's labels and capacity; 0 if unknown.
	describedIncarnation int64
	// largestCapacity is the largest amount of each resource that the worker has reported since its start.
	largestCapacity work.Need
	// reserved is the total that its runs reserve.
	reserved work.Need
	runs     map[work.RunKey]*run
	// unknownRuns counts the runs of unknown tasks among its runs, whose needs are unknown.
	unknownRuns int
	// clock is the worker's clock in milliseconds at the local time clockReadAt; it is unknown while that is zero.
	clock       int64
	clockReadAt time.Time
	// lastLeaseEnd is the latest expiry of the leases sent to the worker, in milliseconds of its clock.
	lastLeaseEnd int64
	// releasedLease is the end of the last lease of the runs that were released because the worker had been marked ended, in
	// milliseconds of its clock.
	releasedLease int64
	// formerLeasesEnd is when the leases of a former leader have certainly expired; zero if there are none.
	formerLeasesEnd time.Time
	// fenceRaise is by how much the fencing token for the present incarnation is above the first one of the term, fenceUsed
	// that calls were sent with it that a later incarnation must not execute.
	fenceRaise int64
	fenceUsed  bool
	// restarted means that the worker has restarted and not reported its run lists since.
	restarted bool
	// The worker numbers the ends of its runs. handledEnd is the number of the last end handled, ackedEnd that of the
	// last one whose result is stored.
	handledEnd, ackedEnd int64
	// unackedEnds are the handled ends above ackedEnd, by number.
	unackedEnds []unackedEnd
	// ackDelivered is the highest acknowledged end number that the worker has received.
	ackDelivered int64
	// unresponsiveSince is since when the worker has not replied; zero while it does.
	unresponsiveSince time.Time
	// doubtedSince is since when a relay gets no reply from the worker while it is not known whether this process does;
	// zero if it is not so.
	doubtedSince time.Time
	// failures counts the requests without a reply since the last reply.
	failures int
	// silent means that a patient renewal has failed after the expiry of the worker's leases, see Renewal.Patient.
	silent bool
	// backoffUntil is until when the worker gets no tasks because it declined one.
	backoffUntil time.Time
	// cordoned means that the worker is about to be taken away and gets no new tasks but long-running ones that fit
	// nowhere else and need no ticket.
	cordoned bool
	// due means that the worker's machine is to be maintained soon.
	due bool
	// failureRate is the moving average of failed runs among recent ones, for the choice between workers.
	failureRate float64
	// slowness is the logarithm of how many times slower than usual the worker was at the last choice; 0 if not known.
	slowness float64
	// givenUp are the runs that were released although their ends are not known, until the worker replies again.
	givenUp map[work.RunKey]givenUpRun
	// crashedAt is when the last crash of the worker became known.
	crashedAt time.Time
	// isolated is the last run of a suspect that was started there.
	isolated *run
	// held means that the worker gets no other tasks until heldUntil because a suspect waits for it.
	held      bool
	heldUntil time.Time
	// reservedFor is the step for which the worker is kept free because its tasks are large; nil if there is none.
	reservedFor *stepState
	// finiteRuns are the runs of finite tasks, in no particular order.
	finiteRuns []finiteRun
	// longRunningRuns counts the runs of long-running tasks, longRunning is what they reserve.
	longRunningRuns int
	longRunning     work.Need
	// interferingRuns counts the best-effort runs and those with a latency objective.
	interferingRuns int
	// probeWanted means that a suspect waits for a reply of the worker.
	probeWanted bool
	// touched means that the worker is in the scheduler's list of touched ones.
	touched bool
}

// noCapacity is the free capacity of a worker that fits no task.
var noCapacity = work.Need{CPU: -1, Memory: -1, GPU: -1}

// free returns the capacity that is not reserved. It is negative if the capacity has shrunk below what is reserved, and
// noCapacity beside a run of unknown need.
func (w *worker) free() work.Need {
	if w.unknownRuns > 0 {
		return noCapacity
	}
	return w.Capacity.Minus(w.reserved)
}

// holdsReleasedLease reports whether a lease may still run under which the worker had runs that were released because it
// had been marked ended by mistake. Until it has expired their ends must not be acknowledged: their tasks may have started
// again.
func (w *worker) holdsReleasedLease() bool {
	return w.releasedLease > 0 && w.estimatedClock() <= w.releasedLease+leaseMargin.Milliseconds()
}

// estimatedClock estimates the worker's clock; it lags the real one by at most the transit time of the last reply.
func (w *worker) estimatedClock() int64 { return w.clock + time.Since(w.clockReadAt).Milliseconds() }

// outcomeAt returns the outcome of an order to an address: what another worker answers at a former address says nothing of
// this one.
func (w *worker) outcomeAt(address string, result Outcome) Outcome {
	if result == Replaced && address != w.Address {
		return RelayLost
	}
	return result
}

// leaseExpiry returns when every lease that this leader sent to the worker has certainly expired.
func (w *worker) leaseExpiry() time.Time {
	if w.clockReadAt.IsZero() {
		// Leases are sent only after the worker's clock was read.
		return time.Now()
	}
	left := time.Duration(float64(w.lastLeaseEnd-w.clock)/(1-clockDrift)) * time.Millisecond
	return w.clockReadAt.Add(max(left, 0)).Add(leaseMargin)
}

// SetWorkers replaces the platform's list of workers.
func (sc *Scheduler) SetWorkers(list []work.Worker) {
	sc.knowsWorkers = true
	present := map[work.WorkerID]bool{}
	for _, l := range list {
		present[l.ID] = true
		sc.updateWorker(l)
	}
	for id, w := range sc.workers {
		if w.listed && !present[id] {
			w.listed = false
			sc.log.Info("engine: worker no longer listed by the platform", zap.String("worker", string(id)),
				zap.Int("runs", len(w.runs)))
		}
	}
}

func (sc *Scheduler) updateWorker(l work.Worker) {
	w, ok := sc.workers[l.ID]
	if !ok {
		w = &worker{Worker: l, listed: true, describedIncarnation: l.Incarnation, largestCapacity: l.Capacity,
			runs: map[work.RunKey]*run{}}
		sc.workers[l.ID] = w
		sc.index.add(w)
		sc.index.updateDraining(w)
		sc.touch(w)
		sc.log.Info("engine: worker added", zap.String("worker", string(l.ID)), zap.String("pool", l.Pool),
			zap.String("zone", l.Zone), zap.String("address", l.Address))
		return
	}
	if l.Incarnation != 0 && w.Incarnation != 0 && l.Incarnation > w.Incarnation {
		sc.handleRestart(w, l.Incarnation)
	}
	if l.Leaving != w.Leaving {
		sc.log.Info("engine: leaving state of worker changed", zap.String("worker", string(l.ID)),
			zap.Bool("leaving", l.Leaving), zap.Int("runs", len(w.runs)))
	}
	if l.Capacity != w.Capacity {
		sc.log.Info("engine: capacity of worker changed", zap.String("worker", string(l.ID)), zap.Any("from", w.Capacity),
			zap.Any("to", l.Capacity), zap.Any("reserved", w.reserved), zap.Int("runs", len(w.runs)))
	}
	if !w.listed {
		sc.touch(w)
	}
	incarnation, pool := max(w.Incarnation, l.Incarnation), w.Pool
	w.Worker = l
	sc.index.move(w, pool)
	w.Incarnation = incarnation
	w.describedIncarnation = l.Incarnation
	w.largestCapacity = w.largestCapacity.Max(l.Capacity)
	w.listed = true
	if w.ended && time.Since(w.endedAt) > endedTTL {
		// Still listed, so the worker was marked ended by mistake.
		sc.log.Warn("engine: worker is still listed after it was marked ended; using it again",
			zap.String("worker", string(w.ID)), zap.Duration("after", time.Since(w.endedAt)))
		w.ended, w.confirmed, w.endsUnread = false, false, false
		w.cordoned = false
		sc.touch(w)
	}
	sc.index.updateDraining(w)
}

// touch records that the next renewal of a worker may have changed.
func (sc *Scheduler) touch(w *worker) {
	if !w.touched {
		w.touched = true
		sc.touched = append(sc.touched, w)
	}
}

// TakeTouched returns the workers whose next renewal may have changed since the last call, other than by the outcome of a
// renewal.
func (sc *Scheduler) TakeTouched() []work.WorkerID {
	ids := make([]work.WorkerID, 0, len(sc.touched))
	for _, w := range sc.touched {
		w.touched = false
		ids = append(ids, w.ID)
	}
	sc.touched = sc.touched[:0]
	return ids
}

// endedTTL is how long the platform may go on listing a worker that has ended; one that it lists for longer was marked
// ended by mistake.
const endedTTL = 6 * time.Second

// Workers returns the workers that may get orders.
func (sc *Scheduler) Workers() []work.Worker {
	list := make([]work.Worker, 0, len(sc.workers))
	for _, w := range sc.workers {
		if !w.ended {
			list = append(list, w.Worker)
		}
	}
	return list
}

// Tracks reports whether the scheduler still keeps a worker's state.
func (sc *Scheduler) Tracks(id work.WorkerID) bool { return sc.workers[id] != nil }

// Cordon keeps new tasks away from a worker that is about to be taken away, or lifts that.
func (sc *Scheduler) Cordon(id work.WorkerID, cordoned bool) {
	if w, ok := sc.workers[id]; ok {
		w.cordoned = cordoned
		sc.index.updateDraining(w)
	}
}

// SetDue sets which workers' machines are to be maintained soon: long-running tasks start elsewhere if they can, since they
// would have to move again.
func (sc *Scheduler) SetDue(ids []work.WorkerID) {
	for _, w := range sc.due {
		w.due = false
	}
	sc.due = sc.due[:0]
	for _, id := range ids {
		if w, ok := sc.workers[id]; ok {
			w.due = true
			sc.due = append(sc.due, w)
		}
	}
}

// Close keeps every new task away from a worker that may be taken away at any moment, whether the scheduler has it or not, or
// lifts that.
func (sc *Scheduler) Close(id work.WorkerID, closed bool) {
	if delete(sc.closedWorkers, id); closed {
		sc.closedWorkers[id] = true
	}
}

// CloseMachine does the same for every worker of a machine, also for those that start later.
func (sc *Scheduler) CloseMachine(name string, closed bool) {
	if delete(sc.closedMachines, name); closed {
		sc.closedMachines[name] = true
	}
}

func (sc *Scheduler) isClosed(w *worker) bool {
	return sc.closedWorkers[w.ID] || w.Machine != "" && sc.closedMachines[w.Machine]
}

// markUnresponsive records that a worker did not reply.
func (sc *Scheduler) markUnresponsive(w *worker) {
	w.failures++
	w.probeWanted = false
	sc.touch(w)
	if w.unresponsiveSince.IsZero() {
		w.unresponsiveSince = time.Now()
		sc.log.Warn("engine: worker did not reply; its tasks wait until it does or its leases expire",
			zap.String("worker", string(w.ID)), zap.Int("runs", len(w.runs)),
			zap.Duration("lease", time.Until(w.leaseExpiry())))
	}
}

// doubt records that a relay got no reply from a worker. It gets no tasks until this process has asked it itself, since
// the relay may be the one that has failed.
func (sc *Scheduler) doubt(w *worker) {
	if w.responsive() {
		w.doubtedSince = time.Now()
		sc.touch(w)
		sc.log.Info("engine: worker did not reply to its relay; asking it from here", zap.String("worker", string(w.ID)),
			zap.Int("runs", len(w.runs)))
	}
}

// responsive reports whether the worker has replied to the last call, as far as is known.
func (w *worker) responsive() bool { return w.unresponsiveSince.IsZero() && w.doubtedSince.IsZero() }

// usable reports whether a worker may get tasks now; callers check separately whether it is cordoned. The store must
// already have a record that tasks may run there, because a later leader must find them.
func (sc *Scheduler) usable(w *worker, now time.Time) bool {
	return w.inUseStored && w.listed && !w.ended && !sc.isClosed(w) && w.confirmed && sc.inherited[w.ID] == nil && w.isDescribed() && !w.Leaving &&
		!w.holdsReleasedLease() && w.responsive() && sc.mayHaveCapacity(w, now) && !sc.evacuated[w.Zone] && now.After(w.backoffUntil)
}

// releaseRun removes a run and frees what it reserves; its task waits again unless it is complete or has other runs.
func (sc *Scheduler) releaseRun(r *run) {
	w, s := r.worker, r.stepState
	if w.runs[r.key] != r {
		return
	}
	delete(w.runs, r.key)
	delete(sc.stopping, r.key)
	if r.phase == startPlanned {
		delete(sc.pending.issued, r.key)
	}
	if s == nil {
		w.unknownRuns--
		return
	}
	sc.removeRun(r)
	t := &s.tasks[r.key.Task.Index]
	for i, o := range t.runs {
		if o == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	if len(t.runs) == 0 && !t.done {
		s.waiting++
		t.lastRunEndedAt = time.Now()
		sc.enqueue(s)
	}
}

// leasesEnd returns when every lease of a worker has certainly expired, those of former leaders included.
func (sc *Scheduler) leasesEnd(w *worker) time.Time {
	end := w.leaseExpiry()
	if sc.inherited[w.ID] != nil && (w.clockReadAt.IsZero() || sc.inheritedUntil.After(end)) {
		end = sc.inheritedUntil
	}
	if w.formerLeasesEnd.After(end) {
		end = w.formerLeasesEnd
	}
	for _, r := range w.runs {
		if !r.lingers {
			continue
		}
		if last := r.lingersUntil.Add(sc.options.maxLeaseTime()); last.After(end) {
			end = last
		}
	}
	return end
}

// mayRun reports whether runs may exist on a worker, perhaps ones of a former leader.
func (sc *Scheduler) mayRun(w *worker) bool { return len(w.runs) > 0 || sc.inherited[w.ID] != nil }

// mayGiveUp reports whether the runs of an unresponsive worker may be given up: its leases have all expired. Its runs
// may have ended before that, so while it may have any, a patient renewal must have failed too: replies that this process
// did not read in time may have said so.
func (sc *Scheduler) mayGiveUp(w *worker, now time.Time) bool {
	return !w.unresponsiveSince.IsZero() && w.inUse && !w.holdsOnlyLingering() && (w.silent || !sc.mayRun(w)) &&
		sc.leasesExpired(sc.leasesEnd(w), now)
}

// expireLeases releases the runs of an unresponsive worker whose leases have all expired. The worker gets no tasks
// until it has reported its run lists again.
func (sc *Scheduler) expireLeases(w *worker, now time.Time) {
	sc.log.Warn("engine: leases of an unresponsive worker have expired; releasing its runs",
		zap.String("worker", string(w.ID)), zap.Int("runs", len(w.runs)), zap.Bool("prior", sc.inherited[w.ID] != nil),
		zap.Duration("silent", now.Sub(w.unresponsiveSince)), zap.Int64("clock", w.clock),
		zap.Int64("until", w.lastLeaseEnd))
	sc.giveUpRuns(w, workerEnd{reason: "leases expired"})
	if len(w.runs) == 0 {
		sc.clearInUse(w)
	} else {
		// The failed renewal says nothing of the leases under which a lingering run may have started.
		w.silent = false
	}
	w.confirmed, w.endsUnread = false, false
	delete(sc.inherited, w.ID)
	sc.touch(w)
}

// clearInUse records that no task runs on a worker any more, and has the store's record that tasks may run there
// removed.
func (sc *Scheduler) clearInUse(w *worker) {
	if w.inUse {
		w.inUse, w.inUseStored = false, false
		sc.dirtyWorkers[w.ID] = true
	}
}

// Tick expires leases, removes unlisted workers that have no runs and have ended or do not reply, removes jobs past
// their retention, and opens rounds that are due.
func (sc *Scheduler) Tick() {
	now := time.Now()
	sc.logStalls(now)
	sc.failExceeded(now)
	sc.logErrors(now)
	for id, w := range sc.workers {
		if sc.mayGiveUp(w, now) {
			sc.expireLeases(w, now)
		}
		sc.expireLingering(w, now)
		if sc.isGone(w, now) {
			sc.touch(w)
			sc.index.remove(w)
			delete(sc.workers, id)
		}
	}
	sc.forgetEnded(now)
	for _, j := range sc.unfinished {
		if j.Repeats > 0 && j.openedRounds < j.Rounds() && !now.Before(time.UnixMilli(j.Due(j.openedRounds))) {
			sc.openNextRound(j)
		}
	}
}

// isGone reports whether nothing of a worker matters any more, even if the platform lists it again.
func (sc *Scheduler) isGone(w *worker, now time.Time) bool {
	if w.listed || len(w.runs) > 0 || w.inUse || sc.inherited[w.ID] != nil || !w.ended && w.unresponsiveSince.IsZero() {
		return false
	}
	if last := w.unresponsiveSince; w.fenceUsed || w.fenceRaise > 0 {
		// A worker that comes back under its id must still get a higher fencing token than these calls had.
		if w.endedAt.After(last) {
			last = w.endedAt
		}
		return now.Sub(last) > lateCommandTime && now.After(sc.leasesEnd(w))
	}
	return w.clockReadAt.IsZero() || now.After(sc.leasesEnd(w))
}

// forgetEnded removes the ended jobs past their retention.
func (sc *Scheduler) forgetEnded(now time.Time) {
	removed := 0
	for _, j := range sc.ended {
		if now.Sub(j.finishedAt) <= sc.options.JobRetention || !j.storedState.Final() {
			break
		}
		delete(sc.jobs, j.ID)
		sc.deleted = append(sc.deleted, j.ID)
		removed++
	}
	sc.ended = sc.ended[removed:]
}
