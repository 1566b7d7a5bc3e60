package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// worker is a worker with what runs on it.
type worker struct {
	work.Worker
	// listed means that the platform lists the worker now.
	listed bool
	// ended means that nothing of this worker runs any more; it is only kept until the list drops it.
	ended   bool
	endedAt time.Time
	// looked means that the worker has shown its lists under our fencing token, so that no former holder can order it.
	looked bool
	// used means that the store knows that tasks may run there.
	used, usedStored bool
	// taken is what its runs reserve.
	taken work.Need
	runs  map[work.RunKey]*run
	// clock is the worker's clock at the moment clockAt.
	clock   int64
	clockAt time.Time
	// until is the latest end of a lease that was sent, in the worker's clock.
	until int64
	// handled is the last end taken in, acked the last one that the store knows of.
	handled, acked int64
	// toldSeen is the last end that the worker was told to forget.
	toldSeen int64
	// silent is since when the worker has not answered; zero while it does.
	silent     time.Time
	failures   int
	pauseUntil time.Time
	// held means that the worker is about to be taken away and gets nothing new.
	held bool
	// faults is the share of recent runs that failed, for the choice between workers.
	faults float64
}

// free returns what may still be reserved.
func (w *worker) free() work.Need { return w.Capacity.Minus(w.taken) }

// now estimates the worker's clock; it is never behind the real one by more than the way of the last reply.
func (w *worker) now() int64 { return w.clock + time.Since(w.clockAt).Milliseconds() }

// lapsed returns when every lease that was sent to the worker has surely ended.
func (w *worker) lapsed() time.Time {
	if w.clockAt.IsZero() {
		return time.Now()
	}
	left := time.Duration(float64(w.until-w.clock)/(1-clockDrift)) * time.Millisecond
	return w.clockAt.Add(max(left, 0)).Add(leaseMargin)
}

// SetWorkers replaces the list of workers that the platform gives.
func (b *Scheduler) SetWorkers(list []work.Worker) {
	now := map[work.WorkerID]bool{}
	for _, l := range list {
		now[l.ID] = true
		b.list(l)
	}
	for id, w := range b.workers {
		if w.listed && !now[id] {
			w.listed = false
			b.log.Info("engine: worker no longer listed", zap.String("worker", string(id)), zap.Int("runs", len(w.runs)))
		}
	}
}

func (b *Scheduler) list(l work.Worker) {
	w, ok := b.workers[l.ID]
	if !ok {
		w = &worker{Worker: l, listed: true, runs: map[work.RunKey]*run{}}
		b.workers[l.ID] = w
		b.log.Info("engine: new worker", zap.String("worker", string(l.ID)), zap.String("pool", l.Pool),
			zap.String("zone", l.Zone), zap.String("address", l.Address))
		return
	}
	if l.Incarnation != 0 && w.Incarnation != 0 && l.Incarnation > w.Incarnation {
		b.reborn(w, l.Incarnation)
	}
	if l.Leaving != w.Leaving {
		b.log.Info("engine: worker leaves", zap.String("worker", string(l.ID)), zap.Bool("leaving", l.Leaving),
			zap.Int("runs", len(w.runs)))
	}
	born := max(w.Incarnation, l.Incarnation)
	w.Worker = l
	w.Incarnation = born
	w.listed = true
	if w.ended && time.Since(w.endedAt) > endedFor {
		// It is still there: what was thought to have ended it did not.
		w.ended, w.looked = false, false
	}
}

// endedFor is how long the platform may go on listing a worker that has ended, in which it counts as ended.
const endedFor = 6 * time.Second

// reborn forgets what ran on a worker before it restarted.
func (b *Scheduler) reborn(w *worker, born int64) {
	b.log.Info("engine: worker restarted", zap.String("worker", string(w.ID)), zap.Int64("born", born),
		zap.Int("runs", len(w.runs)))
	for _, r := range w.runs {
		b.drop(r)
	}
	w.Incarnation = born
	w.looked, w.ended = false, false
	w.handled, w.acked, w.toldSeen = 0, 0, 0
	w.clock, w.until = 0, 0
	w.clockAt = time.Time{}
	delete(b.prior, w.ID)
}

// forget drops what ran on a worker that has surely ended.
func (b *Scheduler) forget(w *worker) {
	if w.ended {
		return
	}
	b.log.Info("engine: worker ended", zap.String("worker", string(w.ID)), zap.Int("runs", len(w.runs)))
	for _, r := range w.runs {
		b.drop(r)
	}
	w.ended = true
	w.endedAt = time.Now()
	b.unuse(w)
	delete(b.prior, w.ID)
}

// TrackedWorkers returns the workers that may have to be looked at.
func (b *Scheduler) TrackedWorkers() []work.WorkerID {
	ids := make([]work.WorkerID, 0, len(b.workers))
	for id := range b.workers {
		ids = append(ids, id)
	}
	return ids
}

// Tracks reports whether a worker is still of interest.
func (b *Scheduler) Tracks(id work.WorkerID) bool { return b.workers[id] != nil }

// MarkWorkerEnded records that the platform took a worker's machine away, which ends everything on it.
func (b *Scheduler) MarkWorkerEnded(id work.WorkerID) {
	if w, ok := b.workers[id]; ok {
		b.forget(w)
	}
}

// Reconcile takes in which worker each machine runs, "" for none, as the platform listed it on a request sent at a
// time. A worker is one life of its machine: one that does not answer and is not listed by its machine has ended, and
// its tasks need not wait for its leases.
func (b *Scheduler) Reconcile(running map[string]work.WorkerID, sent time.Time) {
	for id, w := range b.workers {
		now, listed := running[w.Machine]
		if w.ended || w.Machine == "" || !listed || now == id {
			continue
		}
		if b.prior[id] != nil || !w.silent.IsZero() && w.silent.Before(sent) {
			b.log.Info("engine: machine runs another worker or none", zap.String("machine", w.Machine),
				zap.String("worker", string(id)), zap.String("now", string(now)))
			b.forget(w)
		}
	}
}

// AwaitsLeaseExpiry reports whether tasks wait for the leases of a worker that does not answer.
func (b *Scheduler) AwaitsLeaseExpiry() bool {
	if len(b.prior) > 0 {
		return true
	}
	for _, w := range b.workers {
		if !w.silent.IsZero() && len(w.runs) > 0 {
			return true
		}
	}
	return false
}

// Cordon keeps new tasks from a worker that is about to be taken away, or ends that.
func (b *Scheduler) Cordon(id work.WorkerID, held bool) {
	if w, ok := b.workers[id]; ok {
		w.held = held
	}
}

// suspect notes that a worker did not answer.
func (b *Scheduler) suspect(w *worker) {
	w.failures++
	if w.silent.IsZero() {
		w.silent = time.Now()
		b.log.Warn("engine: worker does not answer", zap.String("worker", string(w.ID)), zap.Int("runs", len(w.runs)),
			zap.Duration("lease", time.Until(w.lapsed())))
	}
}

// usable reports whether a worker may get tasks now, unless it is held. The store must know that tasks may run there, because a later
// holder of the seat must find them.
func (b *Scheduler) usable(w *worker, now time.Time) bool {
	return w.usedStored && w.listed && !w.ended && w.looked && !w.Leaving && w.silent.IsZero() && !b.out[w.Zone] &&
		now.After(w.pauseUntil)
}

// relieve ends what can't finish on leaving workers and the lasting tasks on held ones, so that they go on elsewhere.
func (b *Scheduler) relieve(now time.Time) {
	var list []*worker
	for _, w := range b.workers {
		if (w.Leaving || w.held) && !w.ended {
			list = append(list, w)
		}
	}
	// The order decides which tasks leave first; it is the same on every run.
	slices.SortFunc(list, func(x, y *worker) int { return cmp.Compare(x.ID, y.ID) })
	for _, w := range list {
		for _, r := range slices.SortedFunc(maps.Values(w.runs), func(x, y *run) int { return x.key.Task.Compare(y.key.Task) }) {
			if r.bundle == nil || r.stop {
				continue
			}
			s := r.bundle
			if s.spec.LongRunning {
				if w.Leaving || b.yields(r, now) && b.vacates(r, now) {
					b.halt(r, "worker leaves")
				}
				continue
			}
			if !w.Leaving {
				continue
			}
			rest := b.estimate(s.job.Queue, *s.spec) - now.Sub(r.began)
			if rest > w.DrainTime+leavePatience && !s.spec.Gang {
				b.halt(r, "worker leaves before the end")
			}
		}
	}
}

