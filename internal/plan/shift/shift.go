// Package shift decides which machines move between pools to follow the demand. It does no I/O.
//
// Pools take turns in high demand, which changes faster than a pool's own machines can serve it, and a move takes less
// than two seconds. Decisions are therefore based on the work that arrives and waits now, and on how quickly it rises.
package shift

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/plan/cycle"
)

// Options are the parameters of the decisions.
type Options struct {
	// BacklogTime is the time within which waiting tasks should start; less than 100 ms counts as 100 ms.
	BacklogTime time.Duration
	// Headroom is the share by which a pool's CPU should exceed its demand other than that of long-running tasks.
	Headroom float64
	// MinMachines is the least number of machines of a pool with queues.
	MinMachines int
	// ReleaseDelay is how long after a burst a pool keeps machines that it no longer needs, unless another pool needs
	// them.
	ReleaseDelay time.Duration
	// Lead is how long it takes until tasks run on a machine that is to move.
	Lead time.Duration
	// Cycles turns on the use of learned cycles of the demand; see docs/design/cycles.md.
	Cycles bool
}

// WithLead returns the options with another Lead.
func (o Options) WithLead(d time.Duration) Options {
	o.Lead = d
	return o
}

// Default returns the default options; docs/note-platform.md gives the reasons.
func Default() Options {
	return Options{BacklogTime: time.Second, Headroom: 0.15, MinMachines: 2, ReleaseDelay: 2 * time.Second,
		Lead: 1700 * time.Millisecond}
}

// Demand is the demand for one pool.
type Demand struct {
	Pool string
	// Running, Waiting and LongRunning are the CPU, in thousandths of a core, of running tasks that end by themselves,
	// of such tasks that could start now, and of long-running tasks.
	Running, Waiting, LongRunning int64
	// Arrived is the total work of the jobs accepted so far, in core-milliseconds.
	Arrived float64
	// SpreadMin is the number of machines that the long-running tasks need for their spread.
	SpreadMin int
}

// Machine is a machine that is up.
type Machine struct {
	Name, Pool string
	// CPU is in thousandths of a core.
	CPU int64
	// Off machines are in a spare pool, where they run nothing and cost nothing.
	Off bool
	// Empty machines run no task and can move at once. Drainable ones run only tasks that end by themselves, all within
	// DrainTime as far as is known.
	Empty, Drainable bool
	DrainTime        time.Duration
	// RefusedBy lists the pools that refused the machine.
	RefusedBy []string
}

// Move is the move of a machine to another pool.
type Move struct{ Machine, From, To string }

// Planner decides on moves and keeps the demand history of the pools.
type Planner struct {
	options Options
	trends  map[string]*trend
	reports []Report
	// outlook is nil without Options.Cycles.
	outlook *outlook
}

// New returns a planner without demand history.
func New(o Options) *Planner { return NewWithCycle(o, cycle.New()) }

// NewWithCycle returns a planner that continues a learned cycle of the demand if Options.Cycles is set.
func NewWithCycle(o Options, m *cycle.Model) *Planner {
	p := &Planner{options: o, trends: map[string]*trend{}}
	if o.Cycles {
		p.outlook = newOutlook(o, m)
	}
	return p
}

// Cycle returns the learned cycle, nil without Options.Cycles.
func (p *Planner) Cycle() *cycle.Model {
	if p.outlook == nil {
		return nil
	}
	return p.outlook.model
}

// Prepared returns how many machines have been moved for predicted bursts.
func (p *Planner) Prepared() int64 {
	if p.outlook == nil {
		return 0
	}
	return p.outlook.prepared
}

// pool is the state of a pool during Decide.
type pool struct {
	demand Demand
	trend  *trend
	// machines and cpu are the number and the total CPU of the pool's machines, including the moves decided so far.
	machines int
	cpu      int64
	// requiredCPU is the CPU that the pool should have, minMachines the least number of machines.
	requiredCPU float64
	minMachines int
	// wantedCPU is the CPU up to which the pool gets machines now: without or with that for a predicted burst.
	wantedCPU float64
}

// shortfall returns the CPU that the pool lacks if it gets machines with the given CPU.
func (p *pool) shortfall(cpu int64) float64 {
	return max(p.wantedCPU-float64(p.cpu), float64(p.minMachines-p.machines)*float64(cpu))
}

