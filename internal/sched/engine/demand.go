package engine

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Demand is the demand for one pool; CPU is in thousandths of a core.
type Demand struct {
	Pool string
	// Running is what tasks that end take now, Waiting what those that could start now would take, LongRunning what
	// lasting tasks take or would take.
	Running, Waiting, LongRunning int64
	// Arrived is the work of all accepted jobs so far, in core-milliseconds.
	Arrived float64
	// SpreadMin is how many workers it takes to keep the lasting tasks as far apart as their steps demand.
	SpreadMin int
}

// Demands returns the demand for every pool that has queues or jobs.
func (b *Scheduler) Demands() []Demand {
	loads := map[string]*Demand{}
	at := func(pool string) *Demand {
		l, ok := loads[pool]
		if !ok {
			l = &Demand{Pool: pool, Arrived: b.arrived[pool]}
			loads[pool] = l
		}
		return l
	}
	for _, q := range b.config.Queues {
		at(q.Pool)
	}
	for _, w := range b.workers {
		for _, r := range w.runs {
			switch {
			case r.bundle == nil || r.bundle.spec.BestEffort:
			case r.bundle.spec.LongRunning:
				at(w.Pool).LongRunning += r.need.CPU
			default:
				at(w.Pool).Running += r.need.CPU
			}
		}
	}
	for name, p := range b.pools {
		for s := range p.ready {
			waiting := s.spec.Need.CPU * int64(s.waiting)
			switch {
			case s.spec.BestEffort:
			case s.spec.LongRunning:
				at(name).LongRunning += waiting
			default:
				at(name).Waiting += waiting
			}
		}
	}
	for _, j := range b.jobs {
		if j.state.Final() {
			continue
		}
		for _, s := range j.bundles {
			if s.spec.LongRunning && s.spec.MaxPerWorker > 0 {
				l := at(b.poolOf(j))
				l.SpreadMin = max(l.SpreadMin, (len(s.tasks)+s.spec.MaxPerWorker-1)/s.spec.MaxPerWorker)
			}
		}
	}
	list := make([]Demand, 0, len(loads))
	for _, l := range loads {
		list = append(list, *l)
	}
	return list
}

// arrive notes the work of a job that was taken in.
func (b *Scheduler) arrive(j *job) {
	total := 0.0
	for _, s := range j.Steps {
		if !s.BestEffort {
			total += float64(s.Need.CPU*int64(s.Count)) * b.estimate(j.Queue, s).Seconds()
		}
	}
	b.arrived[j.terms.Pool] += total * float64(j.Rounds())
}

// WorkerUsage is what runs on a worker.
type WorkerUsage struct {
	// Known means that the worker has shown its lists under our fencing token.
	Known bool
	// Ended workers run nothing.
	Ended bool
	// Runs counts everything that may run there.
	Runs int
	// LongRunning counts the lasting tasks among them.
	LongRunning int
	// RemainingTime is how long the longest of the others is expected to run on.
	RemainingTime time.Duration
	// Leaving workers are taken away by the platform.
	Leaving bool
}

// Usage returns what runs on a worker.
func (b *Scheduler) Usage(id work.WorkerID) WorkerUsage {
	w, ok := b.workers[id]
	if !ok || w.ended {
		return WorkerUsage{Ended: true}
	}
	now := time.Now()
	o := WorkerUsage{Known: w.looked, Runs: len(w.runs), Leaving: w.Leaving}
	for _, r := range w.runs {
		switch {
		case r.bundle == nil:
		case r.bundle.spec.LongRunning:
			o.LongRunning++
		default:
			o.RemainingTime = max(o.RemainingTime, b.estimate(r.bundle.job.Queue, *r.bundle.spec)-now.Sub(r.began))
		}
	}
	return o
}

// Incarnation returns when the present life of a worker began, in milliseconds since 1970; 0 if not known.
func (b *Scheduler) Incarnation(id work.WorkerID) int64 {
	if w, ok := b.workers[id]; ok {
		return w.Incarnation
	}
	return 0
}

// yields reports whether a lasting task may be ended by our doing: so few others of its step are away that the step's
// budget allows one more.
func (b *Scheduler) yields(r *run, now time.Time) bool {
	s := r.bundle
	if !s.spec.HasMaxUnavailable {
		return true
	}
	away := 0
	for i := range s.tasks {
		if i != r.key.Task.Index && !b.atWork(&s.tasks[i], now) {
			away++
		}
	}
	return away < s.spec.MaxUnavailable
}

// atWork reports whether a lasting task has been up for long enough to count as available.
func (b *Scheduler) atWork(t *task, now time.Time) bool {
	for _, r := range t.runs {
		if r.phase == active && !r.stop && r.percent >= 100 && r.worker.silent.IsZero() &&
			now.Sub(r.began) >= b.options.Startup+startupMargin {
			return true
		}
	}
	return false
}

// startupMargin is added to the startup of a lasting task before it counts as available.
const startupMargin = time.Second
