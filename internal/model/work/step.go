package work

import (
	"fmt"
	"time"
)

// Bounds of a job, against submissions that would exhaust the memory of an entry instance.
const (
	MaxSteps   = 64
	MaxCount   = 2000
	MaxSpec    = 4000
	MaxRepeats = 10000
	maxText    = 200
)

// Step is a number of equal tasks of a job.
type Step struct {
	Count int  `json:"count"`
	Need  Need `json:"need"`
	// Estimate is the submitter's guess of a task's run time; it is often far off.
	Estimate time.Duration `json:"guess,omitempty"`
	// After are the numbers of earlier steps whose tasks must all be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints means that the tasks write checkpoints and may resume from them.
	Checkpoints bool `json:"saves,omitempty"`
	// Gang means that the tasks only work together: all start with the same run number and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack means that the tasks are slower when they run on more than one rack.
	SameRack bool `json:"tight,omitempty"`
	// Label is one that the worker must have, or "".
	Label string `json:"label,omitempty"`
	// Rack is where the step's data is, or "". Tasks are slower on other racks.
	Rack string `json:"rack,omitempty"`
	// MaxPerWorker is the largest number of the step's tasks on one worker; 0 means no limit.
	MaxPerWorker int `json:"spread,omitempty"`
	// Speculative means that a task may run several times at once; the first copy to finish counts.
	Speculative bool `json:"copies,omitempty"`
	// LongRunning tasks run until the job is cancelled and are restarted however they end.
	LongRunning bool `json:"lasting,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// LatencyObjective is the response time that a serving task must keep to; 0 if it serves nobody.
	LatencyObjective time.Duration `json:"tail,omitempty"`
	// BestEffort means that the tasks run on the processor time that other tasks leave and their CPU isn't reserved.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is how many lasting tasks may be unavailable at once by our doing.
	MaxUnavailable int `json:"miss,omitempty"`
	// HasMaxUnavailable means that MaxUnavailable was given; a step without it has no such limit.
	HasMaxUnavailable bool `json:"budget,omitempty"`
}

// Reserved is what a task takes from its worker's capacity.
func (s Step) Reserved() Need {
	if s.BestEffort {
		return Need{Memory: s.Need.Memory, GPU: s.Need.GPU}
	}
	return s.Need
}

func (s Step) check(number int) error {
	switch {
	case s.Count < 1 || s.Count > MaxCount:
		return fmt.Errorf("step %d: count %d is not between 1 and %d", number, s.Count, MaxCount)
	case s.Need.Negative():
		return fmt.Errorf("step %d: a resource is below 0", number)
	case s.Estimate < 0 || s.LatencyObjective < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0:
		return fmt.Errorf("step %d: a number is below 0", number)
	case len(s.Label) > maxText || len(s.Rack) > maxText || len(s.Image) > maxText:
		return fmt.Errorf("step %d: a text is longer than %d bytes", number, maxText)
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			return fmt.Errorf("step %d: waits for step %d, which is not an earlier one", number, a)
		}
	}
	return nil
}
