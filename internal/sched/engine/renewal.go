package engine

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

const (
	// lookWait is how long a worker may hold its reply back until a run ends. It bounds the age of what is known of
	// the interference between tasks.
	lookWait = time.Second
	// lookPause lets ends gather, so that one look and one commit serve several of them.
	lookPause = 30 * time.Millisecond
	// commitPause is how long a look waits for the commit of the ends of the one before.
	commitPause = 250 * time.Millisecond
	// doubtPause is the time between looks while a run is doubtful or stopping.
	doubtPause = 60 * time.Millisecond
	// silentPause is the time between looks at a worker that does not answer, maxSilentPause its upper bound.
	silentPause    = 250 * time.Millisecond
	maxSilentPause = time.Second
)

// Renewal renews the lease of everything that runs on a worker and asks for its lists.
type Renewal struct {
	Worker  work.WorkerID
	Address string
	// ExtendLease asks for a new lease; PrepareRenewal sets its end in milliseconds of the worker's clock.
	ExtendLease bool
	Until       int64
	// AckedEnd acknowledges all ends up to this one.
	AckedEnd int64
	Wait     time.Duration
}

// NextRenewal returns the next look at a worker and the time until it is due; no look is needed if it returns false.
func (b *Scheduler) NextRenewal(id work.WorkerID) (Renewal, time.Duration, bool) {
	w, ok := b.workers[id]
	if !ok || w.ended {
		return Renewal{}, 0, false
	}
	o := Renewal{Worker: id, Address: w.Address, AckedEnd: w.acked}
	if !w.silent.IsZero() && (w.listed || len(w.runs) > 0 || b.prior[id] != nil) {
		// No renewal: a lease that is extended by looks whose fate is unknown would never be seen to end.
		return o, min(silentPause*time.Duration(w.failures), maxSilentPause), true
	}
	if !w.looked {
		return o, 0, w.listed || b.prior[id] != nil
	}
	if len(w.runs) == 0 {
		return o, 0, w.acked > 0 && w.acked == w.handled && w.acked > w.toldSeen
	}
	o.ExtendLease = true
	if w.handled > w.acked {
		return o, commitPause, true
	}
	for _, r := range w.runs {
		if r.phase == doubtful || r.stop {
			return o, doubtPause, true
		}
	}
	o.Wait = lookWait
	return o, lookPause, true
}

// PrepareRenewal prepares a look for being sent now.
func (b *Scheduler) PrepareRenewal(o Renewal) Renewal {
	if w, ok := b.workers[o.Worker]; ok && o.ExtendLease {
		o.Until = w.extend(b.options.Lease)
	}
	return o
}

// extend returns the end of a new lease and remembers it as sent.
func (w *worker) extend(lease time.Duration) int64 {
	until := w.now() + lease.Milliseconds()
	w.until = max(w.until, until)
	return until
}

// HandleRenewalFailure records a look without a reply.
func (b *Scheduler) HandleRenewalFailure(o Renewal, result Outcome) {
	w, ok := b.workers[o.Worker]
	if !ok {
		return
	}
	if result == Replaced {
		b.forget(w)
		return
	}
	b.suspect(w)
}

// HandleRenewal takes in the reply to a look that was sent at a time.
func (b *Scheduler) HandleRenewal(o Renewal, reply work.RenewalReply, sent time.Time) {
	w, ok := b.workers[o.Worker]
	if !ok || w.ended {
		return
	}
	if reply.Incarnation != 0 && reply.Incarnation < w.Incarnation {
		// The reply of an earlier life says nothing of this one.
		return
	}
	if reply.Incarnation > w.Incarnation {
		if w.Incarnation != 0 {
			b.reborn(w, reply.Incarnation)
		}
		w.Incarnation = reply.Incarnation
	}
	if !w.silent.IsZero() {
		b.log.Info("engine: worker answers again", zap.String("worker", string(w.ID)), zap.Duration("after", time.Since(w.silent)))
	}
	w.clock, w.clockAt = reply.Clock, time.Now()
	w.silent = time.Time{}
	w.failures = 0
	w.toldSeen = max(w.toldSeen, o.AckedEnd)
	first := !w.looked
	w.looked = true
	b.ends(w, reply.Ended)
	b.runs(w, reply.Active, sent)
	if first {
		b.log.Info("engine: worker taken over", zap.String("worker", string(w.ID)), zap.Int("runs", len(w.runs)),
			zap.Int("ends", len(reply.Ended)), zap.Int64("born", w.Incarnation))
		delete(b.prior, w.ID)
		if !w.used {
			w.used = true
			b.usedDirty[w.ID] = true
		}
	}
}

