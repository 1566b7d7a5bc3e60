// Package shift decides which machines move between pools so that they follow the demand.
//
// The demand for pools rises and falls by turns, faster than a pool can be served by its own machines, and a move takes
// less than two seconds. Demand is therefore taken from what arrives and what waits now. It does no I/O.
package shift

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Options are the weights of the decisions.
type Options struct {
	// Drain is the time in which waiting tasks should start.
	Drain time.Duration
	// Headroom is the share by which a pool's machines exceed its demand.
	Headroom float64
	// Least is the number of machines that every pool with queues keeps.
	Least int
	// ReleaseDelay is how long a pool keeps machines that it no longer needs, unless another pool needs them.
	ReleaseDelay time.Duration
}

// Default are the options in use; docs/note-platform.md gives the reasons.
func Default() Options {
	return Options{Drain: time.Second, Headroom: 0.15, Least: 2, ReleaseDelay: 2 * time.Second}
}

// Demand is the demand for one pool.
type Demand struct {
	Pool string
	// Running, Waiting and LongRunning are the CPU, in thousandths of a core, of tasks that run and end, of such tasks
	// that could start now, and of tasks that last.
	Running, Waiting, LongRunning int64
	// Arrived is the work of the jobs accepted so far, in core-milliseconds.
	Arrived float64
	// SpreadMin is how many machines the lasting tasks need to keep their distance.
	SpreadMin int
}

// Machine is one machine that is up.
type Machine struct {
	Name, Pool string
	CPU        int64
	// Off machines are in a spare pool: nothing runs there and nothing is paid for them.
	Off bool
	// Empty machines run nothing and may move at once.
	Empty bool
	// RefusedBy names pools that refused the machine.
	RefusedBy []string
}

// Move takes a machine to another pool.
type Move struct{ Machine, From, To string }

// Planner remembers the demand of the pools.
type Planner struct {
	options Options
	trends  map[string]*trend
	reports []Report
}

// New returns a planner without memory.
func New(o Options) *Planner { return &Planner{options: o, trends: map[string]*trend{}} }

// pool is what Decide knows of one pool.
type pool struct {
	load     Demand
	trend    *trend
	machines int
	cpu      int64
	// need is the CPU that the pool should have, least the number of machines.
	need  float64
	least int
}

// short is by how much CPU the pool falls behind its need if it gets machines of a size.
func (p *pool) short(cpu int64) float64 {
	return max(p.need-float64(p.cpu), float64(p.least-p.machines)*float64(cpu))
}

// Report is what Decide took a pool to be.
type Report struct {
	Pool     string
	Machines int
	// CPU and Need are in thousandths of a core.
	CPU, Need int64
	Bursting  bool
}

// Reports returns what the last Decide took the pools to be.
func (p *Planner) Reports() []Report { return p.reports }

// Decide returns the moves to make now.
func (p *Planner) Decide(now time.Time, loads []Demand, machines []Machine, spare string) []Move {
	pools := map[string]*pool{}
	for _, l := range loads {
		t, ok := p.trends[l.Pool]
		if !ok {
			t = &trend{}
			p.trends[l.Pool] = t
		}
		t.observe(now, l.Arrived)
		pools[l.Pool] = &pool{load: l, trend: t}
	}
	for _, m := range machines {
		if o := pools[m.Pool]; o != nil {
			o.machines++
			o.cpu += m.CPU
		}
	}
	for _, o := range pools {
		o.need = p.need(o)
		o.least = max(p.options.Least, o.load.SpreadMin+1)
	}
	p.reports = p.reports[:0]
	for name, o := range pools {
		p.reports = append(p.reports, Report{Pool: name, Machines: o.machines, CPU: o.cpu, Need: int64(o.need),
			Bursting: o.trend.bursting})
	}
	moves := p.lend(pools, machines)
	if spare != "" {
		moves = append(moves, p.release(now, pools, machines, moves, spare)...)
	}
	return moves
}

// need returns the CPU that a pool should have for what arrives or runs and waits.
func (p *Planner) need(o *pool) float64 {
	backlog := float64(o.load.Waiting) / max(p.options.Drain.Seconds(), 0.1)
	demand := max(o.trend.fast, float64(o.load.Running)+backlog)
	return demand*(1+p.options.Headroom) + float64(o.load.LongRunning)
}

// lend moves empty machines to the pools that fall short, the worst first.
func (p *Planner) lend(pools map[string]*pool, machines []Machine) []Move {
	donors := slices.Clone(machines)
	slices.SortStableFunc(donors, func(a, b Machine) int { return p.compareDonors(pools, a, b) })
	var moves []Move
	for _, m := range donors {
		if !m.Empty {
			continue
		}
		to := p.neediest(pools, m)
		if to == nil {
			continue
		}
		if from := pools[m.Pool]; from != nil {
			if !p.spares(from, m) {
				continue
			}
			from.machines--
			from.cpu -= m.CPU
		}
		to.machines++
		to.cpu += m.CPU
		moves = append(moves, Move{m.Name, m.Pool, to.load.Pool})
	}
	return moves
}

// compareDonors puts machines that are off first, then those of the pools whose last burst ended last: the others are
// likely to need theirs sooner.
func (p *Planner) compareDonors(pools map[string]*pool, a, b Machine) int {
	rank := func(m Machine) float64 {
		o := pools[m.Pool]
		if m.Off || o == nil {
			return -1
		}
		if o.trend.ended.IsZero() {
			return math.MaxFloat64
		}
		return -float64(o.trend.ended.UnixNano())
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name))
}

// spares reports whether a pool can do without a machine.
func (p *Planner) spares(o *pool, m Machine) bool {
	return o.machines > o.least && float64(o.cpu-m.CPU) >= o.need
}

// neediest returns the pool that falls short by most of a machine.
func (p *Planner) neediest(pools map[string]*pool, m Machine) *pool {
	var best *pool
	for _, o := range pools {
		if o.load.Pool == m.Pool || slices.Contains(m.RefusedBy, o.load.Pool) || o.short(m.CPU) <= float64(m.CPU)*leastGain {
			continue
		}
		short := o.short(m.CPU)
		if best == nil || short > best.short(m.CPU) || short == best.short(m.CPU) && o.load.Pool < best.load.Pool {
			best = o
		}
	}
	return best
}

// leastGain is the share of a machine by which a pool must fall short before it gets one more.
const leastGain = 0.3

// release turns machines off that no pool needs soon.
func (p *Planner) release(now time.Time, pools map[string]*pool, machines []Machine, moved []Move, spare string) []Move {
	var moves []Move
	for _, m := range machines {
		o := pools[m.Pool]
		if m.Off || o == nil || !m.Empty || slices.Contains(m.RefusedBy, spare) ||
			slices.ContainsFunc(moved, func(x Move) bool { return x.Machine == m.Name }) {
			continue
		}
		if o.trend.ended.IsZero() || now.Sub(o.trend.ended) < p.options.ReleaseDelay || !p.spares(o, m) {
			continue
		}
		o.machines--
		o.cpu -= m.CPU
		moves = append(moves, Move{m.Name, m.Pool, spare})
	}
	return moves
}
