// Package work defines the domain types of jobs with their steps and tasks, of the workers that run them, and of the
// rules that operators set for them.
package work

import (
	"cmp"
	"fmt"
	"time"
)

// JobID identifies a job; its submitter chooses it.
type JobID string

// jobIDDigits is the number of hexadecimal digits of a JobID.
const jobIDDigits = 16

// Validate returns an error unless the identifier consists of 16 hexadecimal digits.
func (id JobID) Validate() error {
	if len(id) != jobIDDigits {
		return fmt.Errorf("job id %.40q is not %d hexadecimal digits", string(id), jobIDDigits)
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return fmt.Errorf("job id %q is not %d hexadecimal digits", string(id), jobIDDigits)
		}
	}
	return nil
}

// Job is a job as a caller submitted it; it is immutable.
type Job struct {
	ID       JobID  `json:"id"`
	Queue    string `json:"queue"`
	Customer string `json:"owner,omitempty"`
	// Spec is passed to the worker without being interpreted.
	Spec  string `json:"spec,omitempty"`
	Steps []Step `json:"steps"`
	// Repeats is the number of scheduled rounds of the steps; 0 means one round that starts immediately.
	Repeats int `json:"times,omitempty"`
	// First is when round 0 is due, in milliseconds since 1970; Interval is the time between rounds.
	First    int64         `json:"first,omitempty"`
	Interval time.Duration `json:"every,omitempty"`
	// Accepted is when the job was accepted, in milliseconds since 1970.
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

// Rounds returns the number of rounds in which the steps run.
func (j Job) Rounds() int { return max(j.Repeats, 1) }

// LongRunning reports whether any step of the job is long-running.
func (j Job) LongRunning() bool {
	for _, s := range j.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

// Due returns when a round may start, in milliseconds since 1970; 0 means immediately.
func (j Job) Due(round int) int64 {
	if j.Repeats == 0 {
		return 0
	}
	return j.First + int64(round)*j.Interval.Milliseconds()
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job   JobID `json:"job"`
	Round int   `json:"round"`
	Step  int   `json:"step"`
	Index int   `json:"index"`
}

// String returns "job.round.step.index", the form used in logs.
func (t TaskID) String() string { return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Round, t.Step, t.Index) }

// Compare orders tasks by job, round, step and index.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Round, o.Round), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// State is the state of a job as callers see it.
type State string

// The states of a job.
const (
	Pending   State = "pending"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in this state has ended.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }
