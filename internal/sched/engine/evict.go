package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// evict stops long-running tasks on leaving workers, those on cordoned workers as far as disruption budgets and free
// capacity allow, and finite tasks, except those of gangs, that can't finish before their worker leaves, so that all
// continue elsewhere.
func (sc *Scheduler) evict(now time.Time) {
	var list []*worker
	for _, w := range sc.index.draining {
		if !w.ended && (w.Leaving || w.longRunningRuns > 0) {
			list = append(list, w)
		}
	}
	// The order decides which tasks leave first, so it must be deterministic.
	slices.SortFunc(list, func(x, y *worker) int { return cmp.Compare(x.ID, y.ID) })
	moves := relocations{scheduler: sc, now: now, competing: map[string]int{}, fitting: map[*stepState]int{}}
	for _, w := range list {
		for _, r := range slices.SortedFunc(maps.Values(w.runs), func(x, y *run) int {
			return x.key.Task.Compare(y.key.Task)
		}) {
			if r.stepState == nil || r.stopRequested {
				continue
			}
			s := r.stepState
			if s.spec.LongRunning {
				if w.Leaving || sc.canEvict(r, now) && moves.allow(r) {
					sc.requestStop(r, "worker is leaving or cordoned")
					moves.noteStop(r)
				}
				continue
			}
			if !w.Leaving {
				continue
			}
			remaining := sc.expectRun(r).Mean() - now.Sub(r.startedAt)
			if remaining > w.DrainTime+drainMargin && !s.spec.Gang {
				sc.requestStop(r, "worker leaves before the run can finish")
			}
		}
	}
}

// minRelocationInterval is the least time that a long-running task that this leader started stays on a cordoned worker
// before it may be moved again.
const minRelocationInterval = 3 * time.Second

// relocations decides in one pass which long-running tasks may leave cordoned workers.
type relocations struct {
	scheduler *Scheduler
	now       time.Time
	// competing counts the long-running tasks that wait, are stopping or are starting, by pool; fitting the usable workers
	// that are not cordoned and fit a task of a step. Both are filled when they are needed.
	competing map[string]int
	fitting   map[*stepState]int
}

// allow reports whether a long-running task may leave a cordoned worker: it has been there for long enough, and the
// workers that it fits on outnumber the competing tasks of its pool, so that two tasks don't leave for the same free
// capacity.
func (m *relocations) allow(r *run) bool {
	return (r.adopted || m.now.Sub(r.startedAt) >= minRelocationInterval) && m.fittingWorkers(r) > m.competingTasks(r.worker.Pool)
}

// noteStop records that a long-running task is being stopped.
func (m *relocations) noteStop(r *run) {
	if n, ok := m.competing[r.worker.Pool]; ok && r.phase == active {
		m.competing[r.worker.Pool] = n + 1
	}
}

func (m *relocations) competingTasks(pool string) int {
	n, ok := m.competing[pool]
	if ok {
		return n
	}
	for s := range m.scheduler.pool(pool).ready {
		if s.spec.LongRunning {
			n += s.waiting
		}
	}
	for _, w := range m.scheduler.index.byPool[pool] {
		if w.longRunningRuns == 0 {
			continue
		}
		for _, o := range w.runs {
			if o.stepState != nil && o.stepState.spec.LongRunning && (o.stopRequested || o.phase != active) {
				n++
			}
		}
	}
	m.competing[pool] = n
	return n
}

// fittingWorkers counts the workers that fit a run's task. The run's own worker is cordoned and does not count.
func (m *relocations) fittingWorkers(r *run) int {
	s := r.stepState
	n, ok := m.fitting[s]
	if ok {
		return n
	}
	for _, w := range m.scheduler.index.byPool[r.worker.Pool] {
		if !w.cordoned && m.scheduler.usable(w, m.now) && m.scheduler.fits(s, w) {
			n++
		}
	}
	m.fitting[s] = n
	return n
}

// drainMargin is how much longer than its announced drain time a leaving worker is expected to run.
const drainMargin = 500 * time.Millisecond

// relocationTime is how long a long-running task that leaves a worker is unavailable: its stop, its start elsewhere and its
// startup.
const relocationTime = 1500 * time.Millisecond

// VacateTime estimates how long it takes until the long-running tasks of some workers have left, if as many leave at a time
// as the disruption budgets allow. Tasks whose budgets allow none don't count.
func (sc *Scheduler) VacateTime(ids []work.WorkerID) time.Duration {
	leaving := map[*stepState]int{}
	rounds := 0
	for _, id := range ids {
		w, ok := sc.workers[id]
		if !ok {
			continue
		}
		for _, r := range w.runs {
			s := r.stepState
			if s == nil || !s.spec.HasMaxUnavailable || s.spec.MaxUnavailable == 0 {
				continue
			}
			leaving[s]++
			rounds = max(rounds, (leaving[s]+s.spec.MaxUnavailable-1)/s.spec.MaxUnavailable)
		}
	}
	return time.Duration(rounds) * relocationTime
}
