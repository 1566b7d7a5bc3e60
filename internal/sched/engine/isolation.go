package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// A task suspected of crashing its worker starts only on a worker where every other run is known to have been active
// for crashWindow, and nothing else starts there until the same is known of it. If the worker crashes in that time,
// there is no other candidate. The worker must have replied shortly before: a start without a reply on a worker that was
// down already is evidence of nothing.

const (
	// isolationWait is how long a suspect waits at most for such a worker.
	isolationWait = 3 * time.Second
	// holdTime is how long a worker gets no other tasks because a suspect waits for one; at most one of
	// heldFraction workers is held, and at least one.
	holdTime     = time.Second
	heldFraction = 4
	// suspectReplyAge is how old the last reply of a worker may be on which a suspect starts.
	suspectReplyAge = 250 * time.Millisecond
	// maxProbes bounds the workers that are probed at a time for one suspect.
	maxProbes = 8
)

// isIsolated reports whether a suspect has started on a worker and may still crash it.
func (w *worker) isIsolated() bool {
	r := w.isolated
	return r != nil && w.runs[r.key] == r && r.confirmedFor() < crashWindow
}

// isSettled reports whether every run on a worker is known to have been active for crashWindow.
func (w *worker) isSettled() bool {
	for _, r := range w.runs {
		if r.confirmedFor() < crashWindow {
			return false
		}
	}
	return true
}

// hasSuspects reports whether a task of a step may have caused crashes.
func (s *stepState) hasSuspects() bool { return s.suspects > 0 }

// setSuspicion sets the suspicion of a task, or ends it with nil.
func (s *stepState) setSuspicion(t *task, p *suspicion) {
	if t.suspicion != nil {
		s.suspects--
	}
	if p != nil {
		s.suspects++
	}
	t.suspicion = p
}

// isolate records that a run of a suspect starts on its worker.
func (sc *Scheduler) isolate(r *run) {
	if p := r.stepState.suspect(r.key.Task.Index).suspicion; p.count() > 0 {
		p.waitingSince = time.Time{}
		r.worker.isolated = r
		r.worker.held = false
	}
}

// hasWaited reports whether a suspect that can't start now has waited for isolationWait.
func (p *suspicion) hasWaited(now time.Time) bool {
	if p.waitingSince.IsZero() {
		p.waitingSince = now
	}
	return now.Sub(p.waitingSince) > isolationWait
}

// chooseForSuspect returns the worker for a task that may have caused crashes, or nil if it waits for one or its job is
// to be given up.
func (sc *Scheduler) chooseForSuspect(s *stepState, t *task, workers []*worker, now time.Time) *worker {
	switch {
	case t.suspicion.exceeded():
		return nil
	case t.suspicion.count() == 0:
		return sc.chooseWorker(s, workers)
	case t.suspicion.hasWaited(now):
		fitting := slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool { return !sc.fits(s, w) })
		return sc.chooseWorker(s, sc.probed(fitting, now))
	}
	fitting := slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool {
		return w.cordoned || w.isIsolated() || !sc.hasRoom(s, w) || !w.isSettled()
	})
	if len(fitting) > 0 {
		if fitting = sc.probed(fitting, now); len(fitting) == 0 {
			return nil
		}
		return slices.MinFunc(fitting, compareByRuns)
	}
	sc.holdWorker(s, workers, now)
	return nil
}

// probed returns those of some workers that have replied within suspectReplyAge, and has others probed if there are none.
func (sc *Scheduler) probed(workers []*worker, now time.Time) []*worker {
	recent := slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool { return now.Sub(w.clockReadAt) > suspectReplyAge })
	if len(recent) > 0 {
		return recent
	}
	slices.SortFunc(workers, compareByRuns)
	for _, w := range workers[:min(len(workers), maxProbes)] {
		if !w.probeWanted {
			w.probeWanted = true
			sc.touch(w)
		}
	}
	return nil
}

// compareByRuns orders workers by their number of runs, so that a crash ends few.
func compareByRuns(x, y *worker) int {
	return cmp.Or(cmp.Compare(len(x.runs), len(y.runs)), cmp.Compare(x.ID, y.ID))
}

// holdWorker keeps other tasks away from one more worker for holdTime, so that a suspect can start there.
func (sc *Scheduler) holdWorker(s *stepState, workers []*worker, now time.Time) {
	held := 0
	var possible []*worker
	for _, w := range workers {
		switch {
		case w.held:
			held++
		case !w.cordoned && !w.isIsolated() && w.Has(s.spec.Label) && s.spec.Reserved().FitsIn(w.freeOfFinite()):
			possible = append(possible, w)
		}
	}
	if len(possible) == 0 || held >= max(1, len(workers)/heldFraction) {
		return
	}
	w := slices.MinFunc(possible, compareByRuns)
	w.held, w.heldUntil = true, now.Add(holdTime)
	sc.held = append(sc.held, w)
}

// freeOfFinite returns the capacity that is free once all finite runs have ended.
func (w *worker) freeOfFinite() work.Need {
	n := w.Capacity
	for _, r := range w.runs {
		if r.stepState != nil && r.stepState.spec.LongRunning {
			n = n.Minus(r.need)
		}
	}
	return n
}

// releaseHeld lets tasks start again on workers that were held for holdTime.
func (sc *Scheduler) releaseHeld(now time.Time) {
	sc.held = slices.DeleteFunc(sc.held, func(w *worker) bool {
		if w.held && now.After(w.heldUntil) {
			w.held = false
		}
		return !w.held
	})
}

// gangWorkers returns the workers on which a gang may start: for a suspect those where it would be the only candidate
// of a crash, for at most isolationWait, and none once its job is to be given up.
func (sc *Scheduler) gangWorkers(s *stepState, workers []*worker, now time.Time) []*worker {
	t := &s.tasks[0]
	switch {
	case t.suspicion.exceeded():
		return nil
	case t.suspicion.count() == 0:
		return workers
	case t.suspicion.hasWaited(now):
		return sc.probed(slices.Clone(workers), now)
	}
	return sc.probed(slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool { return !w.isSettled() }), now)
}
