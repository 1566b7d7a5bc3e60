package relay

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// renewalWait is how long a relay keeps asking a worker until a run ends, before it reports that none has. It bounds the
// age of the load signals that show interference between tasks.
const renewalWait = time.Second

// batch collects orders for one message. Specs of jobs are sent once for all starts that share them.
type batch struct {
	message peer.RelayOrders
	specs   map[string]int
}

func (b *batch) add(id uint64, o Order) {
	m := &b.message
	switch c := o.Command.(type) {
	case engine.Start:
		spec, ok := b.specs[c.Spec]
		if !ok {
			if b.specs == nil {
				b.specs = map[string]int{}
			}
			spec = len(m.Specs)
			b.specs[c.Spec] = spec
			m.Specs = append(m.Specs, c.Spec)
		}
		m.Starts = append(m.Starts, peer.StartOrder{Target: target(id, c.Worker, c.Address), Run: runName(c.Run), Spec: spec,
			LeaseEnd: c.LeaseEnd, Checkpoint: c.Checkpoint, Ticket: c.Ticket})
	case engine.Stop:
		m.Stops = append(m.Stops, peer.StopOrder{Target: target(id, c.Worker, c.Address), Run: runName(c.Run)})
	case engine.Throttle:
		m.Throttles = append(m.Throttles, peer.ThrottleOrder{Target: target(id, c.Worker, c.Address), Run: runName(c.Run),
			Percent: c.Percent})
	default:
		r := peer.RenewalOrder{Target: target(id, o.Renewal.Worker, o.Renewal.Address), LeaseEnd: o.Renewal.LeaseEnd,
			AckedEnd: o.Renewal.AckedEnd}
		if o.Renewal.Wait > 0 {
			r.Poll = o.Renewal.Wait
			if !o.Renewal.Prompt {
				r.Wait = renewalWait
			}
		}
		m.Renewals = append(m.Renewals, r)
	}
}

func target(id uint64, w work.WorkerID, address string) peer.OrderTarget {
	return peer.OrderTarget{ID: id, Worker: string(w), Address: address}
}

func runName(k work.RunKey) peer.RunName {
	return peer.RunName{Job: string(k.Task.Job), Round: k.Task.Round, Step: k.Task.Step, Index: k.Task.Index,
		Number: k.Number}
}

func runKey(n peer.RunName) work.RunKey {
	return work.RunKey{Task: work.TaskID{Job: work.JobID(n.Job), Round: n.Round, Step: n.Step, Index: n.Index},
		Number: n.Number}
}

// numberedOrder is an order as a relay received it.
type numberedOrder struct {
	id uint64
	Order
	// wait is how long a renewal may be repeated until a run ends.
	wait time.Duration
}

// ordersOf returns the orders of a message.
func ordersOf(m peer.RelayOrders) []numberedOrder {
	list := make([]numberedOrder, 0, len(m.Starts)+len(m.Stops)+len(m.Throttles)+len(m.Renewals))
	add := func(t peer.OrderTarget, c engine.Command) {
		list = append(list, numberedOrder{id: t.ID, Order: Order{Command: c}})
	}
	for _, o := range m.Starts {
		add(o.Target, engine.Start{Worker: work.WorkerID(o.Target.Worker), Address: o.Target.Address, Run: runKey(o.Run),
			Spec: m.Specs[o.Spec], Fence: m.Fence, LeaseEnd: o.LeaseEnd, Checkpoint: o.Checkpoint, Ticket: o.Ticket})
	}
	for _, o := range m.Stops {
		add(o.Target, engine.Stop{Worker: work.WorkerID(o.Target.Worker), Address: o.Target.Address, Run: runKey(o.Run), Fence: m.Fence})
	}
	for _, o := range m.Throttles {
		add(o.Target, engine.Throttle{Worker: work.WorkerID(o.Target.Worker), Address: o.Target.Address,
			Run: runKey(o.Run), Percent: o.Percent, Fence: m.Fence})
	}
	for _, o := range m.Renewals {
		list = append(list, numberedOrder{id: o.Target.ID, wait: o.Wait, Order: Order{Renewal: engine.Renewal{
			Worker: work.WorkerID(o.Target.Worker), Address: o.Target.Address, ExtendLease: o.LeaseEnd > 0,
			LeaseEnd: o.LeaseEnd, AckedEnd: o.AckedEnd, Wait: o.Poll, Fence: m.Fence}}})
	}
	return list
}

