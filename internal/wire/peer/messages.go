// Package peer implements the protocol between entry instances: its messages, and calls and handlers over drpc.
package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// ErrInvalidMessage is returned for a message that cannot be decoded or is invalid.
var ErrInvalidMessage = errors.New("peer: bad message")

// Message is a request or reply, which is validated after decoding.
type Message interface {
	Validate() error
}

// Method is the name of a call with the types of its request and reply.
type Method[Q, A Message] string

// The methods of the peer protocol.
const (
	MethodSync         Method[SyncRequest, SyncReply]                 = "/yuccahaven.Peer/Sync"
	MethodPush         Method[PushRequest, PushReply]                 = "/yuccahaven.Peer/Push"
	MethodNotifyGrants Method[NotifyGrantsRequest, NotifyGrantsReply] = "/yuccahaven.Peer/Nudge"
	MethodPoll         Method[PollRequest, PollReply]                 = "/yuccahaven.Peer/Poll"
	MethodTask         Method[TaskRequest, TaskReply]                 = "/yuccahaven.Peer/Task"
	MethodStatus       Method[StatusRequest, StatusReply]             = "/yuccahaven.Peer/Status"
)

// SyncRequest requests what is newer in a peer's view than the revision of the caller.
type SyncRequest struct {
	From     fleet.EntryID `json:"from"`
	Revision uint64        `json:"revision"`
}

// SyncReply is the peer's revision and the deltas after the caller's revision, oldest first.
type SyncReply struct {
	From     fleet.EntryID `json:"from"`
	Revision uint64        `json:"revision"`
	Deltas   []fleet.Delta `json:"deltas"`
	// Items is the whole view instead of deltas, if the peer no longer has all of them.
	Items []fleet.Item `json:"items"`
}

// PushRequest sends new deltas to a peer, oldest first.
type PushRequest struct {
	From   fleet.EntryID `json:"from"`
	Deltas []fleet.Delta `json:"deltas"`
}

// PushReply is the revision that the peer has applied.
type PushReply struct {
	From     fleet.EntryID `json:"from"`
	Revision uint64        `json:"revision"`
}

// NotifyGrantsRequest notifies a peer that another entry instance wants or has freed grants of these teams.
type NotifyGrantsRequest struct {
	From  fleet.EntryID    `json:"from"`
	Teams []fleet.TeamName `json:"teams"`
}

// NotifyGrantsReply is empty.
type NotifyGrantsReply struct{}

// Demand is one team's waiting work for a pool at one entry instance.
type Demand struct {
	Team fleet.TeamName `json:"team"`
	// Waiting is the size of the waiting tasks, Urgent that of the urgent ones among them, both in slots.
	Waiting int `json:"waiting"`
	Urgent  int `json:"urgent"`
	// Usable is how many slots the entry instance can start tasks on now by its free grants.
	Usable int `json:"usable"`
	// Oldest is the longest wait so far.
	Oldest time.Duration `json:"oldest"`
	// Sizes groups the waiting tasks by size; without it, every permit is for the largest declared size of the
	// team's queues.
	Sizes []Size `json:"sizes,omitempty"`
}

// Size counts the waiting tasks of one size and urgency.
type Size struct {
	Slots  int  `json:"slots"`
	Tasks  int  `json:"tasks"`
	Urgent bool `json:"urgent,omitempty"`
}

// Occupied is one task that occupies slots of a worker, from its reservation until it is known to have ended.
type Occupied struct {
	Task   fleet.TaskID     `json:"task"`
	Worker fleet.InstanceID `json:"worker"`
	Team   fleet.TeamName   `json:"team"`
	Slots  int              `json:"slots"`
	Urgent bool             `json:"urgent"`
}

// OutcomeKind is how an attempt to run a task on a worker ended.
type OutcomeKind string

// The kinds of outcomes.
const (
	OutcomeDone        OutcomeKind = "done"
	OutcomeFailed      OutcomeKind = "failed"
	OutcomeUnreachable OutcomeKind = "unreachable"
	OutcomeRefused     OutcomeKind = "refused"
)

// Outcome is one ended attempt, reported once to the pool's coordinator.
type Outcome struct {
	Worker fleet.InstanceID `json:"worker"`
	Queue  fleet.QueueName  `json:"queue"`
	Team   fleet.TeamName   `json:"team"`
	Kind   OutcomeKind      `json:"kind"`
	Ran    time.Duration    `json:"ran"`
}

// ZoneStep is the step that an availability zone's return has reached in one pool: 0 before the ramp, then the number
// of the step, up to ramp.StepInService.
type ZoneStep struct {
	Zone       fleet.AvailabilityZone `json:"zone"`
	Generation uint64                 `json:"generation"`
	Step       int                    `json:"step"`
}

// PollRequest is an entry instance's full snapshot of one pool for the pool's coordinator.
type PollRequest struct {
	From fleet.EntryID  `json:"from"`
	Pool fleet.PoolName `json:"pool"`
	// Sequence rises with each poll; the coordinator takes only the outcomes from a poll that arrives after a later one.
	Sequence uint64     `json:"sequence"`
	Demand   []Demand   `json:"demand"`
	Occupied []Occupied `json:"occupied"`
	// Unused lists the permits that the entry instance holds and has not used yet.
	Unused   []string   `json:"unused"`
	Outcomes []Outcome  `json:"outcomes"`
	Steps    []ZoneStep `json:"steps"`
}

