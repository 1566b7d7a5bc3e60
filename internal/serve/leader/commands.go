package leader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
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
	var commands []engine.Command
	if !s.steppingDown {
		commands = s.scheduler.Commands()
	}
	for _, c := range commands {
		// The renewal loop of a worker without runs waits for a wake; the start gives the worker a run.
		if start, ok := c.(engine.Start); ok {
			if woken, ok := s.renewals[start.Worker]; ok {
				wake(woken)
			}
		}
	}
	s.mu.Unlock()
	for _, c := range commands {
		if r, ok := c.(engine.TicketRequest); ok {
			go s.authorize(ctx, r)
		} else {
			go s.execute(ctx, c)
		}
	}
}

// authorize requests tickets for one step from the authorizer. The authorizer handles one call of an instance at a time
// and queues only a few, so the requests queue here.
func (s *session) authorize(ctx context.Context, r engine.TicketRequest) {
	s.authorizing.Lock()
	defer s.authorizing.Unlock()
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

// execute sends one command to its worker and records the outcome, unless the context has ended by then.
func (s *session) execute(ctx context.Context, c engine.Command) {
	sent := time.Now()
	result := engine.Withheld
	// Authority may have ended since the command was planned, for example while the process was frozen.
	if s.hasAuthority() {
		result = s.service.Workers.Execute(ctx, c, s.leadership.FencingToken())
	}
	if ctx.Err() != nil {
		return
	}
	metrics.GetOrRegisterCounter(fmt.Sprintf("worker_orders{result=%q}", result), s.service.Registry).Inc(1)
	s.service.observe("worker_order_ms", sent)
	if result != engine.Applied {
		s.log.Info("leader: command not confirmed by its worker", zap.Any("order", describe(c)),
			zap.Stringer("result", result), zap.Duration("took", time.Since(sent)))
	}
	if result == engine.Fenced {
		s.handleFenced()
	}
	s.mu.Lock()
	s.scheduler.HandleOutcome(c, result, sent)
	held := s.scheduler.AwaitsStartReplies()
	s.mu.Unlock()
	if result != engine.Applied || held {
		s.wakeLoops()
	}
}

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

// handleFenced marks leadership as lost, since a worker has seen the fencing token of a later leader.
func (s *session) handleFenced() {
	s.log.Warn("leader: a worker has seen a later fencing token, leadership is lost",
		zap.Int64("fence", s.leadership.FencingToken()))
	s.leadership.MarkLost()
	wake(s.commitWake)
}

// renewLoop renews the leases of one worker and reads its run lists, as long as the scheduler tracks the worker.
func (s *session) renewLoop(ctx context.Context, id work.WorkerID, woken chan struct{}) {
	var last time.Time
	for ctx.Err() == nil {
		s.mu.Lock()
		renewal, interval, wanted := s.scheduler.NextRenewal(id)
		if !s.scheduler.Tracks(id) {
			delete(s.renewals, id)
			s.mu.Unlock()
			return
		}
		due := last.Add(interval)
		now := time.Now()
		ready := wanted && !due.After(now) && s.hasAuthority()
		if ready {
			renewal = s.scheduler.PrepareRenewal(renewal)
		}
		s.mu.Unlock()
		switch {
		case ready:
			s.renew(ctx, renewal)
			last = time.Now()
		case wanted:
			waitForWake(ctx, woken, max(due.Sub(now), authorityCheckInterval))
		default:
			waitForWake(ctx, woken, 0)
		}
	}
}

// authorityCheckInterval is the time between two checks whether this process may send a renewal that is due.
const authorityCheckInterval = 10 * time.Millisecond

// waitForWake waits for a wake, at most for a duration; 0 means no bound.
func waitForWake(ctx context.Context, woken chan struct{}, d time.Duration) {
	var after <-chan time.Time
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		after = t.C
	}
	select {
	case <-woken:
	case <-after:
	case <-ctx.Done():
	}
}

func (s *session) renew(ctx context.Context, r engine.Renewal) {
	if !s.hasAuthority() {
		return
	}
	sent := time.Now()
	reply, result := s.service.Workers.Renew(ctx, r, s.leadership.FencingToken())
	if ctx.Err() != nil {
		return
	}
	if result == engine.Fenced {
		s.handleFenced()
		return
	}
	s.mu.Lock()
	if result == engine.Applied {
		s.scheduler.HandleRenewal(r, reply, sent)
	} else {
		s.scheduler.HandleRenewalFailure(r, result)
	}
	s.mu.Unlock()
	s.wakeLoops()
}