// codes maps the outcomes that a relay may report to their codes.
var codes = map[engine.Outcome]peer.OutcomeCode{
	engine.Applied: peer.CodeApplied, engine.NotSent: peer.CodeNotSent, engine.NoReply: peer.CodeNoReply,
	engine.Unhealthy: peer.CodeUnhealthy, engine.Full: peer.CodeFull, engine.Outdated: peer.CodeOutdated,
	engine.LeaseExpired: peer.CodeLeaseExpired, engine.Fenced: peer.CodeFenced, engine.Replaced: peer.CodeReplaced,
	engine.TicketRequired: peer.CodeTicketRequired, engine.Invalid: peer.CodeInvalid, engine.Withheld: peer.CodeWithheld,
	engine.AppliedAgain: peer.CodeAppliedAgain, engine.DeclinedAgain: peer.CodeDeclinedAgain,
	engine.NoReplyAgain: peer.CodeNoReplyAgain, engine.FencedAgain: peer.CodeFencedAgain,
}

var outcomes = invert(codes)

func invert(m map[engine.Outcome]peer.OutcomeCode) map[peer.OutcomeCode]engine.Outcome {
	o := make(map[peer.OutcomeCode]engine.Outcome, len(m))
	for k, v := range m {
		o[v] = k
	}
	return o
}

// outcomeOf returns the outcome of a code as the leader sees it; an unknown code is one without a conclusive reply.
func outcomeOf(c peer.OutcomeCode) engine.Outcome {
	o, ok := outcomes[c]
	if !ok {
		o = engine.NoReply
	}
	return o.Relayed()
}

// addResult adds a result to a report.
func addResult(m *peer.RelayReport, id uint64, r Result) {
	if r.Command != nil || r.Outcome != engine.Applied {
		m.Outcomes = append(m.Outcomes, peer.OrderOutcome{ID: id, Outcome: codes[r.Outcome]})
		return
	}
	a := peer.RenewalReport{ID: id, Incarnation: r.Reply.Incarnation, Clock: r.Reply.Clock, Truncated: r.Reply.Truncated}
	for _, x := range r.Reply.Active {
		a.Active = append(a.Active, peer.ActiveRun{Run: runName(x.Run), Checkpoint: x.Checkpoint, Percent: x.Percent,
			LoadSignal: x.LoadSignal})
	}
	for _, x := range r.Reply.Ended {
		a.Ended = append(a.Ended, peer.EndedRun{Number: x.Number, Run: runName(x.Run), How: string(x.How),
			Checkpoint: x.Checkpoint})
	}
	m.Renewals = append(m.Renewals, a)
}

func replyOf(a peer.RenewalReport) work.RenewalReply {
	r := work.RenewalReply{Incarnation: a.Incarnation, Clock: a.Clock, Truncated: a.Truncated}
	if len(a.Active) > 0 {
		r.Active = make([]work.Active, 0, len(a.Active))
	}
	for _, x := range a.Active {
		r.Active = append(r.Active, work.Active{Run: runKey(x.Run), Checkpoint: x.Checkpoint, Percent: x.Percent,
			LoadSignal: x.LoadSignal})
	}
	for _, x := range a.Ended {
		r.Ended = append(r.Ended, work.End{Number: x.Number, Run: runKey(x.Run), How: work.Ending(x.How),
			Checkpoint: x.Checkpoint})
	}
	return r
}
