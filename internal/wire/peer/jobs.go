package peer

import (
	"errors"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// The calls that entry instances make to the holder of the seat, and MethodAnnounce, which the holder makes to them.
const (
	MethodSubmit    Method[SubmitRequest, JobReply]          = "/yuccahaven.Peer/Submit"
	MethodJob       Method[JobRequest, JobReply]             = "/yuccahaven.Peer/Job"
	MethodWaiting   Method[WaitingRequest, WaitingReply]     = "/yuccahaven.Peer/Waiting"
	MethodHeartbeat Method[HeartbeatRequest, HeartbeatReply] = "/yuccahaven.Peer/Beat"
	MethodAnnounce  Method[AnnounceRequest, AnnounceReply]   = "/yuccahaven.Peer/Seat"
)

// Result says what became of a call about a job.
type Result string

// The verdicts.
const (
	// Accepted: the job or its cancellation is stored, or its state was found.
	Accepted Result = "taken"
	// NotFound: no such job is known.
	NotFound Result = "absent"
	// Impossible: the job can never run; it was not taken.
	Impossible Result = "never"
	// NoQueue: no such queue is in force; the job was not taken.
	NoQueue Result = "queue"
	// NotLeader: the asked instance doesn't hold the seat and has done nothing.
	NotLeader Result = "elsewhere"
	// Unknown: the outcome is not known.
	Unknown Result = "open"
)

// SubmitRequest hands a job to the holder of the seat.
type SubmitRequest struct {
	Job work.Job `json:"job"`
	// Version is the config under which the asking instance admitted the job.
	Version int64 `json:"version"`
}

// JobRequest asks for the state of a job, or for its end.
type JobRequest struct {
	ID     work.JobID `json:"id"`
	Cancel bool       `json:"cancel,omitempty"`
}

// JobReply is the verdict and, where it was asked for, the state.
type JobReply struct {
	Result Result     `json:"verdict"`
	State  work.State `json:"state,omitempty"`
	Queue  string     `json:"queue,omitempty"`
}

// WaitingRequest asks how many jobs of a queue wait.
type WaitingRequest struct {
	Queue string `json:"queue"`
}

// WaitingReply is the number of accepted jobs of which no task has started.
type WaitingReply struct {
	Result Result `json:"verdict"`
	Count  int    `json:"count"`
}

// HeartbeatRequest tells the holder of the seat that a peer sees it, and the highest term that the peer knows.
type HeartbeatRequest struct {
	From string `json:"from"`
	Term int64  `json:"term"`
}

// HeartbeatReply says whether the asked instance holds the seat, since when the store has not confirmed it, and for how
// long the store has refused it.
type HeartbeatReply struct {
	IsLeader        bool          `json:"holds"`
	Term            int64         `json:"term"`
	SinceConfirmed  time.Duration `json:"age"`
	StoreRefusedFor time.Duration `json:"refused,omitempty"`
}

// Validate checks the message after decoding.
func (q SubmitRequest) Validate() error { return q.Job.Validate() }

// AnnounceRequest tells an instance who holds the seat.
type AnnounceRequest struct {
	Name    string `json:"name"`
	Boot    string `json:"boot"`
	Address string `json:"address"`
	Term    int64  `json:"term"`
}

// AnnounceReply confirms that the seat was taken note of.
type AnnounceReply struct{}

// Validate checks the message after decoding.
func (q AnnounceRequest) Validate() error {
	if q.Boot == "" || q.Address == "" || q.Term < 1 {
		return errors.Join(ErrMessage, errors.New("seat without a boot, address or term"))
	}
	return nil
}

// Validate checks the message after decoding.
func (AnnounceReply) Validate() error { return nil }

// Validate checks the message after decoding.
func (q JobRequest) Validate() error { return q.ID.Validate() }

// Validate checks the message after decoding.
func (a JobReply) Validate() error { return a.Result.check() }

// Validate checks the message after decoding.
func (q WaitingRequest) Validate() error {
	if q.Queue == "" {
		return errors.Join(ErrMessage, errors.New("no queue"))
	}
	return nil
}

// Validate checks the message after decoding.
func (a WaitingReply) Validate() error { return a.Result.check() }

// Validate checks the message after decoding.
func (q HeartbeatRequest) Validate() error {
	if q.From == "" || q.Term < 0 {
		return errors.Join(ErrMessage, errors.New("beat without a sender"))
	}
	return nil
}

// Validate checks the message after decoding.
func (a HeartbeatReply) Validate() error {
	if a.Term < 0 || a.SinceConfirmed < 0 {
		return errors.Join(ErrMessage, errors.New("beat with a negative number"))
	}
	return nil
}

func (v Result) check() error {
	switch v {
	case Accepted, NotFound, Impossible, NoQueue, NotLeader, Unknown:
		return nil
	}
	return errors.Join(ErrMessage, errors.New("unknown verdict"))
}

// Outcome returns the verdict.
func (a JobReply) Outcome() Result { return a.Result }

// Outcome returns the verdict.
func (a WaitingReply) Outcome() Result { return a.Result }
