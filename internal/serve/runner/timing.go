package runner

import "time"

const (
	// lease is how long a worker runs a task without a renewal.
	lease = 10 * time.Second
	// leaseExpiry is the time from the sending of the last renewal until a lease has expired for certain. The factor of
	// 1.25 covers the 2 s for which a sent renewal may still arrive, and a slow clock of the worker.
	leaseExpiry = lease * 5 / 4
	// renewInterval leaves two more renewals before a lease expires if one is lost.
	renewInterval = 3 * time.Second
	// reservationTTL bounds the time from the reservation to the start, and so that from the check to the start.
	reservationTTL = time.Second
	// unresponsiveTimeout is the time without a reply of a worker after which its tasks are no longer renewed, so that
	// their leases expire.
	unresponsiveTimeout = 4 * time.Second
	// callTimeout bounds one call to a worker; an unresponsive connection costs this much once.
	callTimeout = 2 * time.Second
	// pollWait is how long the worker holds a long poll.
	pollWait = time.Second
	// retryBackoff separates attempts to reach a worker or the store again.
	retryBackoff = 250 * time.Millisecond
	// maxAttempts bounds the starts of one idempotent task, for tasks that fail on every worker.
	maxAttempts = 4

	sweepInterval = 500 * time.Millisecond
	adoptInterval = 5 * time.Second
	// staleGrace is how long the view may be stale before waiting callers are rejected.
	staleGrace = 2 * time.Second
	// storeTimeout bounds one step that needs the store.
	storeTimeout = 3 * time.Second
	// peerTimeout bounds one call to the owner of a task, in addition to the wait that the call asks for.
	peerTimeout = 2 * time.Second
	// drainQueuedTimeout is how long queued tasks may still start during a shutdown.
	drainQueuedTimeout = 30 * time.Second
)
