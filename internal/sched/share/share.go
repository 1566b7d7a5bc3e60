// Package share divides a pool's slots between teams by weight. It counts the work at all entries and is
// work-conserving: a team may use the slots that others leave free.
package share

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Claim is one team's allocation and demand in a pool; all counts are slots summed over all entries.
type Claim struct {
	Team   fleet.TeamName
	Weight int
	// The slots of running tasks and outstanding permits, and those among them for urgent work.
	Allocated       int
	AllocatedUrgent int
	// Urgent and Normal count the slots of waiting work that may start now.
	Urgent int
	Normal int
	// Skip excludes the claim for the rest of a round because its next task fits nowhere.
	Skip bool

	lastAllocated int     // slots allocated at the last update of the debts or grant
	debt          float64 // slot-seconds above the share, decaying
	due           float64 // share in slots
	undecided     bool    // during a division: its share is not fixed yet
}

// weight returns the claim's weight; a team without a share gets the smallest one.
func (c *Claim) weight() float64 { return float64(max(c.Weight, 1)) }

// Wants reports whether the claim competes for grants to urgent work or, if urgent is not set, to any work. Urgent work
// has precedence only until it fills the team's share, or one slot if the share is smaller; beyond that it competes
// with other work, so that a team that marks everything urgent gains nothing by it.
func (c *Claim) Wants(urgent bool) bool {
	switch {
	case c.Skip:
		return false
	case urgent:
		return c.Urgent > 0 && float64(c.AllocatedUrgent) < max(c.due, 1)
	}
	return c.Urgent > 0 || c.Normal > 0
}

// Policy decides the order in which the claims of a pool get slots.
type Policy interface {
	// Next returns the next claim to serve among those that want slots, nil if none does.
	Next(now time.Time, claims []*Claim, urgent bool) *Claim
	// Charge records a grant of slots that are expected to be used for a time.
	Charge(now time.Time, c *Claim, slots int, expected time.Duration)
}

// Sharer applies a policy to urgent work first, then to other work.
type Sharer struct{ policy Policy }

// NewSharer returns a sharer that applies a policy.
func NewSharer(p Policy) *Sharer { return &Sharer{policy: p} }

// BeginRound begins a round of grants with a number of free slots: it computes the shares and clears Skip.
func (s *Sharer) BeginRound(claims []*Claim, free int) {
	capacity := free
	for _, c := range claims {
		c.Skip = false
		capacity += c.Allocated
	}
	Divide(claims, float64(capacity))
}

// Next returns the next claim to serve, nil if there is none, and whether its urgent work is served. Within a team
// urgent work always goes first.
func (s *Sharer) Next(now time.Time, claims []*Claim) (*Claim, bool) {
	for _, urgent := range [2]bool{true, false} {
		if c := s.policy.Next(now, claims, urgent); c != nil {
			return c, c.Urgent > 0
		}
	}
	return nil, false
}

// Charge records a grant by moving slots from the claim's waiting work to its allocated slots.
func (s *Sharer) Charge(now time.Time, c *Claim, urgent bool, slots int, expected time.Duration) {
	s.policy.Charge(now, c, slots, expected)
	if urgent {
		c.Urgent = max(c.Urgent-slots, 0)
	} else {
		c.Normal = max(c.Normal-slots, 0)
	}
	c.AddAllocated(slots, urgent)
}

// AddAllocated changes the claim's allocated slots.
func (c *Claim) AddAllocated(slots int, urgent bool) {
	c.Allocated += slots
	if urgent {
		c.AllocatedUrgent += slots
	}
}
