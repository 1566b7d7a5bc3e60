package leader

import (
	"testing"
	"time"
)

// Guards against a leader whose planning passes leave no processor time for the replies of workers, and against one that
// does not plan for long after its process was suspended during a pass.
func TestPlanPause(t *testing.T) {
	for took, want := range map[time.Duration]time.Duration{
		0:                      4 * time.Millisecond,
		500 * time.Microsecond: 4 * time.Millisecond,
		5 * time.Millisecond:   20 * time.Millisecond,
		2 * time.Second:        100 * time.Millisecond,
	} {
		if got := planPause(took); got != want {
			t.Errorf("pause after a pass of %v: %v, want %v", took, got, want)
		}
	}
}
