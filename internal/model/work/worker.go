package work

import (
	"slices"
	"time"
)

// WorkerID names one worker; it appears again when the same worker restarts.
type WorkerID string

// Worker is what the platform says of one worker.
type Worker struct {
	ID      WorkerID
	Pool    string
	Address string
	Zone    string
	Machine string
	Labels  []string
	// Capacity is what the tasks on it may take in all.
	Capacity Need
	// Leaving workers finish what they run and take nothing new.
	Leaving bool
	// DrainTime is the least time for which a leaving worker goes on.
	DrainTime time.Duration
	// WarmUp is how much longer the worker is slow after its start.
	WarmUp time.Duration
	// Incarnation tells the lives of a worker apart, in milliseconds since 1970; 0 if not known.
	Incarnation int64
}

// Has reports whether the worker has a label; "" is on every worker.
func (w Worker) Has(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// Equal reports whether two reports say the same.
func (w Worker) Equal(o Worker) bool {
	return w.ID == o.ID && w.Pool == o.Pool && w.Address == o.Address && w.Zone == o.Zone && w.Machine == o.Machine &&
		slices.Equal(w.Labels, o.Labels) && w.Capacity == o.Capacity && w.Leaving == o.Leaving && w.Incarnation == o.Incarnation
}

// Ending says how a run ended.
type Ending string

// The ways in which a run ends.
const (
	Done         Ending = "done"
	TaskFailed   Ending = "failed"
	Stopped      Ending = "stopped"
	LeaseExpired Ending = "lapsed"
	// GangMemberEnded means that another member of the gang ended.
	GangMemberEnded Ending = "broken"
	// GangIncomplete means that the other members of the gang did not come in time.
	GangIncomplete Ending = "alone"
)

// RunKey names one run of a task.
type RunKey struct {
	Task   TaskID
	Number int64
}

// Active is a run that a worker has.
type Active struct {
	Run RunKey
	// Checkpoint is the last one written, or "".
	Checkpoint string
	// Percent is the share of its speed at which the run works.
	Percent int
	// LoadSignal is the tail of response times in milliseconds for serving tasks, else the CPU in use.
	LoadSignal int64
}

// End is a run that ended, as its worker lists it until the end is acknowledged.
type End struct {
	// Number rises with every end of one life of the worker.
	Number     int64
	Run        RunKey
	How        Ending
	Checkpoint string
}

// RenewalReply is the reply of a worker to a renewal of its lease.
type RenewalReply struct {
	Incarnation int64
	// Clock is the worker's own steady clock in milliseconds.
	Clock  int64
	Active []Active
	Ended  []End
}
