package runner

import (
	"context"
	"errors"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// checkAndStart makes the last check and sends the start at once. If this process is paused in between, the
// reservation lapses meanwhile and the worker refuses the start.
func (r *Runner) checkAndStart(a *attempt) state {
	t := a.task
	if err := r.check(a); err != nil {
		return r.refuseStart(a, err)
	}
	before, ok := t.beginStart()
	if !ok {
		r.finish(a, "", 0)
		r.dropReservation(a)
		return finished{}
	}
	a.before, a.began = before, time.Now()
	a.reply()
	a.sending()
	r.retries.Started()
	r.stats.started.Inc(1)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	err := r.parts.Workers.Start(ctx, a.address, worker.Start{Task: a.id, Lease: lease, Once: t.job.Once,
		Key: t.job.Key, Checkpoint: t.checkpoint, Input: t.job.Input})
	switch {
	case err == nil:
		a.reply()
		t.starts++
		t.setRunning()
		return running{a}
	case isCertain(err):
		t.undoStart(before)
		r.finish(a, outcomeOf(err), 0)
		return r.again(t, err)
	}
	t.starts++
	r.stats.doubtful.Inc(1)
	return doubtful{a}
}

// settleStart finds out whether a start took effect whose reply was lost. A task that the worker doesn't run is
// stopped, because the start may still be on its way: the stop fences its id.
func (r *Runner) settleStart(a *attempt) state {
	for a.untilLapse() > 0 {
		st, err := r.ask(context.Background(), a, 0)
		if err == nil && st.State != worker.Reserved && st.State != worker.Fenced {
			a.task.setRunning()
			return running{a}
		}
		if err == nil || errors.Is(err, worker.ErrUnknown) {
			if s := r.fenceStart(a); s != nil {
				return s
			}
		}
		pause(context.Background(), retryPause)
	}
	return lost{a, "the start was not confirmed and the worker is silent"}
}

// fenceStart stops a task that seems not to have started; nil means that the worker did not answer.
func (r *Runner) fenceStart(a *attempt) state {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	st, err := r.parts.Workers.Stop(ctx, a.address, a.id, false)
	if err != nil {
		return nil
	}
	a.reply()
	if st.State != worker.Fenced {
		return ended{a, st}
	}
	if !r.isSameBoot(ctx, a) {
		return lost{a, "the worker was restarted while the start was in doubt"}
	}
	a.task.undoStart(a.before)
	r.finish(a, peer.OutcomeUnreachable, 0)
	return waiting{}
}

// isSameBoot reports whether a worker's claim that it never started a task can be believed. A restarted worker has
// forgotten what it started, so a non-idempotent task needs the boot id from before the start; others may run again.
func (r *Runner) isSameBoot(ctx context.Context, a *attempt) bool {
	if !a.task.job.Once {
		return true
	}
	report, err := r.parts.Workers.Report(ctx, a.address)
	return err == nil && a.boot != "" && report.Boot == a.boot
}

// ask makes one bounded poll for a task's status.
func (r *Runner) ask(ctx context.Context, a *attempt, wait time.Duration) (worker.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	st, err := r.parts.Workers.Await(ctx, a.address, a.id, wait)
	if err == nil {
		a.reply()
	}
	return st, err
}

// await polls a running task until it ends, is given up on, is moved, or its lease has certainly lapsed.
func (r *Runner) await(a *attempt) state {
	t := a.task
	t.setRunning()
	for {
		switch {
		case t.hasQuit():
			return stopping{a, false}
		case r.mustEvacuate(a):
			return stopping{a, true}
		}
		st, err := r.ask(t.life, a, pollWait)
		switch {
		case err == nil && st.State.Ended():
			return ended{a, st}
		case errors.Is(err, worker.ErrUnknown):
			return r.forgotten(a)
		case err != nil && a.untilLapse() <= 0:
			return lost{a, "the worker is silent"}
		case err != nil:
			pause(t.life, retryPause)
		}
	}
}

// stop ends a task at its worker. The ceiling unit is held until the worker confirms or the lease has lapsed.
func (r *Runner) stop(a *attempt, move bool) state {
	a.halt()
	for a.untilLapse() > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		st, err := r.parts.Workers.Stop(ctx, a.address, a.id, move)
		cancel()
		switch {
		case err == nil && move && st.State == worker.Stopped:
			return r.moveOn(a, st)
		case err == nil && st.State.Ended():
			return ended{a, st}
		case errors.Is(err, worker.ErrUnknown):
			return r.forgotten(a)
		}
		pause(context.Background(), retryPause)
	}
	return lost{a, "the worker is silent"}
}

// moveOn continues an evacuated task elsewhere from its checkpoint. Planned moves don't spend the retry budget.
func (r *Runner) moveOn(a *attempt, st worker.Status) state {
	a.task.checkpoint = st.Checkpoint
	r.stats.evacuated.Inc(1)
	r.finish(a, "", 0)
	return waiting{}
}

// forgotten deals with a task that its worker no longer knows: the worker was restarted, or a retry at another entry
// instance has kept the result and acknowledged it, which the record then tells.
func (r *Runner) forgotten(a *attempt) state {
	if !a.task.recorded || a.task.hasQuit() {
		return lost{a, "the worker has forgotten the task"}
	}
	r.finish(a, peer.OutcomeUnreachable, time.Since(a.began))
	return r.reread(a.task)
}

// giveOver deals with an attempt whose worker is lost. The task surely no longer runs there: its lease has lapsed,
// or the worker itself no longer knows it.
func (r *Runner) giveOver(a *attempt, detail string) state {
	t := a.task
	r.stats.lapsed.Inc(1)
	r.finish(a, peer.OutcomeUnreachable, time.Since(a.began))
	if t.job.Once {
		r.rejectAs(t, reject.KindLost, reject.WorkUnknown, time.Second, detail)
		return finished{}
	}
	return r.retry(a, reject.KindLost, detail)
}
