package runner

import (
	"context"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/reject"
)

// Stopping reports whether new work is rejected because of a shutdown.
func (r *Runner) Stopping() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopping
}

// Drain accepts no new work and returns once every task has ended, or with an error when the context ends. Queued tasks
// may still start for drainQueuedTimeout and are then abandoned; running ones are bounded by their own deadlines.
func (r *Runner) Drain(ctx context.Context) error {
	idle := r.beginDrain()
	if idle == nil {
		return nil
	}
	queued := time.AfterFunc(drainQueuedTimeout, func() {
		for _, t := range r.waitingTasks(true) {
			t.abandon(reject.KindStopping, time.Second, "the instance is shutting down")
		}
	})
	defer queued.Stop()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// untilDrain returns a context that ends with the given one or when a shutdown begins.
func (r *Runner) untilDrain(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-r.drainStarted:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// beginDrain returns a channel that is closed when the last task has ended, nil if there is none.
func (r *Runner) beginDrain() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopping {
		r.stopping = true
		close(r.drainStarted)
	}
	if len(r.tasks) == 0 {
		return nil
	}
	if r.idle == nil {
		r.idle = make(chan struct{})
	}
	return r.idle
}

// AbandonAll abandons every task, for an instance that was removed from the members and no longer holds grants. Tasks
// that run are stopped at their workers.
func (r *Runner) AbandonAll() {
	r.mu.Lock()
	ts := make([]*task, 0, len(r.tasks))
	for _, t := range r.tasks {
		ts = append(ts, t)
	}
	r.mu.Unlock()
	for _, t := range ts {
		t.abandon(reject.KindStale, time.Second, "the instance was removed from the members")
	}
}

// AwaitEnd waits until every attempt has ended at its worker or its lease has expired, or the context ends.
func (r *Runner) AwaitEnd(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		remaining := len(r.attempts)
		r.mu.Unlock()
		if remaining == 0 {
			return
		}
		pause(ctx, retryBackoff)
	}
}
