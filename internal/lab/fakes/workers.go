package fakes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
)

// Workers is a set of in-memory workers that run tasks under leases and fencing tokens. It records a violation when two
// runs of a task overlap, and when a task starts again after the end of a successful run was acknowledged. The methods
// are safe for concurrent use; the exported fields may be accessed only while no other goroutine uses the set.
type Workers struct {
	mu           sync.Mutex
	random       *rand.Rand
	byID         map[work.WorkerID]*fakeWorker
	acknowledged map[work.TaskID]bool
	// completed are the tasks that have ended successfully.
	completed map[work.TaskID]bool
	failures  map[work.TaskID]int
	started   map[work.TaskID]bool
	// lastStarts is when a task of each job last started.
	lastStarts map[work.JobID]time.Time
	// runTime is how long a run takes, 0 for a random time of at most 1.7 s.
	runTime    time.Duration
	Faults     WorkerFaults
	Violations []string
	Started    int
}

// WorkerFaults configures the injected faults of the workers.
type WorkerFaults struct {
	// NoReplyRate is the share of commands without a reply; half of these are executed with a delay of less than
	// MaxDelay, which must then be positive.
	NoReplyRate float64
	MaxDelay    time.Duration
	// FailureRate is the share of runs that fail; a task fails at most MaxFailures times.
	FailureRate float64
	MaxFailures int
}

type fakeWorker struct {
	worker    work.Worker
	fence     int64
	startedAt time.Time
	leaseEnd  int64 // by the worker's clock, in milliseconds
	runs      map[work.TaskID]*fakeRun
	// highestRun holds the highest run number of each task that was stopped or ended.
	highestRun     map[work.TaskID]int64
	unacknowledged []work.End
	// plans are those of the jobs of which tasks have started here.
	plans       map[work.JobID]Plan
	lastEnd     int64 // number of the latest end
	down        bool
	unreachable bool
	changed     chan struct{} // closed and replaced when a run ends
}

type fakeRun struct {
	number int64
	endsAt time.Time
	fails  bool
	plan   Plan
	// startedAt is when the run started; assembled means that all members of its gang have.
	startedAt time.Time
	assembled bool
}

// isAlone reports whether a run has waited in vain for the other members of its gang.
func (r *fakeRun) isAlone() bool {
	return r.plan.Gang && !r.assembled && time.Since(r.startedAt) > gangWait
}

// slowClock is the rate of a worker's clock relative to real time, the slowest that leases allow for.
const slowClock = 0.98

// NewWorkers returns workers whose faults and run times are drawn from a seeded random source.
func NewWorkers(seed uint64, workers ...work.Worker) *Workers {
	set := &Workers{random: rand.New(rand.NewPCG(seed, 1)), byID: map[work.WorkerID]*fakeWorker{},
		acknowledged: map[work.TaskID]bool{}, completed: map[work.TaskID]bool{}, failures: map[work.TaskID]int{}, started: map[work.TaskID]bool{},
		lastStarts: map[work.JobID]time.Time{}}
	for _, w := range workers {
		set.byID[w.ID] = newFakeWorker(w)
	}
	return set
}

func newFakeWorker(w work.Worker) *fakeWorker {
	w.Incarnation = time.Now().UnixMilli()
	return &fakeWorker{worker: w, startedAt: time.Now(), runs: map[work.TaskID]*fakeRun{},
		highestRun: map[work.TaskID]int64{}, plans: map[work.JobID]Plan{}, changed: make(chan struct{})}
}

// List returns the workers that are up, as the platform lists them.
func (w *Workers) List() []work.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []work.Worker
	for _, f := range w.byID {
		if !f.down {
			list = append(list, f.worker)
		}
	}
	slices.SortFunc(list, func(a, b work.Worker) int { return compare(a.ID, b.ID) })
	return list
}

func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Watch implements leader.Fleet by polling the list.
func (w *Workers) Watch(ctx context.Context, changed func([]work.Worker), current func(at time.Time)) {
	for ctx.Err() == nil {
		at := time.Now()
		changed(w.List())
		current(at)
		sleep(ctx, 100*time.Millisecond)
	}
}

// Crash stops a worker until Restart and discards its runs.
func (w *Workers) Crash(id work.WorkerID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.byID[id]
	f.down = true
	for t, r := range f.runs {
		if r.plan.Gang {
			w.endGang(t, r.number, work.GangMemberEnded)
		}
	}
	f.runs = map[work.TaskID]*fakeRun{}
}

// Restart starts a worker again under its ID, as a new incarnation without the state of the former one.
func (w *Workers) Restart(id work.WorkerID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id] = newFakeWorker(w.byID[id].worker)
}

// Cut makes a worker unreachable while its runs continue, or reachable again.
func (w *Workers) Cut(id work.WorkerID, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id].unreachable = cut
}

