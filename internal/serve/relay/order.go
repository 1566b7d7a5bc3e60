// Package relay sends the leader's orders to workers through other instances, the relays, so that the calls to workers
// are spread over many processes while one process decides. A relay executes orders and keeps no state of workers: what
// it has not reported when it fails is of unknown outcome, as a call without a reply is.
package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
)

// Workers sends commands and renewals to workers, each with the leader's fencing token.
type Workers interface {
	Execute(ctx context.Context, c engine.Command, fence int64) engine.Outcome
	Renew(ctx context.Context, r engine.Renewal, fence int64) (work.RenewalReply, engine.Outcome)
}

// Order is a command for a worker or, without a command, a renewal.
type Order struct {
	Command engine.Command
	Renewal engine.Renewal
	// Sent is when the leader issued the order.
	Sent time.Time
}

// Worker returns the worker that an order is for.
func (o Order) Worker() work.WorkerID {
	switch c := o.Command.(type) {
	case engine.Start:
		return c.Worker
	case engine.Stop:
		return c.Worker
	case engine.Throttle:
		return c.Worker
	}
	return o.Renewal.Worker
}

// Fence returns the fencing token with which an order is sent.
func (o Order) Fence() int64 {
	switch c := o.Command.(type) {
	case engine.Start:
		return c.Fence
	case engine.Stop:
		return c.Fence
	case engine.Throttle:
		return c.Fence
	}
	return o.Renewal.Fence
}

// Result is what has become of an order. Reply is set for an applied renewal.
type Result struct {
	Order
	Outcome engine.Outcome
	Reply   work.RenewalReply
}

// execute sends one copy of an order. An order whose execution panics has no reply: it would end the process of each instance
// that tries it.
func (e *Executor) execute(ctx context.Context, o Order) (r Result) {
	r = Result{Order: o, Outcome: engine.NoReply}
	defer func() {
		if p := recover(); p != nil {
			e.log.Error("relay: executing an order panicked, its outcome is unknown", zap.String("worker", string(o.Worker())),
				zap.Any("panic", p), zap.Stack("stack"))
		}
	}()
	if o.Command != nil {
		r.Outcome = e.workers.Execute(ctx, o.Command, o.Fence())
	} else {
		r.Reply, r.Outcome = e.workers.Renew(ctx, o.Renewal, o.Fence())
	}
	return r
}
