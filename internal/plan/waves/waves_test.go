package waves

import (
	"testing"
	"time"
)

// Guards against a wave that takes the machines that a queue's turn needs, against one that is not done in time, and
// against more machines away at once than its cap.
func TestAllows(t *testing.T) {
	base := Progress{Pending: 20, Cap: 8, Within: 28 * time.Second, Maintenance: 2 * time.Second}
	tests := []struct {
		name   string
		change func(Progress) Progress
		empty  bool
		want   bool
	}{
		{"idle machines go at once", func(p Progress) Progress { p.InProgress = 7; return p }, true, true},
		{"the cap holds", func(p Progress) Progress { p.InProgress = 8; return p }, true, false},
		{"busy machines go at the pace", func(p Progress) Progress { p.InProgress = 4; return p }, false, true},
		{"and not faster", func(p Progress) Progress { p.InProgress = 6; return p }, false, false},
		{"nor do idle ones while machines are scarce", func(p Progress) Progress { p.InProgress, p.Scarce = 6, true; return p }, true, false},
		{"late waves go at the cap", func(p Progress) Progress { p.InProgress, p.Elapsed = 7, 17*time.Second; return p }, false, true},
		{"which holds then too", func(p Progress) Progress { p.InProgress, p.Elapsed = 8, 17*time.Second; return p }, false, false},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			if got := x.change(base).Allows(x.empty); got != x.want {
				t.Errorf("Allows(%t) = %t", x.empty, got)
			}
		})
	}
}

// Guards against a pace that leaves machines over: every wave that keeps to it is done within its time.
func TestPaceIsEnough(t *testing.T) {
	for _, left := range []int{1, 5, 20, 60, 165} {
		p := Progress{Pending: left, Cap: left, Within: 26 * time.Second, Maintenance: 2 * time.Second, Scarce: true}
		const step = 200 * time.Millisecond
		var away []time.Duration
		for p.Pending > 0 || len(away) > 0 {
			for len(away) > 0 && away[0] <= p.Elapsed {
				away = away[1:]
			}
			p.InProgress = len(away)
			for p.Pending > 0 && p.Allows(false) {
				p.Pending--
				away = append(away, p.Elapsed+p.Maintenance+emptying)
				p.InProgress = len(away)
			}
			p.Elapsed += step
			if p.Elapsed > p.Within {
				t.Fatalf("%d machines: %d are left after %s", left, p.Pending, p.Within)
			}
		}
	}
}
