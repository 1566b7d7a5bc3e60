package runner

import (
	"context"
	"errors"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// checkAndStart does the last check and sends the start at once. If this process is paused in between, the reservation
// expires and the worker refuses the start.
func (r *Runner) checkAndStart(a *attempt) state {
	t := a.task
	if err := r.check(a); err != nil {
		return r.refuseStart(a, err)
	}
	before, ok := t.beginStart()
	if !ok {
		r.finish(a, "", 0)
		r.releaseReservation(a)
		return finished{}
	}
	a.workBefore, a.startedAt = before, time.Now()
	a.noteReply()
	a.noteRenewal()
	r.retryBudget.ObserveStart()
	r.stats.started.Inc(1)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	err := r.options.Workers.Start(ctx, a.address, worker.Start{Task: a.id, Lease: lease, Once: t.job.Once,
		Key: t.job.Key, Checkpoint: t.checkpoint, Input: t.job.Input})
	switch {
	case err == nil:
		a.noteReply()
		t.starts++
		t.setRunning()
		return running{a}
	case hadNoEffect(err):
		t.undoStart(before)
		r.finish(a, outcomeOf(err), 0)
		return r.requeue(t, err)
	}
	t.starts++
	r.stats.startsUnknown.Inc(1)
	return startUnknown{a}
}

// resolveStart finds out whether a start without a reply took effect. A task that the worker does not run is stopped,
// because the start may still arrive: the stop fences its id.
func (r *Runner) resolveStart(a *attempt) state {
	for a.untilLeaseExpiry() > 0 {
		st, err := r.pollStatus(context.Background(), a, 0)
		if err == nil && st.State != worker.Reserved && st.State != worker.Fenced {
			a.task.setRunning()
			return running{a}
		}
		if err == nil || errors.Is(err, worker.ErrUnknown) {
			if s := r.fenceStart(a); s != nil {
				return s
			}
		}
		pause(context.Background(), retryBackoff)
	}
	return lost{a, "the start was not confirmed and the worker is silent"}
}

// fenceStart stops a task that seems not to have started; nil means that the worker did not answer.
func (r *Runner) fenceStart(a *attempt) state {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	st, err := r.options.Workers.Stop(ctx, a.address, a.id, false)
	if err != nil {
		return nil
	}
	a.noteReply()
	if st.State != worker.Fenced {
		return ended{a, st}
	}
	if !r.isSameBoot(ctx, a) {
		return lost{a, "the worker was restarted while the start was in doubt"}
	}
	a.task.undoStart(a.workBefore)
	r.finish(a, peer.OutcomeUnreachable, 0)
	return waiting{}
}

// isSameBoot reports whether a worker's reply that it never started a task can be trusted. A restarted worker no longer
// knows what it started, so a non-idempotent task needs the boot id from before the start; others may run again.
func (r *Runner) isSameBoot(ctx context.Context, a *attempt) bool {
	if !a.task.job.Once {
		return true
	}
	report, err := r.options.Workers.Report(ctx, a.address)
	return err == nil && a.bootID != "" && report.Boot == a.bootID
}

// pollStatus polls the status of a task once, for at most callTimeout.
func (r *Runner) pollStatus(ctx context.Context, a *attempt, wait time.Duration) (worker.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	st, err := r.options.Workers.Await(ctx, a.address, a.id, wait)
	if err == nil {
		a.noteReply()
	}
	return st, err
}
