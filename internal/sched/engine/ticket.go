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
	// ticketRetryInterval is the least time between two requests for a step, also after one that got no reply or no
	// tickets.
	ticketRetryInterval = 300 * time.Millisecond
	// ticketMargin is for how long a ticket must still be valid when a start is issued.
	ticketMargin = 300 * time.Millisecond
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
	pending     bool
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

// ticketRequest returns the request that a step needs before its next task can start: none while one is pending, within
// ticketRetryInterval of the last one, or while a worker with a valid ticket has capacity.
func (sc *Scheduler) ticketRequest(s *stepState, workers []*worker, now time.Time) (TicketRequest, bool) {
	if s.ticketState == nil {
		s.ticketState = &ticketState{denied: map[work.WorkerID]bool{}, tickets: map[work.WorkerID]Ticket{},
			expiry: map[work.WorkerID]time.Time{}}
	}
	c := s.ticketState
	if c.pending || now.Sub(c.requestedAt) < ticketRetryInterval {
		return TicketRequest{}, false
	}
	var candidates []*worker
	for _, w := range workers {
		if c.denied[w.ID] || !sc.fits(s, w) {
			continue
		}
		if _, ok := s.ticket(w.ID, now); ok {
			return TicketRequest{}, false
		}
		candidates = append(candidates, w)
	}
	if len(candidates) == 0 {
		return TicketRequest{}, false
	}
	// Workers that once had a ticket come first, because they are still allowed; then those with the most free capacity.
	slices.SortStableFunc(candidates, func(x, y *worker) int {
		return cmp.Or(cmp.Compare(len(c.tickets[y.ID].Text), len(c.tickets[x.ID].Text)),
			cmp.Compare(y.free().CPU, x.free().CPU))
	})
	req := TicketRequest{Step: s.task(0)}
	for _, w := range candidates[:min(len(candidates), maxTicketWorkers)] {
		req.Workers = append(req.Workers, w.ID)
	}
	c.pending, c.requestedAt = true, now
	return req, true
}

// HandleTickets records the tickets granted on a request; ttl is how long they are valid, counted from the request. If
// answered is false, there was no reply and the request is repeated.
func (sc *Scheduler) HandleTickets(req TicketRequest, granted []Ticket, ttl time.Duration, answered bool) {
	s := sc.findStep(req.Step)
	if s == nil || s.ticketState == nil {
		return
	}
	c := s.ticketState
	c.pending = false
	if !answered {
		return
	}
	sc.log.Info("engine: authorizer answered ticket request", zap.Stringer("step", req.Step),
		zap.Int("asked", len(req.Workers)), zap.Int("good", len(granted)), zap.Duration("valid", ttl))
	allowed := map[work.WorkerID]bool{}
	for _, t := range granted {
		allowed[t.Worker] = true
		c.tickets[t.Worker] = t
		c.expiry[t.Worker] = c.requestedAt.Add(ttl)
	}
	for _, id := range req.Workers {
		if !allowed[id] {
			c.denied[id] = true
		}
	}
}
