package runner

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// conclude turns the end of a task at its worker into the final answer or another attempt.
func (r *Runner) conclude(a *attempt, st worker.Status) state {
	t := a.task
	switch st.State {
	case worker.Done:
		r.finish(a, peer.OutcomeDone, st.Ran)
		return r.collect(a, st)
	case worker.Failed:
		r.finish(a, peer.OutcomeFailed, st.Ran)
		if t.job.Once {
			r.rejectAs(t, reject.KindFailed, reject.WorkRun, 0, "the task failed: "+st.Error)
			return finished{}
		}
		return r.retry(a, reject.KindFailed, "the task failed: "+st.Error)
	case worker.Fenced:
		t.undoStart(a.before)
		r.finish(a, peer.OutcomeUnreachable, 0)
		return r.again(t, worker.ErrFenced)
	}
	r.finish(a, peer.OutcomeUnreachable, st.Ran)
	if t.job.Once {
		r.rejectAs(t, reject.KindLost, reject.WorkRun, 0, "the task was stopped before its end")
		return finished{}
	}
	t.checkpoint = st.Checkpoint
	return r.retry(a, reject.KindLost, "the task was stopped before its end")
}

// retry sends an idempotent task to the line again if it may be started once more, else rejects it.
func (r *Runner) retry(a *attempt, k reject.Kind, detail string) state {
	t := a.task
	if t.hasQuit() {
		r.reject(t, k, 0, detail)
		return finished{}
	}
	if t.starts >= maxAttempts {
		r.reject(t, k, 0, detail)
		return finished{}
	}
	if !r.retries.Retry() {
		r.reject(t, k, time.Second, detail+"; the retry budget is used up")
		return finished{}
	}
	r.stats.retried.Inc(1)
	t.failedAt, t.declined = a.instance, 0
	return waiting{}
}

// collect fetches the result, answers the caller, and lets the worker forget the result once it is kept elsewhere.
func (r *Runner) collect(a *attempt, st worker.Status) state {
	t := a.task
	if t.hasQuit() && !t.recorded {
		r.acknowledge(a)
		return finished{}
	}
	body, err := r.fetch(t.life, a, st)
	switch {
	case err == nil:
	case t.recorded && errors.Is(err, worker.ErrUnknown):
		// A retry at another entry instance may have kept the result and acknowledged it.
		return r.reread(t)
	case t.hasQuit():
		return finished{}
	case t.job.Once:
		r.rejectAs(t, reject.KindLost, reject.WorkRun, time.Second, "the result could not be fetched")
		return finished{}
	default:
		return r.retry(a, reject.KindLost, "the result could not be fetched")
	}
	answer := Answer{ID: t.id, Body: body, Digest: st.Digest}
	t.resolve(answer, nil)
	if t.recorded && !r.keep(t, answer) {
		return finished{}
	}
	r.acknowledge(a)
	return finished{}
}

// fetch gets the whole result by task id; a damaged or lost answer is fetched again, each time over what connection
// the adapter chooses.
func (r *Runner) fetch(ctx context.Context, a *attempt, st worker.Status) ([]byte, error) {
	var last error
	for end := time.Now().Add(lapse); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, retryPause) {
		body, err := r.fetchOnce(ctx, a, st)
		if err == nil || errors.Is(err, worker.ErrUnknown) {
			return body, err
		}
		last = err
		r.log.Info("result not fetched, trying again", taskField(a), errField(err))
	}
	return nil, errors.Join(last, ctx.Err())
}

func (r *Runner) fetchOnce(ctx context.Context, a *attempt, st worker.Status) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, resultTimeout)
	defer cancel()
	body, err := r.parts.Workers.Result(ctx, a.address, a.id)
	if err != nil {
		return nil, err
	}
	if got := digestOf(body); got != st.Digest || int64(len(body)) != st.Length {
		return nil, fmt.Errorf("%w: %d bytes with digest %s, want %d with %s", worker.ErrDamaged, len(body), got,
			st.Length, st.Digest)
	}
	return body, nil
}

func (r *Runner) acknowledge(a *attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := r.parts.Workers.Acknowledge(ctx, a.address, a.id); err != nil {
		// The worker forgets the result after its retention time.
		r.log.Debug("result not acknowledged", taskField(a), errField(err))
	}
}

// resultTimeout bounds one fetch of a result; a large one needs longer than other calls.
const resultTimeout = 10 * time.Second

// reject answers the caller with what is known of the work.
func (r *Runner) reject(t *task, k reject.Kind, retry time.Duration, detail string) {
	r.rejectAs(t, k, t.knownWork(), retry, detail)
}

func (r *Runner) rejectAs(t *task, k reject.Kind, w reject.Work, retry time.Duration, detail string) {
	e := reject.New(k, w, "%s", detail).WithRetryAfter(retry)
	t.resolve(Answer{}, e)
}

func digestOf(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
