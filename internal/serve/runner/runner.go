// Package runner carries a task through its life at the entry instance that received it: admission, permit,
// ceiling unit, reservation, record, check, start, wait, result, and the settling of every ambiguous step.
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

// Parts are the modules a Runner works with; every field but Log and Metrics is required.
type Parts struct {
	Views   Views
	Workers Workers
	Grants  Grants
	Records Records
	Objects object.Store
	Members Members
	Roster  Roster
	Owners  Owners
	// Memory bounds the inputs of tasks that outlive their requests; nil means admit.DefaultMemory.
	Memory *admit.Memory
	Log    *zap.Logger
	// Metrics is where the Runner's counters are registered; nil keeps them to itself.
	Metrics metrics.Registry
}

// Runner runs the tasks that one entry instance has accepted.
type Runner struct {
	parts Parts
	log   *zap.Logger
	stats *stats
	boots *bootCache
	zones *zoneClock
	fit   place.Fit

	retries *admit.Budget

	mu       sync.Mutex
	poker    Coordinators
	pools    map[fleet.PoolName]*pool
	waiting  map[fleet.TeamName]int // slots
	tasks    map[taskKey]*task
	attempts map[fleet.TaskID]*attempt
	outcomes map[fleet.PoolName][]peer.Outcome
	// unsettled are asynchronous tasks that were given up on although their records may have been written.
	unsettled []unsettled
	stale     time.Time // since when the view has been stale; zero while it is fresh
	stopping  bool
	idle      chan struct{}
	// drainBegun is closed when a shutdown begins.
	drainBegun chan struct{}
}

// taskKey identifies a task together with its team, so that no team reaches another team's task.
type taskKey struct {
	team fleet.TeamName
	id   string
}

// New returns a Runner; Attach must be called before the first Submit.
func New(p Parts) *Runner {
	if p.Log == nil {
		p.Log = zap.NewNop()
	}
	if p.Memory == nil {
		p.Memory = admit.NewMemory(admit.DefaultMemory)
	}
	return &Runner{
		parts:    p,
		log:      p.Log,
		stats:    newStats(p.Metrics),
		boots:    newBootCache(p.Workers),
		zones:    newZoneClock(),
		retries:  admit.NewBudget(admit.DefaultRetries),
		poker:    noPoker{},
		pools:    map[fleet.PoolName]*pool{},
		waiting:  map[fleet.TeamName]int{},
		tasks:    map[taskKey]*task{},
		attempts: map[fleet.TaskID]*attempt{},
		outcomes: map[fleet.PoolName][]peer.Outcome{},

		drainBegun: make(chan struct{}),
	}
}

// Attach connects the part that polls the coordinators, which itself needs the Runner as its Source.
func (r *Runner) Attach(p Coordinators) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.poker = p
}

// Run renews leases, refuses waiting work under a stale view and adopts orphaned tasks until the context ends.
func (r *Runner) Run(ctx context.Context) {
	var all sync.WaitGroup
	all.Go(func() { pace.After(ctx, renewInterval, r.renewAll) })
	all.Go(func() { pace.After(ctx, sweepInterval, r.sweep) })
	all.Go(func() { pace.After(ctx, adoptInterval, r.adoptAll) })
	all.Wait()
}
