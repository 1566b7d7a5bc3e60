package share

import (
	"math"
	"time"
)

const (
	// memory is the time constant over which slots above or below the share are remembered.
	memory = 5 * time.Second
	// correction bounds the effect of that memory, in slots. One slot evens out what integer numbers of slots and
	// long tasks leave uneven; more repays the past at the cost of the present (docs/note-shares.md).
	correction = 1
	// accountInterval is the least time between two accounts; each divides the pool between all teams.
	accountInterval = 10 * time.Millisecond
)

// Balance serves the team with the lowest held slots over weight first, corrected by up to one slot by what the
// team held above or below its share lately.
type Balance struct {
	last time.Time
}

// NewBalance returns the policy.
func NewBalance() *Balance { return &Balance{} }

var _ Policy = (*Balance)(nil)

// Next returns the claim with the lowest corrected occupancy over weight; ties go to the first.
func (b *Balance) Next(now time.Time, claims []*Claim, urgent bool) *Claim {
	b.account(now, claims)
	var best *Claim
	least := 0.0
	for _, c := range claims {
		if !c.Wants(urgent) {
			continue
		}
		d := min(max(c.debt/memory.Seconds(), -correction), correction)
		if k := (float64(c.Held) + d) / c.weight(); best == nil || k < least {
			best, least = c, k
		}
	}
	return best
}

// Charge notes what the claim holds from now on.
func (b *Balance) Charge(_ time.Time, c *Claim, slots int, _ time.Duration) { c.was = c.Held + slots }

// account compares what each team held since the last account with its share of all held slots.
func (b *Balance) account(now time.Time, claims []*Claim) {
	span := now.Sub(b.last)
	if span < accountInterval {
		return
	}
	first := b.last.IsZero()
	b.last = now
	if first {
		return
	}
	left := math.Exp(-span.Seconds() / memory.Seconds())
	held := 0
	for _, c := range claims {
		held += c.was
	}
	divide(claims, float64(held), func(c *Claim) int { return c.was }, func(c *Claim, due float64) {
		c.debt = c.debt*left + (float64(c.was)-due)*min(span, memory).Seconds()
	})
	for _, c := range claims {
		c.was = c.Held
	}
}

// Divide sets the slots due to each claim: a capacity divided by weight, giving none more than it holds and wants
// (weighted max-min fairness).
func Divide(claims []*Claim, capacity float64) {
	divide(claims, capacity, func(c *Claim) int { return c.Held }, func(c *Claim, due float64) { c.due = due })
}

func divide(claims []*Claim, capacity float64, held func(*Claim) int, set func(*Claim, float64)) {
	weights := 0.0
	for _, c := range claims {
		c.open = true
		weights += c.weight()
	}
	for settled := false; !settled; {
		settled = true
		level := capacity / weights
		for _, c := range claims {
			want := float64(held(c) + c.Urgent + c.Normal)
			if !c.open || want > level*c.weight() {
				continue
			}
			c.open = false
			set(c, want)
			capacity -= want
			weights -= c.weight()
			settled = false
		}
	}
	for _, c := range claims {
		if c.open {
			set(c, capacity*c.weight()/weights)
		}
	}
}

// Due returns the slots that the last division gave the claim.
func (c *Claim) Due() float64 { return c.due }