// runs compares the worker's list of runs with the scheduler's.
func (b *Scheduler) runs(w *worker, listed []work.Active, sent time.Time) {
	present := make(map[work.RunKey]bool, len(listed))
	for _, a := range listed {
		present[a.Run] = true
		r, ok := w.runs[a.Run]
		if !ok {
			r = b.adopt(w, a)
		}
		if r.phase != active {
			r.phase = active
			r.since = time.Now()
		}
		r.saved = a.Checkpoint
		r.percent, r.level = a.Percent, a.LoadSignal
		b.watchTail(r)
	}
	for key, r := range w.runs {
		if present[key] || r.since.After(sent) || r.phase == ordered {
			continue
		}
		switch {
		case r.stop && !r.stopDone.IsZero() && r.stopDone.Before(sent):
			b.drop(r)
		case r.stop:
		case r.phase == doubtful:
			b.halt(r, "start without a reply")
		default:
			b.log.Warn("engine: run vanished", zap.Stringer("task", key.Task), zap.Int64("run", key.Number),
				zap.String("worker", string(w.ID)))
			b.halt(r, "run vanished")
		}
	}
}

// adopt takes in a run that this holder of the seat did not know of.
func (b *Scheduler) adopt(w *worker, a work.Active) *run {
	now := time.Now()
	r := &run{key: a.Run, worker: w, phase: active, began: now, since: now, percent: a.Percent, paced: a.Percent}
	w.runs[a.Run] = r
	s := b.find(a.Run.Task)
	if s == nil {
		b.halt(r, "run of a task that is not wanted")
		b.log.Info("engine: unwanted run found", zap.Stringer("task", a.Run.Task), zap.Int64("run", a.Run.Number),
			zap.String("worker", string(w.ID)))
		return r
	}
	r.need = s.spec.Reserved()
	w.taken = w.taken.Plus(r.need)
	t := &s.tasks[a.Run.Task.Index]
	t.last = max(t.last, a.Run.Number)
	s.group = max(s.group, a.Run.Number)
	r.bundle = s
	r.charge = s.spec.Need
	b.usage[s.job.Customer] = b.usage[s.job.Customer].Plus(r.charge)
	if len(t.runs) == 0 && !t.done {
		s.waiting--
	}
	surplus := t.done || s.job.state.Final() || len(t.runs) > 0 && !s.spec.Speculative
	t.runs = append(t.runs, r)
	s.job.started = true
	if surplus {
		b.halt(r, "surplus run")
	}
	b.log.Info("engine: run adopted", zap.Stringer("task", a.Run.Task), zap.Int64("run", a.Run.Number),
		zap.String("worker", string(w.ID)), zap.Bool("surplus", surplus))
	return r
}

// find returns the bundle of a task, or nil if it is done or was never wanted.
func (b *Scheduler) find(t work.TaskID) *bundle {
	j, ok := b.jobs[t.Job]
	if !ok {
		return nil
	}
	s, ok := j.bundles[bundleKey{t.Round, t.Step}]
	if !ok || t.Index < 0 || t.Index >= len(s.tasks) {
		return nil
	}
	return s
}

// ends takes in the ends that are new.
func (b *Scheduler) ends(w *worker, list []work.End) {
	for _, e := range list {
		if e.Number <= w.handled {
			continue
		}
		w.handled = e.Number
		b.end(w, e)
	}
}

func (b *Scheduler) end(w *worker, e work.End) {
	r := w.runs[e.Run]
	s := b.find(e.Run.Task)
	b.log.Info("engine: run ended", zap.Stringer("task", e.Run.Task), zap.Int64("run", e.Run.Number),
		zap.String("worker", string(w.ID)), zap.String("how", string(e.How)))
	w.judge(e.How)
	if r != nil {
		b.drop(r)
	}
	if s != nil && !s.job.state.Final() {
		t := &s.tasks[e.Run.Task.Index]
		t.last = max(t.last, e.Run.Number)
		s.job.started = true
		if e.Checkpoint != "" && e.Checkpoint != t.saved {
			t.saved = e.Checkpoint
			b.touch(s.job)
		}
		b.conclude(s, e, r)
	}
}

func (b *Scheduler) conclude(s *bundle, e work.End, r *run) {
	index := e.Run.Task.Index
	switch {
	case s.spec.LongRunning:
	case e.How == work.Done:
		if r != nil && r.percent != 0 {
			b.observe(s.job.Queue, s.spec, time.Since(r.began))
		}
		if s.spec.Gang {
			for i := range s.tasks {
				b.finishTask(s, i)
			}
			return
		}
		b.finishTask(s, index)
	case e.How == work.TaskFailed:
		if s.spec.Gang {
			index = 0
		}
		t := &s.tasks[index]
		if t.done || slices.Contains(t.failed, e.Run.Number) {
			return
		}
		t.failed = append(t.failed, e.Run.Number)
		b.touch(s.job)
		if attempts := max(b.queueOf(s.job).Attempts, 1); len(t.failed) >= attempts {
			b.log.Info("engine: job failed", zap.String("job", string(s.job.ID)), zap.Stringer("task", e.Run.Task),
				zap.Int("attempts", attempts))
			b.finishJob(s.job, work.Failed)
		}
	}
}

// faultGain is the weight of a new end in a worker's record of faults; about the last 8 count.
const faultGain = 1.0 / 8

// judge notes how a run ended at a worker.
func (w *worker) judge(how work.Ending) {
	switch how {
	case work.Done:
		w.faults -= w.faults * faultGain
	case work.TaskFailed:
		w.faults += (1 - w.faults) * faultGain
	default:
	}
}
