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
			r.rejectWithWork(t, reject.KindFailed, reject.WorkRun, 0, "the task failed: "+st.Error)
			return finished{}
		}
		return r.retry(a, reject.KindFailed, "the task failed: "+st.Error)
	case worker.Fenced:
		t.undoStart(a.workBefore)
		r.finish(a, peer.OutcomeUnreachable, 0)
		return r.requeue(t, worker.ErrFenced)
	}
	r.finish(a, peer.OutcomeUnreachable, st.Ran)
	if t.job.Once {
		r.rejectWithWork(t, reject.KindLost, reject.WorkRun, 0, "the task was stopped before its end")
		return finished{}
	}
	t.checkpoint = st.Checkpoint
	return r.retry(a, reject.KindLost, "the task was stopped before its end")
}

// retry returns an idempotent task to the queue if it may be started once more, else rejects it.
func (r *Runner) retry(a *attempt, k reject.Kind, detail string) state {
	t := a.task
	if t.isAbandoned() {
		r.reject(t, k, 0, detail)
		return finished{}
	}
	if t.starts >= maxAttempts {
		r.reject(t, k, 0, detail)
		return finished{}
	}
	if !r.retryBudget.TakeRetry() {
		r.reject(t, k, time.Second, detail+"; the retry budget is used up")
		return finished{}
	}
	r.stats.retried.Inc(1)
	t.failedWorker, t.declinedPermits = a.instance, 0
	return waiting{}
}

// collect fetches the result, answers the caller and acknowledges the result so that the worker can delete it, for a
// recorded task only once the result is stored. An abandoned task without a record is acknowledged without a fetch.
func (r *Runner) collect(a *attempt, st worker.Status) state {
	t := a.task
	if t.isAbandoned() && !t.recorded {
		r.acknowledge(a)
		return finished{}
	}
	body, err := r.fetch(t.ctx, a, st)
	switch {
	case err == nil:
	case t.recorded && errors.Is(err, worker.ErrUnknown):
		// A retry at another entry instance may have stored the result and acknowledged it.
		return r.rereadRecord(t)
	case t.isAbandoned():
		return finished{}
	case t.job.Once:
		r.rejectWithWork(t, reject.KindLost, reject.WorkRun, time.Second, "the result could not be fetched")
		return finished{}
	default:
		return r.retry(a, reject.KindLost, "the result could not be fetched")
	}
	answer := Answer{ID: t.id, Body: body, Digest: st.Digest}
	t.complete(answer, nil)
	if t.recorded && !r.storeResult(t, answer) {
		return finished{}
	}
	r.acknowledge(a)
	return finished{}
}

// fetch gets the whole result by task id. A damaged or lost reply is fetched again until leaseExpiry has passed, each
// time over a connection that the adapter chooses.
func (r *Runner) fetch(ctx context.Context, a *attempt, st worker.Status) ([]byte, error) {
	var last error
	for end := time.Now().Add(leaseExpiry); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, retryBackoff) {
		body, err := r.fetchOnce(ctx, a, st)
		if err == nil || errors.Is(err, worker.ErrUnknown) {
			return body, err
		}
		last = err
		r.log.Info("runner: result could not be fetched from the worker, trying again", taskField(a), errField(err))
	}
	return nil, errors.Join(last, ctx.Err())
}

func (r *Runner) fetchOnce(ctx context.Context, a *attempt, st worker.Status) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, resultTimeout)
	defer cancel()
	body, err := r.options.Workers.Result(ctx, a.address, a.id)
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
	if err := r.options.Workers.Acknowledge(ctx, a.address, a.id); err != nil {
		r.log.Debug("runner: result could not be acknowledged, the worker keeps it for its retention time", taskField(a),
			errField(err))
	}
}

// resultTimeout bounds one fetch of a result; a large one takes longer than other calls.
const resultTimeout = 10 * time.Second

// reject answers the caller with what is known of the work.
func (r *Runner) reject(t *task, k reject.Kind, retry time.Duration, detail string) {
	r.rejectWithWork(t, k, t.knownWork(), retry, detail)
}

func (r *Runner) rejectWithWork(t *task, k reject.Kind, w reject.Work, retry time.Duration, detail string) {
	e := reject.New(k, w, "%s", detail).WithRetryAfter(retry)
	t.complete(Answer{}, e)
}

func digestOf(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
