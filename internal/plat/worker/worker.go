// Package worker is the adapter to the platform's workers.
package worker

import (
	"errors"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Errors of workers. After ErrNoReply it is unknown whether the request took effect; the others mean that it did not.
// ErrRefused stands for every request that was not sent, and ErrDamaged for a result that arrived damaged.
var (
	ErrBusy               = errors.New("worker: no free slot")
	ErrLeaving            = errors.New("worker: leaving")
	ErrReservationExpired = errors.New("worker: reservation lapsed")
	ErrFenced             = errors.New("worker: task is fenced")
	ErrUnknown            = errors.New("worker: unknown task")
	ErrRefused            = errors.New("worker: connection refused")
	ErrNoReply            = errors.New("worker: no reply")
	ErrDamaged            = errors.New("worker: answer is damaged")
)

// Reservation requests slots for one task; it expires after TTL by the worker's clock.
type Reservation struct {
	Task  fleet.TaskID    `json:"task"`
	Team  fleet.TeamName  `json:"team"`
	Queue fleet.QueueName `json:"queue"`
	Pool  fleet.PoolName  `json:"pool"`
	Slots int             `json:"slots"`
	TTL   time.Duration   `json:"ttl"`
}

// Start turns a reservation into a running task.
type Start struct {
	Task fleet.TaskID `json:"task"`
	// Lease is how long the task may run without a renewal, by the worker's clock.
	Lease time.Duration `json:"lease"`
	// Once marks a non-idempotent task.
	Once bool `json:"once"`
	// Key is the caller's idempotency key, or ""; the worker records it in its journal.
	Key string `json:"key,omitempty"`
	// Checkpoint is the last checkpoint of an earlier run of the same task, if any.
	Checkpoint []byte `json:"checkpoint,omitempty"`
	Input      []byte `json:"input"`
}

// TaskState is the state of a task on its worker.
type TaskState string

// States of a task on its worker.
const (
	Reserved TaskState = "reserved"
	Running  TaskState = "running"
	Done     TaskState = "done"
	Failed   TaskState = "failed"
	// Stopped tasks were stopped on request or at the expiry of their lease; Fenced ones have not run and never will.
	Stopped TaskState = "stopped"
	Fenced  TaskState = "fenced"
)

// Ended reports whether the task no longer holds a slot.
func (s TaskState) Ended() bool { return s != Reserved && s != Running }

// Status is a worker's report on one task.
type Status struct {
	Task  fleet.TaskID  `json:"task"`
	State TaskState     `json:"state"`
	Ran   time.Duration `json:"ran"`
	// Length and Digest (hexadecimal SHA-256) describe the result of a done task.
	Length int64  `json:"length"`
	Digest string `json:"digest,omitempty"`
	// Error is the error text of a failed task.
	Error      string `json:"error,omitempty"`
	Checkpoint []byte `json:"checkpoint,omitempty"`
}

// Report is a worker's own status.
type Report struct {
	Instance    fleet.InstanceID `json:"instance"`
	Slots       int              `json:"slots"`
	Used        int              `json:"used"`
	Connections int              `json:"connections"`
	Leaving     bool             `json:"leaving"`
	Version     string           `json:"version"`
	// Boot changes with every reboot.
	Boot  string         `json:"boot"`
	Tasks []ReportedTask `json:"tasks"`
}

// ReportedTask is a task in a worker's report, with the team that it runs for.
type ReportedTask struct {
	Task  fleet.TaskID   `json:"task"`
	Team  fleet.TeamName `json:"team"`
	State TaskState      `json:"state"`
}
