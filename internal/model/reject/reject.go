// Package reject defines the typed errors that callers and operators receive when a request is rejected.
package reject

import (
	"fmt"
	"net/http"
	"time"
)

// Work is whether the work of a rejected request ran.
type Work string

// The values of Work.
const (
	WorkNotRun  Work = "not-run"
	WorkRun     Work = "run"
	WorkUnknown Work = "unknown"
)

// Kind is the reason of a rejection and the last part of the problem document's type.
type Kind string

// The reasons of a rejection.
const (
	KindKey         Kind = "key"         // missing, wrong or revoked key
	KindForbidden   Kind = "forbidden"   // the key does not permit this
	KindQueue       Kind = "queue"       // unknown queue
	KindTask        Kind = "task"        // unknown task
	KindRequest     Kind = "request"     // malformed request
	KindBody        Kind = "body"        // body over the limit
	KindImpossible  Kind = "impossible"  // no worker of the pool can ever run the job
	KindFull        Kind = "full"        // the queue or the memory for request bodies is full
	KindOverload    Kind = "overload"    // more work is submitted than can be started or stored in time
	KindDeadline    Kind = "deadline"    // the deadline can't be met or has passed
	KindCancelled   Kind = "cancelled"   // the caller cancelled the task
	KindStale       Kind = "stale"       // the instance can't prove that its view is current
	KindStore       Kind = "store"       // the store is unavailable
	KindStopping    Kind = "stopping"    // the instance is shutting down
	KindFailed      Kind = "failed"      // the task ran and failed
	KindLost        Kind = "lost"        // contact with the worker was lost
	KindConflict    Kind = "conflict"    // a section, instance or task has changed or is in another state
	KindFindings    Kind = "findings"    // the edit has findings
	KindBudget      Kind = "budget"      // a pool's availability budget would be violated
	KindUnconfirmed Kind = "unconfirmed" // stored but not yet confirmed to be in effect
	KindInternal    Kind = "internal"    // an internal error
)

// Error is a rejection with the information that a caller needs to act on it.
type Error struct {
	Kind   Kind
	Work   Work
	Detail string
	// RetryAfter is the time after which a retry may succeed; 0 means that a retry doesn't help.
	RetryAfter time.Duration
	Cause      error
}

// New returns a rejection with a formatted detail.
func New(k Kind, w Work, format string, args ...any) *Error {
	return &Error{Kind: k, Work: w, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the kind, the detail, the state of the work and the cause, if any.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %s (work %s): %v", e.Kind, e.Detail, e.Work, e.Cause)
	}
	return fmt.Sprintf("%s: %s (work %s)", e.Kind, e.Detail, e.Work)
}

func (e *Error) Unwrap() error { return e.Cause }

// WithRetryAfter returns a copy with the time after which the caller may retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithWork returns a copy with another state of the work.
func (e *Error) WithWork(w Work) *Error {
	c := *e
	c.Work = w
	return &c
}

// WithCause returns a copy that wraps a cause, which is logged but never sent to the caller.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.Cause = err
	return &c
}

// Status returns the HTTP status of the rejection.
func (e *Error) Status() int {
	if s, ok := statuses[e.Kind]; ok {
		return s
	}
	return http.StatusInternalServerError
}

var statuses = map[Kind]int{
	KindKey:         http.StatusUnauthorized,
	KindForbidden:   http.StatusForbidden,
	KindQueue:       http.StatusNotFound,
	KindTask:        http.StatusNotFound,
	KindRequest:     http.StatusBadRequest,
	KindBody:        http.StatusRequestEntityTooLarge,
	KindImpossible:  http.StatusUnprocessableEntity,
	KindFull:        http.StatusTooManyRequests,
	KindOverload:    http.StatusServiceUnavailable,
	KindDeadline:    http.StatusGatewayTimeout,
	KindCancelled:   http.StatusConflict,
	KindStale:       http.StatusServiceUnavailable,
	KindStore:       http.StatusServiceUnavailable,
	KindStopping:    http.StatusServiceUnavailable,
	KindFailed:      http.StatusBadGateway,
	KindLost:        http.StatusBadGateway,
	KindConflict:    http.StatusConflict,
	KindFindings:    http.StatusUnprocessableEntity,
	KindBudget:      http.StatusConflict,
	KindUnconfirmed: http.StatusGatewayTimeout,
}
