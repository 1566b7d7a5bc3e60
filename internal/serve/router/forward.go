package router

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// leaderReply is a reply with a result, such as that the called instance is not the leader.
type leaderReply interface {
	peer.Message
	Outcome() peer.Result
	IsPending() bool
}

// timedRequest is a request that says how long the leader and the caller wait.
type timedRequest[Q any] interface {
	WithTimes(wait, deadline time.Duration) Q
}

// withTimes returns a request with how long the leader may wait for the store and how long the caller does, if the context has a
// deadline.
func withTimes[Q any](ctx context.Context, q Q, wait time.Duration) Q {
	t, ok := any(q).(timedRequest[Q])
	deadline, limited := ctx.Deadline()
	if !ok || !limited {
		return q
	}
	left := max(time.Until(deadline), time.Millisecond)
	return t.WithTimes(max(min(wait, left-retryBackoff), time.Millisecond), left)
}

// forwardWithRetry forwards a request to the leader. A request that has not reached a leader within leaderWaitTimeout, or
// maxHold with Succession, is rejected as not run; one that may have reached a leader is retried, which is safe, until shortly before the
// context's deadline, and so is one for which the leader waits for the store. An isolated instance does neither, so that the
// caller can try another one. It also reports whether an attempt before the answered one had an unknown outcome; that
// the leader kept the request is one.
func forwardWithRetry[Q peer.Message, A leaderReply](ctx context.Context, r *Router, m peer.Method[Q, A], q Q,
	local func(context.Context, Q) A) (A, bool, error) {
	began := time.Now()
	// pending means that the leader of the last attempt keeps the request.
	unknown, pending, wait := false, false, replyWait
	attempts := 0
	// held means that the last attempt reached no leader, so that the request is held until one is ready.
	holder, held := r.holding(), false
	var lastErr error
	var none A
	for {
		if r.Isolated() {
			unknown = unknown || pending
			r.log.Info("router: request not forwarded, neither the leader nor the store can be reached",
				zap.Any("request", describe(q)), zap.Bool("unknown", unknown), zap.Duration("took", time.Since(began)))
			if unknown {
				return none, true, reject.New(reject.KindUnconfirmed, reject.WorkUnknown, "no answer in time")
			}
			return none, false, reject.New(reject.KindStale, reject.WorkNotRun, "this instance is cut off").
				WithRetryAfter(isolatedRetryAfter)
		}
		var inTurn bool
		if holder != nil && (held || !pending && holder.isHolding()) {
			if inTurn = holder.wait(ctx, began, unknown); !inTurn && !r.Isolated() {
				return none, unknown, r.refuseHeld(q, unknown, began, lastErr)
			}
			if !inTurn {
				continue
			}
		}
		attempts++
		sent := time.Now()
		leaderWait := wait
		if inTurn {
			leaderWait = heldReplyWait
		}
		var term int64
		if holder != nil {
			term = r.leaderTerm()
		}
		reply, maybeReached, err := forwardOnce(ctx, r, m, withTimes(ctx, q, leaderWait), wait+callMargin, local)
		if inTurn {
			holder.done()
		}
		unknown = unknown || maybeReached
		r.logAttempt(q, attempts, reply, time.Since(sent), time.Since(began), err)
		switch {
		case err == nil && reply.IsPending():
			held, pending = false, true
			if !inTurn {
				wait = min(2*wait, maxReplyWait)
			}
			if !nearDeadline(ctx) {
				continue
			}
			unknown = true
		case err == nil && reply.Outcome() == peer.Unknown:
			unknown = true
		case err == nil && reply.Outcome() != peer.NotLeader:
			// Only a leader that is overloaded says that it does not keep the request any more.
			return reply, unknown || pending && reply.Outcome() != peer.Overloaded, nil
		case err != nil:
			lastErr = err
		}
		// What the former leader kept may have been stored.
		unknown, pending, wait = unknown || pending, false, replyWait
		// A working leader's reply may be lost, and one that is ready may have a config that is too old to check a caller's key;
		// other requests need not wait then.
		held = holder != nil && (err != nil && (!maybeReached || r.isSilent(term)) ||
			err == nil && reply.Outcome() == peer.NotLeader && !(checksAccess(q) && r.isReady(term)))
		if !unknown && (ctx.Err() != nil || !held && time.Since(began) >= leaderWaitTimeout) {
			return none, false, r.refuse(q, lastErr)
		}
		if ctx.Err() != nil || unknown && nearDeadline(ctx) {
			return none, true, r.answerUnknown(q, began, lastErr)
		}
		if held {
			holder.notReached(term, sent)
			continue
		}
		if err == nil && reply.Outcome() == peer.NotLeader && !r.local.IsLeader() {
			if !r.awaitReady(ctx, unknown, began) && !unknown {
				return none, false, r.refuse(q, lastErr)
			}
			continue
		}
		pause := time.NewTimer(retryBackoff)
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
		pause.Stop()
	}
}

