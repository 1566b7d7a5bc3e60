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

// keepTime is how long keeping a result is tried; the worker holds it for about as long.
const keepTime = 5 * time.Minute

// keep stores a result and then marks the record done; false means that the worker must go on holding the result.
func (r *Runner) keep(t *task, a Answer) bool {
	return r.persist(t, func(ctx context.Context) error {
		name := claim.ResultName(t.team, t.id, t.record.Attempt)
		if err := r.parts.Objects.Put(ctx, name, a.Body); err != nil {
			return err
		}
		next := t.record
		next.State, next.Result, next.Length, next.Digest = claim.Done, name, int64(len(a.Body)), a.Digest
		return r.write(ctx, t, next)
	})
}

// settleRecord marks the record of a refused asynchronous task, so that no other entry instance adopts it. A task
// that was given up on because this instance leaves keeps its open record and is adopted.
func (r *Runner) settleRecord(t *task) {
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
		return r.write(ctx, t, next)
	})
}

// persist repeats a write through an outage of the store. It stops when another entry instance has the record.
func (r *Runner) persist(t *task, f func(ctx context.Context) error) bool {
	for end := time.Now().Add(keepTime); time.Now().Before(end); pause(context.Background(), time.Second) {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		err := f(ctx)
		cancel()
		if err == nil {
			return true
		}
		r.log.Info("task record not updated, trying again", idField(t.id), errField(err))
		if isTaken(err) || errors.Is(err, claim.ErrAbsent) {
			return false
		}
	}
	return false
}

func (r *Runner) loadResult(ctx context.Context, c claim.Record) (Answer, error) {
	body, err := r.parts.Objects.Get(ctx, c.Result)
	if err != nil {
		return Answer{}, err
	}
	if got := digestOf(body); got != c.Digest {
		return Answer{}, fmt.Errorf("%w: object %s has digest %s, want %s", worker.ErrDamaged, c.Result, got, c.Digest)
	}
	return Answer{ID: c.ID, Body: body, Digest: c.Digest}, nil
}
