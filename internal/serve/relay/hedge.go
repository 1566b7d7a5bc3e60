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
	// sent means that the copy is on its way, closed that it must not be sent any more.
	sent, closed bool
	// result is set when done is closed.
	result Result
	done   chan struct{}
}

// Run executes an order and returns its result. A second copy is sent only while may reports that the order may be sent.
func (e *Executor) Run(ctx context.Context, o Order, may func() bool) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &hedge{done: make(chan struct{})}
	timer := time.AfterFunc(hedgeDelay+o.Renewal.Wait, func() {
		if !h.begin(func() bool { return e.allow() && may() }) {
			return
		}
		if h.send(func() Result { return e.sendSecond(ctx, o) }) {
			cancel()
		}
	})
	r := e.execute(ctx, o)
	waiting := timer.Stop()
	if h.end() {
		return h.combine(r)
	}
	if r.Outcome != engine.NoReply {
		if waiting {
			e.earn()
		}
		return r
	}
	if waiting && ctx.Err() == nil && e.allow() && may() {
		// The connection broke before the second copy was due.
		return e.sendSecond(ctx, o).afterLostCopy()
	}
	return r
}

// begin reports whether the copy may be sent now, and records that it is.
func (h *hedge) begin(may func() bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent = !h.closed && may()
	return h.sent
}

// send sends the copy, sets its result and reports whether there was a reply.
func (h *hedge) send(copyOrder func() Result) bool {
	defer close(h.done)
	h.result = copyOrder()
	return h.replied()
}

// replied reports whether there was a reply to the copy; done must be closed, except in send.
func (h *hedge) replied() bool {
	switch h.result.Outcome {
	case engine.NoReply, engine.NoReplyAgain, engine.NotSent:
		return false
	default:
		return true
	}
}

// end keeps the copy from being sent, and reports whether it has been sent before.
func (h *hedge) end() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	return h.sent
}

// combine returns the result of an order of which the second copy was sent, from that of the first copy. Unless the first
// one shows that the order was executed or never will be, the result rests on the second copy: what declines the first one,
// or keeps it here, says nothing of the second.
func (h *hedge) combine(first Result) Result {
	_, isStart := first.Command.(engine.Start)
	switch first.Outcome {
	case engine.Applied:
		if isStart {
			first.Outcome = engine.AppliedAgain
		}
		return first
	case engine.Fenced:
		if isStart {
			first.Outcome = engine.FencedAgain
		}
		return first
	case engine.Replaced:
		return first
	case engine.NotSent:
		// The second copy is the only one, and ends soon, if it could not be sent either.
		<-h.done
		if h.replied() || h.result.Outcome == engine.NotSent {
			return h.result
		}
		first.Outcome = engine.NoReply
		return first
	case engine.NoReply:
		if h.isDone() {
			return h.result.afterLostCopy()
		}
		if isStart {
			first.Outcome = engine.NoReplyAgain
		}
		return first
	default:
	}
	<-h.done
	if h.replied() {
		return h.result
	}
	if isStart && h.result.Outcome != engine.NotSent {
		first.Outcome = engine.DeclinedAgain
	}
	return first
}

// afterLostCopy returns the result of a second copy as that of an order whose first copy has no reply.
func (r Result) afterLostCopy() Result {
	if r.Outcome == engine.NotSent {
		r.Outcome = engine.NoReply
	}
	return r
}

func (h *hedge) isDone() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// sendSecond sends a second copy of an order. What declines it says nothing of the first copy, which may still be executed.
func (e *Executor) sendSecond(ctx context.Context, o Order) Result {
	sent := time.Now()
	r := e.execute(ctx, o)
	r.Sent = sent
	if _, ok := o.Command.(engine.Start); !ok {
		return r
	}
	switch r.Outcome {
	case engine.Applied:
		r.Outcome = engine.AppliedAgain
	case engine.NoReply:
		r.Outcome = engine.NoReplyAgain
	case engine.Fenced:
		r.Outcome = engine.FencedAgain
	case engine.NotSent, engine.Replaced:
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
