package engine

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

const (
	// maxTicketWorkers is the maximum number of workers in one request, because each costs the authorizer time.
	maxTicketWorkers = 30
	// maxTicketCallShare is the largest part of the validity of tickets that a call may take. It bounds the number of
	// workers in a request, but one worker is always asked for.
	maxTicketCallShare = 0.25
	// ticketRetryInterval is the least time between two requests for a step, and between a request without a reply and the
	// next one for any step.
	ticketRetryInterval = 300 * time.Millisecond
	// ticketMargin is for how long a ticket must still be valid when a start is issued.
	ticketMargin = 300 * time.Millisecond
	// freshTicketTime is how long tickets are used after the reply even if the call has taken longer than they are valid: an
	// authorizer may count from its reply, and a worker that rejects a ticket does nothing.
	freshTicketTime = 2 * ticketMargin
)

// TicketRequest asks the authorizer which workers may run a step.
type TicketRequest struct {
	// Step names the step by its first task.
	Step    work.TaskID
	Workers []work.WorkerID
}

func (TicketRequest) isCommand() {}

// Ticket allows one worker to run a step.
type Ticket struct {
	Worker work.WorkerID
	Text   string
}

// ticketState is the state of the ticket requests for a step. Which workers may run the step does not change, while
// tickets expire.
type ticketState struct {
	requestedAt time.Time
	// denied are the workers that the authorizer left out of a reply.
	denied map[work.WorkerID]bool
	// tickets are the latest ticket of each worker, also after its expiry.
	tickets map[work.WorkerID]Ticket
	// expiry is when the ticket of each worker expires; it is missing once the worker has rejected the ticket.
	expiry map[work.WorkerID]time.Time
}

// ticket returns a worker's ticket for a step if it stays valid for ticketMargin.
func (s *stepState) ticket(id work.WorkerID, now time.Time) (Ticket, bool) {
	if s.ticketState == nil || now.Add(ticketMargin).After(s.ticketState.expiry[id]) {
		return Ticket{}, false
	}
	t, ok := s.ticketState.tickets[id]
	return t, ok
}

// ticketCalls is the state of the calls to the authorizer, which handles one call of an instance at a time. A request is
// chosen only when the former one has been answered, so that tickets don't expire while their request waits, and so that
// the choice is made by what waits then.
type ticketCalls struct {
	// needs are the steps of the current planning pass that may need tickets.
	needs       []ticketNeed
	outstanding bool
	// retryAt is when the next request may be made after one without a reply.
	retryAt time.Time
}

// ticketNeed is a step that may need tickets, with the workers that may run it.
type ticketNeed struct {
	step    *stepState
	workers []*worker
	// capped means that the customer's cap allows no start now.
	capped bool
}

// noteTicketNeed records that a step may need tickets from some workers.
func (sc *Scheduler) noteTicketNeed(s *stepState, workers []*worker, now time.Time) {
	if s.ticketState == nil {
		s.ticketState = &ticketState{denied: map[work.WorkerID]bool{}, tickets: map[work.WorkerID]Ticket{},
			expiry: map[work.WorkerID]time.Time{}}
	}
	if sc.ticketCalls.outstanding || now.Sub(s.ticketState.requestedAt) < ticketRetryInterval {
		return
	}
	sc.ticketCalls.needs = append(sc.ticketCalls.needs, ticketNeed{step: s, workers: workers})
}