// Permit allows an entry instance to reserve slots for a team at a worker until TTL after its receipt.
type Permit struct {
	ID     string           `json:"id"`
	Pool   fleet.PoolName   `json:"pool"`
	Team   fleet.TeamName   `json:"team"`
	Worker fleet.InstanceID `json:"worker"`
	Slots  int              `json:"slots"`
	Urgent bool             `json:"urgent"`
	TTL    time.Duration    `json:"ttl"`
}

// Estimate is the coordinator's estimate of the run times and the wait of a queue.
type Estimate struct {
	Queue fleet.QueueName `json:"queue"`
	// Typical and High are the median and the 95th percentile of run times.
	Typical time.Duration `json:"typical"`
	High    time.Duration `json:"high"`
	// Wait is the expected wait of a task that arrives now.
	Wait time.Duration `json:"wait"`
}

// PollReply is the coordinator's reply to the poll with the same Sequence. If a later poll of the entry instance
// arrived first, it holds no permits, steps or estimates.
type PollReply struct {
	Coordinator fleet.EntryID `json:"coordinator"`
	Sequence    uint64        `json:"sequence"`
	Permits     []Permit      `json:"permits"`
	Steps       []ZoneStep    `json:"steps"`
	Estimates   []Estimate    `json:"estimates"`
}

// TaskAction is the action that a TaskRequest requests.
type TaskAction string

// The actions of a TaskRequest.
const (
	TaskGet    TaskAction = "get"
	TaskCancel TaskAction = "cancel"
)

// TaskRequest requests the state or the cancellation of a task from the entry instance that owns it, on behalf of a
// team's caller.
type TaskRequest struct {
	From   fleet.EntryID  `json:"from"`
	Team   fleet.TeamName `json:"team"`
	Task   fleet.TaskID   `json:"task"`
	Action TaskAction     `json:"action"`
	Wait   time.Duration  `json:"wait"`
}

// TaskReply is the owner's reply; Answer is set once the task is done.
type TaskReply struct {
	State  string `json:"state"`
	Answer []byte `json:"answer"`
	Digest string `json:"digest"`
	// Kind, Work and Detail describe the rejection, if the task ended with one.
	Kind   string `json:"kind"`
	Work   string `json:"work"`
	Detail string `json:"detail"`
}

// StatusRequest requests a peer's status.
type StatusRequest struct {
	From fleet.EntryID `json:"from"`
}

// StatusReply is a peer's status, as JSON documents for the operator's interface.
type StatusReply struct {
	From   fleet.EntryID `json:"from"`
	Status []byte        `json:"status"`
	Burn   []byte        `json:"burn"`
}

// Validate returns an error for an invalid message.
func (m SyncRequest) Validate() error { return checkName("from", m.From) }

// Validate returns an error for an invalid message.
func (m SyncReply) Validate() error { return checkName("from", m.From) }

// Validate returns an error for an invalid message.
func (m PushRequest) Validate() error { return checkName("from", m.From) }

// Validate returns an error for an invalid message.
func (m PushReply) Validate() error { return checkName("from", m.From) }

// Validate returns an error for an invalid message.
func (m NotifyGrantsRequest) Validate() error { return checkName("from", m.From) }

// Validate returns an error for an invalid message.
func (m NotifyGrantsReply) Validate() error { return nil }

// Validate returns an error for an invalid message.
func (m PollRequest) Validate() error {
	for _, d := range m.Demand {
		if d.Waiting < 0 || d.Urgent < 0 || d.Usable < 0 {
			return fmt.Errorf("%w: negative demand of team %q", ErrInvalidMessage, d.Team)
		}
		for _, z := range d.Sizes {
			if z.Slots < 1 || z.Tasks < 0 {
				return fmt.Errorf("%w: team %q waits for %d tasks of %d slots", ErrInvalidMessage, d.Team, z.Tasks, z.Slots)
			}
		}
	}
	for _, o := range m.Occupied {
		if o.Slots < 1 {
			return fmt.Errorf("%w: task %q holds %d slots", ErrInvalidMessage, o.Task, o.Slots)
		}
	}
	return errors.Join(checkName("from", m.From), checkName("pool", m.Pool))
}

// Validate returns an error for an invalid message.
func (m PollReply) Validate() error {
	for _, p := range m.Permits {
		if p.ID == "" || p.Slots < 1 {
			return fmt.Errorf("%w: permit %q for %d slots", ErrInvalidMessage, p.ID, p.Slots)
		}
	}
	return checkName("coordinator", m.Coordinator)
}

// Validate returns an error for an invalid message.
func (m TaskRequest) Validate() error {
	if m.Action != TaskGet && m.Action != TaskCancel {
		return fmt.Errorf("%w: action %q", ErrInvalidMessage, m.Action)
	}
	return checkName("from", m.From)
}

// Validate returns an error for an invalid message.
func (m TaskReply) Validate() error { return nil }

// Validate returns an error for an invalid message.
func (m StatusRequest) Validate() error { return checkName("from", m.From) }

// Validate returns an error for an invalid message.
func (m StatusReply) Validate() error { return checkName("from", m.From) }

func checkName[N ~string](field string, n N) error {
	if err := fleet.CheckName(n); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrInvalidMessage, field, err)
	}
	return nil
}
