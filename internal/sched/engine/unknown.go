package engine

import (
	"time"

	"go.uber.org/zap"
)

// reasonStartUnknown is the reason of stops that rule out a start of unknown outcome.
const reasonStartUnknown = "start outcome unknown"

// lateCommandTime is how long after its planning a worker may execute a command whose reply is missing: 12 s after its sending,
// which a relay and a second copy may delay by 2 s.
const lateCommandTime = 14 * time.Second

// A start of unknown outcome is repeated: the worker confirms it if the run is there or begins it now, and declines it
// as outdated if the run has ended. A stop in its place may end the run long after the start was executed late. Starts
// that may not happen any more are stopped.

// resolveStart settles a start of unknown outcome whose run is missing from a list that its worker sent later.
func (sc *Scheduler) resolveStart(r *run) {
	if r.inherited && !sc.knowsWorkers {
		// Whether it may still start is not known yet; the next list of the worker decides again.
		return
	}
	if sc.mayStillStart(r, time.Now()) {
		sc.repeats = append(sc.repeats, r)
		return
	}
	sc.requestStop(r, reasonStartUnknown)
}

// repeatCommands returns the repeats that are due. Commands must call it after evict and before stopCommands.
func (sc *Scheduler) repeatCommands(now time.Time) []Command {
	var commands []Command
	for _, r := range sc.repeats {
		w := r.worker
		if w.runs[r.key] != r || r.phase != startUnknown || r.stopRequested || !w.responsive() ||
			now.Before(w.backoffUntil) {
			// The next list of the worker decides again.
			continue
		}
		if !sc.mayStillStart(r, now) {
			sc.requestStop(r, reasonStartUnknown)
			continue
		}
		sc.log.Info("engine: repeating start of unknown outcome", zap.Stringer("task", r.key.Task),
			zap.Int64("run", r.key.Number), zap.String("worker", string(w.ID)), zap.Duration("unknown", now.Sub(r.phaseSince)))
		r.phase, r.phaseSince, r.startedAt, r.repeated = startSent, now, now, true
		r.fence, w.fenceUsed = sc.fence(w), true
		s := r.stepState
		ticket, _ := s.ticket(w.ID, now)
		commands = append(commands, Start{Ticket: ticket.Text, Worker: w.ID, Address: w.Address, Run: r.key,
			Spec: s.job.Spec, Fence: r.fence, LeaseEnd: w.extendLease(sc.options.Lease), Checkpoint: s.checkpointed(r.key.Task.Index).checkpoint})
	}
	sc.repeats = nil
	return commands
}

// mayStillStart reports whether the task of a run may start on the run's worker now, which counts the run already. A
// gang may not, since its other members wait only shortly for the last one.
func (sc *Scheduler) mayStillStart(r *run, now time.Time) bool {
	w, s := r.worker, r.stepState
	if s == nil || s.spec.Gang || s.job.state.Final() || s.tasks[r.key.Task.Index].done {
		return false
	}
	if !w.inUseStored || !w.listed || w.ended || !w.confirmed || w.Leaving || w.cordoned || sc.evacuated[w.Zone] ||
		!w.isDescribed() || !sc.mayHaveCapacity(w, now) {
		return false
	}
	if sc.poolOf(s.job) != w.Pool || !w.Has(s.spec.Label) || w.free().Negative() || !sc.withinCap(s, 0) {
		return false
	}
	_, ok := s.ticket(w.ID, now)
	return ok || !sc.queueOf(s.job).NeedsTicket
}

// handleRepeatOutcome applies the outcome of a repeated start. Whatever declines the repeat says nothing of the earlier
// copies, which may still be on their way, except that the run has ended or was stopped.
func (sc *Scheduler) handleRepeatOutcome(r *run, result Outcome) {
	w, now := r.worker, time.Now()
	r.phase = startUnknown
	switch result {
	case Applied, AppliedAgain:
		r.phase = active
		w.failures = 0
	case NoReply, NoReplyAgain, NotSent:
		sc.markUnresponsive(w)
	case RelayNoReply, RelayNoReplyAgain, RelayNotSent:
		sc.doubt(w)
	case RelayLost, DeclinedAgain:
	case Outdated:
		// The worker will not run it again, as after a stop. The next list may still show how it ended.
		sc.requestStop(r, reasonStartUnknown)
		r.stopAppliedAt = now
	case Replaced:
		sc.markEnded(w, endReplaced)
	case Fenced, FencedAgain:
		// Leadership is lost: the new leader decides what happens to the run.
	case Unhealthy:
		w.backoffUntil = now.Add(unhealthyBackoff)
		sc.requestStop(r, reasonStartUnknown)
	case Full:
		w.backoffUntil = now.Add(fullBackoff)
		sc.requestStop(r, reasonStartUnknown)
	case TicketRequired, LeaseExpired, Invalid:
		sc.requestStop(r, reasonStartUnknown)
	}
}

// keepStartedRun withdraws the stop that was to rule out a start of unknown outcome, because the run has turned up at
// its worker and no stop has been confirmed. Copies of the stop may still end the run.
func (sc *Scheduler) keepStartedRun(r *run) {
	if !r.stopRequested || r.stopReason != reasonStartUnknown || !r.stopAppliedAt.IsZero() {
		return
	}
	sc.log.Info("engine: run of unknown start is active; not stopping it", zap.Stringer("task", r.key.Task),
		zap.Int64("run", r.key.Number), zap.String("worker", string(r.worker.ID)))
	r.stopRequested, r.stopReason = false, ""
	delete(sc.stopping, r.key)
}

// mayBeStoppedLate reports whether a stop that was withdrawn may still be executed. Commands are executed within seconds
// or never; the lease bounds that.
func (sc *Scheduler) mayBeStoppedLate(r *run, now time.Time) bool {
	return !r.stopSentAt.IsZero() && now.Sub(r.stopSentAt) < sc.options.Lease
}
