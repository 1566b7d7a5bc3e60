package relay

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
)

const (
	// hedgeDelay is the time without a reply after which an order is sent again. Workers reply within about 5 ms, slow ones
	// within 50 ms.
	hedgeDelay = 150 * time.Millisecond
	// hedgeShare is the number of second copies that each reply within hedgeDelay allows, and maxHedges the largest number
	// that may be saved up. A process whose replies are all late, because it lacks processor time, sends no more copies.
	hedgeShare = 0.5
	maxHedges  = 64
)

// Executor executes orders from this process. An order without a reply is sent a second time: workers execute copies of an
// order once, and one lost reply doesn't show that a worker has failed. It is safe for concurrent use.
type Executor struct {
	workers Workers
	log     *zap.Logger

	mu sync.Mutex
	// allowance is the number of second copies that may be sent now.
	allowance float64
}

// NewExecutor returns an executor of orders for workers.
func NewExecutor(w Workers, log *zap.Logger) *Executor {
	return &Executor{workers: w, log: log, allowance: maxHedges}
}

// hedge is the second copy of an order.
type hedge struct {
	mu sync.Mutex
	// result is the copy's result if that is conclusive.
	result *Result
}

// Run executes an order and returns its result. A second copy is sent only while may reports that the order may be sent.
func (e *Executor) Run(ctx context.Context, o Order, fence int64, may func() bool) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var h hedge
	timer := time.AfterFunc(hedgeDelay+o.Renewal.Wait, func() {
		if !e.allow() || !may() {
			return
		}
		if r := e.sendSecond(ctx, o, fence); r.Outcome != engine.NoReply {
			h.set(r)
			cancel()
		}
	})
	r := e.execute(ctx, o, fence)
	waiting := timer.Stop()
	if r.Outcome != engine.NoReply {
		if waiting {
			e.earn()
		}
		return r
	}
	if second := h.get(); second != nil {
		return *second
	}
	if waiting && ctx.Err() == nil && e.allow() && may() {
		// The connection broke before the second copy was due.
		return e.sendSecond(ctx, o, fence)
	}
	return r
}

// sendSecond sends a second copy of an order. What declines it says nothing of the first copy, which may still be executed.
func (e *Executor) sendSecond(ctx context.Context, o Order, fence int64) Result {
	sent := time.Now()
	r := e.execute(ctx, o, fence)
	r.Sent = sent
	if r.Outcome == engine.NotSent {
		r.Outcome = engine.NoReply
	}
	if _, ok := o.Command.(engine.Start); !ok {
		return r
	}
	switch r.Outcome {
	case engine.Applied:
		r.Outcome = engine.AppliedAgain
	case engine.NoReply, engine.Fenced, engine.Replaced:
	default:
		r.Outcome = engine.DeclinedAgain
	}
	return r
}

// allow reports whether a second copy may be sent, and takes it from the allowance.
func (e *Executor) allow() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.allowance < 1 {
		return false
	}
	e.allowance--
	return true
}

// earn adds the share of a reply in time to the allowance.
func (e *Executor) earn() {
	e.mu.Lock()
	e.allowance = min(e.allowance+hedgeShare, maxHedges)
	e.mu.Unlock()
}

func (h *hedge) set(r Result) {
	h.mu.Lock()
	h.result = &r
	h.mu.Unlock()
}

func (h *hedge) get() *Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.result
}
