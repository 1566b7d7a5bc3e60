package runner

import (
	"context"
	"errors"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// pollUntilEnd polls a running task until it ends, is abandoned, must be evacuated, is unknown to its worker, or its
// lease has expired for certain.
func (r *Runner) pollUntilEnd(a *attempt) state {
	t := a.task
	t.setRunning()
	for {
		switch {
		case t.isAbandoned():
			return stopping{a, false}
		case r.mustEvacuate(a):
			return stopping{a, true}
		}
		st, err := r.pollStatus(t.ctx, a, pollWait)
		switch {
		case err == nil && st.State.Ended():
			return ended{a, st}
		case errors.Is(err, worker.ErrUnknown):
			return r.handleUnknownToWorker(a)
		case err != nil && a.untilLeaseExpiry() <= 0:
			return lost{a, "the worker is silent"}
		case err != nil:
			pause(t.ctx, retryBackoff)
		}
	}
}

// stop ends a task at its worker, with a checkpoint to continue elsewhere if it is to move. The ceiling units are held
// until the worker confirms or the lease has expired.
func (r *Runner) stop(a *attempt, move bool) state {
	a.endRenewals()
	for a.untilLeaseExpiry() > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		st, err := r.options.Workers.Stop(ctx, a.address, a.id, move)
		cancel()
		switch {
		case err == nil && move && st.State == worker.Stopped:
			return r.reassign(a, st)
		case err == nil && st.State.Ended():
			return ended{a, st}
		case errors.Is(err, worker.ErrUnknown):
			return r.handleUnknownToWorker(a)
		}
		pause(context.Background(), retryBackoff)
	}
	return lost{a, "the worker is silent"}
}

// reassign lets an evacuated task continue on another worker from its checkpoint. Evacuations do not use the retry
// budget.
func (r *Runner) reassign(a *attempt, st worker.Status) state {
	a.task.checkpoint = st.Checkpoint
	r.stats.evacuated.Inc(1)
	r.finish(a, "", 0)
	return waiting{}
}

// handleUnknownToWorker handles a task that its worker no longer knows: the worker was restarted, or a retry at another
// entry instance has stored the result and acknowledged it, which the record then shows.
func (r *Runner) handleUnknownToWorker(a *attempt) state {
	if !a.task.recorded || a.task.isAbandoned() {
		return lost{a, "the worker has forgotten the task"}
	}
	r.finish(a, peer.OutcomeUnreachable, time.Since(a.startedAt))
	return r.rereadRecord(a.task)
}

// fail handles an attempt whose worker is lost. The task no longer runs there: its lease has expired, or the worker
// itself no longer knows it.
func (r *Runner) fail(a *attempt, detail string) state {
	t := a.task
	r.stats.lost.Inc(1)
	r.finish(a, peer.OutcomeUnreachable, time.Since(a.startedAt))
	if t.job.Once {
		r.rejectWithWork(t, reject.KindLost, reject.WorkUnknown, time.Second, detail)
		return finished{}
	}
	return r.retry(a, reject.KindLost, detail)
}
