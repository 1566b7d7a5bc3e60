package work

import (
	"slices"
	"time"
)

// WorkerID identifies a worker; it stays the same when the worker restarts.
type WorkerID string

// Worker is a worker as the platform reports it.
type Worker struct {
	ID      WorkerID
	Pool    string
	Address string
	Zone    string
	Machine string
	Labels  []string
	// Capacity is the total need that its tasks may have.
	Capacity Need
	// Leaving workers finish their running tasks and accept no new ones.
	Leaving bool
	// DrainTime is the minimum time for which a leaving worker keeps running.
	DrainTime time.Duration
	// WarmUp is the remaining time for which the worker is slow after its start.
	WarmUp time.Duration
	// Incarnation is the time of the worker's last start, in milliseconds since 1970, which tells restarts apart; 0 if
	// unknown.
	Incarnation int64
}

// Has reports whether the worker has a label; every worker has the label "".
func (w Worker) Has(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// Equal reports whether two reports of a worker are equal, except for the times DrainTime and WarmUp.
func (w Worker) Equal(o Worker) bool {
	return w.ID == o.ID && w.Pool == o.Pool && w.Address == o.Address && w.Zone == o.Zone && w.Machine == o.Machine &&
		slices.Equal(w.Labels, o.Labels) && w.Capacity == o.Capacity && w.Leaving == o.Leaving &&
		w.Incarnation == o.Incarnation
}

// Ending is the reason why a run ended.
type Ending string

// The reasons why a run ends.
const (
	Done         Ending = "done"
	TaskFailed   Ending = "failed"
	Stopped      Ending = "stopped"
	LeaseExpired Ending = "lapsed"
	// GangMemberEnded means that another member of the run's gang ended.
	GangMemberEnded Ending = "broken"
	// GangIncomplete means that the other members of the run's gang did not start in time.
	GangIncomplete Ending = "alone"
)

// RunKey identifies one run of a task.
type RunKey struct {
	Task   TaskID
	Number int64
}

// Active is an active run of a worker.
type Active struct {
	Run RunKey
	// Checkpoint is the last checkpoint written, or "".
	Checkpoint string
	// Percent is the progress of a finite run, and for a long-running one that of its startup: at 100 it is at work.
	Percent int
	// LoadSignal is the tail latency in milliseconds of a serving task, or the CPU in use of another task.
	LoadSignal int64
}

// End is an ended run, which its worker lists until the end is acknowledged.
type End struct {
	// Number increases with every end in one incarnation of the worker.
	Number     int64
	Run        RunKey
	How        Ending
	Checkpoint string
}

// RenewalReply is the reply of a worker to a renewal of its lease.
type RenewalReply struct {
	Incarnation int64
	// Clock is the worker's monotonic clock in milliseconds.
	Clock  int64
	Active []Active
	Ended  []End
	// Truncated means that the worker may have more ends than Ended lists.
	Truncated bool
}
