package engine

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

const (
	// crashWindow is how long a run must be known to be active before a crash of its worker is no longer ascribed to it.
	crashWindow = 200 * time.Millisecond
	// crashLimit is the number of crashes after a confirmed start after which a job is given up if the task was the only
	// candidate in one of them; crashMaximum is the number of crashes after which it is given up in any case. They leave room
	// below the platform's limit for crashes that a change of leadership hides. Those of mass events count towards neither.
	crashLimit   = 2
	crashMaximum = 4
)

// taskCrash is a crash that a run of a task may have caused.
type taskCrash struct {
	event  *workerCrash
	number int64
	// started means that the worker had confirmed the start, so that the crash can't have come before it.
	started bool
	// sole means that there was no other candidate.
	sole bool
}

// suspicion holds the crashes that a task, or a whole gang, may have caused since it was last known not to.
type suspicion struct {
	// restored is the count that a former leader stored.
	restored int
	// waitingSince is since when the task waits for a worker to itself; zero if it does not.
	waitingSince time.Time
	crashes      []taskCrash
}

// count returns the number of crashes without those of mass events. It is 0 for nil.
func (p *suspicion) count() int {
	if p == nil {
		return 0
	}
	n := p.restored
	for _, c := range p.crashes {
		if !c.event.mass {
			n++
		}
	}
	return n
}

// certain returns the number of crashes that followed a confirmed start, without those of mass events.
func (p *suspicion) certain() int {
	if p == nil {
		return 0
	}
	n := p.restored
	for _, c := range p.crashes {
		if c.started && !c.event.mass {
			n++
		}
	}
	return n
}

// exceeded reports whether the crashes suffice to give up the job.
func (p *suspicion) exceeded() bool {
	if p == nil {
		return false
	}
	sole := slices.ContainsFunc(p.crashes, func(c taskCrash) bool { return c.sole && c.started && !c.event.mass })
	return sole && p.certain() >= crashLimit || p.count() >= crashMaximum
}

// suspect returns the task that holds the suspicion of a task: the first one for the whole gang.
func (s *stepState) suspect(index int) *task {
	if s.spec.Gang {
		return &s.tasks[0]
	}
	return &s.tasks[index]
}

// confirmedFor returns how long a run is known to have been active: from when this process knew of its start to the
// sending of the last renewal whose reply listed it. When a reply is read says little: that may be late.
func (r *run) confirmedFor() time.Duration { return max(0, r.listedAt.Sub(r.phaseSince)) }

// isPlannedEnd reports whether the end of a worker may follow from an announcement. That it is cordoned does not count:
// the machine of a worker with runs is not taken away.
func (sc *Scheduler) isPlannedEnd(w *worker) bool {
	return w.Leaving || sc.evacuated[w.Zone]
}

// markCrashed records that a worker has ended without an operation of this system.
func (sc *Scheduler) markCrashed(w *worker, end workerEnd) {
	sc.markEnded(w, end)
	sc.recordCrash(w)
}

// candidate is a task that may have caused a crash.
type candidate struct {
	step   *stepState
	index  int
	number int64
	// started means that the worker had confirmed the start.
	started bool
}

// recordCrash ascribes a crash of a worker to those of the runs given up there that were not known to be active for
// crashWindow: to the suspects among them, or to all if none is one. Each run is considered once.
func (sc *Scheduler) recordCrash(w *worker) {
	defer sc.forgetGivenUp(w)
	if sc.isPlannedEnd(w) {
		return
	}
	var candidates []candidate
	subjects := map[*task]bool{}
	unknown, confirmed := 0, 0
	for key, g := range w.givenUp {
		if g.considered || g.lateStart {
			continue
		}
		s := sc.findStep(key.Task)
		switch {
		case g.confirmedFor >= crashWindow:
			confirmed++
			continue
		case s == nil || s.job.state.Final() || s.tasks[key.Task.Index].done:
			unknown++
			continue
		}
		candidates = append(candidates, candidate{s, key.Task.Index, key.Number, g.started})
		subjects[s.suspect(key.Task.Index)] = true
		sc.log.Info("engine: worker crashed soon after the start of a run", zap.Stringer("task", key.Task),
			zap.Int64("run", key.Number), zap.String("worker", string(w.ID)), zap.Duration("active", g.confirmedFor),
			zap.Bool("started", g.started), zap.Int("before", s.suspect(key.Task.Index).suspicion.count()))
	}
	if len(candidates)+unknown+confirmed == 0 {
		return
	}
	suspected := slices.ContainsFunc(candidates, candidate.isSuspect)
	event := sc.addCrash(w, suspected)
	sc.log.Warn("engine: worker crashed", zap.String("worker", string(w.ID)), zap.String("zone", w.Zone),
		zap.Int("candidates", len(candidates)), zap.Int("unknown", unknown), zap.Int("confirmed", confirmed))
	if suspected {
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return !c.isSuspect() })
	}
	for _, c := range candidates {
		sc.ascribe(c, event, len(subjects) == 1 && unknown == 0)
	}
}

