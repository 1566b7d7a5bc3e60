package engine

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Demand is the demand for one pool; CPU is in thousandths of a core.
type Demand struct {
	Pool string
	// Running is what finite tasks take now, Waiting what ready ones would take, LongRunning what long-running tasks
	// take and ready ones would take. The tasks of a first round are ready even before it is due. Best-effort tasks
	// don't count. LongRunning includes the CPU of the machines that the pool needs beyond that for the memory of these
	// tasks.
	Running, Waiting, LongRunning int64
	// Arrived is the estimated work of the jobs submitted in this term, in core-milliseconds. Long-running and
	// best-effort tasks don't count.
	Arrived float64
	// SpreadMin is the least number of workers on which each step of long-running tasks keeps to its MaxPerWorker.
	SpreadMin int
}

// Demands returns the demand for every pool that has queues, runs or waiting tasks, in no particular order.
func (sc *Scheduler) Demands() []Demand {
	demands := map[string]*Demand{}
	memory := map[string]int64{} // of running tasks and waiting long-running ones, by pool
	at := func(pool string) *Demand {
		d, ok := demands[pool]
		if !ok {
			d = &Demand{Pool: pool, Arrived: sc.arrived[pool]}
			demands[pool] = d
		}
		return d
	}
	for _, q := range sc.config.Queues {
		at(q.Pool)
	}
	for _, w := range sc.workers {
		for _, r := range w.runs {
			memory[w.Pool] += r.need.Memory
			switch {
			case r.stepState == nil || r.stepState.spec.BestEffort:
			case r.stepState.spec.LongRunning:
				at(w.Pool).LongRunning += r.need.CPU
			default:
				at(w.Pool).Running += r.need.CPU
			}
		}
	}
	for name, p := range sc.pools {
		for s := range p.ready {
			waiting := s.spec.Need.CPU * int64(s.waiting)
			switch {
			case s.spec.BestEffort:
			case s.spec.LongRunning:
				at(name).LongRunning += waiting
				memory[name] += s.spec.Need.Memory * int64(s.waiting)
			default:
				at(name).Waiting += waiting
			}
		}
	}
	for _, j := range sc.unfinished {
		for _, s := range j.stepStates {
			if s.spec.LongRunning && s.spec.MaxPerWorker > 0 {
				d := at(sc.poolOf(j))
				d.SpreadMin = max(d.SpreadMin, (len(s.tasks)+s.spec.MaxPerWorker-1)/s.spec.MaxPerWorker)
			}
		}
	}
	for name, m := range memory {
		if d := at(name); d.Running+d.LongRunning > 0 {
			d.LongRunning += max(sc.cpuWithMemory(name, m)-d.Running-d.LongRunning, 0)
		}
	}
	list := make([]Demand, 0, len(demands))
	for _, d := range demands {
		list = append(list, *d)
	}
	return list
}

// cpuWithMemory returns the CPU of as many machines of a pool as have an amount of memory.
func (sc *Scheduler) cpuWithMemory(pool string, memory int64) int64 {
	var total work.Need
	for _, w := range sc.index.byPool[pool] {
		if w.listed && !w.ended {
			total = total.Plus(w.Capacity)
		}
	}
	if total.Memory == 0 {
		return 0
	}
	return int64(float64(memory) * float64(total.CPU) / float64(total.Memory))
}

// recordArrival adds the estimated work of all rounds of a submitted job to its pool's arrived work. Best-effort tasks
// don't count, nor do long-running ones, whose estimate is 0.
func (sc *Scheduler) recordArrival(j *job) {
	if sc.refused.remove(j.ID) {
		return
	}
	j.arrival = sc.arrivalOf(j)
	sc.arrived[j.settings.Pool] += j.arrival
}

// countRefused adds the work of a job that was refused to its pool's arrived work, once however often its caller returns: a pool
// that only got machines for what it takes on would go on refusing what the fleet could do.
func (sc *Scheduler) countRefused(j work.Job, now time.Time) {
	if !sc.refused.add(j.ID, now) {
		return
	}
	if q, ok := sc.config.Queue(j.Queue); ok {
		sc.arrived[q.Pool] += sc.arrivalOf(&job{Job: j})
	}
}

const (
	// refusedMaxAge is how long a refused job is remembered. It is longer than the longest time after which callers are told to
	// come back.
	refusedMaxAge = 15 * time.Second
	// maxRefused bounds the refused jobs that are remembered, 40 bytes each.
	maxRefused = 20000
)

