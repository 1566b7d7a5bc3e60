package engine

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

const (
	// askMost bounds the workers that one question names: each costs the advisor time.
	askMost = 30
	// askRetry is the time between two questions about a step that got no answer or named no worker.
	askRetry = 300 * time.Millisecond
	// ticketMargin is how much longer a ticket must hold when a start is ordered.
	ticketMargin = 300 * time.Millisecond
)

// TicketRequest asks the advisor which workers may run a step.
type TicketRequest struct {
	Step    work.TaskID
	Workers []work.WorkerID
}

func (TicketRequest) order() {}

// Ticket allows one worker to run a step.
type Ticket struct {
	Worker work.WorkerID
	Text   string
}

// counsel is what the advisor has said of one step. Which workers may run it doesn't change; tickets run out.
type counsel struct {
	asking  bool
	asked   time.Time
	barred  map[work.WorkerID]bool
	tickets map[work.WorkerID]Ticket
	until   map[work.WorkerID]time.Time
}

// ticket returns the valid ticket of a worker for a step.
func (s *bundle) ticket(id work.WorkerID, now time.Time) (Ticket, bool) {
	if s.counsel == nil || now.Add(ticketMargin).After(s.counsel.until[id]) {
		return Ticket{}, false
	}
	t, ok := s.counsel.tickets[id]
	return t, ok
}

// ask returns the question that a step needs before its next task can start: none while one is under way, or while a
// worker with a ticket has room.
func (b *Scheduler) ask(s *bundle, workers []*worker, now time.Time) (TicketRequest, bool) {
	if s.counsel == nil {
		s.counsel = &counsel{barred: map[work.WorkerID]bool{}, tickets: map[work.WorkerID]Ticket{},
			until: map[work.WorkerID]time.Time{}}
	}
	c := s.counsel
	if c.asking || now.Sub(c.asked) < askRetry {
		return TicketRequest{}, false
	}
	var open []*worker
	for _, w := range workers {
		if c.barred[w.ID] || !b.room(s, w) {
			continue
		}
		if _, ok := s.ticket(w.ID, now); ok {
			return TicketRequest{}, false
		}
		open = append(open, w)
	}
	if len(open) == 0 {
		return TicketRequest{}, false
	}
	// Workers that were allowed once are allowed still; then those with the most room.
	slices.SortStableFunc(open, func(x, y *worker) int {
		return cmp.Or(cmp.Compare(len(c.tickets[y.ID].Text), len(c.tickets[x.ID].Text)), cmp.Compare(y.free().CPU, x.free().CPU))
	})
	a := TicketRequest{Step: s.task(0)}
	for _, w := range open[:min(len(open), askMost)] {
		a.Workers = append(a.Workers, w.ID)
	}
	c.asking, c.asked = true, now
	return a, true
}

// HandleTickets takes in the answer to a question; without one, the question is repeated.
func (b *Scheduler) HandleTickets(a TicketRequest, good []Ticket, valid time.Duration, answered bool) {
	s := b.find(a.Step)
	if s == nil || s.counsel == nil {
		return
	}
	c := s.counsel
	c.asking = false
	if !answered {
		return
	}
	b.log.Info("engine: advice", zap.Stringer("step", a.Step), zap.Int("asked", len(a.Workers)), zap.Int("good", len(good)),
		zap.Duration("valid", valid))
	allowed := map[work.WorkerID]bool{}
	for _, t := range good {
		allowed[t.Worker] = true
		c.tickets[t.Worker] = t
		c.until[t.Worker] = c.asked.Add(valid)
	}
	for _, id := range a.Workers {
		if !allowed[id] {
			c.barred[id] = true
		}
	}
}
