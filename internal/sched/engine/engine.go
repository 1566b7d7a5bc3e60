// Package engine decides which task of which job runs on which worker. It holds the jobs, workers and runs of one
// leader's term in memory, does no I/O and is not safe for concurrent use.
//
// Its commands may get lost, be executed late or be executed twice. A task counts as running on a worker from the
// moment its start is issued until that is ruled out: the start was not sent or was declined, the worker lists the run
// as ended or lists it no more after a confirmed stop, the worker has restarted or ended, or its lease has expired. A start
// that may be executed by a later incarnation of its worker counts until that declines it or it is too old.
package engine

import (
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/expect"
	"github.com/yuccahaven/yuccahaven/internal/sched/fair"
)

// Options are the time limits of a deployment.
type Options struct {
	// Lease is how long a worker runs its tasks without a renewal, on its own clock.
	Lease time.Duration
	// MaxLease is the longest lease that a worker grants, whatever it is asked for; 0 means that it is Lease.
	MaxLease time.Duration
	// Authority is how long a former leader may go on sending commands after it lost contact.
	Authority time.Duration
	// JobRetention is how long ended jobs are kept.
	JobRetention time.Duration
	// MaxReportAge is how old the workers' reports may be for starts on workers that don't reject tasks which don't fit;
	// 0 means no limit.
	MaxReportAge time.Duration
	// Contention turns on the sharing of pools that can't do their work in time; see docs/design/contention.md.
	Contention bool
	// RunTimes turns on learned run times; see docs/design/runtimes.md.
	RunTimes bool
}

// Defaults of Options.
const (
	DefaultLease        = 6 * time.Second
	DefaultAuthority    = 2500 * time.Millisecond
	DefaultJobRetention = 150 * time.Second
)

// clockDrift is the fraction by which a worker's clock may run slower than the local one, as the platform guarantees.
const clockDrift = 0.02

// formerCallTime is how long a call takes at most that a former leader or one of its relays still sends.
const formerCallTime = 1500 * time.Millisecond

// leaseMargin covers the rounding of the worker's clock to milliseconds and the time a worker needs to end a run.
const leaseMargin = 250 * time.Millisecond

// leaseTime returns how long after its sending a lease has certainly expired.
func (o Options) leaseTime() time.Duration {
	return time.Duration(float64(o.Lease)/(1-clockDrift)) + leaseMargin
}

// maxLeaseTime returns the same for the longest lease that a worker may have granted, whatever it was asked for: the end of a
// lease that was meant for a former incarnation lies far ahead on the clock of the next one.
func (o Options) maxLeaseTime() time.Duration {
	o.Lease = max(o.Lease, o.MaxLease)
	return o.leaseTime()
}

// runsPerTerm is how far apart the run numbers of two successive terms begin, so that they rise although starts are not
// stored.
const runsPerTerm = 1000

// Scheduler is the state of all jobs and workers. Its methods read the time from the runtime's clock.
type Scheduler struct {
	options Options
	log     *zap.Logger
	term    int64
	config  *work.Config
	// evacuated are the availability zones that are out of service.
	evacuated map[string]bool

	jobs map[work.JobID]*job
	// unfinished are the jobs that have not ended, ended those that have, by the time of their end.
	unfinished map[work.JobID]*job
	ended      []*job
	workers    map[work.WorkerID]*worker
	index      workerIndex
	pools      map[string]*pool
	// customers are those with jobs in this term, by name.
	customers map[string]*customer
	// customerList are the customers by their indexes, fairBuffer is used for them in each pass.
	customerList []*customer
	fairBuffer   []fair.Customer
	// knowsWorkers means that the platform's list of workers has been read.
	knowsWorkers bool
	// runTimes is the straight line of each queue unless Options.RunTimes is set.
	runTimes *expect.Model
	// overruns are the models of the queues, by name.
	overruns map[string]*overrunModel
	// dirty are the jobs of which the store does not hold the newest version.
	dirty map[work.JobID]*job
	// arrived is the estimated work of the jobs submitted in this term, by pool, see Demand.Arrived.
	arrived map[string]float64
	// refused are the jobs that contended pools have refused.
	refused refusedJobs
	// deleted are the removed jobs whose records are still to be deleted from the store.
	deleted []work.JobID
	// inherited are the workers that may run tasks of a former leader and have not reported their run lists yet.
	inherited map[work.WorkerID]*worker
	// inheritedUntil is when every lease that a former leader sent has certainly expired.
	inheritedUntil time.Time
	// unrecordedUntil is until when a start may be executed that a former leader has not recorded, formerCallsEnd is when that
	// leader and its relays have certainly ended their calls; both are zero if it recorded all.
	unrecordedUntil, formerCallsEnd time.Time
	// starts is the record of the starts that may still be executed.
	starts startRecord
	// fences are the fencing tokens of the term; awaitingFence are the workers that get no calls until there is another one.
	fences        fences
	awaitingFence []*worker
	// confirmedAt is the latest time until which no later leader is known to have existed.
	confirmedAt time.Time
	// closedWorkers and closedMachines get no new tasks.
	closedWorkers  map[work.WorkerID]bool
	closedMachines map[string]bool
	// dirtyWorkers are the workers whose record in the store is to be written or deleted.
	dirtyWorkers map[work.WorkerID]bool
	// machineCapacities are the capacities of the machines by name; nil until they are known.
	machineCapacities map[string]work.Need
	// reportsCurrentAt is the time of the last view that held all reports of the workers.
	reportsCurrentAt time.Time
	// repeats are the runs whose starts are to be repeated.
	repeats []*run
	// stopping are the runs that are to be stopped.
	stopping map[work.RunKey]*run
	pending  pendingStarts
	// ticketCalls is the state of the calls to the authorizer.
	ticketCalls ticketCalls
	// short means that the process is short of processor time.
	short bool
	// comparisons counts the comparisons of a waiting step with a worker's free capacity.
	comparisons int
	// crashes are the crashes of workers within massWindow.
	crashes []*workerCrash
	// crashesChanged means that crashes were added since mass events were looked for.
	crashesChanged bool
	// exceeded are the tasks that reached the limit of crashes and whose jobs are to be given up.
	exceeded []candidate
	// held are the workers that are kept free for suspects.
	held []*worker
	// due are the workers whose machines are to be maintained soon.
	due []*worker
	// startDelays are how long jobs waited for their first start, since the last TakeStartDelays.
	startDelays []time.Duration
	// endCounts are the counts since the last TakeEndCounts.
	endCounts EndCounts
	// touched are the workers whose next renewal may have changed.
	touched []*worker
}

