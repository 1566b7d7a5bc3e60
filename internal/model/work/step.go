package work

import (
	"fmt"
	"time"
)

// Limits of a job, which prevent submissions from exhausting the memory of an entry instance.
const (
	MaxSteps     = 64
	MaxCount     = 2000 // tasks of one step
	MaxSpec      = 4000 // bytes
	MaxRepeats   = 10000
	maxTextBytes = 200 // of a label, rack or image
)

// Step is a step of a job, which consists of a number of equal tasks.
type Step struct {
	Count int  `json:"count"`
	Need  Need `json:"need"`
	// Estimate is the run time of a task as declared by the submitter, which is often far from the actual one.
	Estimate time.Duration `json:"guess,omitempty"`
	// After lists the numbers of earlier steps whose tasks must all be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints means that the tasks write checkpoints and can resume from them.
	Checkpoints bool `json:"saves,omitempty"`
	// Gang means that the tasks only work together: they all start with the same run number and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack means that the tasks should run on one rack, because they are slower on several.
	SameRack bool `json:"tight,omitempty"`
	// Label is the label that a worker must have, or "".
	Label string `json:"label,omitempty"`
	// Rack is the rack that holds the step's data, or ""; tasks are slower on other racks.
	Rack string `json:"rack,omitempty"`
	// MaxPerWorker is the largest number of the step's tasks on one worker; 0 means no limit.
	MaxPerWorker int `json:"spread,omitempty"`
	// Speculative means that several copies of a task may run at once; the first to finish counts.
	Speculative bool `json:"copies,omitempty"`
	// LongRunning tasks run until the job is cancelled and are restarted whenever they end.
	LongRunning bool `json:"lasting,omitempty"`
	// Image names the program that the tasks run; tasks with the same image behave alike.
	Image string `json:"image,omitempty"`
	// LatencyObjective is the maximum response time of a serving task; 0 if the tasks serve no requests.
	LatencyObjective time.Duration `json:"tail,omitempty"`
	// BestEffort means that the tasks run on CPU that other tasks leave unused; their CPU isn't reserved.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is how many long-running tasks the scheduler may make unavailable at once.
	MaxUnavailable int `json:"miss,omitempty"`
	// HasMaxUnavailable means that MaxUnavailable was given; without it there is no such limit.
	HasMaxUnavailable bool `json:"budget,omitempty"`
}

// Reserved returns the need of a task that is reserved on its worker.
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
	case len(s.Label) > maxTextBytes || len(s.Rack) > maxTextBytes || len(s.Image) > maxTextBytes:
		return fmt.Errorf("step %d: a text is longer than %d bytes", number, maxTextBytes)
	case len(s.After) > MaxSteps:
		return fmt.Errorf("step %d: waits for %d steps, more than a job has", number, len(s.After))
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			return fmt.Errorf("step %d: waits for step %d, which is not an earlier one", number, a)
		}
	}
	return nil
}