// refuse returns the rejection of a request that no leader can have received.
func (r *Router) refuse(q any, lastErr error) error {
	r.log.Info("router: request refused, no leader reached in time", zap.Any("request", describe(q)), zap.Error(lastErr))
	after := takeoverDuration
	if r.Succession {
		after = retryAfter(q)
	}
	return reject.New(reject.KindStale, reject.WorkNotRun, "no instance can take this now").WithRetryAfter(after)
}

// answerUnknown returns the answer to a request that may have reached a leader and was not answered in time.
func (r *Router) answerUnknown(q any, began time.Time, lastErr error) error {
	r.log.Warn("router: no answer before the deadline, outcome of the request unknown",
		zap.Any("request", describe(q)), zap.Duration("took", time.Since(began)), zap.Error(lastErr))
	return reject.New(reject.KindUnconfirmed, reject.WorkUnknown, "no answer in time")
}

// refuseHeld returns the answer to a request that was held and is not sent again.
func (r *Router) refuseHeld(q any, unknown bool, began time.Time, lastErr error) error {
	if unknown {
		return r.answerUnknown(q, began, lastErr)
	}
	return r.refuse(q, lastErr)
}

// logAttempt logs an attempt to forward a cancellation, so that it can be followed from the caller to the store, and further
// attempts to submit a job.
func (r *Router) logAttempt(q any, attempt int, reply leaderReply, took, age time.Duration, err error) {
	cancel, isJob := q.(peer.JobRequest)
	_, isSubmit := q.(peer.SubmitRequest)
	if !(isJob && cancel.Cancel) && !(isSubmit && attempt > 1) {
		return
	}
	r.log.Info("router: request forwarded", zap.Any("request", describe(q)), zap.Int("attempt", attempt),
		zap.String("result", string(reply.Outcome())), zap.Duration("took", took), zap.Duration("age", age), zap.Error(err))
}

// nearDeadline reports whether too little time is left before the deadline for another attempt.
func nearDeadline(ctx context.Context) bool {
	d, ok := ctx.Deadline()
	return ok && time.Until(d) < 2*retryBackoff
}

// describe returns the kind of a request and its subject for the log.
func describe(q any) string {
	switch q := q.(type) {
	case peer.SubmitRequest:
		return "submit " + string(q.Job.ID)
	case peer.JobRequest:
		if q.Cancel {
			return "cancel " + string(q.ID)
		}
		return "state " + string(q.ID)
	case peer.WaitingRequest:
		return "waiting " + q.Queue
	}
	return ""
}

// forwardOnce makes one call, to the local service if this process leads, and reports whether a failed call may have
// reached the leader.
func forwardOnce[Q peer.Message, A leaderReply](ctx context.Context, r *Router, m peer.Method[Q, A], q Q, timeout time.Duration,
	local func(context.Context, Q) A) (A, bool, error) {
	var none A
	if r.local.IsLeader() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		reply := local(ctx, q)
		return reply, false, nil
	}
	leader, ok := r.tracker.Leader()
	if !ok || leader.Released {
		r.tracker.Wake()
		return none, false, errNoLeader
	}
	if h := r.holding(); h != nil {
		var done context.CancelFunc
		ctx, done = h.withLeader(ctx, leader.Term)
		defer done()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := peer.Call(ctx, r.peers, leader.Address, m, q)
	if err != nil {
		r.tracker.Wake()
		return none, !notSent(err), err
	}
	if reply.Outcome() == peer.NotLeader {
		r.tracker.Wake()
	}
	return reply, false, nil
}

var errNoLeader = errors.New("router: no leader is known")

// notSent reports whether a call failed before the request was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// RequestContext returns a context that ends transferMargin before the caller's deadline, after which a reply is of no use
// to the caller, but no sooner than after transferMargin. A deadline of 0 or less means DefaultRequestTimeout.
func RequestContext(ctx context.Context, deadline time.Duration) (context.Context, context.CancelFunc) {
	if deadline <= 0 {
		deadline = DefaultRequestTimeout
	}
	return context.WithTimeout(ctx, max(deadline-transferMargin, transferMargin))
}
