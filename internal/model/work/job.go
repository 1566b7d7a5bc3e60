// Package work holds the domain types of jobs that are made of steps and tasks, of the workers that run them and of
// the rules that operators set for them.
package work

import (
	"cmp"
	"fmt"
	"time"
)

// JobID identifies a job; its submitter chooses it.
type JobID string

// idLength is the number of hexadecimal digits of a JobID.
const idLength = 16

// Validate reports an identifier that is not 16 hexadecimal digits.
func (id JobID) Validate() error {
	if len(id) != idLength {
		return fmt.Errorf("job id %.40q is not %d hexadecimal digits", string(id), idLength)
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return fmt.Errorf("job id %q is not %d hexadecimal digits", string(id), idLength)
		}
	}
	return nil
}

// Job is what a caller submitted; it doesn't change.
type Job struct {
	ID       JobID  `json:"id"`
	Queue    string `json:"queue"`
	Customer string `json:"owner,omitempty"`
	// Spec is handed to the worker unread.
	Spec  string `json:"spec,omitempty"`
	Steps []Step `json:"steps"`
	// Repeats is how often the steps run at their times; 0 means once, at once.
	Repeats int `json:"times,omitempty"`
	// First is when round 0 is due, in milliseconds since 1970; Interval is the time between rounds.
	First    int64         `json:"first,omitempty"`
	Interval time.Duration `json:"every,omitempty"`
	// Accepted is when the job came, in milliseconds since 1970.
	Accepted int64 `json:"came"`
}

// Validate checks a job after decoding.
func (j Job) Validate() error {
	if err := j.ID.Validate(); err != nil {
		return err
	}
	switch {
	case len(j.Spec) > MaxSpec:
		return fmt.Errorf("spec has %d bytes, more than %d", len(j.Spec), MaxSpec)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return fmt.Errorf("%d steps, not between 1 and %d", len(j.Steps), MaxSteps)
	case j.Repeats < 0 || j.Repeats > MaxRepeats:
		return fmt.Errorf("%d rounds, not between 0 and %d", j.Repeats, MaxRepeats)
	case j.Interval < 0:
		return fmt.Errorf("the interval of rounds is below 0")
	}
	for i, s := range j.Steps {
		if err := s.check(i); err != nil {
			return err
		}
	}
	return nil
}

// Rounds is how often the steps run.
func (j Job) Rounds() int { return max(j.Repeats, 1) }

// LongRunning reports whether any step runs until the job is cancelled.
func (j Job) LongRunning() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

// Due is when a round may start, in milliseconds since 1970; 0 means at once.
func (j Job) Due(round int) int64 {
	if j.Repeats == 0 {
		return 0
	}
	return j.First + int64(round)*j.Interval.Milliseconds()
}

// TaskID names one task of a job.
type TaskID struct {
	Job   JobID `json:"job"`
	Round int   `json:"round"`
	Step  int   `json:"step"`
	Index int   `json:"index"`
}

// String returns "job.round.step.index", as in logs.
func (t TaskID) String() string { return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Round, t.Step, t.Index) }

// Compare orders tasks by job, round, step and index.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Round, o.Round), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// State is what callers see of a job.
type State string

// The states of a job.
const (
	Pending   State = "pending"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether nothing of the job runs any more.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }
