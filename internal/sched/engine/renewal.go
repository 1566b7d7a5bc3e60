package engine

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

const (
	// renewalWait is how long a worker may delay its reply until a run ends. It bounds the age of the load signals that
	// show interference between tasks.
	renewalWait = time.Second
	// FiniteRenewalWait is the same for a worker with tasks that end by themselves: if the reply is lost, the jobs of all
	// tasks that end meanwhile wait until the renewal has timed out.
	FiniteRenewalWait = 150 * time.Millisecond
	// renewInterval is the time from a reply to the next renewal. It lets ended runs accumulate, so that one renewal and
	// one commit serve several of them.
	renewInterval = 30 * time.Millisecond
	// commitWait is how long a renewal waits at most for the commit of the ended runs that the previous one reported.
	commitWait = 250 * time.Millisecond
	// unresolvedRenewInterval is the time between renewals while the start of a run is unknown or a run is stopping.
	unresolvedRenewInterval = 60 * time.Millisecond
	// startupRenewInterval is the time between renewals while long-running tasks start up: until one with a disruption budget
	// is known to be at work, others of its step can't be moved, and a crash of the worker is ascribed to a run that is not
	// known to have been active for crashWindow.
	startupRenewInterval = 200 * time.Millisecond
	// unresponsiveBackoff is the time per failure between renewals of a worker that does not reply, up to
	// maxUnresponsiveBackoff.
	unresponsiveBackoff    = 250 * time.Millisecond
	maxUnresponsiveBackoff = time.Second
	// patientLead is how long before the leases of an unresponsive worker expire its renewals become patient, so that one
	// is outstanding when they do.
	patientLead = time.Second
)

// Renewal reads a worker's run lists and, if ExtendLease is set, extends the lease of all runs on it.
type Renewal struct {
	Worker  work.WorkerID
	Address string
	// ExtendLease asks for a new lease; PrepareRenewal sets its end in milliseconds of the worker's clock. LeaseEnd is 0
	// without one.
	ExtendLease bool
	LeaseEnd    int64
	// AckedEnd acknowledges all ended runs up to this number.
	AckedEnd int64
	// Incarnation is the one of the worker that numbered these ends.
	Incarnation int64
	// Wait is how long the worker may delay its reply until a run ends; 0 asks for a reply at once.
	Wait time.Duration
	// Prompt asks a relay to report the first reply, and not to repeat the renewal until a run ends: the reply may show that a
	// task is at work, or that it does not crash its worker.
	Prompt bool
	// Patient means that tasks will start elsewhere if there is no reply: it is worth a new connection and a long
	// time-out.
	Patient bool
	// Direct renewals are sent by this process even if the worker has a relay.
	Direct bool
	// Fence is the fencing token for the incarnation that the renewal is meant for.
	Fence int64
}

// NextRenewal returns the next renewal of a worker and how long after the end of the previous one it is due, or false
// if none is needed.
func (sc *Scheduler) NextRenewal(id work.WorkerID) (Renewal, time.Duration, bool) {
	w, ok := sc.workers[id]
	if !ok || w.ended && !w.holdsOnlyLingering() || !sc.hasFence(w) {
		return Renewal{}, 0, false
	}
	o := Renewal{Worker: id, Address: w.Address, Incarnation: w.Incarnation, Fence: sc.fence(w)}
	if w.ended {
		// The next incarnation executes late starts until it has received a call.
		o.Direct = true
		return o, min(unresponsiveBackoff*time.Duration(w.failures), maxUnresponsiveBackoff), true
	}
	if w.responsive() && w.confirmed {
		// Ends are numbered anew after a restart, and a worker that does not reply may have restarted under its id.
		o.AckedEnd = w.ackedEnd
	}
	if !w.unresponsiveSince.IsZero() && (w.listed || len(w.runs) > 0 || sc.inherited[id] != nil) {
		// No lease extension: if renewals of unknown outcome kept extending the lease, it would never be known to expire.
		o.Direct = true
		o.Patient = sc.mayRun(w) && !w.silent && time.Until(sc.leasesEnd(w)) < patientLead
		if o.Patient {
			return o, unresponsiveBackoff, true
		}
		return o, min(unresponsiveBackoff*time.Duration(w.failures), maxUnresponsiveBackoff), true
	}
	if !w.doubtedSince.IsZero() {
		o.Direct = true
		return o, 0, true
	}
	if !w.confirmed {
		return o, 0, w.listed || sc.inherited[id] != nil || len(w.runs) > 0
	}
	if w.holdsReleasedLease() {
		o.AckedEnd = w.ackDelivered
		return o, unresponsiveBackoff, true
	}
	if len(w.runs) == 0 && !w.probeWanted {
		// Only the acknowledgment of the last ends is still to be delivered.
		return o, 0, w.ackedEnd > 0 && w.ackedEnd == w.handledEnd && w.ackedEnd > w.ackDelivered
	}
	if len(w.runs) == 0 {
		return o, 0, true
	}
	o.ExtendLease = true
	if w.handledEnd > w.ackedEnd {
		return o, commitWait, true
	}
	for _, r := range w.runs {
		if r.phase == startUnknown || r.stopRequested {
			return o, unresolvedRenewInterval, true
		}
	}
	o.Prompt = w.startsUp() || w.isIsolated()
	switch {
	case w.endsUnread:
	case w.hasFiniteRuns():
		o.Wait = FiniteRenewalWait
	case o.Prompt || w.hasNewRuns():
		return o, startupRenewInterval, true
	default:
		o.Wait = renewalWait
	}
	return o, renewInterval, true
}

// startsUp reports whether a long-running task with a disruption budget is not known to be at work yet.
func (w *worker) startsUp() bool {
	for _, r := range w.runs {
		if s := r.stepState; s != nil && s.spec.HasMaxUnavailable && r.phase == active && r.percent < 100 {
			return true
		}
	}
	return false
}

// hasNewRuns reports whether a crash of the worker would be ascribed to one of its runs.
func (w *worker) hasNewRuns() bool {
	for _, r := range w.runs {
		if r.confirmedFor() < crashWindow {
			return true
		}
	}
	return false
}

func (w *worker) hasFiniteRuns() bool { return len(w.finiteRuns) > 0 }

// PrepareRenewal sets the lease expiry of a renewal that is about to be sent, if it extends the lease.
func (sc *Scheduler) PrepareRenewal(o Renewal) Renewal {
	w, ok := sc.workers[o.Worker]
	if ok && o.ExtendLease {
		o.LeaseEnd = w.extendLease(sc.options.Lease)
	}
	if ok && (o.ExtendLease || o.AckedEnd > 0) {
		w.fenceUsed = true
	}
	return o
}

// extendLease returns the expiry of a new lease on the worker's clock and records it as sent.
func (w *worker) extendLease(lease time.Duration) int64 {
	until := w.estimatedClock() + lease.Milliseconds()
	w.lastLeaseEnd = max(w.lastLeaseEnd, until)
	return until
}

// HandleRenewalFailure records a renewal that was not applied: Replaced means that the worker has ended, RelayLost and
// Withheld say nothing about it, any other result counts as no reply.
func (sc *Scheduler) HandleRenewalFailure(o Renewal, result Outcome) {
	w, ok := sc.workers[o.Worker]
	if !ok {
		return
	}
	switch w.outcomeAt(o.Address, result) {
	case Replaced:
		sc.markCrashed(w, endReplaced)
		sc.releaseAllLingering(w, endReplaced.reason)
		return
	case RelayLost, Withheld:
		return
	case RelayNoReply, RelayNotSent:
		sc.doubt(w)
		return
	default:
	}
	sc.markUnresponsive(w)
	w.doubtedSince = time.Time{}
	// An end may be listed until the last lease expires, so that an earlier failure says nothing.
	w.silent = w.silent || o.Patient && !time.Now().Before(sc.leasesEnd(w))
}

