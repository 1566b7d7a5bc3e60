package runner

import (
	"context"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/state/claim"
)

// SubmitAsync accepts an asynchronous job and returns the id of its task once its record and input are stored. Requests
// with the same key and input return the same id.
func (r *Runner) SubmitAsync(ctx context.Context, j Job) (string, error) {
	t, err := r.admit(j, true)
	if err != nil {
		return "", err
	}
	t.accepted = make(chan struct{})
	if j.Key != "" {
		c, err := r.findEarlier(ctx, t)
		if err != nil || c.ID != "" {
			return c.ID, err
		}
	}
	shared, err := r.join(t)
	if err != nil {
		return "", err
	}
	if shared != t {
		return r.awaitAccepted(ctx, t, shared)
	}
	defer close(t.accepted)
	if err := r.enqueue(t); err != nil {
		r.remove(t)
		return "", err
	}
	if err := r.storeJob(ctx, t); err != nil {
		t.stop()
		// After stop, awaitPermit removes the task from the queue unless an attempt was granted to it.
		if s, ok := r.awaitPermit(t).(permitted); ok {
			r.finish(s.attempt, "", 0)
		}
		r.remove(t)
		return r.handleNotAccepted(ctx, t, err)
	}
	r.startDeadline(t)
	go r.runStates(t, waiting{})
	return t.id, nil
}

// awaitAccepted answers a request whose key belongs to another task of this instance: with the id of that task once it
// is accepted, or by the record if it has ended or was not accepted.
func (r *Runner) awaitAccepted(ctx context.Context, t, shared *task) (string, error) {
	if shared.accepted != nil {
		select {
		case <-shared.accepted:
		case <-ctx.Done():
			return "", reject.New(reject.KindCancelled, reject.WorkUnknown, "the caller has gone")
		}
	}
	if current, ok := r.find(t.team, t.id); ok && current == shared {
		return shared.id, nil
	}
	c, err := r.findEarlier(ctx, t)
	if err == nil && c.ID == "" {
		return "", reject.New(reject.KindStore, reject.WorkUnknown, "an earlier request with the key was not accepted").
			WithRetryAfter(time.Second)
	}
	return c.ID, err
}

// findEarlier returns the record of an earlier request with the same key, or an empty one if there is none. A record
// with another input rejects the request.
func (r *Runner) findEarlier(ctx context.Context, t *task) (claim.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c, err := r.options.Records.Find(ctx, t.team, t.id)
	switch {
	case isAbsent(err):
		return claim.Record{}, nil
	case err != nil:
		return claim.Record{}, storeUnavailable(reject.WorkUnknown, err)
	case c.InputDigest != t.digest:
		return claim.Record{}, reject.New(reject.KindRequest, reject.WorkNotRun,
			"the idempotency key was used with another input")
	}
	return c, nil
}

// storeJob stores the input and then the record, which makes the task known to every entry instance.
func (r *Runner) storeJob(ctx context.Context, t *task) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	next := r.buildRecord(t)
	if len(t.job.Input) > 0 {
		next.Input = claim.InputName(t.team, t.id)
		if err := r.options.Objects.Put(ctx, next.Input, t.job.Input); err != nil {
			return err
		}
	}
	return r.writeRecord(ctx, t, next)
}

// handleNotAccepted answers a request whose input or record could not be stored, with the id of the earlier request if
// that has stored its record first. If the write of the record may have taken effect, a repeated request can find the
// record, so the task is looked for and run like an orphaned one.
func (r *Runner) handleNotAccepted(ctx context.Context, t *task, err error) (string, error) {
	if isConflict(err) {
		c, err := r.findEarlier(ctx, t)
		return c.ID, err
	}
	if isOutcomeUnknown(err) {
		r.recheck(unresolved{taskKey{t.team, t.id}, time.Now()})
		return "", storeUnavailable(reject.WorkUnknown, err)
	}
	return "", storeUnavailable(reject.WorkNotRun, err)
}

func storeUnavailable(w reject.Work, err error) error {
	return reject.New(reject.KindStore, w, "the store is unavailable").WithRetryAfter(time.Second).WithCause(err)
}
