// Package record defines the typed records of a trial: the workers' journal, the callers' answers and the operators'
// edits. Times are wall-clock nanoseconds of the one machine on which every part of a trial runs.
package record

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
)

// Stamp is a wall-clock time in nanoseconds.
type Stamp int64

// Now returns the current time.
func Now() Stamp { return Stamp(time.Now().UnixNano()) }

// Add returns the stamp moved by a duration.
func (s Stamp) Add(d time.Duration) Stamp { return s + Stamp(d) }

// Sub returns the time from another stamp to this one.
func (s Stamp) Sub(o Stamp) time.Duration { return time.Duration(s - o) }

// Event is what happened at a worker.
type Event string

// The events of a worker's journal.
const (
	Reserved Event = "reserved"
	Started  Event = "started"
	// Ended is a task that ran to its end; State is done or failed.
	Ended Event = "ended"
	// Stopped is a running task that was stopped on request.
	Stopped Event = "stopped"
	// Expired is the expiry of a reservation (state reserved) or of a lease (state stopped).
	Expired Event = "lapsed"
	// Fenced is a task id that has not started and never will; a reservation of the id ends.
	Fenced  Event = "fenced"
	Leaving Event = "leaving"
	Booted  Event = "booted"
	// Down is the start of a planned reboot.
	Down Event = "down"
	// Died is an unplanned loss of the worker with all its tasks.
	Died Event = "died"
	// Fault is a request that the platform forbids, such as a reboot while tasks run.
	Fault Event = "fault"
)

// Journal is one event at a worker.
type Journal struct {
	Event    Event                  `json:"event"`
	Time     Stamp                  `json:"time"`
	Instance fleet.InstanceID       `json:"instance"`
	Zone     fleet.AvailabilityZone `json:"zone,omitempty"`
	Boot     string                 `json:"boot,omitempty"`
	// Pool is the pool that the reservation named.
	Pool  fleet.PoolName   `json:"pool,omitempty"`
	Team  fleet.TeamName   `json:"team,omitempty"`
	Queue fleet.QueueName  `json:"queue,omitempty"`
	Key   string           `json:"key,omitempty"`
	Task  fleet.TaskID     `json:"task,omitempty"`
	Once  bool             `json:"once,omitempty"`
	Slots int              `json:"slots,omitempty"`
	State worker.TaskState `json:"state,omitempty"`
	// Detail is the error text of a failed task, the version of a boot or the description of a fault.
	Detail string `json:"detail,omitempty"`
}

// CallEvent is a step of a caller's request.
type CallEvent string

// The steps of a request. Answered, Refused and Unknown are final.
const (
	Submitted CallEvent = "submitted"
	// Accepted is a 202 for an asynchronous request.
	Accepted CallEvent = "accepted"
	Answered CallEvent = "answered"
	Refused  CallEvent = "refused"
	// Unknown is a refusal that does not say whether the work ran.
	Unknown CallEvent = "unknown"
)

// Call is one step of a caller's request. Retries of a request have the same ID.
type Call struct {
	Event CallEvent       `json:"event"`
	Time  Stamp           `json:"time"`
	ID    string          `json:"id"`
	Team  fleet.TeamName  `json:"team,omitempty"`
	Queue fleet.QueueName `json:"queue,omitempty"`
	Key   string          `json:"key,omitempty"`
	Once  bool            `json:"once,omitempty"`
	// Urgent is set only in Submitted.
	Urgent bool `json:"urgent,omitempty"`
	// Task is the record id from Task-Id or Location; workers see it as "<id>.<attempt>".
	Task string      `json:"task,omitempty"`
	Kind reject.Kind `json:"kind,omitempty"`
	Work reject.Work `json:"work,omitempty"`
	// Length and Digest (hexadecimal SHA-256) are the expected answer in Submitted and the received one in Answered.
	Length int64  `json:"length,omitempty"`
	Digest string `json:"digest,omitempty"`
}

// EditKind is what an operator or the platform changed.
type EditKind string

// The kinds of edits.
const (
	// EditZone sets the state of Zone.
	EditZone EditKind = "zone"
	// EditCeiling sets the ceiling of Team to Count.
	EditCeiling EditKind = "ceiling"
	// EditBudget sets the min of Pool to Count.
	EditBudget EditKind = "budget"
	// EditPool puts Instance into Pool in Zone with the state Status; an empty Pool removes it from every pool.
	EditPool EditKind = "pool"
	// EditLeaving lists Instance as leaving in the roster.
	EditLeaving EditKind = "leaving"
)

// Edit is one change that was in force from Time on; Sent is the time of its request, 0 if unknown.
type Edit struct {
	Kind     EditKind               `json:"kind"`
	Sent     Stamp                  `json:"sent,omitempty"`
	Time     Stamp                  `json:"time"`
	Zone     fleet.AvailabilityZone `json:"zone,omitempty"`
	State    fleet.ZoneState        `json:"state,omitempty"`
	Team     fleet.TeamName         `json:"team,omitempty"`
	Pool     fleet.PoolName         `json:"pool,omitempty"`
	Instance fleet.InstanceID       `json:"instance,omitempty"`
	Status   fleet.InstanceState    `json:"status,omitempty"`
	Count    int                    `json:"count,omitempty"`
}

// RequestedAt returns the time of the edit's request or, if that is unknown, the time from which it was in force.
func (e Edit) RequestedAt() Stamp {
	if e.Sent != 0 {
		return e.Sent
	}
	return e.Time
}