// HandleRenewal applies the reply to a renewal that was sent at the given time.
func (sc *Scheduler) HandleRenewal(o Renewal, reply work.RenewalReply, sent time.Time) {
	w, ok := sc.workers[o.Worker]
	if !ok {
		return
	}
	former := reply.Incarnation != 0 && reply.Incarnation < w.Incarnation
	if restarted := w.Incarnation != 0 && reply.Incarnation > w.Incarnation; former || w.ended && !restarted {
		// What the reply says of the worker does not apply any more, but ends stay ends.
		sc.handleLateEnds(w, reply.Ended)
		return
	}
	if reply.Incarnation > w.Incarnation {
		if w.Incarnation != 0 {
			sc.handleRestart(w, reply.Incarnation)
		}
		w.Incarnation = reply.Incarnation
	}
	if !w.unresponsiveSince.IsZero() {
		sc.log.Info("engine: worker replies again", zap.String("worker", string(w.ID)),
			zap.Duration("after", time.Since(w.unresponsiveSince)))
	}
	w.clock, w.clockReadAt = reply.Clock, time.Now()
	w.unresponsiveSince, w.doubtedSince = time.Time{}, time.Time{}
	w.failures = 0
	w.silent, w.probeWanted = false, false
	if o.Fence < sc.fence(w) {
		// Sent before the restart was known: later calls of that time may still be executed, and the lists are those of now.
		sc.handleLateEnds(w, reply.Ended)
		sc.touch(w)
		return
	}
	if o.Incarnation == w.Incarnation {
		w.ackDelivered = max(w.ackDelivered, o.AckedEnd)
	}
	first := !w.confirmed
	w.confirmed = true
	sc.handleEnds(w, reply.Ended)
	sc.reconcileRuns(w, o, reply, sent)
	if w.endsUnread = reply.Truncated; !w.endsUnread {
		w.givenUp = nil
	}
	if first {
		sc.log.Info("engine: run lists of worker confirmed", zap.String("worker", string(w.ID)), zap.Int("runs", len(w.runs)),
			zap.Int("ends", len(reply.Ended)), zap.Bool("complete", !w.endsUnread), zap.Int64("born", w.Incarnation))
		if sc.inherited[w.ID] != nil {
			w.formerLeasesEnd = sc.inheritedUntil
		}
		if w.restarted {
			// Calls to the former incarnation may have extended the leases of this one.
			w.restarted = false
			if end := time.Now().Add(sc.options.maxLeaseTime()); end.After(w.formerLeasesEnd) {
				w.formerLeasesEnd = end
			}
		}
		if !w.inUse {
			w.inUse = true
			sc.dirtyWorkers[w.ID] = true
		}
	}
	if sc.inherited[w.ID] != nil && !w.endsUnread {
		// Only now it is known which tasks of a former leader run or have ended there.
		delete(sc.inherited, w.ID)
		sc.log.Info("engine: ends of inherited worker read", zap.String("worker", string(w.ID)), zap.Int64("last", w.handledEnd))
	}
}

// reconcileRuns updates the scheduler's runs on a worker from the worker's list of active runs. A run that is not listed
// may have ended unless the list of ends is complete.
func (sc *Scheduler) reconcileRuns(w *worker, o Renewal, reply work.RenewalReply, sent time.Time) {
	present := make(map[work.RunKey]bool, len(reply.Active))
	for _, a := range reply.Active {
		present[a.Run] = true
		r, ok := w.runs[a.Run]
		if !ok {
			r = sc.adopt(w, a)
		}
		if r.phase != active {
			r.phase = active
			r.phaseSince = time.Now()
		}
		if r.inherited {
			r.inherited, r.adopted, r.throttle = false, true, a.Percent
		}
		r.fence, r.lingers = o.Fence, false
		sc.keepStartedRun(r)
		r.listedAt = sent
		r.checkpoint = a.Checkpoint
		r.percent, r.loadSignal = a.Percent, a.LoadSignal
		sc.observeLatency(r)
		sc.clearSuspicion(r)
	}
	if reply.Truncated {
		return
	}
	for key, r := range w.runs {
		if present[key] || r.phaseSince.After(sent) || r.phase == startSent || r.phase == startPlanned {
			// The reply may be older than the start of a run that it does not list.
			continue
		}
		if r.fence < o.Fence && (r.lingers || !r.inherited) {
			sc.releaseLingering(r, "declined by a new incarnation")
			continue
		}
		r.lingers = false
		switch {
		case r.stopRequested && !r.stopAppliedAt.IsZero() && r.stopAppliedAt.Before(sent):
			sc.releaseRun(r)
		case r.stopRequested:
		case r.phase == startUnknown:
			sc.resolveStart(r)
		default:
			sc.log.Warn("engine: run missing from its worker's run list; stopping it", zap.Stringer("task", key.Task),
				zap.Int64("run", key.Number), zap.String("worker", string(w.ID)))
			sc.requestStop(r, "run missing from its worker's run list")
		}
	}
}

