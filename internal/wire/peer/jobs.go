package peer

import (
	"errors"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// The calls that entry instances make to the leader, and MethodAnnounce and MethodOffer, which the leader calls on them.
const (
	MethodSubmit    Method[SubmitRequest, JobReply]          = "/yuccahaven.Peer/Submit"
	MethodJob       Method[JobRequest, JobReply]             = "/yuccahaven.Peer/Job"
	MethodWaiting   Method[WaitingRequest, WaitingReply]     = "/yuccahaven.Peer/Waiting"
	MethodHeartbeat Method[HeartbeatRequest, HeartbeatReply] = "/yuccahaven.Peer/Beat"
	MethodAnnounce  Method[AnnounceRequest, AnnounceReply]   = "/yuccahaven.Peer/Seat"
	MethodOffer     Method[OfferRequest, OfferReply]         = "/yuccahaven.Peer/Offer"
)

// Result is the result of a call about a job.
type Result string

// The results of calls about jobs.
const (
	// Accepted: the job or its cancellation is stored, or the state or count was found.
	Accepted Result = "taken"
	// NotFound: no such job is known.
	NotFound Result = "absent"
	// Impossible: the job can never run and was not accepted.
	Impossible Result = "never"
	// NoQueue: no such queue is in force; the job was not accepted.
	NoQueue Result = "queue"
	// WrongKey: no customer has the caller's key; the job was not accepted.
	WrongKey Result = "key"
	// NotLeader: the called instance is not the leader, or a later leader may know the job, or its config is too old to
	// decide about the queue. It has done nothing.
	NotLeader Result = "elsewhere"
	// Overloaded: the leader has more to do than it can, and does not accept the job. Only a request with a Deadline is answered
	// so.
	Overloaded Result = "overload"
	// Unknown: the outcome is unknown.
	Unknown Result = "open"
)

// Access asks the leader to find the queue of a request and to check the caller's key, because the rules of the calling
// instance may be out of date. A job that is submitted has neither a queue nor a customer then, so that a leader of an earlier
// build does not accept it.
type Access struct {
	// Queue is what the calling instance found for Host and Path under the config Version.
	Queue   string `json:"queue"`
	Host    string `json:"host"`
	Path    string `json:"path"`
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// SubmitRequest submits a job to the leader.
type SubmitRequest struct {
	Job work.Job `json:"job"`
	// Version is the version of the config under which the calling instance admitted the job.
	Version int64   `json:"version"`
	Access  *Access `json:"access,omitempty"`
	// Wait is how long the leader may wait for the store before it replies that the request is pending; Deadline is how long
	// the caller waits. The Deadline is 0 if the calling instance does not know it or knows no Overloaded.
	Wait     time.Duration `json:"wait,omitempty"`
	Deadline time.Duration `json:"deadline,omitempty"`
}

// JobRequest requests the state of a job, or its cancellation. Wait is that of a SubmitRequest.
type JobRequest struct {
	ID     work.JobID    `json:"id"`
	Cancel bool          `json:"cancel,omitempty"`
	Access *Access       `json:"access,omitempty"`
	Wait   time.Duration `json:"wait,omitempty"`
}

// JobReply is the result; State and Queue are set only if a JobRequest was accepted.
type JobReply struct {
	Result Result     `json:"verdict"`
	State  work.State `json:"state,omitempty"`
	Queue  string     `json:"queue,omitempty"`
	// Pending means, beside Unknown, that the leader keeps the request and waits for the store: the same request sent again
	// waits on. RetryAfter is when a caller whose job was refused as Overloaded may come back.
	Pending    bool          `json:"pending,omitempty"`
	RetryAfter time.Duration `json:"retry,omitempty"`
}

// WaitingRequest requests the number of waiting jobs of a queue.
type WaitingRequest struct {
	Queue  string  `json:"queue"`
	Access *Access `json:"access,omitempty"`
}

// WaitingReply is the number of stored, unfinished jobs of the queue that have started no task, if Result is Accepted.
type WaitingReply struct {
	Result Result `json:"verdict"`
	Count  int    `json:"count"`
}

// HeartbeatRequest tells the leader that a peer reaches it, the highest term that the peer knows, and the delay with
// which the peer stands for election; an instance that is less suitable as leader has a longer one. Address is where
// the leader reaches the peer. Echo and EchoTerm are the Stamp and Term of the last reply that the peer received before
// it looked up the highest term; 0 without one.
type HeartbeatRequest struct {
	From          string        `json:"from"`
	Address       string        `json:"address,omitempty"`
	Term          int64         `json:"term"`
	ElectionDelay time.Duration `json:"delay,omitempty"`
	Echo          time.Duration `json:"echo,omitempty"`
	EchoTerm      int64         `json:"echoTerm,omitempty"`
	// Zone is the peer's availability zone, Relays whether it takes the leader's orders for workers.
	Zone   string `json:"zone,omitempty"`
	Relays bool   `json:"relays,omitempty"`
	// ReadsRowLog means that the peer reads log rows (state/rowlog) when it takes over.
	ReadsRowLog bool `json:"rowlog,omitempty"`
	// Succession means that the peer takes over from a lost leader as a designated successor.
	Succession bool `json:"succession,omitempty"`
}

// HeartbeatReply states whether the called instance is the leader, the time since the store last confirmed its
// leadership, and for how long the store has refused it; 0 means that it does not refuse. Stamp is the time of the
// reply on a clock of the leader's process, which only the leader of the term can interpret. If IsLeader is false, the
// other fields may all be 0.
type HeartbeatReply struct {
	IsLeader        bool          `json:"holds"`
	Term            int64         `json:"term"`
	SinceConfirmed  time.Duration `json:"age"`
	StoreRefusedFor time.Duration `json:"refused,omitempty"`
	Stamp           time.Duration `json:"stamp,omitempty"`
	// Interval is the time until the leader wants the next heartbeat; 0 leaves it to the sender.
	Interval time.Duration `json:"interval,omitempty"`
	// Boot identifies the process that replies, Ended means that it has led in the term of the request, or a later one, and
	// no longer does.
	Boot  string `json:"boot,omitempty"`
	Ended bool   `json:"ended,omitempty"`
	// Loading means that the leader does not answer requests yet, because it loads the stored state.
	Loading bool `json:"loading,omitempty"`
	// Successors are the designated successors by rank; without them the peer takes over by its time-outs only. Witnesses,
	// which only successors get, are peers that tell whether they reach the leader.
	Successors []Peer `json:"successors,omitempty"`
	Witnesses  []Peer `json:"witnesses,omitempty"`
	// Recorded means that the store holds every start of a task that a worker may still execute; a leader of an earlier build
	// does not say so.
	Recorded bool `json:"recorded,omitempty"`
}

// Validate returns an error for an invalid message.
func (q SubmitRequest) Validate() error {
	if q.Wait < 0 || q.Deadline < 0 {
		return errors.Join(ErrInvalidMessage, errors.New("submission with a negative wait or deadline"))
	}
	return q.Job.Validate()
}

// AnnounceRequest announces the leader to an instance.
type AnnounceRequest struct {
	Name    string `json:"name"`
	Boot    string `json:"boot"`
	Address string `json:"address"`
	Term    int64  `json:"term"`
	// Ready means that the leader has loaded the stored state; an instance of an earlier build does not say so.
	Ready bool `json:"ready,omitempty"`
}

// AnnounceReply confirms that the announcement was received. Term is the latest term that the instance knows; 0 if it
// does not say so.
type AnnounceReply struct {
	Term int64 `json:"term,omitempty"`
}

// Validate returns an error for an invalid message.
func (q AnnounceRequest) Validate() error {
	if q.Boot == "" || q.Address == "" || q.Term < 1 {
		return errors.Join(ErrInvalidMessage, errors.New("announcement without a boot, address or term"))
	}
	return nil
}

// Validate returns an error for an invalid message.
func (a AnnounceReply) Validate() error {
	if a.Term < 0 {
		return errors.Join(ErrInvalidMessage, errors.New("reply to an announcement with a negative term"))
	}
	return nil
}

// OfferRequest offers leadership to an instance: the leader's address and term, and the delay with which it would stand
// for election.
type OfferRequest struct {
	Name          string        `json:"name"`
	Boot          string        `json:"boot"`
	Address       string        `json:"address"`
	Term          int64         `json:"term"`
	ElectionDelay time.Duration `json:"delay"`
}

// OfferReply states whether the instance acquires leadership now. It declines if it is hardly better suited.
type OfferReply struct {
	Accepted bool `json:"taken"`
}

// Validate returns an error for an invalid message.
func (q OfferRequest) Validate() error {
	if q.Boot == "" || q.Address == "" || q.Term < 1 || q.ElectionDelay < 0 {
		return errors.Join(ErrInvalidMessage, errors.New("offer without a boot, address or term, or with a negative delay"))
	}
	return nil
}

// Validate returns an error for an invalid message.
func (OfferReply) Validate() error { return nil }

// Validate returns an error for an invalid message.
func (q JobRequest) Validate() error {
	if q.Wait < 0 {
		return errors.Join(ErrInvalidMessage, errors.New("request with a negative wait"))
	}
	return q.ID.Validate()
}

// Validate returns an error for an invalid message.
func (a JobReply) Validate() error {
	if a.RetryAfter < 0 {
		return errors.Join(ErrInvalidMessage, errors.New("reply with a negative time to come back"))
	}
	return a.Result.check()
}

// Validate returns an error for an invalid message.
func (q WaitingRequest) Validate() error {
	if q.Queue == "" {
		return errors.Join(ErrInvalidMessage, errors.New("no queue"))
	}
	return nil
}

// Validate returns an error for an invalid message.
func (a WaitingReply) Validate() error { return a.Result.check() }

// Validate returns an error for an invalid message.
func (q HeartbeatRequest) Validate() error {
	if q.From == "" || q.Term < 0 || q.ElectionDelay < 0 || q.Echo < 0 || q.EchoTerm < 0 {
		return errors.Join(ErrInvalidMessage,
			errors.New("heartbeat without a sender or with a negative term, delay or echo"))
	}
	return nil
}

// Validate returns an error for an invalid message.
func (a HeartbeatReply) Validate() error {
	if a.Term < 0 || a.SinceConfirmed < 0 || a.Stamp < 0 || a.Interval < 0 {
		return errors.Join(ErrInvalidMessage, errors.New("heartbeat reply with a negative term, age, stamp or interval"))
	}
	return checkDesignated(a.Successors, a.Witnesses)
}

func (r Result) check() error {
	switch r {
	case Accepted, NotFound, Impossible, NoQueue, WrongKey, NotLeader, Overloaded, Unknown:
		return nil
	}
	return errors.Join(ErrInvalidMessage, errors.New("unknown result"))
}

// WithTimes returns a copy with how long the leader may wait for the store, and how long the caller waits.
func (q SubmitRequest) WithTimes(wait, deadline time.Duration) SubmitRequest {
	q.Wait, q.Deadline = wait, deadline
	return q
}

// WithTimes returns a copy with how long the leader may wait for the store.
func (q JobRequest) WithTimes(wait, _ time.Duration) JobRequest {
	q.Wait = wait
	return q
}

// Outcome returns the result of the call.
func (a JobReply) Outcome() Result { return a.Result }

// IsPending reports whether the leader keeps the request and waits for the store.
func (a JobReply) IsPending() bool { return a.Result == Unknown && a.Pending }

// Outcome returns the result of the call.
func (a WaitingReply) Outcome() Result { return a.Result }

// IsPending reports false: the store does not have to confirm a count.
func (a WaitingReply) IsPending() bool { return false }