func (c candidate) isSuspect() bool { return c.step.suspect(c.index).suspicion.count() > 0 }

// ascribe adds a crash to a task; a gang's run counts once, however many workers crash under its members.
func (sc *Scheduler) ascribe(c candidate, event *workerCrash, sole bool) {
	t := c.step.suspect(c.index)
	if t.suspicion == nil {
		c.step.setSuspicion(t, &suspicion{})
	}
	p := t.suspicion
	if slices.ContainsFunc(p.crashes, func(o taskCrash) bool { return o.number == c.number }) {
		return
	}
	p.crashes = append(p.crashes, taskCrash{event: event, number: c.number, started: c.started, sole: sole})
	sc.markDirty(c.step.job)
	if p.exceeded() {
		sc.exceeded = append(sc.exceeded, c)
	}
}

// forgetGivenUp excludes the runs given up so far from the attribution of a later crash.
func (sc *Scheduler) forgetGivenUp(w *worker) {
	for key, g := range w.givenUp {
		g.considered = true
		w.givenUp[key] = g
	}
}

// clearSuspicion ends the suspicion of a task, or a gang, once all its runs are known to have been active for
// crashWindow.
func (sc *Scheduler) clearSuspicion(r *run) {
	s := r.stepState
	if s == nil || r.confirmedFor() < crashWindow {
		return
	}
	t := s.suspect(r.key.Task.Index)
	if t.suspicion == nil {
		return
	}
	if s.spec.Gang {
		for i := range s.tasks {
			if !slices.ContainsFunc(s.tasks[i].runs, func(o *run) bool { return o.confirmedFor() >= crashWindow }) {
				return
			}
		}
	}
	s.setSuspicion(t, nil)
	sc.markDirty(s.job)
}

// failExceeded fails the jobs whose tasks exceed the limit of crashes, once none of the crashes can become part of a
// mass event any more.
func (sc *Scheduler) failExceeded(now time.Time) {
	if len(sc.exceeded) == 0 {
		return
	}
	sc.findMassCrashes(now)
	sc.exceeded = slices.DeleteFunc(sc.exceeded, func(c candidate) bool {
		p := c.step.suspect(c.index).suspicion
		if c.step.job.state.Final() || c.step.tasks[c.index].done || !p.exceeded() {
			return true
		}
		if n := len(p.crashes); n > 0 && now.Sub(p.crashes[n-1].event.at) <= massWindow {
			return false
		}
		workers := make([]string, 0, len(p.crashes))
		for _, o := range p.crashes {
			workers = append(workers, string(o.event.worker.ID))
		}
		sc.log.Warn("engine: job failed, workers crash when they start a task", zap.String("job", string(c.step.job.ID)),
			zap.Stringer("task", c.step.task(c.index)), zap.Int("crashes", p.restored+len(p.crashes)),
			zap.Strings("workers", workers))
		sc.finishJob(c.step.job, work.Failed)
		return true
	})
}

// restoreSuspicion sets the number of crashes that a former leader stored for a task.
func (sc *Scheduler) restoreSuspicion(s *stepState, index, count int) {
	if count == 0 {
		return
	}
	t := &s.tasks[index]
	s.setSuspicion(t, &suspicion{restored: count})
	if t.suspicion.exceeded() {
		sc.exceeded = append(sc.exceeded, candidate{step: s, index: index})
	}
}
