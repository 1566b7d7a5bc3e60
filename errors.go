package yuccahaven

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Work says what is known of the work of a refused request.
type Work string

// What is known of the work of a refused request.
const (
	WorkRun     Work = "run"
	WorkNotRun  Work = "not-run"
	WorkUnknown Work = "unknown"
)

// Kind is the reason of a refusal.
type Kind string

// The reasons of refusals that callers meet.
const (
	KindKey        Kind = "key"        // missing, wrong or withdrawn key
	KindForbidden  Kind = "forbidden"  // the key does not permit this
	KindQueue      Kind = "queue"      // unknown queue
	KindTask       Kind = "task"       // unknown task
	KindRequest    Kind = "request"    // malformed request
	KindBody       Kind = "body"       // body over the limit
	KindImpossible Kind = "impossible" // no worker of the pool can ever run the job
	KindFull       Kind = "full"       // the queue is full
	KindDeadline   Kind = "deadline"   // the deadline can't be met or has passed
	KindCancelled  Kind = "cancelled"  // the caller cancelled the task
	KindStale      Kind = "stale"      // the instance can't confirm its configuration
	KindStore      Kind = "store"      // the store is unavailable
	KindStopping   Kind = "stopping"   // the instance is shutting down
	KindFailed     Kind = "failed"     // the task ran and failed
	KindLost       Kind = "lost"       // contact with the worker was lost
	KindConflict   Kind = "conflict"   // the task has already ended
	KindInternal   Kind = "internal"   // a fault of the service
)

// ErrAnswer is returned for an answer that is damaged, incomplete or not understood; the work may have run.
var ErrAnswer = errors.New("yuccahaven: bad answer")

// Error is a refusal of the service.
type Error struct {
	Kind   Kind   `json:"kind"`
	Work   Work   `json:"work"`
	Detail string `json:"detail"`
	Status int    `json:"status"`
	// RetryAfter is when coming back may help; 0 means that the service gave no time.
	RetryAfter time.Duration `json:"-"`
}

// Error returns the kind and detail of the refusal.
func (e *Error) Error() string {
	return fmt.Sprintf("yuccahaven: %s: %s (work %s)", e.Kind, e.Detail, e.Work)
}

// passing are the refusals of which another try may have another outcome.
var passing = []Kind{KindFull, KindStale, KindStore, KindStopping, KindLost, KindInternal}

// mayRetry reports whether a request may be sent again: the refusal is a passing one, and either the work certainly
// was not run or running it again does no harm.
func mayRetry(err error, repeatable bool) bool {
	var e *Error
	if errors.As(err, &e) {
		return slices.Contains(passing, e.Kind) && (e.Work == WorkNotRun || repeatable)
	}
	return repeatable
}

// isNotRun reports whether an error says that the work was not run.
func isNotRun(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Work == WorkNotRun
}

// withDoubt returns a refusal that does not deny work which an earlier try of the same call may have run.
func withDoubt(err error, doubt bool) error {
	var e *Error
	if !doubt || !isNotRun(err) || !errors.As(err, &e) {
		return err
	}
	c := *e
	c.Work = WorkUnknown
	return &c
}

func retryAfter(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}
