// Package spare decides when instances of spare pools are lent to other pools and when they return.
//
// A move needs a drain and a reboot, which take longer than the surges of a single queue last. Demand is therefore
// averaged; it must stay high for a while before an instance moves, and stay low for longer before it returns.
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

// Policy holds the thresholds of moves. Utilisation is the averaged running and waiting demand divided by the slots of
// the available instances and of those that will be in the pool after a move or reboot.
type Policy struct {
	// SmoothingTime is the time constant of the moving average of demand; 0 disables averaging.
	SmoothingTime time.Duration
	// HighUtilisation is the utilisation above which a pool gets instances, as many as bring it to TargetUtilisation.
	HighUtilisation, TargetUtilisation float64
	// LendDelay is how long utilisation must stay above HighUtilisation before a pool gets instances.
	LendDelay time.Duration
	// LowUtilisation is the utilisation, computed without one lent instance, below which a lent instance returns.
	LowUtilisation float64
	// ReturnDelay is how long utilisation must stay below LowUtilisation before a lent instance returns.
	ReturnDelay time.Duration
	// ReturnInterval is the least interval between the returns of a pool's lent instances while utilisation stays below
	// LowUtilisation.
	ReturnInterval time.Duration
}

// Default is the default policy; docs/note-spare.md gives the figures behind it.
var Default = Policy{
	SmoothingTime:     time.Minute,
	HighUtilisation:   0.9,
	TargetUtilisation: 0.75,
	LendDelay:         10 * time.Second,
	LowUtilisation:    0.6,
	ReturnDelay:       10 * time.Minute,
	ReturnInterval:    time.Minute,
}

// Demand is the demand for a pool across the fleet, in slots.
type Demand struct {
	Pool    fleet.PoolName `json:"pool"`
	Running int            `json:"running"`
	Waiting int            `json:"waiting"`
}

// Move is the move of an instance to another pool.
type Move struct {
	ID     fleet.InstanceID
	Target fleet.PoolName
}

// trend is the demand history of a pool.
type trend struct {
	averageDemand float64
	observedAt    time.Time
	// highSince and lowSince are when demand crossed the threshold of high or low utilisation, or zero.
	highSince, lowSince time.Time
	// lastReturn is when the return of a lent instance was last decided, even if it didn't start.
	lastReturn time.Time
}

// Mover observes the demand for pools and decides on moves. A new Mover only delays decisions, because lent instances
// are marked in the view.
type Mover struct {
	policy Policy
	trends map[fleet.PoolName]*trend
}

// NewMover returns a mover without demand history.
func NewMover(p Policy) *Mover { return &Mover{policy: p, trends: map[fleet.PoolName]*trend{}} }

// Decide observes the current demand and returns the moves to make now. Pools that are not in demands have no demand.
func (m *Mover) Decide(v fleet.View, demands []Demand, now time.Time) []Move {
	demand := map[fleet.PoolName]int{}
	for _, d := range demands {
		demand[d.Pool] += d.Running + d.Waiting
	}
	pools := supplyByPool(v)
	for _, p := range v.PoolNames() {
		m.observe(p, float64(demand[p]), pools[p], now)
	}
	return append(m.lend(v, pools, now), m.returnLent(pools, now)...)
}

func (m *Mover) observe(p fleet.PoolName, demand float64, s supply, now time.Time) {
	t, ok := m.trends[p]
	if !ok {
		t = &trend{averageDemand: demand, observedAt: now}
		m.trends[p] = t
	}
	weight := 1.0
	if m.policy.SmoothingTime > 0 {
		weight = 1 - math.Exp(-float64(now.Sub(t.observedAt))/float64(m.policy.SmoothingTime))
	}
	t.averageDemand += weight * (demand - t.averageDemand)
	t.observedAt = now
	remaining := s.slots
	if len(s.lent) > 0 {
		remaining -= float64(s.lent[0].Slots)
	}
	t.highSince = holdsSince(t.highSince, t.averageDemand > m.policy.HighUtilisation*s.slots, now)
	t.lowSince = holdsSince(t.lowSince, t.averageDemand < m.policy.LowUtilisation*remaining, now)
}

// holdsSince returns since when a condition has held, or zero if it doesn't hold.
func holdsSince(start time.Time, holds bool, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case start.IsZero():
		return now
	}
	return start
}

// supply is the capacity of a pool.
type supply struct {
	// slots is the number of slots of the available instances and of those that will be in the pool after a move or
	// reboot.
	slots float64
	// lent are the active instances that are lent to the pool.
	lent []fleet.PoolMember
}

func supplyByPool(v fleet.View) map[fleet.PoolName]supply {
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

// lend assigns spare instances one by one, each to the pool with the highest utilisation among those whose demand has
// been high for long enough, until all of these are at the target utilisation. It counts instances by their slots.
func (m *Mover) lend(v fleet.View, supplies map[fleet.PoolName]supply, now time.Time) []Move {
	pools := m.poolsInDemand(v, now)
	if len(pools) == 0 {
		return nil
	}
	slots := map[fleet.PoolName]float64{}
	for _, p := range pools {
		slots[p] = supplies[p].slots
	}
	var moves []Move
	for _, spare := range lendableSpares(v) {
		p := slices.MaxFunc(pools, func(a, b fleet.PoolName) int {
			return cmp.Compare(m.trends[a].averageDemand/max(1, slots[a]), m.trends[b].averageDemand/max(1, slots[b]))
		})
		if m.trends[p].averageDemand <= m.policy.TargetUtilisation*slots[p] {
			break
		}
		moves = append(moves, Move{spare.ID, p})
		slots[p] += float64(max(1, spare.Slots))
	}
	return moves
}

func (m *Mover) poolsInDemand(v fleet.View, now time.Time) []fleet.PoolName {
	var pools []fleet.PoolName
	for p, s := range v.Document().Pools {
		if t := m.trends[p]; !s.Spare && t != nil && !t.highSince.IsZero() && now.Sub(t.highSince) >= m.policy.LendDelay {
			pools = append(pools, p)
		}
	}
	slices.Sort(pools)
	return pools
}

// lendableSpares returns the instances that spare pools can lend within their budgets.
func lendableSpares(v fleet.View) []fleet.PoolMember {
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

// returnLent returns the move of one lent instance of each pool whose demand has been low for long enough and that
// returned none within ReturnInterval.
func (m *Mover) returnLent(pools map[fleet.PoolName]supply, now time.Time) []Move {
	var moves []Move
	for _, p := range slices.Sorted(maps.Keys(pools)) {
		t, lent := m.trends[p], pools[p].lent
		if len(lent) == 0 || t.lowSince.IsZero() || now.Sub(t.lowSince) < m.policy.ReturnDelay ||
			now.Sub(t.lastReturn) < m.policy.ReturnInterval {
			continue
		}
		t.lastReturn = now
		moves = append(moves, Move{lent[0].ID, lent[0].Target})
	}
	return moves
}