// SetRunTime sets how long runs that start from now on take.
func (w *Workers) SetRunTime(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runTime = d
}

// Heal ends every fault and restarts the workers that are down.
func (w *Workers) Heal() {
	w.mu.Lock()
	w.Faults = WorkerFaults{}
	var down []work.WorkerID
	for id, f := range w.byID {
		f.unreachable = false
		if f.down {
			down = append(down, id)
		}
	}
	w.mu.Unlock()
	for _, id := range down {
		w.Restart(id)
	}
}

// clock returns the time since the worker's start by its own slow clock, in milliseconds.
func (f *fakeWorker) clock() int64 {
	return int64(float64(time.Since(f.startedAt).Milliseconds()) * slowClock)
}

// endRuns ends the runs that are due. A run that is due before the lease expires has its own ending; the others end
// with the lease.
func (w *Workers) endRuns(f *fakeWorker) {
	expiry := f.startedAt.Add(time.Duration(float64(f.leaseEnd)/slowClock) * time.Millisecond)
	for t, r := range f.runs {
		switch {
		case f.runs[t] != r:
			// Another member of its gang has ended.
		case r.isAlone():
			w.endRun(f, t, r, work.GangIncomplete)
		case r.plan.Gang && !r.assembled:
		case r.endsAt.Before(expiry) && !r.endsAt.After(time.Now()):
			how := work.Done
			if r.fails {
				how = work.TaskFailed
			}
			w.endRun(f, t, r, how)
		case f.clock() > f.leaseEnd:
			w.endRun(f, t, r, work.LeaseExpired)
		}
	}
}

// endRun ends a run, and the other members of its gang.
func (w *Workers) endRun(f *fakeWorker, t work.TaskID, r *fakeRun, how work.Ending) {
	w.recordEnd(f, t, r, how)
	if r.plan.Gang {
		w.endGang(t, r.number, how)
	}
}

func (w *Workers) recordEnd(f *fakeWorker, t work.TaskID, r *fakeRun, how work.Ending) {
	if how == work.Done {
		complete(w.completed, t, r.plan)
	}
	delete(f.runs, t)
	f.highestRun[t] = max(f.highestRun[t], r.number)
	f.lastEnd++
	f.unacknowledged = append(f.unacknowledged,
		work.End{Number: f.lastEnd, Run: work.RunKey{Task: t, Number: r.number}, How: how})
	close(f.changed)
	f.changed = make(chan struct{})
}

// Execute implements leader.Workers.
func (w *Workers) Execute(ctx context.Context, c engine.Command, fence int64) engine.Outcome {
	if !sleep(ctx, time.Millisecond) {
		return engine.NoReply
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.random.Float64() < w.Faults.NoReplyRate {
		if w.random.IntN(2) == 0 {
			time.AfterFunc(time.Duration(w.random.Int64N(int64(w.Faults.MaxDelay))), func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				// The worker may have restarted in the meantime.
				w.execute(c, fence)
			})
		}
		return engine.NoReply
	}
	return w.execute(c, fence)
}

func (w *Workers) execute(c engine.Command, fence int64) engine.Outcome {
	f := w.byID[workerID(c)]
	switch {
	case f.unreachable:
		return engine.NoReply
	case f.down:
		return engine.NotSent
	}
	w.endRuns(f)
	if fence < f.fence {
		return engine.Fenced
	}
	f.fence = fence
	switch c := c.(type) {
	case engine.Start:
		return w.start(f, c)
	case engine.Stop:
		f.highestRun[c.Run.Task] = max(f.highestRun[c.Run.Task], c.Run.Number)
		if r := f.runs[c.Run.Task]; r != nil && r.number == c.Run.Number {
			w.endRun(f, c.Run.Task, r, work.Stopped)
		}
	}
	return engine.Applied
}

func workerID(c engine.Command) work.WorkerID {
	switch c := c.(type) {
	case engine.Start:
		return c.Worker
	case engine.Stop:
		return c.Worker
	case engine.Throttle:
		return c.Worker
	}
	return ""
}