// settled is how long a lasting task stays where it is before it may be moved again.
const settled = 3 * time.Second

// vacates reports whether a lasting task may leave a held worker: more workers have room for it than lasting tasks of
// its pool are on their way or wait, so that two tasks don't leave for the same room.
func (b *Scheduler) vacates(r *run, now time.Time) bool {
	if now.Sub(r.began) < settled {
		return false
	}
	leaving := 0
	for s := range b.pool(r.worker.Pool).ready {
		if s.spec.LongRunning {
			leaving += s.waiting
		}
	}
	rooms := 0
	for _, w := range b.workers {
		if w.Pool != r.worker.Pool {
			continue
		}
		for _, o := range w.runs {
			if o.bundle != nil && o.bundle.spec.LongRunning && (o.stop || o.phase != active) {
				leaving++
			}
		}
		if w != r.worker && !w.held && b.usable(w, now) && b.room(r.bundle, w) {
			rooms++
		}
	}
	return rooms > leaving
}

// leavePatience is how much longer than announced a leaving worker is trusted to go on.
const leavePatience = 500 * time.Millisecond

// drop ends a run as far as the scheduler is concerned: its task waits again unless it is done.
func (b *Scheduler) drop(r *run) {
	w, s := r.worker, r.bundle
	if w.runs[r.key] != r {
		return
	}
	delete(w.runs, r.key)
	delete(b.stops, r.key)
	w.taken = w.taken.Minus(r.need)
	if s == nil {
		return
	}
	b.usage[s.job.Customer] = b.usage[s.job.Customer].Minus(r.charge)
	t := &s.tasks[r.key.Task.Index]
	for i, o := range t.runs {
		if o == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	if len(t.runs) == 0 && !t.done {
		s.waiting++
		t.lostAt = time.Now()
		b.enqueue(s)
	}
}

// lapse drops what a silent worker ran once all its leases have ended. Nothing runs there until it has shown its lists
// again.
func (b *Scheduler) lapse(w *worker, now time.Time) {
	b.log.Warn("engine: leases of a silent worker have lapsed", zap.String("worker", string(w.ID)),
		zap.Int("runs", len(w.runs)), zap.Duration("silent", now.Sub(w.silent)))
	for _, r := range w.runs {
		b.drop(r)
	}
	b.unuse(w)
	w.looked = false
}

// unuse lets the store forget that tasks may run on a worker.
func (b *Scheduler) unuse(w *worker) {
	if w.used {
		w.used, w.usedStored = false, false
		b.usedDirty[w.ID] = true
	}
}

// Tick drops what has surely ended, opens rounds that are due and forgets old jobs.
func (b *Scheduler) Tick() {
	now := time.Now()
	b.reportStalls(now)
	for id, w := range b.workers {
		if !w.silent.IsZero() && w.used && now.After(w.lapsed()) && b.prior[id] == nil {
			b.lapse(w, now)
		}
		if !w.listed && len(w.runs) == 0 && !w.used && (w.ended || !w.silent.IsZero()) && b.prior[id] == nil {
			delete(b.workers, id)
		}
	}
	if len(b.prior) > 0 && now.After(b.priorUntil) {
		b.log.Info("engine: leases of former leaders have expired", zap.Int("workers", len(b.prior)))
		b.prior = map[work.WorkerID]*worker{}
	}
	for id, j := range b.jobs {
		switch {
		case j.state.Final():
			if j.shown.Final() && now.Sub(j.finished) > b.options.JobRetention {
				delete(b.jobs, id)
				b.gone = append(b.gone, id)
			}
		case j.Repeats > 0 && j.opened < j.Rounds() && !now.Before(time.UnixMilli(j.Due(j.opened))):
			b.open(j)
			for _, s := range j.bundles {
				b.enqueue(s)
			}
		}
	}
}
