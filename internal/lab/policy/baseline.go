package policy

import (
	"math"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/sched/share"
)

// deficitRoundRobin is deficit round robin over slot-seconds; the expected run time is charged at the start.
type deficitRoundRobin struct {
	quantum float64 // slot-seconds per turn and unit of weight
	cursor  int
	deficit map[*share.Claim]float64
}

func newDeficitRoundRobin() share.Policy {
	return &deficitRoundRobin{quantum: 0.05, deficit: map[*share.Claim]float64{}}
}

// Next returns the claim whose turn it is.
func (r *deficitRoundRobin) Next(_ time.Time, claims []*share.Claim, urgent bool) *share.Claim {
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
func (r *deficitRoundRobin) Charge(_ time.Time, c *share.Claim, slots int, expected time.Duration) {
	r.deficit[c] -= float64(slots) * expected.Seconds()
}

// startTimeFairQueue is start-time fair queueing over slot-seconds.
type startTimeFairQueue struct {
	virtualTime float64
	finishTag   map[*share.Claim]float64
}

func newStartTimeFairQueue() share.Policy {
	return &startTimeFairQueue{finishTag: map[*share.Claim]float64{}}
}

// Next returns the claim with the lowest start tag.
func (f *startTimeFairQueue) Next(_ time.Time, claims []*share.Claim, urgent bool) *share.Claim {
	var best *share.Claim
	least := 0.0
	for _, c := range claims {
		if !c.Wants(urgent) {
			continue
		}
		if tag := max(f.virtualTime, f.finishTag[c]); best == nil || tag < least {
			best, least = c, tag
		}
	}
	return best
}

// Charge advances the claim's finish tag and the virtual time.
func (f *startTimeFairQueue) Charge(_ time.Time, c *share.Claim, slots int, expected time.Duration) {
	start := max(f.virtualTime, f.finishTag[c])
	f.virtualTime = start
	f.finishTag[c] = start + float64(slots)*expected.Seconds()/float64(max(c.Weight, 1))
}

// dominantResource is dominant-resource fairness over slots and connections.
type dominantResource struct {
	slots, connections float64
	connectionsPerTask map[fleet.TeamName]float64
}

// Next returns the claim with the lowest dominant share over weight.
func (d dominantResource) Next(_ time.Time, claims []*share.Claim, urgent bool) *share.Claim {
	var best *share.Claim
	least := 0.0
	for _, c := range claims {
		if !c.Wants(urgent) {
			continue
		}
		held := float64(c.Allocated)
		k := max(held/d.slots, held*d.connectionsPerTask[c.Team]/d.connections) / float64(max(c.Weight, 1))
		if best == nil || k < least {
			best, least = c, k
		}
	}
	return best
}

// Charge does nothing; the policy depends only on the held resources.
func (dominantResource) Charge(time.Time, *share.Claim, int, time.Duration) {}

// debtCorrected serves the lowest occupancy over weight, corrected by the recent usage above a team's share, without a
// bound on the correction.
type debtCorrected struct {
	capacity float64
	horizon  time.Duration
	last     time.Time
	debt     map[*share.Claim]float64 // slot-seconds above the share
}

func newDebtCorrected(capacity int, horizon time.Duration) share.Policy {
	return &debtCorrected{capacity: float64(capacity), horizon: horizon, debt: map[*share.Claim]float64{}}
}

// Next returns the claim with the lowest sum of occupancy and debt per horizon, over weight.
func (d *debtCorrected) Next(now time.Time, claims []*share.Claim, urgent bool) *share.Claim {
	d.account(now, claims)
	var best *share.Claim
	least := 0.0
	for _, c := range claims {
		if !c.Wants(urgent) {
			continue
		}
		k := (float64(c.Allocated) + d.debt[c]/d.horizon.Seconds()) / float64(max(c.Weight, 1))
		if best == nil || k < least {
			best, least = c, k
		}
	}
	return best
}

// account lets the debts decay and adds the usage above the shares since its last call.
func (d *debtCorrected) account(now time.Time, claims []*share.Claim) {
	if d.last.IsZero() {
		d.last = now
	}
	elapsed := now.Sub(d.last).Seconds()
	if elapsed <= 0 {
		return
	}
	d.last = now
	decay := math.Exp(-elapsed / d.horizon.Seconds())
	share.Divide(claims, d.capacity)
	for _, c := range claims {
		d.debt[c] = d.debt[c]*decay + (float64(c.Allocated)-c.Due())*elapsed
	}
}

// Charge does nothing; the debt depends only on the held slots.
func (d *debtCorrected) Charge(time.Time, *share.Claim, int, time.Duration) {}

// arrivalOrder serves tasks in the order of their arrival, without shares.
type arrivalOrder struct{ sim *sim }

// Next returns the claim whose oldest task has waited longest.
func (a arrivalOrder) Next(_ time.Time, claims []*share.Claim, urgent bool) *share.Claim {
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
		for e := range entryCount {
			f := &a.sim.waiting[i][u][e]
			if f.len() > 0 && (best == nil || f.tasks[f.head].arrived < first) {
				best, first = c, f.tasks[f.head].arrived
			}
		}
	}
	return best
}

// Charge does nothing.
func (arrivalOrder) Charge(time.Time, *share.Claim, int, time.Duration) {}

// lowestOccupancy serves the team with the fewest held slots over weight first.
type lowestOccupancy struct{}

// Next returns the claim with the lowest occupancy over weight; ties go to the first.
func (lowestOccupancy) Next(_ time.Time, claims []*share.Claim, urgent bool) *share.Claim {
	return lowestClaim(claims, func(c *share.Claim) bool { return c.Wants(urgent) })
}

// lowestClaim returns the claim with the lowest occupancy over weight among those that match.
func lowestClaim(claims []*share.Claim, match func(*share.Claim) bool) *share.Claim {
	var best *share.Claim
	least := 0.0
	for _, c := range claims {
		if !match(c) {
			continue
		}
		if k := float64(c.Allocated) / float64(max(c.Weight, 1)); best == nil || k < least {
			best, least = c, k
		}
	}
	return best
}

// Charge does nothing; the policy depends only on the held slots.
func (lowestOccupancy) Charge(time.Time, *share.Claim, int, time.Duration) {}
