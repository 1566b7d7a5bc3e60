package engine

import (
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// givenUpRun says why and when a run was released although its end was not known.
type givenUpRun struct {
	reason string
	at     time.Time
	// confirmedFor is how long the run was known to have been active.
	confirmedFor time.Duration
	// started means that the worker had confirmed the start.
	started bool
	// lateStart means that the run was started on a cordoned worker, whose machine may have been taken away meanwhile.
	lateStart bool
	// considered means that the run is not to be considered as the cause of a crash any more.
	considered bool
}

// giveUpRuns releases the runs of a worker although their ends are not known. The worker remembers them, so that the
// log can tell what had become of them if it replies again. Those whose start a later incarnation may execute linger.
func (sc *Scheduler) giveUpRuns(w *worker, end workerEnd) {
	now := time.Now()
	for _, r := range w.runs {
		if r.phase == startPlanned {
			sc.releaseRun(r)
			continue
		}
		if !r.lingers && !r.inherited {
			sc.rememberGivenUp(r, end.reason)
		}
		if end.replaced || !r.lingers && !sc.mayLinger(r, end.noneAt, now) {
			sc.releaseRun(r)
		} else {
			r.linger(now)
		}
	}
}

// rememberGivenUp records with the worker that a run is given up, and with its task the last checkpoint that the worker reported.
func (sc *Scheduler) rememberGivenUp(r *run, reason string) {
	w := r.worker
	if s := r.stepState; s != nil && !s.job.state.Final() && !s.tasks[r.key.Task.Index].done &&
		s.noteCheckpoint(r.key.Task.Index, r.key.Number, r.checkpoint) {
		sc.markDirty(s.job)
	}
	if w.givenUp == nil {
		w.givenUp = map[work.RunKey]givenUpRun{}
	}
	sc.endCounts.GivenUp++
	now := time.Now()
	sc.log.Info("engine: run given up, its end is not known", zap.Stringer("task", r.key.Task),
		zap.Int64("run", r.key.Number), zap.String("worker", string(w.ID)), zap.String("why", reason),
		zap.Bool("started", r.phase == active), zap.Duration("age", now.Sub(r.startedAt)),
		zap.Duration("listed", elapsed(r.listedAt, now)), zap.Duration("silent", elapsed(w.unresponsiveSince, now)),
		zap.Duration("lease", sc.leasesEnd(w).Sub(now)))
	w.givenUp[r.key] = givenUpRun{reason: reason, at: time.Now(), confirmedFor: r.confirmedFor(), started: r.phase == active,
		lateStart: r.lateStart}
}

// elapsed returns the time since a moment, or -1 if that is zero.
func elapsed(since, now time.Time) time.Duration {
	if since.IsZero() {
		return -1
	}
	return now.Sub(since)
}

// logGivenUp logs what a worker reports of a run that was given up: an end, or that it is active. It also logs whether
// the leases that this leader sent have expired on the worker's clock, how many other runs the task has, and whether it has
// been started again.
func (sc *Scheduler) logGivenUp(w *worker, key work.RunKey, state string) {
	g, ok := w.givenUp[key]
	if !ok {
		return
	}
	copies, again := 0, false
	if s := sc.findStep(key.Task); s != nil {
		t := &s.tasks[key.Task.Index]
		copies, again = len(t.runs), t.lastNumber > key.Number
	}
	sc.log.Warn("engine: worker reports a run that was given up", zap.Stringer("task", key.Task),
		zap.Int64("run", key.Number), zap.String("worker", string(w.ID)), zap.String("how", state),
		zap.String("why", g.reason), zap.Duration("ago", time.Since(g.at)), zap.Int64("clock", w.clock),
		zap.Int64("until", w.lastLeaseEnd), zap.Bool("expired", w.clock > w.lastLeaseEnd), zap.Int("copies", copies),
		zap.Bool("again", again))
}
