package runner

import (
	"context"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/state/claim"
)

// SubmitAsync accepts a job for later: it returns the task's id once its record and input are stored. Requests with
// the same key and input return the same id.
func (r *Runner) SubmitAsync(ctx context.Context, j Job) (string, error) {
	t, err := r.admit(j, true)
	if err != nil {
		return "", err
	}
	if j.Key != "" {
		c, err := r.earlier(ctx, t)
		if err != nil || c.ID != "" {
			return c.ID, err
		}
	}
	if err := r.register(t); err != nil {
		return "", err
	}
	if err := r.enqueue(t); err != nil {
		r.forget(t)
		return "", err
	}
	if err := r.accept(ctx, t); err != nil {
		t.quit()
		r.wait(t)
		r.forget(t)
		return r.notAccepted(ctx, t, err)
	}
	r.arm(t)
	go r.live(t, waiting{})
	return t.id, nil
}

// earlier returns the record of an earlier request with the same key, or an empty one.
func (r *Runner) earlier(ctx context.Context, t *task) (claim.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c, err := r.parts.Records.Find(ctx, t.team, t.id)
	switch {
	case isAbsent(err):
		return claim.Record{}, nil
	case err != nil:
		return claim.Record{}, storeDown(reject.WorkUnknown, err)
	case c.InputDigest != t.digest:
		return claim.Record{}, reject.New(reject.KindRequest, reject.WorkNotRun,
			"the idempotency key was used with another input")
	}
	return c, nil
}

// accept stores the input and then the record, which makes the task known to every entry instance.
func (r *Runner) accept(ctx context.Context, t *task) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	next := r.describe(t)
	if len(t.job.Input) > 0 {
		next.Input = claim.InputName(t.team, t.id)
		if err := r.parts.Objects.Put(ctx, next.Input, t.job.Input); err != nil {
			return err
		}
	}
	return r.write(ctx, t, next)
}

// notAccepted answers a request whose record could not be written. If the write may have taken effect, a repeated
// request can find the record, so the task is looked for and run like an orphaned one.
func (r *Runner) notAccepted(ctx context.Context, t *task, err error) (string, error) {
	if isTaken(err) {
		c, err := r.earlier(ctx, t)
		return c.ID, err
	}
	if isUnsettled(err) {
		r.lookAgain(unsettled{taskKey{t.team, t.id}, time.Now()})
		return "", storeDown(reject.WorkUnknown, err)
	}
	return "", storeDown(reject.WorkNotRun, err)
}

func storeDown(w reject.Work, err error) error {
	return reject.New(reject.KindStore, w, "the store is unavailable").WithRetryAfter(time.Second).WithCause(err)
}