// Report is the state of a pool before the moves of a Decide.
type Report struct {
	Pool     string
	Machines int
	// CPU and RequiredCPU are in thousandths of a core.
	CPU, RequiredCPU int64
	Bursting         bool
	// InUse is the CPU of running tasks, Predicted the demand for which the pool is prepared, both in thousandths of a
	// core; Predicted is 0 without a prediction.
	InUse, Predicted int64
}

// Reports returns the state of the pools at the latest Decide, in no order and valid until the next one.
func (p *Planner) Reports() []Report { return p.reports }

// Decide observes the demand and returns the moves to make now; an empty spare means that there is no spare pool.
func (p *Planner) Decide(now time.Time, demands []Demand, machines []Machine, spare string) []Move {
	pools := map[string]*pool{}
	for _, d := range demands {
		t, ok := p.trends[d.Pool]
		if !ok {
			t = &trend{}
			p.trends[d.Pool] = t
		}
		t.observe(now, d.Arrived)
		pools[d.Pool] = &pool{demand: d, trend: t}
	}
	for _, m := range machines {
		if o := pools[m.Pool]; o != nil {
			o.machines++
			o.cpu += m.CPU
		}
	}
	if p.outlook != nil {
		p.outlook.observe(now, pools, machines)
	}
	for _, o := range pools {
		o.wantedCPU = p.requiredCPU(now, o, 0)
		o.requiredCPU = o.wantedCPU
		if p.outlook != nil {
			o.requiredCPU = p.requiredCPU(now, o, p.outlook.preparations[o.demand.Pool].need)
		}
		o.minMachines = max(p.options.MinMachines, o.demand.SpreadMin+1)
	}
	p.reports = p.reports[:0]
	for name, o := range pools {
		p.reports = append(p.reports, Report{Pool: name, Machines: o.machines, CPU: o.cpu, RequiredCPU: int64(o.requiredCPU),
			Bursting: o.trend.bursting, InUse: o.demand.Running + o.demand.LongRunning, Predicted: p.predicted(name)})
	}
	moves := p.assignEmpty(pools, machines)
	if p.outlook != nil {
		moves = p.assignPrepared(pools, machines, moves)
	}
	moves = append(moves, balance(pools, machines)...)
	if spare != "" {
		moves = append(moves, p.release(now, pools, machines, moves, spare)...)
	}
	return moves
}

// predicted returns the demand for which a pool is prepared, in thousandths of a core.
func (p *Planner) predicted(pool string) int64 {
	if p.outlook == nil {
		return 0
	}
	return int64(p.outlook.preparations[pool].need)
}

// requiredCPU returns the CPU that a pool should have: for a predicted burst, for the work that will arrive when a machine that moves now is
// ready, or for the work that runs and waits, whichever is more, with the headroom, and for long-running tasks.
func (p *Planner) requiredCPU(now time.Time, o *pool, predicted float64) float64 {
	backlog := float64(o.demand.Waiting) / max(p.options.BacklogTime.Seconds(), 0.1)
	forecast := o.trend.forecast(p.options.Lead)
	if p.outlook != nil {
		forecast = p.outlook.forecast(now, o, forecast)
	}
	current := max(forecast, predicted, float64(o.demand.Running)+backlog)
	return current*(1+p.options.Headroom) + float64(o.demand.LongRunning)
}

// assignEmpty moves empty machines to the pools that lack CPU or machines, those with the largest shortfall first. A
// pool gives away only machines that it doesn't need.
func (p *Planner) assignEmpty(pools map[string]*pool, machines []Machine) []Move {
	donors := slices.Clone(machines)
	slices.SortStableFunc(donors, func(a, b Machine) int { return p.compareDonors(pools, a, b) })
	var moves []Move
	for _, m := range donors {
		if !m.Empty {
			continue
		}
		to := p.mostShort(pools, m)
		if to == nil {
			continue
		}
		if from := pools[m.Pool]; from != nil {
			if !p.canRelease(from, m) {
				continue
			}
			from.machines--
			from.cpu -= m.CPU
		}
		to.machines++
		to.cpu += m.CPU
		moves = append(moves, Move{m.Name, m.Pool, to.demand.Pool})
	}
	return moves
}

