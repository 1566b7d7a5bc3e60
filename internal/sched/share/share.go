// Package share divides a pool's slots between teams by weight, work-conserving and over the whole fleet.
package share

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Claim is one team's standing in a pool; all counts are slots over all entries.
type Claim struct {
	Team   fleet.TeamName
	Weight int
	// Held counts the slots of running tasks and of outstanding permits, HeldUrgent those of them for urgent work.
	Held       int
	HeldUrgent int
	// Urgent and Normal count the waiting work that could start now.
	Urgent int
	Normal int
	// Skip excludes the claim for the rest of a round because nothing fits its next task.
	Skip bool

	was  int     // slots held after the last round of grants
	debt float64 // slot-seconds above the share lately
	due  float64 // slots due by the share
	open bool    // takes part in the division
}

// weight returns the claim's weight; a team without a share gets the smallest one.
func (c *Claim) weight() float64 { return float64(max(c.Weight, 1)) }

// Wants reports whether the claim competes for the grants of a turn. In the turn of urgent work a team takes part
// until its urgent work holds its share; what is beyond it competes with other work, so that a team which marks
// everything urgent gains nothing from it.
func (c *Claim) Wants(urgent bool) bool {
	switch {
	case c.Skip:
		return false
	case urgent:
		return c.Urgent > 0 && float64(c.HeldUrgent) < max(c.due, 1)
	}
	return c.Urgent > 0 || c.Normal > 0
}

// Policy orders the claims of a pool.
type Policy interface {
	// Next returns the claim to serve next among those that want a turn, nil if none does.
	Next(now time.Time, claims []*Claim, urgent bool) *Claim
	// Charge records a grant of slots that are expected to be held for a time.
	Charge(now time.Time, c *Claim, slots int, expected time.Duration)
}

// Sharer applies a policy with urgent work first.
type Sharer struct{ policy Policy }

// NewSharer returns a sharer over a policy.
func NewSharer(p Policy) *Sharer { return &Sharer{policy: p} }

// Round begins a round of grants with a number of free slots.
func (s *Sharer) Round(claims []*Claim, free int) {
	capacity := free
	for _, c := range claims {
		c.Skip = false
		capacity += c.Held
	}
	Divide(claims, float64(capacity))
}

// Next returns the claim to serve next and whether its urgent work is meant; nil if no claim wants anything.
// Within a team urgent work always goes first.
func (s *Sharer) Next(now time.Time, claims []*Claim) (*Claim, bool) {
	for _, urgent := range [2]bool{true, false} {
		if c := s.policy.Next(now, claims, urgent); c != nil {
			return c, c.Urgent > 0
		}
	}
	return nil, false
}

// Charge records a grant: the claim's waiting work falls and its held slots rise.
func (s *Sharer) Charge(now time.Time, c *Claim, urgent bool, slots int, expected time.Duration) {
	s.policy.Charge(now, c, slots, expected)
	if urgent {
		c.Urgent = max(c.Urgent-slots, 0)
	} else {
		c.Normal = max(c.Normal-slots, 0)
	}
	c.Hold(slots, urgent)
}

// Hold changes the slots held by the claim.
func (c *Claim) Hold(slots int, urgent bool) {
	c.Held += slots
	if urgent {
		c.HeldUrgent += slots
	}
}
