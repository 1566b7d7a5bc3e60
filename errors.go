package yuccahaven

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Work tells whether the work of a rejected request was run.
type Work string

// Values of Work.
const (
	WorkRun     Work = "run"
	WorkNotRun  Work = "not-run"
	WorkUnknown Work = "unknown"
)

// Kind is the reason for a rejection.
type Kind string

// Reasons for rejections that callers can receive.
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
	KindInternal   Kind = "internal"   // an internal error of the service
)

// ErrAnswer is returned for a response that is damaged, incomplete or malformed; the work may have run.
var ErrAnswer = errors.New("yuccahaven: bad answer")

// Error is a rejection by the service.
type Error struct {
	Kind   Kind   `json:"kind"`
	Work   Work   `json:"work"`
	Detail string `json:"detail"`
	Status int    `json:"status"`
	// RetryAfter is the time after which a retry may succeed; 0 means that the service named no time.
	RetryAfter time.Duration `json:"-"`
}

// Error returns the kind and detail of the rejection.
func (e *Error) Error() string {
	return fmt.Sprintf("yuccahaven: %s: %s (work %s)", e.Kind, e.Detail, e.Work)
}

// retryableKinds are the reasons for rejections that may not recur on a retry.
var retryableKinds = []Kind{KindFull, KindStale, KindStore, KindStopping, KindLost, KindInternal}

// mayRetry reports whether a request may be sent again: the kind of the rejection is retryable, and either the work was
// certainly not run or running it again does no harm.
func mayRetry(err error, repeatable bool) bool {
	var e *Error
	if errors.As(err, &e) {
		return slices.Contains(retryableKinds, e.Kind) && (e.Work == WorkNotRun || repeatable)
	}
	return repeatable
}

// isNotRun reports whether an error says that the work was not run.
func isNotRun(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Work == WorkNotRun
}

// withUnknownWork replaces WorkNotRun in a rejection by WorkUnknown if an earlier attempt of the same call may have run
// the work.
func withUnknownWork(err error, mayHaveRun bool) error {
	var e *Error
	if !mayHaveRun || !isNotRun(err) || !errors.As(err, &e) {
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
