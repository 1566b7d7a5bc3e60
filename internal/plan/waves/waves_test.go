package waves

import (
	"testing"
	"time"
)

// TestAllows guards against a wave that takes machines that a pool in high demand needs, against one that doesn't
// complete in time, and against more machines in progress than the cap.
func TestAllows(t *testing.T) {
	base := Progress{Pending: 20, Cap: 8, Within: 28 * time.Second, Maintenance: 2 * time.Second}
	tests := []struct {
		name   string
		change func(Progress) Progress
		kind   Kind
		want   bool
	}{
		{"empty machines start at once", func(p Progress) Progress { p.InProgress = 7; return p }, Empty, true},
		{"the cap limits empty machines", func(p Progress) Progress { p.InProgress = 8; return p }, Empty, false},
		{"busy machines start below the required parallelism",
			func(p Progress) Progress { p.InProgress = 4; return p }, Busy, true},
		{"busy machines wait at the required parallelism",
			func(p Progress) Progress { p.InProgress = 6; return p }, Busy, false},
		{"empty machines wait while machines are scarce",
			func(p Progress) Progress { p.InProgress, p.Scarce = 6, true; return p }, Empty, false},
		{"late waves are limited only by the cap",
			func(p Progress) Progress { p.InProgress, p.Elapsed = 7, 17*time.Second; return p }, Busy, true},
		{"the cap limits the machines that late waves drain",
			func(p Progress) Progress { p.InProgress, p.Draining, p.Elapsed = 8, 8, 17*time.Second; return p }, Busy, false},
		{"late waves drain machines while others are down",
			func(p Progress) Progress { p.InProgress, p.Elapsed = 8, 17*time.Second; return p }, Busy, true},
		{"the cap limits late waves",
			func(p Progress) Progress { p.InProgress, p.Elapsed = 8, 17*time.Second; return p }, Empty, false},
		{"empty machines don't wait for those being drained",
			func(p Progress) Progress { p.InProgress, p.Draining = 14, 7; return p }, Empty, true},
		{"slow drains call for more machines at once",
			func(p Progress) Progress { p.InProgress, p.Draining, p.DrainTime = 6, 6, 8*time.Second; return p }, Busy, true},
		{"a part of the slow machines is drained from the beginning",
			func(p Progress) Progress { p.InProgress, p.Draining, p.SlowDraining = 6, 6, 4; return slow(p) }, Slow, true},
		{"that part suffices",
			func(p Progress) Progress { p.InProgress, p.Draining, p.SlowDraining = 6, 6, 6; return slow(p) }, Slow, false},
		{"slow machines don't wait while machines are scarce",
			func(p Progress) Progress { p.InProgress, p.Scarce = 6, true; return slow(p) }, Slow, true},
		{"all slow machines are drained when the time for their tasks to leave has come",
			func(p Progress) Progress { p.Draining, p.SlowDraining, p.Elapsed = 7, 7, 9*time.Second; return slow(p) }, Slow, true},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			if got := x.change(base).Allows(x.kind); got != x.want {
				t.Errorf("Allows(%d) = %t", x.kind, got)
			}
		})
	}
}

// slow adds ten slow machines, whose tasks take 9 s to leave.
func slow(p Progress) Progress {
	p.SlowPending, p.VacateTime = 10-p.SlowDraining, 9*time.Second
	return p
}

// TestRequiredParallelismSuffices guards against a required parallelism that is too low: every wave that follows it
// must complete within its time.
func TestRequiredParallelismSuffices(t *testing.T) {
	for _, machines := range []int{1, 5, 20, 60, 165} {
		p := Progress{Pending: machines, Cap: machines, Within: 26 * time.Second, Maintenance: 2 * time.Second, Scarce: true}
		const step = 200 * time.Millisecond
		var inProgress []time.Duration
		for p.Pending > 0 || len(inProgress) > 0 {
			for len(inProgress) > 0 && inProgress[0] <= p.Elapsed {
				inProgress = inProgress[1:]
			}
			p.InProgress = len(inProgress)
			for p.Pending > 0 && p.Allows(Busy) {
				p.Pending--
				inProgress = append(inProgress, p.Elapsed+p.Maintenance+DefaultDrainTime)
				p.InProgress = len(inProgress)
			}
			p.Elapsed += step
			if p.Elapsed > p.Within {
				t.Fatalf("%d machines: %d are pending after %s", machines, p.Pending, p.Within)
			}
		}
	}
}
