// Package peer is the inner protocol between entry instances: its messages, and calls and handlers over drpc.
package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// ErrMessage is returned for a message that does not pass its own check.
var ErrMessage = errors.New("peer: bad message")

// Message checks itself after it was decoded.
type Message interface {
	Validate() error
}

// Method is the name of a call with the types of its request and reply.
type Method[Q, A Message] string

// The calls of the inner protocol.
const (
	MethodSync         Method[SyncRequest, SyncReply]                 = "/yuccahaven.Peer/Sync"
	MethodPush         Method[PushRequest, PushReply]                 = "/yuccahaven.Peer/Push"
	MethodNotifyGrants Method[NotifyGrantsRequest, NotifyGrantsReply] = "/yuccahaven.Peer/Nudge"
	MethodPoll         Method[PollRequest, PollReply]                 = "/yuccahaven.Peer/Poll"
	MethodTask         Method[TaskRequest, TaskReply]                 = "/yuccahaven.Peer/Task"
	MethodStatus       Method[StatusRequest, StatusReply]             = "/yuccahaven.Peer/Status"
)

// SyncRequest asks a peer what it knows; the asker's revision lets the peer answer with what is newer.
type SyncRequest struct {
	From     fleet.EntryID `json:"from"`
	Revision uint64        `json:"revision"`
}

// SyncReply is the peer's revision and the deltas after the asker's, oldest first.
type SyncReply struct {
	From     fleet.EntryID `json:"from"`
	Revision uint64        `json:"revision"`
	Deltas   []fleet.Delta `json:"deltas"`
	// Items is the whole view instead, if the peer no longer has every delta.
	Items []fleet.Item `json:"items"`
}

// PushRequest brings new deltas to a peer, oldest first.
type PushRequest struct {
	From   fleet.EntryID `json:"from"`
	Deltas []fleet.Delta `json:"deltas"`
}

// PushReply is the revision the peer has applied.
type PushReply struct {
	From     fleet.EntryID `json:"from"`
	Revision uint64        `json:"revision"`
}

// NotifyGrantsRequest tells a peer that another entry wants grants of these teams.
type NotifyGrantsRequest struct {
	From  fleet.EntryID    `json:"from"`
	Teams []fleet.TeamName `json:"teams"`
}

// NotifyGrantsReply is empty.
type NotifyGrantsReply struct{}

// Demand is one team's waiting work for a pool at one entry.
type Demand struct {
	Team fleet.TeamName `json:"team"`
	// Waiting counts waiting tasks, Urgent those of them that are urgent, both in slots.
	Waiting int `json:"waiting"`
	Urgent  int `json:"urgent"`
	// Usable is how many slots the entry's free ceiling grants allow it to start now.
	Usable int `json:"usable"`
	// Oldest is the longest wait so far.
	Oldest time.Duration `json:"oldest"`
	// Sizes groups the waiting tasks by size; without it every permit is for the largest declared size of the
	// team's queues.
	Sizes []Size `json:"sizes,omitempty"`
}

// Size counts the waiting tasks of one size and urgency.
type Size struct {
	Slots  int  `json:"slots"`
	Tasks  int  `json:"tasks"`
	Urgent bool `json:"urgent,omitempty"`
}

// Occupied is one task that holds slots of a worker, from its reservation to its known end.
type Occupied struct {
	Task   fleet.TaskID     `json:"task"`
	Worker fleet.InstanceID `json:"worker"`
	Team   fleet.TeamName   `json:"team"`
	Slots  int              `json:"slots"`
	Urgent bool             `json:"urgent"`
}

// OutcomeKind says how an attempt to run a task on a worker ended.
type OutcomeKind string

// How attempts end.
const (
	OutcomeDone        OutcomeKind = "done"
	OutcomeFailed      OutcomeKind = "failed"
	OutcomeUnreachable OutcomeKind = "unreachable"
	OutcomeRefused     OutcomeKind = "refused"
)

// Outcome is one ended attempt, reported to the pool's coordinator once.
type Outcome struct {
	Worker fleet.InstanceID `json:"worker"`
	Queue  fleet.QueueName  `json:"queue"`
	Team   fleet.TeamName   `json:"team"`
	Kind   OutcomeKind      `json:"kind"`
	Ran    time.Duration    `json:"ran"`
}

// ZoneStep is how far an availability zone's return has come in one pool.
type ZoneStep struct {
	Zone       fleet.AvailabilityZone `json:"zone"`
	Generation uint64                 `json:"generation"`
	Step       int                    `json:"step"`
}

// PollRequest is an entry's full picture of one pool for the pool's coordinator.
type PollRequest struct {
	From     fleet.EntryID  `json:"from"`
	Pool     fleet.PoolName `json:"pool"`
	Sequence uint64         `json:"sequence"`
	Demand   []Demand       `json:"demand"`
	Occupied []Occupied     `json:"occupied"`
	// Unused are the permits the entry holds and has not used yet.
	Unused   []string   `json:"unused"`
	Outcomes []Outcome  `json:"outcomes"`
	Steps    []ZoneStep `json:"steps"`
}

