// Package share divides a pool's slots between teams by weight, work-conserving and over the whole fleet.
package share

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// urgentTurns is the number of grants in a row that urgent work may take while other work waits.
// One grant in four for other work keeps a team that marks all its work urgent from starving the others.
const urgentTurns = 3

// Claim is one team's standing in a pool; all counts are slots over all entries.
type Claim struct {
	Team   fleet.TeamName
	Weight int
	// Held counts the slots of running tasks and of outstanding permits.
	Held int
	// Urgent and Normal count the waiting work that could start now.
	Urgent int
	Normal int
	// Skip excludes the claim for the rest of a round because nothing fits its next task.
	Skip bool
}

// weight returns the claim's weight; a team without a share gets the smallest one.
func (c *Claim) weight() float64 { return float64(max(c.Weight, 1)) }

// Wants reports whether the claim competes for grants of the given urgency.
func (c *Claim) Wants(urgent bool) bool {
	if c.Skip {
		return false
	}
	if urgent {
		return c.Urgent > 0
	}
	return c.Normal > 0
}

// Policy orders the claims of a pool.
type Policy interface {
	// Next returns the claim to serve next among those that want work of the given urgency, nil if none does.
	Next(now time.Time, claims []*Claim, urgent bool) *Claim
	// Charge records a grant of slots that are expected to be held for a time.
	Charge(now time.Time, c *Claim, slots int, expected time.Duration)
}

// Sharer applies a policy with urgent work first.
type Sharer struct {
	policy Policy
	streak int
}

// NewSharer returns a sharer over a policy.
func NewSharer(p Policy) *Sharer { return &Sharer{policy: p} }

// Next returns the claim to serve next and whether its urgent work is meant; nil if no claim wants anything.
func (s *Sharer) Next(now time.Time, claims []*Claim) (*Claim, bool) {
	order := [2]bool{true, false}
	if s.streak >= urgentTurns {
		order = [2]bool{false, true}
	}
	for _, urgent := range order {
		if c := s.policy.Next(now, claims, urgent); c != nil {
			return c, urgent
		}
	}
	return nil, false
}

// Charge records a grant: the claim's waiting work falls and its held slots rise.
func (s *Sharer) Charge(now time.Time, c *Claim, urgent bool, slots int, expected time.Duration) {
	if urgent {
		c.Urgent = max(c.Urgent-slots, 0)
		s.streak++
	} else {
		c.Normal = max(c.Normal-slots, 0)
		s.streak = 0
	}
	s.policy.Charge(now, c, slots, expected)
	c.Held += slots
}

// Occupancy serves the team with the lowest held slots over weight first.
type Occupancy struct{}

var _ Policy = Occupancy{}

// Next returns the claim with the lowest occupancy over weight; ties go to the first.
func (Occupancy) Next(_ time.Time, claims []*Claim, urgent bool) *Claim {
	var best *Claim
	var least float64
	for _, c := range claims {
		if !c.Wants(urgent) {
			continue
		}
		if k := float64(c.Held) / c.weight(); best == nil || k < least {
			best, least = c, k
		}
	}
	return best
}

// Charge does nothing; the held slots are the whole state.
func (Occupancy) Charge(time.Time, *Claim, int, time.Duration) {}