// refusedJobs are the jobs that were refused lately and whose work was counted, in two generations by age.
type refusedJobs struct {
	recent, former map[work.JobID]bool
	since          time.Time
}

// add remembers a job and reports whether it was unknown.
func (r *refusedJobs) add(id work.JobID, now time.Time) bool {
	if r.recent == nil || now.Sub(r.since) >= refusedMaxAge || len(r.recent) >= maxRefused/2 {
		r.recent, r.former, r.since = map[work.JobID]bool{}, r.recent, now
	}
	known := r.recent[id] || r.former[id]
	r.recent[id] = true
	return !known
}

// remove forgets a job and reports whether it was known.
func (r *refusedJobs) remove(id work.JobID) bool {
	known := r.recent[id] || r.former[id]
	delete(r.recent, id)
	delete(r.former, id)
	return known
}

// arrivalOf returns the estimated work of all rounds of a job, in core-milliseconds.
func (sc *Scheduler) arrivalOf(j *job) float64 {
	total := 0.0
	for i := range j.Steps {
		if s := &j.Steps[i]; !s.BestEffort {
			total += float64(s.Need.CPU*int64(s.Count)) * sc.estimateFor(&j.Job, s).Seconds()
		}
	}
	return total * float64(j.Rounds())
}

// WorkerUsage is what runs on a worker.
type WorkerUsage struct {
	// Known means that the worker has reported its run lists under this term's fencing token, and no ends are left to read.
	Known bool
	// Ended means that nothing runs on the worker any more, or that the scheduler does not have it.
	Ended bool
	// Runs counts the runs that may exist on the worker, and those whose ends the store does not have: only the worker can tell
	// the next leader of these.
	Runs int
	// LongRunning counts the runs of long-running tasks among them.
	LongRunning int
	// RemainingTime is the longest expected remaining time of the runs of finite tasks among them; 0 if none or, without learned
	// run times, overdue.
	RemainingTime time.Duration
	// Leaving means that the platform is taking the worker away.
	Leaving bool
}

// Usage returns what runs on a worker.
func (sc *Scheduler) Usage(id work.WorkerID) WorkerUsage {
	w, ok := sc.workers[id]
	if !ok || w.ended {
		return WorkerUsage{Ended: true}
	}
	now := time.Now()
	o := WorkerUsage{Known: w.confirmed && !w.endsUnread, Runs: len(w.runs) + len(w.unackedEnds), Leaving: w.Leaving}
	for _, r := range w.runs {
		switch {
		case r.stepState == nil:
		case r.stepState.spec.LongRunning:
			o.LongRunning++
		default:
			o.RemainingTime = max(o.RemainingTime, sc.expectRun(r).RemainingQuantile(drainQuantile, now.Sub(r.startedAt)))
		}
	}
	return o
}

// RunsBeside returns the number of runs, and of ends that are not stored, on a machine's other workers than one.
func (sc *Scheduler) RunsBeside(id work.WorkerID, machine string) int {
	n := 0
	for _, w := range sc.workers {
		if w.Machine == machine && w.ID != id && !w.ended {
			n += len(w.runs) + len(w.unackedEnds)
		}
	}
	return n
}

// Incarnation returns when the current incarnation of a worker began, in milliseconds since 1970; 0 if not known.
func (sc *Scheduler) Incarnation(id work.WorkerID) int64 {
	if w, ok := sc.workers[id]; ok {
		return w.Incarnation
	}
	return 0
}

// canEvict reports whether the scheduler may stop a long-running task within its step's disruption budget: fewer others
// of the step are unavailable than the maximum. A step without a budget always allows it.
func (sc *Scheduler) canEvict(r *run, now time.Time) bool {
	s := r.stepState
	if !s.spec.HasMaxUnavailable {
		return true
	}
	unavailable := 0
	for i := range s.tasks {
		if i != r.key.Task.Index && !sc.isAvailable(&s.tasks[i], now) {
			unavailable++
		}
	}
	return unavailable < s.spec.MaxUnavailable
}

// isAvailable reports whether a long-running task counts as available: a responsive worker has reported that it is at
// work, and it is not being stopped.
func (sc *Scheduler) isAvailable(t *task, now time.Time) bool {
	for _, r := range t.runs {
		if r.phase == active && !r.stopRequested && !sc.mayBeStoppedLate(r, now) && r.percent >= 100 &&
			r.worker.unresponsiveSince.IsZero() {
			return true
		}
	}
	return false
}
