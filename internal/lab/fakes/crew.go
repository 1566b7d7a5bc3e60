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

// Workers is a set of workers in memory that run tasks under leases and fencing tokens. It notes every broken promise:
// two runs of a task at once, a run after one that ended done was acknowledged, a run beyond the attempts.
type Workers struct {
	mu         sync.Mutex
	random     *rand.Rand
	hands      map[work.WorkerID]*hand
	done       map[work.TaskID]bool
	failed     map[work.TaskID]int
	started    map[work.TaskID]bool
	Faults     WorkerFaults
	Violations []string
	Started    int
}

// WorkerFaults says how the workers misbehave.
type WorkerFaults struct {
	// Unanswered is the share of orders without a reply; half of them are carried out up to LateBy later.
	Unanswered float64
	LateBy     time.Duration
	// Failing is the share of runs that fail; a task fails at most MostFailed times.
	Failing    float64
	MostFailed int
}

// hand is one worker.
type hand struct {
	worker work.Worker
	fence  int64
	epoch  time.Time
	until  int64
	runs   map[work.TaskID]*handRun
	// highest are the highest run numbers that were stopped or ended.
	highest map[work.TaskID]int64
	ended   []work.End
	count   int64
	down    bool
	cut     bool
	changed chan struct{}
}

type handRun struct {
	number int64
	ends   time.Time
	fails  bool
}

// slowClock is the rate of a worker's clock: the slowest that is allowed.
const slowClock = 0.98

// NewWorkers returns workers that decide by a seed.
func NewWorkers(seed uint64, workers ...work.Worker) *Workers {
	c := &Workers{random: rand.New(rand.NewPCG(seed, 1)), hands: map[work.WorkerID]*hand{}, done: map[work.TaskID]bool{},
		failed: map[work.TaskID]int{}, started: map[work.TaskID]bool{}}
	for _, w := range workers {
		c.hands[w.ID] = newHand(w)
	}
	return c
}

func newHand(w work.Worker) *hand {
	w.Incarnation = time.Now().UnixMilli()
	return &hand{worker: w, epoch: time.Now(), runs: map[work.TaskID]*handRun{}, highest: map[work.TaskID]int64{},
		changed: make(chan struct{})}
}

