package runner

import (
	"context"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// Views gives the current view and says whether it is confirmed.
type Views interface {
	View() fleet.View
	Fresh() error
	Await(ctx context.Context) error
}

// Workers reaches workers by address; see the methods of the worker adapter.
type Workers interface {
	Reserve(ctx context.Context, address string, r worker.Reservation) error
	Start(ctx context.Context, address string, s worker.Start) error
	Await(ctx context.Context, address string, id fleet.TaskID, wait time.Duration) (worker.Status, error)
	Result(ctx context.Context, address string, id fleet.TaskID) ([]byte, error)
	Renew(ctx context.Context, address string, lease time.Duration, ids []fleet.TaskID) ([]worker.Status, error)
	Stop(ctx context.Context, address string, id fleet.TaskID, checkpoint bool) (worker.Status, error)
	Acknowledge(ctx context.Context, address string, id fleet.TaskID) error
	Report(ctx context.Context, address string) (worker.Report, error)
}

// Grants is the part of every team's ceiling that this entry instance holds.
type Grants interface {
	Acquire(t fleet.TeamName, slots int) bool
	Release(t fleet.TeamName, slots int)
	Free(t fleet.TeamName) int
	Want(t fleet.TeamName, slots int)
}

// Members knows this entry instance and which others are alive.
type Members interface {
	Self() fleet.Member
	Alive(id fleet.EntryID) bool
}

// Roster says which instances the platform lists as leaving.
type Roster interface {
	Leaving(id fleet.InstanceID) bool
}

// Owners asks the entry instance that owns a task.
type Owners interface {
	Task(ctx context.Context, address string, q peer.TaskRequest) (peer.TaskReply, error)
}

// Coordinators polls the coordinators: it is told that the demand for a pool, or the use of its slots, has changed, and
// knows what the pool's coordinator has learned.
type Coordinators interface {
	RequestPoll(p fleet.PoolName)
	Estimates(p fleet.PoolName) []peer.Estimate
}

type noPoker struct{}

func (noPoker) RequestPoll(fleet.PoolName) {}

func (noPoker) Estimates(fleet.PoolName) []peer.Estimate { return nil }

const (
	// lease is how long a worker runs a task without a renewal.
	lease = 10 * time.Second
	// lapse is when a lease has certainly lapsed, from the moment the last renewal was sent. The factor of 1.25
	// covers the 2 s for which a sent renewal may still arrive, and a slow clock of the worker.
	lapse = lease * 5 / 4
	// renewInterval leaves two more renewals before a lease lapses if one is lost.
	renewInterval = 3 * time.Second
	// reservationTTL bounds the time from the check to the start.
	reservationTTL = time.Second
	// silence is how long a worker may be silent before its tasks are no longer renewed, so that their leases lapse.
	silence = 4 * time.Second
	// callTimeout bounds one call to a worker; an unresponsive connection costs this much once.
	callTimeout = 2 * time.Second
	// pollWait is the long poll's wait at the worker.
	pollWait = time.Second
	// retryPause separates attempts to reach a worker or the store again.
	retryPause = 250 * time.Millisecond
	// maxAttempts bounds the starts of one idempotent task, for tasks that fail on every worker.
	maxAttempts = 4

	sweepInterval = 500 * time.Millisecond
	adoptInterval = 5 * time.Second
	// staleGrace is how long the view may be stale before waiting callers are refused.
	staleGrace = 2 * time.Second
	// storeTimeout bounds one step that needs the store.
	storeTimeout = 3 * time.Second
	// peerTimeout bounds one call to the owner of a task.
	peerTimeout = 2 * time.Second
	// drainQueued is how long queued tasks may still start during a shutdown.
	drainQueued = 30 * time.Second
)
