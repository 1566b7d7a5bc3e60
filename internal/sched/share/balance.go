package share

import (
	"math"
	"time"
)

const (
	// debtTimeConstant is the time constant with which the debt of a claim decays.
	debtTimeConstant = 5 * time.Second
	// maxCorrection bounds the effect of the debt, in slots. One slot makes up for shares that are not whole numbers
	// of slots and for long tasks that keep theirs; more would make up for past allocations at the cost of present
	// shares (docs/note-shares.md).
	maxCorrection = 1
	// accountInterval is the least time between two updates of the debts, because each divides the pool between all
	// teams.
	accountInterval = 10 * time.Millisecond
)

// Balance is the policy that serves the team with the fewest allocated slots per weight first. The slots are corrected
// by at most one according to the team's debt: the slot-seconds that it recently had above or below its share.
type Balance struct {
	lastAccount time.Time
}

// NewBalance returns the policy.
func NewBalance() *Balance { return &Balance{} }

var _ Policy = (*Balance)(nil)

// Next returns the claim with the fewest corrected slots per weight, the first one of equals.
func (b *Balance) Next(now time.Time, claims []*Claim, urgent bool) *Claim {
	b.account(now, claims)
	var best *Claim
	least := 0.0
	for _, c := range claims {
		if !c.Wants(urgent) {
			continue
		}
		d := min(max(c.debt/debtTimeConstant.Seconds(), -maxCorrection), maxCorrection)
		if k := (float64(c.Allocated) + d) / c.weight(); best == nil || k < least {
			best, least = c, k
		}
	}
	return best
}

// Charge records the claim's allocated slots, including the granted ones, for the next update of the debts.
func (b *Balance) Charge(_ time.Time, c *Claim, slots int, _ time.Duration) {
	c.lastAllocated = c.Allocated + slots
}

// account decays each debt and adds the difference between the slots allocated since the last update and the team's
// share of all allocated slots, unless the last update was less than accountInterval ago.
func (b *Balance) account(now time.Time, claims []*Claim) {
	span := now.Sub(b.lastAccount)
	if span < accountInterval {
		return
	}
	first := b.lastAccount.IsZero()
	b.lastAccount = now
	if first {
		return
	}
	decay := math.Exp(-span.Seconds() / debtTimeConstant.Seconds())
	allocated := 0
	for _, c := range claims {
		allocated += c.lastAllocated
	}
	divide(claims, float64(allocated), func(c *Claim) int { return c.lastAllocated }, func(c *Claim, due float64) {
		c.debt = c.debt*decay + (float64(c.lastAllocated)-due)*min(span, debtTimeConstant).Seconds()
	})
	for _, c := range claims {
		c.lastAllocated = c.Allocated
	}
}

// Divide sets the slots due to each claim by weighted max-min fairness: the capacity is divided by weight, and no claim
// gets more than its allocated slots and its waiting work.
func Divide(claims []*Claim, capacity float64) {
	divide(claims, capacity, func(c *Claim) int { return c.Allocated }, func(c *Claim, due float64) { c.due = due })
}

// divide divides a capacity between claims as Divide does, but takes each claim's allocated slots from a function and
// passes each claim's share to another.
func divide(claims []*Claim, capacity float64, allocated func(*Claim) int, set func(*Claim, float64)) {
	weights := 0.0
	for _, c := range claims {
		c.undecided = true
		weights += c.weight()
	}
	for done := false; !done; {
		done = true
		perWeight := capacity / weights
		for _, c := range claims {
			demand := float64(allocated(c) + c.Urgent + c.Normal)
			if !c.undecided || demand > perWeight*c.weight() {
				continue
			}
			c.undecided = false
			set(c, demand)
			capacity -= demand
			weights -= c.weight()
			done = false
		}
	}
	for _, c := range claims {
		if c.undecided {
			set(c, capacity*c.weight()/weights)
		}
	}
}

// Due returns the claim's share in slots as of the last Divide.
func (c *Claim) Due() float64 { return c.due }
