package leader

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/serve/relay"
)

// send sends orders to their workers: through the workers' relays, or from this process for workers without one and for
// direct renewals.
func (s *session) send(ctx context.Context, orders []relay.Order) {
	s.work.orders.Add(int64(len(orders)))
	relayOf, pool := s.relayOf.Load(), s.relays.Load()
	if relayOf == nil || pool == nil {
		s.executeAll(ctx, orders)
		return
	}
	groups := map[string][]relay.Order{}
	for _, o := range orders {
		name := ""
		if !o.Renewal.Direct {
			name = (*relayOf)[o.Worker()]
		}
		groups[name] = append(groups[name], o)
	}
	for name, group := range groups {
		if name == "" || !pool.Send(name, group) {
			s.executeAll(ctx, group)
		}
	}
}

func (s *session) executeAll(ctx context.Context, orders []relay.Order) {
	for _, o := range orders {
		go s.execute(ctx, o)
	}
}

// execute executes one order from this process and records its result, unless the context has ended by then.
func (s *session) execute(ctx context.Context, o relay.Order) {
	r := relay.Result{Order: o, Outcome: engine.Withheld}
	// Authority may have ended since the order was planned, for example while the process was frozen.
	if s.hasAuthority() {
		r = s.service.executor.Run(ctx, o, s.hasAuthority)
	}
	if ctx.Err() == nil {
		s.results.add(r)
	}
}

// resultQueue collects results, so that one pass handles many.
type resultQueue struct {
	wake chan struct{}

	mu   sync.Mutex
	list []relay.Result
}

func (q *resultQueue) add(r relay.Result) {
	q.mu.Lock()
	q.list = append(q.list, r)
	q.mu.Unlock()
	wake(q.wake)
}

func (q *resultQueue) take() []relay.Result {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.list
	q.list = nil
	return list
}

// resultLoop handles the results of the orders that this process executes itself.
func (s *session) resultLoop(ctx context.Context) {
	for {
		select {
		case <-s.results.wake:
		case <-ctx.Done():
			return
		}
		s.handleResults(s.results.take())
	}
}

// handleResults applies the results of orders to the scheduler.
func (s *session) handleResults(results []relay.Result) {
	fenced, changed := false, false
	s.mu.Lock()
	now := time.Now()
	defer func() {
		s.work.results.Add(int64(len(results)))
		s.work.handling.Add(int64(time.Since(now)))
	}()
	for _, r := range results {
		fenced = fenced || r.Outcome.IsFenced() && !s.scheduler.ExplainsFenced(r.Worker(), r.Fence())
		changed = changed || r.Command == nil || r.Outcome != engine.Applied
		if r.Command != nil {
			s.scheduler.HandleOutcome(r.Command, r.Outcome, r.Sent)
			continue
		}
		s.renewals.finished(r.Renewal.Worker, now)
		switch r.Outcome {
		case engine.Applied:
			s.scheduler.HandleRenewal(r.Renewal, r.Reply, r.Sent)
		case engine.Fenced:
			// Leadership is lost, or the renewal was overtaken by one to a new incarnation.
		default:
			s.scheduler.HandleRenewalFailure(r.Renewal, r.Outcome)
		}
	}
	held := s.scheduler.AwaitsStartReplies()
	s.mu.Unlock()
	s.observeResults(results)
	if fenced {
		s.handleFenced("a worker")
	}
	if changed || held {
		s.wakeLoops()
	}
}

// orderMetrics are the metrics of orders.
type orderMetrics struct {
	outcomes map[engine.Outcome]metrics.Counter
	latency  metrics.Histogram
}

func newOrderMetrics(r metrics.Registry) orderMetrics {
	m := orderMetrics{outcomes: map[engine.Outcome]metrics.Counter{}, latency: histogram(r, "worker_order_ms")}
	for o := engine.Outcome(0); int(o) < engine.OutcomeCount; o++ {
		m.outcomes[o] = metrics.GetOrRegisterCounter(fmt.Sprintf("worker_orders{result=%q}", o), r)
	}
	return m
}

// observeResults counts the results of commands and logs those that were not applied.
func (s *session) observeResults(results []relay.Result) {
	for _, r := range results {
		if r.Command == nil {
			continue
		}
		s.service.orderMetrics.outcomes[r.Outcome].Inc(1)
		s.service.orderMetrics.latency.Update(time.Since(r.Sent).Milliseconds())
		if r.Outcome != engine.Applied {
			s.log.Info("leader: command not confirmed by its worker", zap.Any("order", describe(r.Command)),
				zap.Stringer("result", r.Outcome), zap.Duration("took", time.Since(r.Sent)))
		}
	}
}
