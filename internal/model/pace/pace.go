// Package pace calls a function periodically.
package pace

import (
	"context"
	"time"
)

// Every calls f immediately and then at each interval until the context ends. A receive from wake, which may be nil,
// triggers an additional call. All calls missed while f ran are replaced by one.
//
// It doesn't use time.Ticker: a tick that fell due while f ran occasionally crashed the runtime of Go 1.26 with the
// race detector in a synctest bubble (SIGSEGV in runtime.(*timer).maybeRunChan).
func Every(ctx context.Context, interval time.Duration, wake <-chan struct{}, f func(context.Context)) {
	next := time.Now().Add(interval)
	for ctx.Err() == nil {
		f(ctx)
		next = wait(ctx, next, interval, wake)
	}
}

// After calls f at each interval until the context ends, like Every without wake and without the immediate call.
func After(ctx context.Context, interval time.Duration, f func(context.Context)) {
	next := wait(ctx, time.Now().Add(interval), interval, nil)
	for ctx.Err() == nil {
		f(ctx)
		next = wait(ctx, next, interval, nil)
	}
}

// wait blocks until the next call is due, wake is received or the context ends, and returns when the following call is
// due.
func wait(ctx context.Context, next time.Time, interval time.Duration, wake <-chan struct{}) time.Time {
	now := time.Now()
	if !next.After(now) {
		missed := now.Sub(next) / interval
		return next.Add((missed + 1) * interval)
	}
	t := time.NewTimer(next.Sub(now))
	defer t.Stop()
	select {
	case <-t.C:
		return next.Add(interval)
	case <-wake:
	case <-ctx.Done():
	}
	return next
}
