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

// planLoop gives orders whenever something has changed.
func (s *session) planLoop(ctx context.Context) {
	for {
		select {
		case <-s.toPlan:
		case <-ctx.Done():
			return
		}
		s.plan(ctx)
		select {
		case <-time.After(planGap):
		case <-ctx.Done():
			return
		}
	}
}

func (s *session) plan(ctx context.Context) {
	if !s.authority() {
		return
	}
	s.mu.Lock()
	var orders []engine.Command
	if !s.leaving {
		orders = s.board.Commands()
	}
	for _, o := range orders {
		if start, ok := o.(engine.Start); ok {
			if c, ok := s.looks[start.Worker]; ok {
				poke(c)
			}
		}
	}
	s.mu.Unlock()
	for _, o := range orders {
		if a, ok := o.(engine.TicketRequest); ok {
			go s.advise(ctx, a)
		} else {
			go s.carry(ctx, o)
		}
	}
}

// advise asks the advisor about one step. It handles one call of an instance at a time, so that the questions wait here
// and not there, where only few may wait.
func (s *session) advise(ctx context.Context, a engine.TicketRequest) {
	s.advising.Lock()
	defer s.advising.Unlock()
	var good []engine.Ticket
	var valid time.Duration
	err := errNoAdvisor
	if s.master.Authorizer != nil {
		good, valid, err = s.master.Authorizer.Authorize(ctx, a)
	}
	if err != nil && ctx.Err() == nil {
		s.log.Warn("leader: no advice", zap.Stringer("step", a.Step), zap.Error(err))
	}
	s.mu.Lock()
	s.board.HandleTickets(a, good, valid, err == nil)
	s.mu.Unlock()
	s.changed()
}

var errNoAdvisor = errors.New("leader: a queue needs tickets and the settings name no advisor")

// carry brings one order to its worker.
func (s *session) carry(ctx context.Context, o engine.Command) {
	sent := time.Now()
	result := s.master.Workers.Execute(ctx, o, s.tenure.FencingToken())
	if ctx.Err() != nil {
		return
	}
	metrics.GetOrRegisterCounter(fmt.Sprintf("worker_orders{result=%q}", result), s.master.Registry).Inc(1)
	s.master.observe("worker_order_ms", sent)
	if result != engine.Applied {
		s.log.Info("leader: order not confirmed", zap.Any("order", describe(o)), zap.Stringer("result", result),
			zap.Duration("took", time.Since(sent)))
	}
	if result == engine.Fenced {
		s.fenced()
	}
	s.mu.Lock()
	s.board.HandleOutcome(o, result, sent)
	s.mu.Unlock()
	if result != engine.Applied {
		s.changed()
	}
}

// describe leaves the job's text out of the log.
func describe(o engine.Command) string {
	switch o := o.(type) {
	case engine.Start:
		return "start " + o.Run.Task.String() + " at " + string(o.Worker)
	case engine.Stop:
		return "stop " + o.Run.Task.String() + " at " + string(o.Worker)
	case engine.Throttle:
		return "pace " + o.Run.Task.String() + " at " + string(o.Worker)
	}
	return ""
}

// fenced gives the seat up: a worker has seen the token of a later holder.
func (s *session) fenced() {
	s.log.Warn("leader: a worker has seen a later fencing token", zap.Int64("fence", s.tenure.FencingToken()))
	s.tenure.MarkLost()
	poke(s.toCommit)
}

// lookLoop renews the leases of one worker and takes in its lists, as long as the worker is of interest.
func (s *session) lookLoop(ctx context.Context, id work.WorkerID, wake chan struct{}) {
	var last time.Time
	for ctx.Err() == nil {
		s.mu.Lock()
		o, pause, wanted := s.board.NextRenewal(id)
		if !s.board.Tracks(id) {
			delete(s.looks, id)
			s.mu.Unlock()
			return
		}
		due := last.Add(pause)
		now := time.Now()
		ready := wanted && !due.After(now) && s.authority()
		if ready {
			o = s.board.PrepareRenewal(o)
		}
		s.mu.Unlock()
		switch {
		case ready:
			s.lookAt(ctx, o)
			last = time.Now()
		case wanted:
			idle(ctx, wake, max(due.Sub(now), lookIdle))
		default:
			idle(ctx, wake, 0)
		}
	}
}

// lookIdle is the pause of a look that is due while this process may give no orders.
const lookIdle = 10 * time.Millisecond

// idle waits for a wake or for a time; 0 means no bound.
func idle(ctx context.Context, wake chan struct{}, d time.Duration) {
	var after <-chan time.Time
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		after = t.C
	}
	select {
	case <-wake:
	case <-after:
	case <-ctx.Done():
	}
}

func (s *session) lookAt(ctx context.Context, o engine.Renewal) {
	sent := time.Now()
	reply, result := s.master.Workers.Renew(ctx, o, s.tenure.FencingToken())
	if ctx.Err() != nil {
		return
	}
	if result == engine.Fenced {
		s.fenced()
		return
	}
	s.mu.Lock()
	if result == engine.Applied {
		s.board.HandleRenewal(o, reply, sent)
	} else {
		s.board.HandleRenewalFailure(o, result)
	}
	s.mu.Unlock()
	s.changed()
}
