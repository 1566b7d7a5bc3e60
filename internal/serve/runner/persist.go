package runner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
	"github.com/yuccahaven/yuccahaven/internal/state/claim"
)

// persistTimeout is how long storing a result or a rejection is tried; the worker keeps a result for about as long.
const persistTimeout = 5 * time.Minute

// storeResult stores a result and then marks the record done; false means that the worker must keep the result.
func (r *Runner) storeResult(t *task, a Answer) bool {
	return r.persist(t, func(ctx context.Context) error {
		name := claim.ResultName(t.team, t.id, t.record.Attempt)
		if err := r.options.Objects.Put(ctx, name, a.Body); err != nil {
			return err
		}
		next := t.record
		next.State, next.Result, next.Length, next.Digest = claim.Done, name, int64(len(a.Body)), a.Digest
		return r.writeRecord(ctx, t, next)
	})
}

// recordRejection closes the record of an asynchronous task if it was rejected, so that no other entry instance adopts
// it. A task that was abandoned because this instance shuts down or its view is stale keeps its open record and is
// adopted.
func (r *Runner) recordRejection(t *task) {
	t.mu.Lock()
	e := t.err
	t.mu.Unlock()
	if e == nil || e.Kind == reject.KindStopping || e.Kind == reject.KindStale {
		return
	}
	r.persist(t, func(ctx context.Context) error {
		next := t.record
		next.State, next.Kind, next.Work, next.Detail = claim.Failed, string(e.Kind), string(e.Work), e.Detail
		if e.Kind == reject.KindCancelled {
			next.State = claim.Cancelled
		}
		return r.writeRecord(ctx, t, next)
	})
}

// persist retries a write during an outage of the store until persistTimeout. It ends early if another entry instance
// has replaced the record or the record no longer exists.
func (r *Runner) persist(t *task, f func(ctx context.Context) error) bool {
	for end := time.Now().Add(persistTimeout); time.Now().Before(end); pause(context.Background(), time.Second) {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		err := f(ctx)
		cancel()
		if err == nil {
			return true
		}
		r.log.Info("runner: task record could not be updated, trying again unless it was replaced or deleted",
			idField(t.id), errField(err))
		if isConflict(err) || errors.Is(err, claim.ErrAbsent) {
			return false
		}
	}
	return false
}

func (r *Runner) loadResult(ctx context.Context, c claim.Record) (Answer, error) {
	body, err := r.options.Objects.Get(ctx, c.Result)
	if err != nil {
		return Answer{}, err
	}
	if got := digestOf(body); got != c.Digest {
		return Answer{}, fmt.Errorf("%w: object %s has digest %s, want %s", worker.ErrDamaged, c.Result, got, c.Digest)
	}
	return Answer{ID: c.ID, Body: body, Digest: c.Digest}, nil
}
