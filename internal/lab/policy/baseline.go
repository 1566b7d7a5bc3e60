package policy

import (
	"math"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/sched/share"
)

// roundRobin is deficit round robin over slot-seconds; the expected time is charged at the start.
type roundRobin struct {
	quantum float64
	cursor  int
	deficit map[*share.Claim]float64
}

func newRoundRobin() share.Policy {
	return &roundRobin{quantum: 0.05, deficit: map[*share.Claim]float64{}}
}

// Next returns the claim whose turn it is.
func (r *roundRobin) Next(_ time.Time, claims []*share.Claim, urgent bool) *share.Claim {
	wanted := false
	for _, c := range claims {
		wanted = wanted || c.Wants(urgent)
	}
	if !wanted {
		return nil
	}
	for {
		c := claims[r.cursor%len(claims)]
		switch {
		case !c.Wants(true) && !c.Wants(false):
			r.deficit[c] = math.Min(r.deficit[c], 0) // an idle team keeps no credit
		case !c.Wants(urgent):
		case r.deficit[c] > 0:
			return c
		default:
			r.deficit[c] += r.quantum * float64(c.Weight)
		}
		r.cursor++
	}
}

// Charge takes the expected slot-seconds from the claim's deficit.
func (r *roundRobin) Charge(_ time.Time, c *share.Claim, slots int, expected time.Duration) {
	r.deficit[c] -= float64(slots) * expected.Seconds()
}

// fairQueue is start-time fair queueing over slot-seconds.
type fairQueue struct {
	virtual float64
	finish  map[*share.Claim]float64
}

func newFairQueue() share.Policy { return &fairQueue{finish: map[*share.Claim]float64{}} }

// Next returns the claim with the lowest start tag.
func (f *fairQueue) Next(_ time.Time, claims []*share.Claim, urgent bool) *share.Claim {
	var best *share.Claim
	least := 0.0
	for _, c := range claims {
		if !c.Wants(urgent) {
			continue
		}
		if tag := max(f.virtual, f.finish[c]); best == nil || tag < least {
			best, least = c, tag
		}
	}
	return best
}

// Charge advances the claim's finish tag and the virtual time.
func (f *fairQueue) Charge(_ time.Time, c *share.Claim, slots int, expected time.Duration) {
	start := max(f.virtual, f.finish[c])
	f.virtual = start
	f.finish[c] = start + float64(slots)*expected.Seconds()/float64(max(c.Weight, 1))
}

// dominant is dominant-resource fairness over slots and connections.
type dominant struct {
	slots, connections float64
	perTask            map[fleet.TeamName]float64
}

// Next returns the claim with the lowest dominant share over weight.
func (d dominant) Next(_ time.Time, claims []*share.Claim, urgent bool) *share.Claim {
	var best *share.Claim
	least := 0.0
	for _, c := range claims {
		if !c.Wants(urgent) {
			continue
		}
		held := float64(c.Held)
		k := max(held/d.slots, held*d.perTask[c.Team]/d.connections) / float64(max(c.Weight, 1))
		if best == nil || k < least {
			best, least = c, k
		}
	}
	return best
}

// Charge does nothing; the held resources are the whole state.
func (dominant) Charge(time.Time, *share.Claim, int, time.Duration) {}

// indebted is lowest occupancy over weight, corrected without bound by what a team held above its share lately.
type indebted struct {
	capacity float64
	horizon  time.Duration
	last     time.Time
	debt     map[*share.Claim]float64 // slot-seconds above the share
}

func newIndebted(capacity int, horizon time.Duration) share.Policy {
	return &indebted{capacity: float64(capacity), horizon: horizon, debt: map[*share.Claim]float64{}}
}

// Next returns the claim with the lowest occupancy and debt over weight.
func (d *indebted) Next(now time.Time, claims []*share.Claim, urgent bool) *share.Claim {
	d.account(now, claims)
	var best *share.Claim
	least := 0.0
	for _, c := range claims {
		if !c.Wants(urgent) {
			continue
		}
		k := (float64(c.Held) + d.debt[c]/d.horizon.Seconds()) / float64(max(c.Weight, 1))
		if best == nil || k < least {
			best, least = c, k
		}
	}
	return best
}

func (d *indebted) account(now time.Time, claims []*share.Claim) {
	if d.last.IsZero() {
		d.last = now
	}
	span := now.Sub(d.last).Seconds()
	if span <= 0 {
		return
	}
	d.last = now
	left := math.Exp(-span / d.horizon.Seconds())
	share.Divide(claims, d.capacity)
	for _, c := range claims {
		d.debt[c] = d.debt[c]*left + (float64(c.Held)-c.Due())*span
	}
}

// Charge does nothing; the debt follows from the held slots.
func (d *indebted) Charge(time.Time, *share.Claim, int, time.Duration) {}

// arrival serves teams in the order in which their work arrived, without shares.
type arrival struct{ s *sim }

// Next returns the claim whose oldest task waits longest.
func (a arrival) Next(_ time.Time, claims []*share.Claim, urgent bool) *share.Claim {
	u := 0
	if urgent {
		u = 1
	}
	var best *share.Claim
	var first time.Duration
	for i, c := range claims {
		if !c.Wants(urgent) {
			continue
		}
		for e := range entries {
			f := &a.s.waiting[i][u][e]
			if f.len() > 0 && (best == nil || f.tasks[f.head].arrived < first) {
				best, first = c, f.tasks[f.head].arrived
			}
		}
	}
	return best
}

// Charge does nothing.
func (arrival) Charge(time.Time, *share.Claim, int, time.Duration) {}

// occupancy serves the team with the lowest held slots over weight first.
type occupancy struct{}

// Next returns the claim with the lowest occupancy over weight; ties go to the first.
func (occupancy) Next(_ time.Time, claims []*share.Claim, urgent bool) *share.Claim {
	return lowest(claims, func(c *share.Claim) bool { return c.Wants(urgent) })
}

// lowest returns the claim with the lowest occupancy over weight of those that pass.
func lowest(claims []*share.Claim, pass func(*share.Claim) bool) *share.Claim {
	var best *share.Claim
	least := 0.0
	for _, c := range claims {
		if !pass(c) {
			continue
		}
		if k := float64(c.Held) / float64(max(c.Weight, 1)); best == nil || k < least {
			best, least = c, k
		}
	}
	return best
}

// Charge does nothing; the held slots are the whole state.
func (occupancy) Charge(time.Time, *share.Claim, int, time.Duration) {}
