package share

import (
	"math"
	"testing"
	"time"
)

// TestStarvation guards against a team that gets more than its share by marking all its work urgent, and against
// urgent work within its team's share that waits behind other work.
func TestStarvation(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := NewSharer(NewBalance())
	loud, quiet := &Claim{Team: "loud", Weight: 1, Urgent: 1000}, &Claim{Team: "quiet", Weight: 1, Normal: 1000}
	busy := &Claim{Team: "busy", Weight: 1, Allocated: 60, Normal: 1000}
	claims := []*Claim{busy, loud, quiet}
	grant := func(free int) (*Claim, bool) {
		s.BeginRound(claims, free)
		c, urgent := s.Next(now, claims)
		s.Charge(now, c, urgent, 1, time.Second)
		now = now.Add(20 * time.Millisecond)
		return c, urgent
	}
	for free := 60; free > 0; free-- {
		grant(free)
	}
	if loud.Allocated != 40 || quiet.Allocated != 20 {
		t.Errorf("the team with urgent work has %d slots and the one without %d, want 40, its share, and 20",
			loud.Allocated, quiet.Allocated)
	}
	busy.Urgent = 1
	s.BeginRound(claims, 0)
	if c, urgent := s.Next(now, claims); c != busy || !urgent {
		t.Error("urgent work waits behind other work because its team's other work has more slots than its share")
	}
	busy.Urgent = 0
	for range 20 {
		busy.AddAllocated(-1, false)
		grant(1)
	}
	if loud.Allocated > 41 {
		t.Errorf("a team got %d slots by marking all its work urgent, its share is 40", loud.Allocated)
	}
}

// TestWeights guards against shares that do not follow the weights, and against slots that stay free for skipped
// claims.
func TestWeights(t *testing.T) {
	s := NewSharer(NewBalance())
	claims := []*Claim{{Team: "a", Weight: 5, Normal: 100}, {Team: "b", Weight: 3, Normal: 100},
		{Team: "c", Weight: 2, Normal: 100}, {Team: "idle", Weight: 100}, {Team: "large", Weight: 100, Normal: 1, Skip: true}}
	for range 100 {
		s.BeginRound(claims[:4], 1)
		c, urgent := s.Next(time.Time{}, claims)
		s.Charge(time.Time{}, c, urgent, 1, time.Second)
	}
	for i, want := range []int{50, 30, 20, 0, 0} {
		if claims[i].Allocated != want {
			t.Errorf("team %s has %d slots, want %d", claims[i].Team, claims[i].Allocated, want)
		}
	}
}

// TestDivide guards against shares above the demand, and against capacity that no claim gets.
func TestDivide(t *testing.T) {
	claims := []*Claim{{Weight: 5, Normal: 100}, {Weight: 3, Allocated: 1, Urgent: 1}, {Weight: 2, Allocated: 50},
		{Weight: 9}}
	Divide(claims, 80)
	for i, want := range []float64{78 * 5 / 7.0, 2, 78 * 2 / 7.0, 0} {
		if math.Abs(claims[i].Due()-want) > 1e-9 {
			t.Errorf("claim %d is due %.2f slots, want %.2f", i, claims[i].Due(), want)
		}
	}
}

// TestDebt guards against rounding that always favours the same teams, as with two slots for three equal teams.
func TestDebt(t *testing.T) {
	s, now := NewSharer(NewBalance()), time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	claims := []*Claim{{Weight: 1, Normal: 1e6}, {Weight: 1, Normal: 1e6}, {Weight: 1, Normal: 1e6}}
	got := map[*Claim]int{}
	var granted []*Claim
	for range 3000 {
		for _, c := range granted {
			c.Allocated--
		}
		granted = nil
		s.BeginRound(claims, 2)
		for range 2 {
			c, urgent := s.Next(now, claims)
			s.Charge(now, c, urgent, 1, time.Second)
			got[c]++
			granted = append(granted, c)
		}
		now = now.Add(100 * time.Millisecond)
	}
	for i, c := range claims {
		if got[c] < 1900 || got[c] > 2100 {
			t.Errorf("team %d got %d of 6000 grants, want a third", i, got[c])
		}
	}
}
