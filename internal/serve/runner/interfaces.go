package runner

import (
	"context"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// Views returns the current view. Fresh returns nil while the view is confirmed, and Await waits until it is.
type Views interface {
	View() fleet.View
	Fresh() error
	Await(ctx context.Context) error
}

// Workers calls workers by address; see the methods of the worker adapter.
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

// Grants is the part of the ceilings of all teams that this entry instance holds. Acquire reports whether enough units
// were free, and Want states how many slots of a team wait for units.
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

// Owners sends requests to the entry instance that owns a task.
type Owners interface {
	Task(ctx context.Context, address string, q peer.TaskRequest) (peer.TaskReply, error)
}

// Coordinators polls the pool coordinators: it is notified when the demand for a pool or the use of its slots changes,
// and returns the estimates of the coordinator of a pool.
type Coordinators interface {
	RequestPoll(p fleet.PoolName)
	Estimates(p fleet.PoolName) []peer.Estimate
}

type noCoordinators struct{}

func (noCoordinators) RequestPoll(fleet.PoolName) {}

func (noCoordinators) Estimates(fleet.PoolName) []peer.Estimate { return nil }
