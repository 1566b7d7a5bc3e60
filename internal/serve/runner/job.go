package runner

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
)

// Job is one accepted request for work.
type Job struct {
	Queue fleet.QueueName
	// Team is the team whose key came with the request, "" on an open queue.
	Team  fleet.TeamName
	Input []byte
	// Key is the caller's idempotency key, "" without one.
	Key string
	// Once marks a non-idempotent job: it is started at most once.
	Once   bool
	Urgent bool
	// Slots is the number of worker slots; 0 means the number set for the queue, or 1 if none is set.
	Slots int
	// Timeout bounds the time until the answer; 0 means the limit of the queue, which also caps it.
	Timeout time.Duration
}

// Answer is the complete result of a task.
type Answer struct {
	// ID names the task to its caller.
	ID   string
	Body []byte
	// Digest is the hexadecimal SHA-256 of Body.
	Digest string
}

// Phase is the stage that a task has reached.
type Phase string

// The phases of a task as its caller sees them.
const (
	PhaseWaiting  Phase = "waiting"
	PhaseRunning  Phase = "running"
	PhaseDone     Phase = "done"
	PhaseRejected Phase = "rejected"
)

// Progress is what is known of a task; Answer is set once it is done and Rejection once it is rejected.
type Progress struct {
	ID        string
	Phase     Phase
	Answer    Answer
	Rejection *reject.Error
}
