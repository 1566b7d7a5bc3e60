// Package runner runs a task at the entry instance that accepted it, from admission over permit, ceiling unit,
// reservation, record, check and start to its result, and resolves every step of unknown outcome.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/pace"
	"github.com/yuccahaven/yuccahaven/internal/plat/object"
	"github.com/yuccahaven/yuccahaven/internal/sched/admit"
	"github.com/yuccahaven/yuccahaven/internal/sched/place"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// Options are the dependencies of a Runner; every field but Memory, Log and Metrics is required.
type Options struct {
	Views   Views
	Workers Workers
	Grants  Grants
	Records Records
	Objects object.Store
	Members Members
	Roster  Roster
	Owners  Owners
	// Memory limits the inputs of tasks that outlive their requests; nil means admit.DefaultMemory.
	Memory *admit.Memory
	Log    *zap.Logger
	// Metrics is the registry for the counters of the Runner; nil means a private registry.
	Metrics metrics.Registry
}

// Runner runs the tasks that one entry instance has accepted.
type Runner struct {
	options Options
	log     *zap.Logger
	stats   *stats
	boots   *bootCache
	zones   *zoneTracker
	sizes   place.Fit

	retryBudget *admit.Budget

	mu           sync.Mutex
	coordinators Coordinators
	pools        map[fleet.PoolName]*pool
	waiting      map[fleet.TeamName]int // slots
	tasks        map[taskKey]*task
	attempts     map[fleet.TaskID]*attempt
	outcomes     map[fleet.PoolName][]peer.Outcome
	// unresolved are asynchronous tasks that do not run here although their records may name this instance as owner.
	unresolved []unresolved
	staleSince time.Time // start of the period for which the view has been stale, zero while it is fresh
	stopping   bool
	idle       chan struct{} // closed when the last task ends during a shutdown; nil if nobody waits for that
	// drainStarted is closed when a shutdown begins.
	drainStarted chan struct{}
}

// taskKey identifies a task together with its team, so that no team can reach a task of another team.
type taskKey struct {
	team fleet.TeamName
	id   string
}

// New returns a Runner; Attach must be called before the first Submit.
func New(o Options) *Runner {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Memory == nil {
		o.Memory = admit.NewMemory(admit.DefaultMemory)
	}
	return &Runner{
		options:      o,
		log:          o.Log,
		stats:        newStats(o.Metrics),
		boots:        newBootCache(o.Workers),
		zones:        newZoneTracker(),
		retryBudget:  admit.NewBudget(admit.DefaultRetries),
		coordinators: noCoordinators{},
		pools:        map[fleet.PoolName]*pool{},
		waiting:      map[fleet.TeamName]int{},
		tasks:        map[taskKey]*task{},
		attempts:     map[fleet.TaskID]*attempt{},
		outcomes:     map[fleet.PoolName][]peer.Outcome{},

		drainStarted: make(chan struct{}),
	}
}

// Attach sets the Coordinators, which in turn need the Runner for its snapshots.
func (r *Runner) Attach(c Coordinators) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coordinators = c
}

// Run renews leases, rejects waiting tasks while the view is stale and adopts orphaned tasks until the context ends.
func (r *Runner) Run(ctx context.Context) {
	var all sync.WaitGroup
	all.Go(func() { pace.After(ctx, renewInterval, r.renewAll) })
	all.Go(func() { pace.After(ctx, sweepInterval, r.sweep) })
	all.Go(func() { pace.After(ctx, adoptInterval, r.adoptAll) })
	all.Wait()
}