// adopt adds a run that a worker listed and the scheduler does not have. The run is stopped if its task is unknown or
// is complete, its job has ended or, unless the step is speculative, the task has another run.
func (sc *Scheduler) adopt(w *worker, a work.Active) *run {
	now := time.Now()
	sc.logGivenUp(w, a.Run, "active")
	r := &run{key: a.Run, worker: w, phase: active, startedAt: now, phaseSince: now, adopted: true, percent: a.Percent,
		throttle: a.Percent}
	w.runs[a.Run] = r
	s := sc.stepOfReport(a.Run.Task)
	if s == nil {
		w.unknownRuns++
		sc.requestStop(r, "no such task in an open round")
		sc.log.Info("engine: found run of an unknown task; stopping it", zap.Stringer("task", a.Run.Task),
			zap.Int64("run", a.Run.Number), zap.String("worker", string(w.ID)))
		return r
	}
	r.need, r.charge = s.spec.Reserved(), s.spec.Need
	t := &s.tasks[a.Run.Task.Index]
	t.lastNumber = max(t.lastNumber, a.Run.Number)
	s.gangNumber = max(s.gangNumber, a.Run.Number)
	r.stepState = s
	sc.addRun(r)
	if len(t.runs) == 0 && !t.done {
		s.waiting--
	}
	surplus := t.done || s.job.state.Final() || len(t.runs) > 0 && !s.spec.Speculative
	t.runs = append(t.runs, r)
	s.job.started = true
	if surplus {
		sc.requestStop(r, "task has completed or has another run")
	}
	sc.log.Info("engine: run adopted", zap.Stringer("task", a.Run.Task), zap.Int64("run", a.Run.Number),
		zap.String("worker", string(w.ID)), zap.Bool("surplus", surplus))
	return r
}

// handleEnds handles the ended runs that are new.
func (sc *Scheduler) handleEnds(w *worker, list []work.End) {
	for _, e := range list {
		if e.Number <= w.handledEnd {
			sc.endCounts.Relisted++
			continue
		}
		w.handledEnd = e.Number
		sc.handleEnd(w, e)
		u := unackedEnd{number: e.Number, run: e.Run}
		_, u.givenUp = w.givenUp[e.Run]
		if j, ok := sc.jobs[u.run.Task.Job]; ok {
			u.version = j.version
		}
		w.unackedEnds = append(w.unackedEnds, u)
	}
	sc.index.updateUnacked(w)
}

