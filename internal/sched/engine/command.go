package engine

import (
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Command is a command to a worker or a request for tickets.
type Command interface{ isCommand() }

// Start tells a worker to run a task.
type Start struct {
	Worker  work.WorkerID
	Address string
	Run     work.RunKey
	// Spec is the job's, which the scheduler does not interpret.
	Spec string
	// LeaseEnd is the end of the lease in milliseconds of the worker's clock.
	LeaseEnd int64
	// Checkpoint is the one to continue from, "" for a start from the beginning.
	Checkpoint string
	// Ticket is "" if the job's queue needs none.
	Ticket string
	// Fence is the fencing token for the incarnation that the command is meant for.
	Fence int64
}

// Stop tells a worker to end a run, and never to start it if it has not started yet.
type Stop struct {
	Worker  work.WorkerID
	Address string
	Run     work.RunKey
	Fence   int64
}

// Throttle tells a worker to limit a run to a percentage of its full speed; 0 suspends it.
type Throttle struct {
	Worker  work.WorkerID
	Address string
	Run     work.RunKey
	Percent int
	Fence   int64
}

func (Start) isCommand()    {}
func (Stop) isCommand()     {}
func (Throttle) isCommand() {}

// Outcome is what is known of the execution of a command or a renewal.
type Outcome int

// The outcomes of a command.
const (
	// Applied: the worker has executed the command, now or on an earlier attempt.
	Applied Outcome = iota
	// NotSent: no byte left this process.
	NotSent
	// NoReply: no conclusive reply; the worker may have executed the command or may still do so.
	NoReply
	// Unhealthy: the worker declined for now and did nothing.
	Unhealthy
	// Full: the worker lacks free capacity.
	Full
	// Outdated: the run's number is not above that of a run that ended there.
	Outdated
	// LeaseExpired: the lease sent with the command had expired on arrival.
	LeaseExpired
	// Fenced: the worker has received a command with a higher fencing token, of a newer leader or of this one.
	Fenced
	// Replaced: another worker answers at this address.
	Replaced
	// TicketRequired: the worker demands a valid ticket.
	TicketRequired
	// Invalid: the worker rejects the command as malformed.
	Invalid
	// Withheld: this process or a relay had no authority to send the command any more; no byte left it.
	Withheld
	// RelayLost: the relay that had the command failed before it reported the outcome. The worker may have executed the
	// command; that says nothing about the worker.
	RelayLost
	// RelayNotSent and RelayNoReply: the relay could not send the command or got no conclusive reply. The worker may be
	// reachable from here.
	RelayNotSent
	RelayNoReply
	// AppliedAgain and DeclinedAgain: of two copies of a start one was applied or declined. The worker replies, and the other
	// copy may have been executed or may still be.
	AppliedAgain
	DeclinedAgain
	// NoReplyAgain: neither copy of a start has a conclusive reply. RelayNoReplyAgain is the same for copies of a relay.
	NoReplyAgain
	RelayNoReplyAgain
	// FencedAgain: of two copies of a start one was declined as Fenced; the other one may have been executed before.
	FencedAgain
)

// Relayed returns the outcome as the leader sees it if a relay had it.
func (o Outcome) Relayed() Outcome {
	switch o {
	case NotSent:
		return RelayNotSent
	case NoReply:
		return RelayNoReply
	case NoReplyAgain:
		return RelayNoReplyAgain
	default:
		return o
	}
}

// outcomeNames are the names of the outcomes in logs and in a label of the metrics.
var outcomeNames = [...]string{"carried out", "not sent", "no reply", "unhealthy", "full", "outdated", "overdue",
	"fenced", "replaced", "no ticket", "invalid", "withheld", "relay lost", "not sent by relay", "no reply to relay",
	"carried out at the second copy", "second copy declined", "no reply to two copies", "no reply to two copies of relay",
	"one of two copies fenced"}

// OutcomeCount is the number of outcomes.
const OutcomeCount = len(outcomeNames)

// ofTwoCopies reports whether two copies of a start were sent.
func (o Outcome) ofTwoCopies() bool {
	switch o {
	case AppliedAgain, DeclinedAgain, NoReplyAgain, RelayNoReplyAgain, FencedAgain:
		return true
	default:
		return false
	}
}

// IsFenced reports whether the worker has declined a copy because it has seen a higher fencing token.
func (o Outcome) IsFenced() bool { return o == Fenced || o == FencedAgain }

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

const (
	// fullBackoff is how long a worker gets no tasks after it had less free capacity than expected.
	fullBackoff = 300 * time.Millisecond
	// unhealthyBackoff is how long a worker gets no tasks after it declined one as unhealthy.
	unhealthyBackoff = time.Second
	// stopRetryInterval is the least time between two stop commands for one run, repeated until one is applied.
	stopRetryInterval = 500 * time.Millisecond
)

// HandleOutcome applies the outcome of a command to the state.
func (sc *Scheduler) HandleOutcome(c Command, result Outcome, sent time.Time) {
	switch c := c.(type) {
	case Start:
		sc.pending.handleOutcome(c.Run, result, sent, time.Now())
		sc.handleStartOutcome(c, result)
	case Stop:
		sc.handleStopOutcome(c, result)
	case Throttle:
		sc.handleThrottleOutcome(c, result)
	}
}

func (sc *Scheduler) handleStartOutcome(c Start, result Outcome) {
	w := sc.workers[c.Worker]
	if w == nil {
		return
	}
	r := w.runs[c.Run]
	if r == nil {
		return
	}
	// A list may have shown the run before, which says nothing of the other copy.
	r.repeated = r.repeated || result.ofTwoCopies()
	r.copiesUnknown = result == RelayLost
	if r.lingers {
		if !r.repeated && result.rulesOutStart() {
			sc.releaseLingering(r, "its start was "+result.String())
		}
		return
	}
	if r.phase != startSent {
		return
	}
	result = w.outcomeAt(c.Address, result)
	now := time.Now()
	r.phaseSince = now
	if result != Applied {
		sc.touch(w)
	}
	if r.repeated {
		sc.handleRepeatOutcome(r, result)
		return
	}
	switch result {
	case Applied:
		r.phase = active
		w.failures = 0
	case NoReply:
		r.phase = startUnknown
		sc.markUnresponsive(w)
	case NotSent:
		sc.releaseRun(r)
		sc.markUnresponsive(w)
	case RelayNoReply:
		r.phase = startUnknown
		sc.doubt(w)
	case RelayNotSent:
		sc.releaseRun(r)
		sc.doubt(w)
	case RelayLost:
		r.phase = startUnknown
	case Unhealthy:
		w.backoffUntil = now.Add(unhealthyBackoff)
		sc.releaseRun(r)
	case Replaced:
		sc.markCrashed(w, endReplaced)
	case Full:
		w.backoffUntil = now.Add(fullBackoff)
		sc.releaseRun(r)
	case TicketRequired:
		if s := r.stepState; s != nil {
			s.job.ticketDemanded = true
			if s.ticketState != nil {
				delete(s.ticketState.expiry, w.ID)
			}
		}
		sc.releaseRun(r)
	case Outdated, LeaseExpired, Invalid, Withheld:
		sc.releaseRun(r)
	case Fenced:
		// Leadership is lost: the new leader decides what happens to the run.
		r.phase = startUnknown
	}
}

// rulesOutStart reports whether the outcome of the only copy of a start says that it was not executed and never will be.
func (o Outcome) rulesOutStart() bool {
	switch o {
	case NotSent, RelayNotSent, Withheld, Unhealthy, Full, Outdated, LeaseExpired, Fenced, TicketRequired, Invalid:
		return true
	default:
		return false
	}
}

func (sc *Scheduler) handleStopOutcome(c Stop, result Outcome) {
	w := sc.workers[c.Worker]
	if w == nil {
		return
	}
	r := w.runs[c.Run]
	if r == nil {
		return
	}
	switch w.outcomeAt(c.Address, result) {
	case Applied:
		// A stop that a former incarnation executed rules nothing out in this one.
		if !r.stopSentAt.IsZero() && c.Fence == sc.fence(w) {
			r.stopAppliedAt = time.Now()
		}
	case Replaced:
		sc.markCrashed(w, endReplaced)
	case NotSent, NoReply:
		sc.markUnresponsive(w)
	case RelayNotSent, RelayNoReply:
		sc.doubt(w)
	default:
	}
}

func (sc *Scheduler) handleThrottleOutcome(c Throttle, result Outcome) {
	w := sc.workers[c.Worker]
	if w == nil {
		return
	}
	if r := w.runs[c.Run]; r != nil {
		r.throttlePending = false
		switch result {
		case Applied:
			r.throttle, r.throttleUnknown = c.Percent, false
		case NotSent, RelayNotSent, Withheld:
		default:
			// What declines one copy says nothing of the other.
			r.throttleUnknown = true
		}
	}
}

// requestStop marks a run for stopping; the first reason given is kept.
func (sc *Scheduler) requestStop(r *run, why string) {
	if r.stopRequested {
		return
	}
	r.stopRequested = true
	r.stopReason = why
	sc.touch(r.worker)
	sc.log.Info("engine: stopping run", zap.Stringer("task", r.key.Task), zap.Int64("run", r.key.Number),
		zap.String("worker", string(r.worker.ID)), zap.String("why", why))
	sc.stopping[r.key] = r
}

// stopCommands returns the stop commands that are due.
func (sc *Scheduler) stopCommands(now time.Time) []Command {
	var commands []Command
	for _, r := range sc.stopping {
		// A planned start with a stop is not sent. A run whose start reply is outstanding is stopped after the reply, so that
		// the stop can't overtake the start unnoticed.
		if r.phase == startPlanned || r.phase == startSent || r.lingers || !r.stopAppliedAt.IsZero() ||
			now.Sub(r.stopSentAt) < stopRetryInterval {
			continue
		}
		r.stopSentAt = now
		r.worker.fenceUsed = true
		commands = append(commands, Stop{Worker: r.worker.ID, Address: r.worker.Address, Run: r.key, Fence: sc.fence(r.worker)})
	}
	return commands
}
