package work

import (
	"slices"
	"testing"
)

// Guards against a submission of a few hundred kilobytes that makes the record of a job larger than a row of the store, which
// ends the term of every leader that tries to store it.
func TestStepsThatAStepWaitsFor(t *testing.T) {
	job := func(after []int) Job {
		return Job{ID: "00000000000000a1", Steps: []Step{{Count: 1}, {Count: 1}, {Count: 1, After: after}}}
	}
	for _, c := range []struct {
		after []int
		valid bool
	}{
		{nil, true}, {[]int{1, 0}, true}, {[]int{2}, false}, {[]int{-1}, false}, {[]int{0, 1, 0}, true},
		{slices.Repeat([]int{0}, MaxSteps+1), false},
	} {
		if err := job(c.after).Validate(); (err == nil) != c.valid {
			t.Errorf("%d steps, from %.10v: %v", len(c.after), c.after[:min(len(c.after), 3)], err)
		}
	}
}