// List returns the workers that are up, as the platform lists them.
func (c *Workers) List() []work.Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []work.Worker
	for _, h := range c.hands {
		if !h.down {
			list = append(list, h.worker)
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

// Watch implements leader.Fleet by looking at the list at intervals.
func (c *Workers) Watch(ctx context.Context, changed func([]work.Worker)) {
	for ctx.Err() == nil {
		changed(c.List())
		sleep(ctx, 100*time.Millisecond)
	}
}

// Crash ends a worker with everything that it runs and knows, until Restart.
func (c *Workers) Crash(id work.WorkerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hands[id].down = true
	c.hands[id].runs = map[work.TaskID]*handRun{}
}

// Restart brings a worker back under its name; it knows nothing of before.
func (c *Workers) Restart(id work.WorkerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hands[id] = newHand(c.hands[id].worker)
}

// Cut keeps orders from a worker that runs on, or ends that.
func (c *Workers) Cut(id work.WorkerID, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hands[id].cut = cut
}

// Heal ends every fault.
func (c *Workers) Heal() {
	c.mu.Lock()
	c.Faults = WorkerFaults{}
	var down []work.WorkerID
	for id, h := range c.hands {
		h.cut = false
		if h.down {
			down = append(down, id)
		}
	}
	c.mu.Unlock()
	for _, id := range down {
		c.Restart(id)
	}
}

func (h *hand) clock() int64 { return int64(float64(time.Since(h.epoch).Milliseconds()) * slowClock) }

// settle ends the runs whose time has come, first those of a lease that ended before.
func (c *Workers) settle(h *hand) {
	lapse := h.epoch.Add(time.Duration(float64(h.until)/slowClock) * time.Millisecond)
	for t, r := range h.runs {
		switch {
		case r.ends.Before(lapse) && !r.ends.After(time.Now()):
			how := work.Done
			if r.fails {
				how = work.TaskFailed
			}
			c.finish(h, t, r, how)
		case h.clock() > h.until:
			c.finish(h, t, r, work.LeaseExpired)
		}
	}
}

func (c *Workers) finish(h *hand, t work.TaskID, r *handRun, how work.Ending) {
	delete(h.runs, t)
	h.highest[t] = max(h.highest[t], r.number)
	h.count++
	h.ended = append(h.ended, work.End{Number: h.count, Run: work.RunKey{Task: t, Number: r.number}, How: how})
	close(h.changed)
	h.changed = make(chan struct{})
}

// Execute implements leader.Workers.
func (c *Workers) Execute(ctx context.Context, o engine.Command, fence int64) engine.Outcome {
	if !sleep(ctx, time.Millisecond) {
		return engine.NoReply
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.random.Float64() < c.Faults.Unanswered {
		if c.random.IntN(2) == 0 {
			id := workerOf(o)
			life := c.hands[id]
			time.AfterFunc(time.Duration(c.random.Int64N(int64(c.Faults.LateBy))), func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				// An order that waits in a worker ends with it.
				if c.hands[id] == life {
					c.carry(o, fence)
				}
			})
		}
		return engine.NoReply
	}
	return c.carry(o, fence)
}

func (c *Workers) carry(o engine.Command, fence int64) engine.Outcome {
	h := c.hands[workerOf(o)]
	switch {
	case h.cut:
		return engine.NoReply
	case h.down:
		return engine.NotSent
	}
	c.settle(h)
	if fence < h.fence {
		return engine.Fenced
	}
	h.fence = fence
	switch o := o.(type) {
	case engine.Start:
		return c.start(h, o)
	case engine.Stop:
		h.highest[o.Run.Task] = max(h.highest[o.Run.Task], o.Run.Number)
		if r := h.runs[o.Run.Task]; r != nil && r.number == o.Run.Number {
			c.finish(h, o.Run.Task, r, work.Stopped)
		}
	}
	return engine.Applied
}

func workerOf(o engine.Command) work.WorkerID {
	switch o := o.(type) {
	case engine.Start:
		return o.Worker
	case engine.Stop:
		return o.Worker
	case engine.Throttle:
		return o.Worker
	}
	return ""
}

func (c *Workers) start(h *hand, o engine.Start) engine.Outcome {
	t := o.Run.Task
	if r := h.runs[t]; r != nil && r.number == o.Run.Number {
		return engine.Applied
	}
	switch {
	case o.Until < h.clock():
		return engine.LeaseExpired
	case o.Run.Number <= h.highest[t]:
		h.until = max(h.until, o.Until)
		return engine.Outdated
	}
	c.Started++
	c.started[t] = true
	for id, other := range c.hands {
		if other.down {
			continue
		}
		c.settle(other)
		if r := other.runs[t]; r != nil {
			c.Violations = append(c.Violations, fmt.Sprintf("%s: run %d at %s beside run %d at %s", t, o.Run.Number, h.worker.ID, r.number, id))
		}
	}
	if c.done[t] {
		c.Violations = append(c.Violations, fmt.Sprintf("%s: run %d at %s after an acknowledged end", t, o.Run.Number, h.worker.ID))
	}
	h.until = max(h.until, o.Until)
	fails := c.random.Float64() < c.Faults.Failing && c.failed[t] < c.Faults.MostFailed
	if fails {
		c.failed[t]++
	}
	h.runs[t] = &handRun{number: o.Run.Number, fails: fails,
		ends: time.Now().Add(200*time.Millisecond + time.Duration(c.random.Int64N(int64(1500*time.Millisecond))))}
	return engine.Applied
}

// Renew implements leader.Workers.
func (c *Workers) Renew(ctx context.Context, o engine.Renewal, fence int64) (work.RenewalReply, engine.Outcome) {
	if !sleep(ctx, time.Millisecond) {
		return work.RenewalReply{}, engine.NoReply
	}
	deadline := time.Now().Add(o.Wait)
	for {
		look, result, changed, next := c.look(o, fence)
		if result != engine.Applied || len(look.Ended) > 0 || !time.Now().Before(deadline) {
			return look, result
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

func (c *Workers) look(o engine.Renewal, fence int64) (work.RenewalReply, engine.Outcome, <-chan struct{}, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hands[o.Worker]
	switch {
	case h.cut:
		return work.RenewalReply{}, engine.NoReply, nil, time.Time{}
	case h.down:
		return work.RenewalReply{}, engine.NotSent, nil, time.Time{}
	}
	c.settle(h)
	if fence < h.fence {
		return work.RenewalReply{}, engine.Fenced, nil, time.Time{}
	}
	h.fence = fence
	h.until = max(h.until, o.Until)
	c.acknowledge(h, o.AckedEnd)
	look := work.RenewalReply{Incarnation: h.worker.Incarnation, Clock: h.clock(), Ended: slices.Clone(h.ended)}
	next := time.Now().Add(time.Second)
	for t, r := range h.runs {
		look.Active = append(look.Active, work.Active{Run: work.RunKey{Task: t, Number: r.number}, Percent: 100})
		if r.ends.Before(next) {
			next = r.ends
		}
	}
	return look, engine.Applied, h.changed, next
}

func (c *Workers) acknowledge(h *hand, seen int64) {
	for len(h.ended) > 0 && h.ended[0].Number <= seen {
		if e := h.ended[0]; e.How == work.Done {
			c.done[e.Run.Task] = true
		}
		h.ended = h.ended[1:]
	}
}

// Machine is what the platform's list of machines says of a worker.
type Machine struct {
	work.Worker
	Down bool
}

// Machines returns every worker, also those that are down.
func (c *Workers) Machines() []Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Machine
	for _, h := range c.hands {
		list = append(list, Machine{h.worker, h.down})
	}
	slices.SortFunc(list, func(a, b Machine) int { return compare(a.ID, b.ID) })
	return list
}

// Ran returns the jobs of which a task was started.
func (c *Workers) Ran() map[work.JobID]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	jobs := map[work.JobID]bool{}
	for t := range c.started {
		jobs[t.Job] = true
	}
	return jobs
}

// Check returns the broken promises noted so far.
func (c *Workers) Check() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.Violations)
}

// SetFaults changes how the workers misbehave from now on.
func (c *Workers) SetFaults(f WorkerFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Faults = f
}