// handleEnd releases an ended run and updates its task unless the job has ended.
func (sc *Scheduler) handleEnd(w *worker, e work.End) {
	r := w.runs[e.Run]
	s := sc.stepOfReport(e.Run.Task)
	sc.log.Info("engine: run ended", zap.Stringer("task", e.Run.Task), zap.Int64("run", e.Run.Number),
		zap.String("worker", string(w.ID)), zap.String("how", string(e.How)), zap.Int64("number", e.Number),
		zap.Bool("known", r != nil), zap.String("task_state", taskState(s, e.Run.Task)))
	sc.logGivenUp(w, e.Run, string(e.How))
	w.updateFailureRate(e.How)
	if r != nil {
		sc.releaseRun(r)
	}
	if s != nil && !s.job.state.Final() {
		t := &s.tasks[e.Run.Task.Index]
		if r == nil && e.How == work.Done && t.lastNumber > e.Run.Number {
			sc.endCounts.StartedAgain++
		}
		t.lastNumber = max(t.lastNumber, e.Run.Number)
		s.job.started = true
		if s.noteCheckpoint(e.Run.Task.Index, e.Run.Number, e.Checkpoint) {
			sc.markDirty(s.job)
		}
		sc.applyEnd(s, e, r)
	}
}

// handleLateEnds updates the tasks of runs whose ends were read after their worker or its incarnation had ended. Only
// results count, since other ends say nothing about a run that a later incarnation may have.
func (sc *Scheduler) handleLateEnds(w *worker, list []work.End) {
	for _, e := range list {
		s := sc.stepOfReport(e.Run.Task)
		sc.log.Info("engine: end read after its worker had ended", zap.Stringer("task", e.Run.Task),
			zap.Int64("run", e.Run.Number), zap.String("worker", string(w.ID)), zap.String("how", string(e.How)),
			zap.Bool("ended", w.ended), zap.String("task_state", taskState(s, e.Run.Task)))
		if s != nil && !s.job.state.Final() && (e.How == work.Done || e.How == work.TaskFailed) {
			t := &s.tasks[e.Run.Task.Index]
			t.lastNumber = max(t.lastNumber, e.Run.Number)
			s.job.started = true
			sc.applyEnd(s, e, nil)
		}
	}
}

// taskState describes a task before an end of one of its runs is handled, for the log. s is nil if the task is unknown.
func taskState(s *stepState, id work.TaskID) string {
	switch {
	case s == nil:
		return "unknown"
	case s.job.state.Final():
		return "job " + string(s.job.state)
	case s.tasks[id.Index].done:
		return "done"
	case len(s.tasks[id.Index].runs) > 0:
		return "running"
	default:
		return "waiting"
	}
}

// applyEnd updates a step and its job with the end of a run: the task, or the whole gang, completes, or the job fails
// once the task or the gang has used up its attempts. Ends for other reasons, and those of long-running tasks, change
// nothing. r is nil if the scheduler did not have the run.
func (sc *Scheduler) applyEnd(s *stepState, e work.End, r *run) {
	index := e.Run.Task.Index
	switch {
	case s.spec.LongRunning:
	case e.How == work.Done:
		if r != nil && r.throttle != 0 {
			sc.observeRunTime(r)
		}
		if s.spec.Gang {
			for i := range s.tasks {
				sc.finishTask(s, i)
			}
			return
		}
		sc.finishTask(s, index)
	case e.How == work.TaskFailed:
		if s.spec.Gang {
			index = 0 // the first task counts the failures of the whole gang
		}
		t := &s.tasks[index]
		if t.done || slices.Contains(t.failedRuns, e.Run.Number) {
			return
		}
		t.failedRuns = append(t.failedRuns, e.Run.Number)
		sc.markDirty(s.job)
		if attempts := max(sc.queueOf(s.job).Attempts, 1); len(t.failedRuns) >= attempts {
			sc.log.Info("engine: job failed, a task has used up its attempts", zap.String("job", string(s.job.ID)),
				zap.Stringer("task", e.Run.Task), zap.Int("attempts", attempts))
			sc.finishJob(s.job, work.Failed)
		}
	}
}

// failureRateGain is the weight of a new result in a worker's failure rate; about the last 8 count.
const failureRateGain = 1.0 / 8

// updateFailureRate updates the worker's failure rate with the result of a run; only done and failed ones count.
func (w *worker) updateFailureRate(how work.Ending) {
	switch how {
	case work.Done:
		w.failureRate -= w.failureRate * failureRateGain
	case work.TaskFailed:
		w.failureRate += (1 - w.failureRate) * failureRateGain
	default:
	}
}
