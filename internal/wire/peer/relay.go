package peer

import (
	"errors"
	"fmt"
	"time"
)

// MethodRelay is the stream on which the leader sends orders for workers to a relay, which reports their outcomes.
const MethodRelay StreamMethod[RelayOrders, RelayReport] = "/yuccahaven.Peer/Relay"

// RelayOrders is a batch of the leader's orders, or an empty one that extends the relay's authority.
type RelayOrders struct {
	Term  int64 `json:"term"`
	Fence int64 `json:"fence"`
	// Echo is the Stamp of the last report that the leader received, Authority how long after the sending of this batch
	// the leader's authority lasts at least.
	Echo      time.Duration `json:"echo"`
	Authority time.Duration `json:"left"`
	// Specs are the specs of jobs, to which starts refer by their index.
	Specs     []string        `json:"specs,omitempty"`
	Starts    []StartOrder    `json:"starts,omitempty"`
	Stops     []StopOrder     `json:"stops,omitempty"`
	Throttles []ThrottleOrder `json:"paces,omitempty"`
	Renewals  []RenewalOrder  `json:"renewals,omitempty"`
}

// OrderTarget identifies an order and names its worker.
type OrderTarget struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Worker  string
	Address string
}

// RunName names one run of a task.
type RunName struct {
	_                  struct{} `cbor:",toarray"`
	Job                string
	Round, Step, Index int
	Number             int64
}

// StartOrder starts a run, see engine.Start.
type StartOrder struct {
	_      struct{} `cbor:",toarray"`
	Target OrderTarget
	Run    RunName
	// Spec is an index of the batch's Specs.
	Spec       int
	LeaseEnd   int64
	Checkpoint string
	Ticket     string
}

// StopOrder stops a run.
type StopOrder struct {
	_      struct{} `cbor:",toarray"`
	Target OrderTarget
	Run    RunName
}

// ThrottleOrder limits the speed of a run.
type ThrottleOrder struct {
	_       struct{} `cbor:",toarray"`
	Target  OrderTarget
	Run     RunName
	Percent int
}

// RenewalOrder renews the lease of a worker, see engine.Renewal.
type RenewalOrder struct {
	_        struct{} `cbor:",toarray"`
	Target   OrderTarget
	LeaseEnd int64
	AckedEnd int64
	// Wait is how long the relay may wait for a run to end, Poll how long each of its calls to the worker may wait.
	Wait, Poll time.Duration
}

// RelayReport is what has become of orders, or an empty report that shows that the relay is alive. Stamp is the time of
// the report on a clock of the relay's process, which only that can interpret.
type RelayReport struct {
	Stamp    time.Duration   `json:"stamp"`
	Outcomes []OrderOutcome  `json:"outcomes,omitempty"`
	Renewals []RenewalReport `json:"renewals,omitempty"`
}

// OrderOutcome is the outcome of an order other than an applied renewal.
type OrderOutcome struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Outcome OutcomeCode
}

// RenewalReport is the reply of a worker to a renewal.
type RenewalReport struct {
	_           struct{} `cbor:",toarray"`
	ID          uint64
	Incarnation int64
	Clock       int64
	Truncated   bool
	Active      []ActiveRun
	Ended       []EndedRun
}

// ActiveRun is an active run of a worker, see work.Active.
type ActiveRun struct {
	_          struct{} `cbor:",toarray"`
	Run        RunName
	Checkpoint string
	Percent    int
	LoadSignal int64
}

// EndedRun is an ended run of a worker, see work.End.
type EndedRun struct {
	_          struct{} `cbor:",toarray"`
	Number     int64
	Run        RunName
	How        string
	Checkpoint string
}

// OutcomeCode is the outcome of an order on the wire. The numbers must not change.
type OutcomeCode uint8

// The outcomes, see engine.Outcome.
const (
	CodeApplied        OutcomeCode = 1
	CodeNotSent        OutcomeCode = 2
	CodeNoReply        OutcomeCode = 3
	CodeUnhealthy      OutcomeCode = 4
	CodeFull           OutcomeCode = 5
	CodeOutdated       OutcomeCode = 6
	CodeLeaseExpired   OutcomeCode = 7
	CodeFenced         OutcomeCode = 8
	CodeReplaced       OutcomeCode = 9
	CodeTicketRequired OutcomeCode = 10
	CodeInvalid        OutcomeCode = 11
	CodeWithheld       OutcomeCode = 12
	CodeAppliedAgain   OutcomeCode = 13
	CodeDeclinedAgain  OutcomeCode = 14
	CodeNoReplyAgain   OutcomeCode = 15
	CodeFencedAgain    OutcomeCode = 16
)

// Validate returns an error for an invalid message.
func (q RelayOrders) Validate() error {
	if q.Term < 1 || q.Fence < 0 || q.Echo < 0 || q.Authority < 0 {
		return errors.Join(ErrInvalidMessage, errors.New("orders without a term or with a negative fence or time"))
	}
	var errs []error
	check := func(t OrderTarget) {
		if t.ID == 0 || t.Worker == "" || t.Address == "" {
			errs = append(errs, fmt.Errorf("order %d without a number, worker or address", t.ID))
		}
	}
	for _, o := range q.Starts {
		check(o.Target)
		if o.Spec < 0 || o.Spec >= len(q.Specs) {
			errs = append(errs, fmt.Errorf("order %d refers to spec %d of %d", o.Target.ID, o.Spec, len(q.Specs)))
		}
	}
	for _, o := range q.Stops {
		check(o.Target)
	}
	for _, o := range q.Throttles {
		check(o.Target)
	}
	for _, o := range q.Renewals {
		check(o.Target)
		if o.Wait < 0 || o.Poll < 0 {
			errs = append(errs, fmt.Errorf("renewal %d with a negative wait", o.Target.ID))
		}
	}
	if len(errs) > 0 {
		return errors.Join(append(errs, ErrInvalidMessage)...)
	}
	return nil
}

// Validate returns an error for an invalid message.
func (a RelayReport) Validate() error {
	if a.Stamp < 0 {
		return errors.Join(ErrInvalidMessage, errors.New("report with a negative stamp"))
	}
	return nil
}
