package engine

import (
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Command is something to tell a worker.
type Command interface{ order() }

// Start tells a worker to run a task.
type Start struct {
	Worker  work.WorkerID
	Address string
	Run     work.RunKey
	Spec    string
	// Until is the end of the lease in milliseconds of the worker's clock.
	Until      int64
	Checkpoint string
	Ticket     string
}

// Stop tells a worker to end a run, and never to begin it if it has not begun.
type Stop struct {
	Worker  work.WorkerID
	Address string
	Run     work.RunKey
}

// Throttle tells a worker at which share of its speed a run is to work.
type Throttle struct {
	Worker  work.WorkerID
	Address string
	Run     work.RunKey
	Percent int
}

func (Start) order()    {}
func (Stop) order()     {}
func (Throttle) order() {}

// Outcome is what is known of an order.
type Outcome int

// The outcomes of an order.
const (
	// Applied out, now or before.
	Applied Outcome = iota
	// NotSent: no byte left this process.
	NotSent
	// NoReply: it may have been carried out or may be later.
	NoReply
	// Unhealthy: the worker declined for now and did nothing.
	Unhealthy
	// Full: the worker has no room.
	Full
	// Outdated: the run's number is not above one that ended there.
	Outdated
	// LeaseExpired: the lease that came with the order had ended.
	LeaseExpired
	// Fenced: a newer holder of the seat has ordered this worker.
	Fenced
	// Replaced: another worker answers at this address.
	Replaced
	// TicketRequired: the worker wants a valid ticket.
	TicketRequired
	// Invalid: the worker does not take the order as it is.
	Invalid
)

// outcomeNames are the outcomes in logs.
var outcomeNames = [...]string{"carried out", "not sent", "no reply", "unhealthy", "full", "outdated", "overdue", "fenced",
	"replaced", "no ticket", "invalid"}

// String names the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

const (
	// roomPause is how long a worker gets nothing after it had less room than believed.
	roomPause = 300 * time.Millisecond
	// sickPause is how long a worker gets nothing after it declined as unhealthy.
	sickPause = time.Second
	// stopRetry is the time between two stops of one run.
	stopRetry = 500 * time.Millisecond
)

// HandleOutcome records the outcome of an order that was given.
func (b *Scheduler) HandleOutcome(o Command, result Outcome, sent time.Time) {
	switch o := o.(type) {
	case Start:
		b.settleStart(o, result)
	case Stop:
		b.settleStop(o, result)
	case Throttle:
		b.settlePace(o, result)
	}
}

func (b *Scheduler) settleStart(o Start, result Outcome) {
	w := b.workers[o.Worker]
	if w == nil {
		return
	}
	r := w.runs[o.Run]
	if r == nil || r.phase != ordered {
		return
	}
	now := time.Now()
	r.since = now
	switch result {
	case Applied:
		r.phase = active
		w.failures = 0
	case NoReply:
		r.phase = doubtful
		b.suspect(w)
	case NotSent:
		b.drop(r)
		b.suspect(w)
	case Unhealthy:
		w.pauseUntil = now.Add(sickPause)
		b.drop(r)
	case Replaced:
		b.forget(w)
	case Full:
		w.pauseUntil = now.Add(roomPause)
		b.drop(r)
	case TicketRequired:
		if r.bundle != nil && r.bundle.counsel != nil {
			delete(r.bundle.counsel.until, w.ID)
		}
		b.drop(r)
	case Outdated, LeaseExpired, Invalid:
		b.drop(r)
	case Fenced:
		// The seat is lost: the run's fate is the new holder's business.
		r.phase = doubtful
	}
}

func (b *Scheduler) settleStop(o Stop, result Outcome) {
	w := b.workers[o.Worker]
	if w == nil {
		return
	}
	r := w.runs[o.Run]
	if r == nil {
		return
	}
	switch result {
	case Applied:
		r.stopDone = time.Now()
	case Replaced:
		b.forget(w)
	case NotSent, NoReply:
		b.suspect(w)
	default:
	}
}

func (b *Scheduler) settlePace(o Throttle, result Outcome) {
	w := b.workers[o.Worker]
	if w == nil {
		return
	}
	if r := w.runs[o.Run]; r != nil {
		r.pacing = false
		if result == Applied {
			r.paced = o.Percent
		}
	}
}

// halt wants a run to end.
func (b *Scheduler) halt(r *run, why string) {
	if r.stop {
		return
	}
	r.stop = true
	r.why = why
	b.log.Info("engine: run is to end", zap.Stringer("task", r.key.Task), zap.Int64("run", r.key.Number),
		zap.String("worker", string(r.worker.ID)), zap.String("why", why))
	b.stops[r.key] = r
}

// stopOrders returns the stops that are due.
func (b *Scheduler) stopOrders(now time.Time) []Command {
	var orders []Command
	for _, r := range b.stops {
		// A start whose reply is awaited is stopped afterwards, so that the stop can't overtake it unnoticed.
		if r.phase == ordered || !r.stopDone.IsZero() || now.Sub(r.stopSent) < stopRetry {
			continue
		}
		r.stopSent = now
		orders = append(orders, Stop{Worker: r.worker.ID, Address: r.worker.Address, Run: r.key})
	}
	return orders
}