// Permit allows an entry to reserve slots for a team at a worker until TTL after it was received.
type Permit struct {
	ID     string           `json:"id"`
	Pool   fleet.PoolName   `json:"pool"`
	Team   fleet.TeamName   `json:"team"`
	Worker fleet.InstanceID `json:"worker"`
	Slots  int              `json:"slots"`
	Urgent bool             `json:"urgent"`
	TTL    time.Duration    `json:"ttl"`
}

// Estimate is what the coordinator has learned about a queue.
type Estimate struct {
	Queue fleet.QueueName `json:"queue"`
	// Typical and High are the median and the 95th percentile of run times.
	Typical time.Duration `json:"typical"`
	High    time.Duration `json:"high"`
	// Wait is the expected wait of a task that arrives now.
	Wait time.Duration `json:"wait"`
}

// PollReply is the coordinator's answer to a poll.
type PollReply struct {
	Coordinator fleet.EntryID `json:"coordinator"`
	Sequence    uint64        `json:"sequence"`
	Permits     []Permit      `json:"permits"`
	Steps       []ZoneStep    `json:"steps"`
	Estimates   []Estimate    `json:"estimates"`
}

// TaskAction says what a TaskRequest wants.
type TaskAction string

// What a TaskRequest wants.
const (
	TaskGet    TaskAction = "get"
	TaskCancel TaskAction = "cancel"
)

// TaskRequest asks the entry that owns a task about it on behalf of a team's caller.
type TaskRequest struct {
	From   fleet.EntryID  `json:"from"`
	Team   fleet.TeamName `json:"team"`
	Task   fleet.TaskID   `json:"task"`
	Action TaskAction     `json:"action"`
	Wait   time.Duration  `json:"wait"`
}

// TaskReply is the owner's answer; Answer is set once the task is done.
type TaskReply struct {
	State  string `json:"state"`
	Answer []byte `json:"answer"`
	Digest string `json:"digest"`
	// Kind, Work and Detail describe a refusal, if the task ended in one.
	Kind   string `json:"kind"`
	Work   string `json:"work"`
	Detail string `json:"detail"`
}

// StatusRequest asks a peer for its own status.
type StatusRequest struct {
	From fleet.EntryID `json:"from"`
}

// StatusReply is a peer's status, as JSON documents for the operator's interface.
type StatusReply struct {
	From   fleet.EntryID `json:"from"`
	Status []byte        `json:"status"`
	Burn   []byte        `json:"burn"`
}

// Validate checks the message.
func (m SyncRequest) Validate() error { return named("from", m.From) }

// Validate checks the message.
func (m SyncReply) Validate() error { return named("from", m.From) }

// Validate checks the message.
func (m PushRequest) Validate() error { return named("from", m.From) }

// Validate checks the message.
func (m PushReply) Validate() error { return named("from", m.From) }

// Validate checks the message.
func (m NotifyGrantsRequest) Validate() error { return named("from", m.From) }

// Validate checks the message.
func (m NotifyGrantsReply) Validate() error { return nil }

// Validate checks the message.
func (m PollRequest) Validate() error {
	for _, d := range m.Demand {
		if d.Waiting < 0 || d.Urgent < 0 || d.Usable < 0 {
			return fmt.Errorf("%w: negative demand of team %q", ErrMessage, d.Team)
		}
		for _, z := range d.Sizes {
			if z.Slots < 1 || z.Tasks < 0 {
				return fmt.Errorf("%w: team %q waits for %d tasks of %d slots", ErrMessage, d.Team, z.Tasks, z.Slots)
			}
		}
	}
	for _, o := range m.Occupied {
		if o.Slots < 1 {
			return fmt.Errorf("%w: task %q holds %d slots", ErrMessage, o.Task, o.Slots)
		}
	}
	return errors.Join(named("from", m.From), named("pool", m.Pool))
}

// Validate checks the message.
func (m PollReply) Validate() error {
	for _, p := range m.Permits {
		if p.ID == "" || p.Slots < 1 {
			return fmt.Errorf("%w: permit %q for %d slots", ErrMessage, p.ID, p.Slots)
		}
	}
	return named("coordinator", m.Coordinator)
}

// Validate checks the message.
func (m TaskRequest) Validate() error {
	if m.Action != TaskGet && m.Action != TaskCancel {
		return fmt.Errorf("%w: action %q", ErrMessage, m.Action)
	}
	return named("from", m.From)
}

// Validate checks the message.
func (m TaskReply) Validate() error { return nil }

// Validate checks the message.
func (m StatusRequest) Validate() error { return named("from", m.From) }

// Validate checks the message.
func (m StatusReply) Validate() error { return named("from", m.From) }

func named[N ~string](field string, n N) error {
	if err := fleet.CheckName(n); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrMessage, field, err)
	}
	return nil
}
