package share

import (
	"testing"
	"time"
)

// TestStarvation guards against a team that marks all its work urgent and takes every slot.
func TestStarvation(t *testing.T) {
	s := NewSharer(Occupancy{})
	loud, quiet := &Claim{Team: "loud", Weight: 1, Urgent: 1000}, &Claim{Team: "quiet", Weight: 1, Normal: 1000}
	for range 400 {
		c, urgent := s.Next(time.Time{}, []*Claim{loud, quiet})
		s.Charge(time.Time{}, c, urgent, 1, time.Second)
	}
	if quiet.Held != 400/(urgentTurns+1) {
		t.Errorf("normal work got %d of 400 slots while urgent work waited", quiet.Held)
	}
}

// TestWeights guards against shares that do not follow the weights, and slots left idle by skipped claims.
func TestWeights(t *testing.T) {
	s := NewSharer(Occupancy{})
	claims := []*Claim{{Team: "a", Weight: 5, Normal: 100}, {Team: "b", Weight: 3, Normal: 100},
		{Team: "c", Weight: 2, Normal: 100}, {Team: "idle", Weight: 100}, {Team: "large", Weight: 100, Normal: 1, Skip: true}}
	for range 100 {
		c, urgent := s.Next(time.Time{}, claims)
		s.Charge(time.Time{}, c, urgent, 1, time.Second)
	}
	for i, want := range []int{50, 30, 20, 0, 0} {
		if claims[i].Held != want {
			t.Errorf("team %s holds %d slots, want %d", claims[i].Team, claims[i].Held, want)
		}
	}
}