// assignPrepared moves the empty machines that are left to the pools with a predicted burst, and returns all moves. Work
// that has arrived goes first, and no machine is drained for a prediction.
func (p *Planner) assignPrepared(pools map[string]*pool, machines []Machine, moves []Move) []Move {
	left := slices.DeleteFunc(slices.Clone(machines), func(m Machine) bool {
		return slices.ContainsFunc(moves, func(x Move) bool { return x.Machine == m.Name })
	})
	current := map[string]float64{}
	for name, o := range pools {
		current[name], o.wantedCPU = o.wantedCPU, o.requiredCPU
	}
	prepared := p.assignEmpty(pools, left)
	for name, o := range pools {
		o.wantedCPU = current[name]
	}
	p.outlook.prepared += int64(len(prepared))
	return append(moves, prepared...)
}

// compareDonors orders the machines of pools that have had a burst first, those whose last burst ended most recently
// before the others, because other pools are likely to need their machines sooner. Then come machines that are off or
// in no pool with demand, then those of pools without a burst so far.
func (p *Planner) compareDonors(pools map[string]*pool, a, b Machine) int {
	rank := func(m Machine) float64 {
		o := pools[m.Pool]
		if m.Off || o == nil {
			return -1
		}
		if o.trend.burstEndedAt.IsZero() {
			return math.MaxFloat64
		}
		return -float64(o.trend.burstEndedAt.UnixNano())
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name))
}

// canRelease reports whether a pool still has enough CPU and machines without a machine.
func (p *Planner) canRelease(o *pool, m Machine) bool {
	return o.machines > o.minMachines && float64(o.cpu-m.CPU) >= o.requiredCPU
}

// lacks reports whether the pool should get a machine of another pool: its shortfall is above minShortfall and it did
// not refuse the machine.
func (p *pool) lacks(m Machine) bool {
	return p.demand.Pool != m.Pool && !slices.Contains(m.RefusedBy, p.demand.Pool) &&
		p.shortfall(m.CPU) > float64(m.CPU)*minShortfall
}

// mostShort returns the pool with the largest shortfall among those that lack the machine, or nil.
func (p *Planner) mostShort(pools map[string]*pool, m Machine) *pool {
	var best *pool
	for _, o := range pools {
		if !o.lacks(m) {
			continue
		}
		shortfall := o.shortfall(m.CPU)
		if best == nil || shortfall > best.shortfall(m.CPU) ||
			shortfall == best.shortfall(m.CPU) && o.demand.Pool < best.demand.Pool {
			best = o
		}
	}
	return best
}

// minShortfall is the share of a machine's CPU that a pool must lack before it gets another machine.
const minShortfall = 0.3

// release moves empty machines that no pool is likely to need soon to the spare pool. A pool that has had no burst yet
// keeps its machines, unless Options.Cycles lets it release them.
func (p *Planner) release(now time.Time, pools map[string]*pool, machines []Machine, assigned []Move,
	spare string) []Move {
	var moves []Move
	reserve := 0.0
	if p.outlook != nil {
		reserve = p.outlook.reserve(now, pools)
	}
	for _, m := range machines {
		o := pools[m.Pool]
		if m.Off || o == nil || !m.Empty || slices.Contains(m.RefusedBy, spare) ||
			slices.ContainsFunc(assigned, func(x Move) bool { return x.Machine == m.Name }) {
			continue
		}
		if !p.isDue(now, o, m) || !p.canRelease(o, m) {
			continue
		}
		if reserve > 0 {
			reserve -= float64(m.CPU)
			continue
		}
		o.machines--
		o.cpu -= m.CPU
		moves = append(moves, Move{m.Name, m.Pool, spare})
	}
	return moves
}

// isDue reports whether a pool need not keep an empty machine for its next burst.
func (p *Planner) isDue(now time.Time, o *pool, m Machine) bool {
	if p.outlook != nil {
		if v := p.outlook.judge(now, o, m); v != unknown {
			return v == release
		}
	}
	return !o.trend.burstEndedAt.IsZero() && now.Sub(o.trend.burstEndedAt) >= p.options.ReleaseDelay
}