// ticketRequest returns the next request to the authorizer, or false while one is outstanding or none is needed. It must be
// called at the end of a planning pass. Steps that may start now come first, then those of urgent queues, then those that
// have waited longest for a request, so that a step with tickets that it can't use does not keep the others from theirs.
func (sc *Scheduler) ticketRequest(now time.Time) (TicketRequest, bool) {
	c := &sc.ticketCalls
	needs := c.needs
	c.needs = nil
	if c.outstanding || now.Before(c.retryAt) {
		return TicketRequest{}, false
	}
	for i := range needs {
		needs[i].capped = !sc.withinCap(needs[i].step, 1)
	}
	slices.SortStableFunc(needs, func(x, y ticketNeed) int {
		return cmp.Or(compareBool(x.capped, y.capped),
			cmp.Compare(sc.queueOf(x.step.job).Priority, sc.queueOf(y.step.job).Priority),
			x.step.ticketNeededSince().Compare(y.step.ticketNeededSince()), cmp.Compare(x.step.job.ID, y.step.job.ID))
	})
	for _, n := range needs {
		if candidates := sc.ticketCandidates(n, now); len(candidates) > 0 {
			c.outstanding = true
			n.step.ticketState.requestedAt = now
			return TicketRequest{Step: n.step.task(0), Workers: candidates}, true
		}
	}
	return TicketRequest{}, false
}

// ticketNeededSince returns since when a step has waited for a ticket request: its last one, or when its job was accepted
// or its round was due.
func (s *stepState) ticketNeededSince() time.Time {
	return latest(s.ticketState.requestedAt, s.due, time.UnixMilli(s.job.Accepted))
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

// ticketCandidates returns the workers to name in a request for a step: none if it does not wait, or while a worker with a
// valid ticket has capacity. The members of a gang need several workers, so that a gang asks for those that are left.
func (sc *Scheduler) ticketCandidates(n ticketNeed, now time.Time) []work.WorkerID {
	s, c := n.step, n.step.ticketState
	if s.waiting == 0 {
		return nil
	}
	var candidates []*worker
	for _, w := range n.workers {
		if c.denied[w.ID] || !sc.fits(s, w) {
			continue
		}
		if _, ok := s.ticket(w.ID, now); !ok {
			candidates = append(candidates, w)
		} else if !s.spec.Gang {
			return nil
		}
	}
	// Workers that once had a ticket come first, because they are still allowed; then those with the most free capacity.
	slices.SortStableFunc(candidates, func(x, y *worker) int {
		return cmp.Or(cmp.Compare(len(c.tickets[y.ID].Text), len(c.tickets[x.ID].Text)),
			cmp.Compare(y.free().CPU, x.free().CPU))
	})
	var ids []work.WorkerID
	for _, w := range candidates[:min(len(candidates), ticketWorkers(sc.queueOf(s.job)))] {
		ids = append(ids, w.ID)
	}
	return ids
}

// ticketWorkers returns how many workers a request for a step of a queue may name.
func ticketWorkers(q work.Queue) int {
	if q.TicketWorkerTime <= 0 || q.TicketTTL <= 0 {
		return maxTicketWorkers
	}
	most := time.Duration(maxTicketCallShare*float64(q.TicketTTL)) - q.TicketCallTime
	return min(max(int(most/q.TicketWorkerTime), 1), maxTicketWorkers)
}

// HandleTickets records the tickets granted on a request; ttl is how long they are valid, counted from the request. If
// answered is false, there was no reply and the request is repeated.
func (sc *Scheduler) HandleTickets(req TicketRequest, granted []Ticket, ttl time.Duration, answered bool) {
	now := time.Now()
	sc.ticketCalls.outstanding = false
	if !answered {
		sc.ticketCalls.retryAt = now.Add(ticketRetryInterval)
		return
	}
	s := sc.findStep(req.Step)
	if s == nil || s.ticketState == nil {
		return
	}
	c := s.ticketState
	sc.log.Info("engine: authorizer answered ticket request", zap.Stringer("step", req.Step),
		zap.Int("asked", len(req.Workers)), zap.Int("good", len(granted)), zap.Duration("valid", ttl),
		zap.Duration("took", now.Sub(c.requestedAt)))
	allowed := map[work.WorkerID]bool{}
	for _, t := range granted {
		allowed[t.Worker] = true
		c.tickets[t.Worker] = t
		c.expiry[t.Worker] = latest(c.requestedAt.Add(ttl), now.Add(freshTicketTime))
	}
	for _, id := range req.Workers {
		if !allowed[id] {
			c.denied[id] = true
		}
	}
}