func (w *Workers) start(f *fakeWorker, c engine.Start) engine.Outcome {
	t := c.Run.Task
	if r := f.runs[t]; r != nil && r.number == c.Run.Number {
		return engine.Applied
	}
	switch {
	case c.LeaseEnd < f.clock():
		return engine.LeaseExpired
	case c.Run.Number <= f.highestRun[t]:
		f.leaseEnd = max(f.leaseEnd, c.LeaseEnd)
		return engine.Outdated
	}
	plan := planOf(c.Spec)
	f.plans[t.Job] = plan
	if plan.Ticket && !isValidTicket(c.Ticket, t, f.worker.ID) {
		return engine.TicketRequired
	}
	w.checkOrder(t, plan)
	w.Started++
	w.started[t] = true
	w.lastStarts[t.Job] = time.Now()
	for id, other := range w.byID {
		if other.down {
			continue
		}
		w.endRuns(other)
		if r := other.runs[t]; r != nil {
			w.Violations = append(w.Violations,
				fmt.Sprintf("%s: run %d at %s beside run %d at %s", t, c.Run.Number, f.worker.ID, r.number, id))
		}
	}
	if w.acknowledged[t] {
		w.Violations = append(w.Violations,
			fmt.Sprintf("%s: run %d at %s after an acknowledged end", t, c.Run.Number, f.worker.ID))
	}
	f.leaseEnd = max(f.leaseEnd, c.LeaseEnd)
	fails := !plan.Gang && w.random.Float64() < w.Faults.FailureRate && w.failures[t] < w.Faults.MaxFailures
	if fails {
		w.failures[t]++
	}
	runTime := 200*time.Millisecond + time.Duration(w.random.Int64N(int64(1500*time.Millisecond)))
	if w.runTime > 0 {
		runTime = w.runTime
	}
	f.runs[t] = &fakeRun{number: c.Run.Number, fails: fails, endsAt: time.Now().Add(runTime), plan: plan,
		startedAt: time.Now()}
	if plan.Gang && t.Step < len(plan.Tasks) {
		w.assembleGang(t, c.Run.Number, plan.Tasks[t.Step], runTime)
	}
	return engine.Applied
}

// Renew implements leader.Workers.
func (w *Workers) Renew(ctx context.Context, c engine.Renewal, fence int64) (work.RenewalReply, engine.Outcome) {
	if !sleep(ctx, time.Millisecond) {
		return work.RenewalReply{}, engine.NoReply
	}
	deadline := time.Now().Add(c.Wait)
	for {
		reply, result, changed, next := w.renew(c, fence)
		if result != engine.Applied || len(reply.Ended) > 0 || !time.Now().Before(deadline) {
			return reply, result
		}
		timer := time.NewTimer(min(time.Until(deadline), max(time.Until(next), time.Millisecond)))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return work.RenewalReply{}, engine.NoReply
		}
		timer.Stop()
	}
}

func (w *Workers) renew(c engine.Renewal, fence int64) (work.RenewalReply, engine.Outcome, <-chan struct{}, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.byID[c.Worker]
	switch {
	case f.unreachable:
		return work.RenewalReply{}, engine.NoReply, nil, time.Time{}
	case f.down:
		return work.RenewalReply{}, engine.NotSent, nil, time.Time{}
	}
	w.endRuns(f)
	if fence < f.fence {
		return work.RenewalReply{}, engine.Fenced, nil, time.Time{}
	}
	f.fence = fence
	f.leaseEnd = max(f.leaseEnd, c.LeaseEnd)
	w.acknowledge(f, c.AckedEnd)
	reply := work.RenewalReply{Incarnation: f.worker.Incarnation, Clock: f.clock(), Ended: slices.Clone(f.unacknowledged)}
	next := time.Now().Add(time.Second)
	for t, r := range f.runs {
		reply.Active = append(reply.Active, work.Active{Run: work.RunKey{Task: t, Number: r.number}, Percent: 100})
		if r.endsAt.Before(next) {
			next = r.endsAt
		}
	}
	return reply, engine.Applied, f.changed, next
}

func (w *Workers) acknowledge(f *fakeWorker, end int64) {
	for len(f.unacknowledged) > 0 && f.unacknowledged[0].Number <= end {
		if e := f.unacknowledged[0]; e.How == work.Done {
			complete(w.acknowledged, e.Run.Task, f.plans[e.Run.Task.Job])
		}
		f.unacknowledged = f.unacknowledged[1:]
	}
}

// Machine is a worker's entry in the platform's list of machines.
type Machine struct {
	work.Worker
	Down bool
}

// Machines returns every worker, including those that are down.
func (w *Workers) Machines() []Machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []Machine
	for _, f := range w.byID {
		list = append(list, Machine{f.worker, f.down})
	}
	slices.SortFunc(list, func(a, b Machine) int { return compare(a.ID, b.ID) })
	return list
}

// StartedJobs returns the jobs of which at least one task was started.
func (w *Workers) StartedJobs() map[work.JobID]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	jobs := map[work.JobID]bool{}
	for t := range w.started {
		jobs[t.Job] = true
	}
	return jobs
}

// LastStart returns when a task of a job last started, or the zero time.
func (w *Workers) LastStart(id work.JobID) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastStarts[id]
}

// Check returns the violations recorded so far.
func (w *Workers) Check() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.Violations)
}

// SetFaults replaces the injected faults.
func (w *Workers) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Faults = f
}
