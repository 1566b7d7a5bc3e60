// Package pace repeats a function at intervals.
package pace

import (
	"context"
	"time"
)

// Every calls f at once and then at each interval until the context ends. A receive from wake, which may be nil,
// brings the next call forward. Calls that were missed while f ran are made up for by one.
//
// It does not use time.Ticker: a tick that fell due while f ran made the runtime of Go 1.26 crash now and then with
// the race detector in a synctest bubble (SIGSEGV in runtime.(*timer).maybeRunChan).
func Every(ctx context.Context, interval time.Duration, wake <-chan struct{}, f func(context.Context)) {
	next := time.Now().Add(interval)
	for ctx.Err() == nil {
		f(ctx)
		next = wait(ctx, next, interval, wake)
	}
}

// After is Every without a wake and without the call at once.
func After(ctx context.Context, interval time.Duration, f func(context.Context)) {
	next := wait(ctx, time.Now().Add(interval), interval, nil)
	for ctx.Err() == nil {
		f(ctx)
		next = wait(ctx, next, interval, nil)
	}
}

// wait returns when the next call is due and says when the one after it will be.
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