// pool holds the steps that wait for workers of a pool.
type pool struct {
	name  string
	ready map[*stepState]bool
	// order holds the ready steps, and some that are not ready any more. The first of them, as many as ranked says, were
	// ranked in the last planning pass and are in the order of their rank then.
	order  []*stepState
	ranked int
	// longestEstimate is the longest run time that was expected of a finite task of the pool at its start.
	longestEstimate time.Duration
	shares          poolShares
}

// add makes a step ready.
func (p *pool) add(s *stepState) {
	p.ready[s] = true
	if !s.ordered {
		s.ordered = true
		p.order = append(p.order, s)
	}
}

// clear removes all steps.
func (p *pool) clear() {
	for _, s := range p.order {
		s.ordered = false
	}
	p.ready, p.order, p.ranked = map[*stepState]bool{}, nil, 0
}

// New returns an empty scheduler for a leader's term. With a nil log it logs nothing.
func New(o Options, term int64, log *zap.Logger) *Scheduler {
	if log == nil {
		log = zap.NewNop()
	}
	return &Scheduler{
		options: o, log: log, term: term, config: work.NewConfig(work.Config{}), evacuated: map[string]bool{},
		jobs: map[work.JobID]*job{}, unfinished: map[work.JobID]*job{}, workers: map[work.WorkerID]*worker{},
		index: newWorkerIndex(), pools: map[string]*pool{},
		customers: map[string]*customer{}, runTimes: newRunTimes(o), overruns: map[string]*overrunModel{}, dirty: map[work.JobID]*job{},
		arrived: map[string]float64{}, inherited: map[work.WorkerID]*worker{}, dirtyWorkers: map[work.WorkerID]bool{},
		stopping: map[work.RunKey]*run{}, pending: newPendingStarts(), starts: startRecord{open: map[work.RunKey]*run{}},
		closedWorkers: map[work.WorkerID]bool{}, closedMachines: map[string]bool{},
	}
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{Lease: DefaultLease, Authority: DefaultAuthority, JobRetention: DefaultJobRetention}
}

// Configure applies a version of the operators' config. Waiting steps move to the pools that their queues have in it.
func (sc *Scheduler) Configure(c *work.Config) {
	sc.config = c
	for _, p := range sc.pools {
		p.clear()
	}
	for _, j := range sc.unfinished {
		for _, s := range j.stepStates {
			sc.enqueue(s)
		}
	}
}

// Version returns the version of the current config.
func (sc *Scheduler) Version() int64 { return sc.config.Version }

// Evacuate sets the availability zones that are out of service, where no task starts.
func (sc *Scheduler) Evacuate(zones map[string]bool) { sc.evacuated = zones }

// ConfirmLeadership records that there was no later leader before a point in time. Without a call, leases expire
// unconditionally.
func (sc *Scheduler) ConfirmLeadership(at time.Time) { sc.confirmedAt = at }

// leasesExpired reports whether leases that expired at a point in time, by what this leader has sent, have ended all
// runs: a later leader may have extended them unless leadership was confirmed after that.
func (sc *Scheduler) leasesExpired(at, now time.Time) bool {
	return now.After(at) && (sc.confirmedAt.IsZero() || sc.confirmedAt.After(at))
}

func (sc *Scheduler) pool(name string) *pool {
	p, ok := sc.pools[name]
	if !ok {
		p = &pool{name: name, ready: map[*stepState]bool{}}
		sc.pools[name] = p
	}
	return p
}

// poolOf returns the pool whose workers run a job under the current config.
func (sc *Scheduler) poolOf(j *job) string { return sc.queueOf(j).Pool }

// queueOf returns the settings of a job's queue. A job whose queue was removed, or is not known yet, keeps those that
// were stored when it was accepted.
func (sc *Scheduler) queueOf(j *job) work.Queue {
	q, ok := sc.config.Queue(j.Queue)
	if !ok {
		q = j.settings.queue(j.Queue)
	}
	q.NeedsTicket = q.NeedsTicket || j.ticketDemanded
	return q
}
