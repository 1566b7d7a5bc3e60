// Package spare decides when spare instances move to pools in demand and when they return.
//
// A move costs a drain and a reboot, which takes longer than the surges of a single queue last. Demand is therefore
// smoothed and must stay high for a while before an instance moves, and stay low for longer before it returns.
package spare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plan/budget"
)

// Policy holds the thresholds of moves. Utilisation is demand, running and waiting, in proportion to the slots of
// the available instances and those on their way.
type Policy struct {
	// Smooth is the time constant of the moving average of demand; 0 uses demand as it is.
	Smooth time.Duration
	// High is the utilisation above which a pool gets instances after Hold, and Aim the one they bring it to.
	High, Aim float64
	Hold      time.Duration
	// Low is the utilisation, reckoned without the lent instance, below which it returns after Release.
	// Further ones follow at the distance of Pace while the utilisation, reckoned without them, stays below Low.
	Low     float64
	Release time.Duration
	Pace    time.Duration
}

// Default is the policy in use; docs/note-spare.md gives the figures that led to it.
var Default = Policy{
	Smooth:  time.Minute,
	High:    0.9,
	Aim:     0.75,
	Hold:    10 * time.Second,
	Low:     0.6,
	Release: 10 * time.Minute,
	Pace:    time.Minute,
}

// Demand is the demand for a pool across the fleet, in slots.
type Demand struct {
	Pool    fleet.PoolName `json:"pool"`
	Running int            `json:"running"`
	Waiting int            `json:"waiting"`
}

// Move is one instance that is to move to another pool.
type Move struct {
	ID     fleet.InstanceID
	Target fleet.PoolName
}

// trend is what is remembered of a pool's demand.
type trend struct {
	demand float64
	seen   time.Time
	// high and low are since when the thresholds have been passed, or zero.
	high, low time.Time
	// returned is when a lent instance last began to return.
	returned time.Time
}

// Mover follows the demand of pools and decides on moves. It loses nothing but time if it starts anew, since lent
// instances are marked in the view.
type Mover struct {
	policy Policy
	trends map[fleet.PoolName]*trend
}

// NewMover returns a mover without memory.
func NewMover(p Policy) *Mover { return &Mover{policy: p, trends: map[fleet.PoolName]*trend{}} }

// Decide takes the present demand of every pool and returns the moves to make now. Pools without a load have none.
func (m *Mover) Decide(v fleet.View, loads []Demand, now time.Time) []Move {
	demand := map[fleet.PoolName]int{}
	for _, l := range loads {
		demand[l.Pool] += l.Running + l.Waiting
	}
	pools := survey(v)
	for _, p := range v.PoolNames() {
		m.observe(p, float64(demand[p]), pools[p], now)
	}
	return append(m.lend(v, pools, now), m.restore(pools, now)...)
}

func (m *Mover) observe(p fleet.PoolName, demand float64, s supply, now time.Time) {
	t, ok := m.trends[p]
	if !ok {
		t = &trend{demand: demand, seen: now}
		m.trends[p] = t
	}
	weight := 1.0
	if m.policy.Smooth > 0 {
		weight = 1 - math.Exp(-float64(now.Sub(t.seen))/float64(m.policy.Smooth))
	}
	t.demand += weight * (demand - t.demand)
	t.seen = now
	left := s.slots
	if len(s.lent) > 0 {
		left -= float64(s.lent[0].Slots)
	}
	t.high = since(t.high, t.demand > m.policy.High*s.slots, now)
	t.low = since(t.low, t.demand < m.policy.Low*left, now)
}

// since returns when a condition began to hold, or zero.
func since(start time.Time, holds bool, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case start.IsZero():
		return now
	}
	return start
}

// supply is what a pool has to meet its demand.
type supply struct {
	// slots are those of the available instances and of those on their way.
	slots float64
	// lent are the active instances that are lent to the pool.
	lent []fleet.PoolMember
}

func survey(v fleet.View) map[fleet.PoolName]supply {
	pools := map[fleet.PoolName]supply{}
	for _, p := range v.PoolNames() {
		for _, m := range v.Pool(p) {
			at := p
			switch {
			case m.State != fleet.InstanceActive && m.Target != "":
				at = m.Target
			case !v.Startable(p, m.ID):
				continue
			}
			s := pools[at]
			s.slots += float64(m.Slots)
			if _, ok := budget.SparePoolOf(v, p, m); ok && m.State == fleet.InstanceActive {
				s.lent = append(s.lent, m)
			}
			pools[at] = s
		}
	}
	return pools
}

// lend moves spare instances one by one, each to the pool that is the most loaded among those that have been in
// demand for long enough and still fall short of the aim. It counts them in slots.
func (m *Mover) lend(v fleet.View, supplies map[fleet.PoolName]supply, now time.Time) []Move {
	pools := m.inDemand(v, now)
	if len(pools) == 0 {
		return nil
	}
	slots := map[fleet.PoolName]float64{}
	for _, p := range pools {
		slots[p] = supplies[p].slots
	}
	var moves []Move
	for _, spare := range idleSpares(v) {
		p := slices.MaxFunc(pools, func(a, b fleet.PoolName) int {
			return cmp.Compare(m.trends[a].demand/max(1, slots[a]), m.trends[b].demand/max(1, slots[b]))
		})
		if m.trends[p].demand <= m.policy.Aim*slots[p] {
			break
		}
		moves = append(moves, Move{spare.ID, p})
		slots[p] += float64(max(1, spare.Slots))
	}
	return moves
}

func (m *Mover) inDemand(v fleet.View, now time.Time) []fleet.PoolName {
	var pools []fleet.PoolName
	for p, s := range v.Document().Pools {
		if t := m.trends[p]; !s.Spare && t != nil && !t.high.IsZero() && now.Sub(t.high) >= m.policy.Hold {
			pools = append(pools, p)
		}
	}
	slices.Sort(pools)
	return pools
}

// idleSpares returns the instances that spare pools may lend within their budgets.
func idleSpares(v fleet.View) []fleet.PoolMember {
	var free []fleet.PoolMember
	for _, p := range v.PoolNames() {
		if !v.Document().Pools[p].Spare {
			continue
		}
		n := budget.AllowedDisruptions(v, p)
		for _, m := range v.Pool(p) {
			if n > 0 && v.Startable(p, m.ID) {
				free = append(free, m)
				n--
			}
		}
	}
	return free
}

// restore returns one lent instance of each pool whose demand has been low for long enough.
func (m *Mover) restore(pools map[fleet.PoolName]supply, now time.Time) []Move {
	var moves []Move
	for _, p := range slices.Sorted(maps.Keys(pools)) {
		t, lent := m.trends[p], pools[p].lent
		if len(lent) == 0 || t.low.IsZero() || now.Sub(t.low) < m.policy.Release || now.Sub(t.returned) < m.policy.Pace {
			continue
		}
		t.returned = now
		moves = append(moves, Move{lent[0].ID, lent[0].Target})
	}
	return moves
}
