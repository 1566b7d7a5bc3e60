package leader

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/serve/relay"
)

// planLoop sends commands whenever the state has changed.
func (s *session) planLoop(ctx context.Context) {
	for {
		select {
		case <-s.planWake:
		case <-ctx.Done():
			return
		}
		began := time.Now()
		s.plan(ctx)
		select {
		case <-time.After(planPause(time.Since(began))):
		case <-ctx.Done():
			return
		}
	}
}

// planPause returns the time to wait after a planning pass that took a time, so that planning leaves most of a busy
// process's time to the replies of workers.
func planPause(took time.Duration) time.Duration {
	return min(max(planPauseFactor*took, minPlanInterval), maxPlanPause)
}

func (s *session) plan(ctx context.Context) {
	if !s.hasAuthority() {
		return
	}
	s.mu.Lock()
	began := time.Now()
	var commands []engine.Command
	if !s.steppingDown {
		commands = s.scheduler.Commands()
	}
	planned := s.scheduler.HasPlannedStarts()
	s.mu.Unlock()
	if planned {
		wake(s.commitWake)
	}
	now := time.Now()
	s.work.passes.Add(1)
	s.work.planning.Add(int64(now.Sub(began)))
	orders := make([]relay.Order, 0, len(commands))
	for _, c := range commands {
		if r, ok := c.(engine.TicketRequest); ok {
			go s.authorize(ctx, r)
		} else {
			orders = append(orders, relay.Order{Command: c, Sent: now})
		}
	}
	s.send(ctx, orders)
	s.sendStarts(ctx)
}

// sendStarts sends the starts that the store holds.
func (s *session) sendStarts(ctx context.Context) {
	if !s.hasAuthority() {
		return
	}
	s.mu.Lock()
	var starts []engine.Command
	if !s.steppingDown {
		if s.storeIsSlow() && s.service.peersKnowUnrecorded() {
			s.scheduler.SendUnrecorded()
		}
		starts = s.scheduler.RecordedStarts()
		s.startRate.add(len(starts))
	}
	delays := s.scheduler.TakeStartDelays()
	s.mu.Unlock()
	s.observeStarts(delays)
	now := time.Now()
	orders := make([]relay.Order, 0, len(starts))
	for _, c := range starts {
		orders = append(orders, relay.Order{Command: c, Sent: now})
	}
	s.send(ctx, orders)
	// A run on a worker that had none calls for a renewal.
	wake(s.renewalWake)
}

// authorize requests tickets for one step from the authorizer.
func (s *session) authorize(ctx context.Context, r engine.TicketRequest) {
	var tickets []engine.Ticket
	var validFor time.Duration
	err := errNoAuthorizer
	if s.service.Authorizer != nil {
		tickets, validFor, err = s.service.Authorizer.Authorize(ctx, r)
	}
	if err != nil && ctx.Err() == nil {
		s.log.Warn("leader: ticket request to the authorizer failed", zap.Stringer("step", r.Step), zap.Error(err))
	}
	s.mu.Lock()
	s.scheduler.HandleTickets(r, tickets, validFor, err == nil)
	s.mu.Unlock()
	s.wakeLoops()
}

var errNoAuthorizer = errors.New("leader: a queue needs tickets, but no authorizer is configured")

// describe returns a command for the log, without the body of the job.
func describe(c engine.Command) string {
	switch c := c.(type) {
	case engine.Start:
		return "start " + c.Run.Task.String() + " at " + string(c.Worker)
	case engine.Stop:
		return "stop " + c.Run.Task.String() + " at " + string(c.Worker)
	case engine.Throttle:
		return "throttle " + c.Run.Task.String() + " at " + string(c.Worker)
	}
	return ""
}

// handleFenced marks leadership as lost, since a worker or the machine service has seen the fencing token of a later leader.
func (s *session) handleFenced(by string) {
	s.log.Warn("leader: a later fencing token has been seen, leadership is lost", zap.String("by", by),
		zap.Int64("fence", s.leadership.FencingToken()))
	s.leadership.MarkLost()
	wake(s.commitWake)
}
