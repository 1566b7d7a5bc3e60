// Package engine decides which task of which job runs on which worker. It holds the jobs, the workers and the runs of
// one holder of the seat in memory, does no I/O and is not safe for concurrent use.
//
// Its orders may get lost, be carried out late or be carried out twice. A task counts as running at a worker from the
// moment its start is ordered until the worker's own lists, a tombstone or the end of the worker's lease rule that
// out.
package engine

import (
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Options are the bounds of a deployment.
type Options struct {
	// Lease is how long a worker runs its tasks without a renewal, on its own clock.
	Lease time.Duration
	// Authority is how long a former holder of the seat may go on ordering after it lost contact.
	Authority time.Duration
	// JobRetention is how long finished jobs are remembered.
	JobRetention time.Duration
	// Startup is how long a lasting task takes until it is at work.
	Startup time.Duration
}

// Defaults of Options.
const (
	DefaultLease        = 6 * time.Second
	DefaultAuthority    = 2500 * time.Millisecond
	DefaultJobRetention = 150 * time.Second
	DefaultStartup      = time.Second
)

// clockDrift is how much slower than ours a worker's clock may run, as the platform states.
const clockDrift = 0.02

// leaseMargin covers the rounding of the worker's clock to milliseconds and the time a worker needs to end a run.
const leaseMargin = 250 * time.Millisecond

// runsPerTerm separates the run numbers of two holders of the seat, so that they rise although starts are not stored.
const runsPerTerm = 1000

// Scheduler is the state of all jobs and workers. Every method reads the runtime's clock.
type Scheduler struct {
	options Options
	log     *zap.Logger
	term    int64
	config  *work.Config
	out     map[string]bool

	jobs    map[work.JobID]*job
	workers map[work.WorkerID]*worker
	pools   map[string]*pool
	usage   map[string]work.Need
	tempos  map[string]*tempo
	dirty   map[work.JobID]*job
	// arrived is the work that came for each pool, in core-milliseconds.
	arrived map[string]float64
	gone    []work.JobID
	// prior are workers on which a former holder may have started tasks and that have not shown their lists yet.
	prior      map[work.WorkerID]*worker
	priorUntil time.Time
	usedDirty  map[work.WorkerID]bool
	stops      map[work.RunKey]*run
}

// pool holds the steps that wait for workers of one pool.
type pool struct {
	name  string
	ready map[*bundle]bool
}

// New returns an empty scheduler for a term of the seat. A nil log is allowed.
func New(o Options, term int64, log *zap.Logger) *Scheduler {
	if log == nil {
		log = zap.NewNop()
	}
	return &Scheduler{
		options: o, log: log, term: term, config: work.NewConfig(work.Config{}), out: map[string]bool{},
		jobs: map[work.JobID]*job{}, workers: map[work.WorkerID]*worker{}, pools: map[string]*pool{},
		usage: map[string]work.Need{}, tempos: map[string]*tempo{}, dirty: map[work.JobID]*job{}, arrived: map[string]float64{},
		prior: map[work.WorkerID]*worker{}, usedDirty: map[work.WorkerID]bool{}, stops: map[work.RunKey]*run{},
	}
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{Lease: DefaultLease, Authority: DefaultAuthority, JobRetention: DefaultJobRetention,
		Startup: DefaultStartup}
}

// Configure puts a version of the operators' rules in force.
func (b *Scheduler) Configure(c *work.Config) {
	b.config = c
	for _, p := range b.pools {
		p.ready = map[*bundle]bool{}
	}
	for _, j := range b.jobs {
		for _, s := range j.bundles {
			b.enqueue(s)
		}
	}
}

// Version returns the version of the config in force.
func (b *Scheduler) Version() int64 { return b.config.Version }

// Evacuate sets the availability zones that are out of service.
func (b *Scheduler) Evacuate(zones map[string]bool) { b.out = zones }

func (b *Scheduler) pool(name string) *pool {
	p, ok := b.pools[name]
	if !ok {
		p = &pool{name: name, ready: map[*bundle]bool{}}
		b.pools[name] = p
	}
	return p
}

// poolOf returns the pool that runs a job now.
func (b *Scheduler) poolOf(j *job) string { return b.queueOf(j).Pool }

// queueOf returns the terms of a job's queue. A job whose queue was removed, or is not known yet, stays with those that
// it was accepted under.
func (b *Scheduler) queueOf(j *job) work.Queue {
	if q, ok := b.config.Queue(j.Queue); ok {
		return q
	}
	return work.Queue{Name: j.Queue, Pool: j.terms.Pool, Attempts: j.terms.Attempts, Stretch: j.terms.Stretch,
		Objective: j.terms.Objective, Priority: j.terms.Priority}
}
