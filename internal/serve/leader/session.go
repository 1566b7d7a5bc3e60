package leader

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/pace"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plan/assign"
	"github.com/yuccahaven/yuccahaven/internal/plan/shift"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/sched/intake"
	"github.com/yuccahaven/yuccahaven/internal/serve/relay"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/state/rowlog"
)

const (
	// minCommitInterval is the least time between two transactions, so that one holds the changes of many events.
	minCommitInterval = 12 * time.Millisecond
	// minPlanInterval is the least time between two planning passes, so that one covers many events.
	minPlanInterval = 4 * time.Millisecond
	// planPauseFactor is the least ratio of the time between two planning passes to the time that the first one took, up
	// to maxPlanPause.
	planPauseFactor = 4
	// maxPlanPause bounds the effect of a pass during which the process was suspended.
	maxPlanPause = 100 * time.Millisecond
	// tickInterval is the time between two checks for timers of the scheduler that are due.
	tickInterval = 100 * time.Millisecond
	// peersNeededBelow is the time that authority must have left for the peers not to matter. It is longer than the time
	// between two checks of authority by tickLoop, also when these are late.
	peersNeededBelow = 1200 * time.Millisecond
	// maxNamedPeers is the number of peers that don't confirm authority which the log names.
	maxNamedPeers = 3
	// maxBatchChanges is the largest number of changes of jobs and workers in one transaction; those beyond
	// engine.MaxBatchRows become entries of log rows.
	maxBatchChanges = 1500
	// minBatchRows is the least number of rows for changes of jobs and workers in a transaction beside the record of starts.
	minBatchRows = 30
	// authorityMaxAge is how long a transaction confirms the right to send commands; after that all peers must.
	authorityMaxAge = 2 * time.Second
)

// session is the state of this process while it leads in one term.
type session struct {
	service    *Service
	leadership *elect.Leadership
	log        *zap.Logger

	// mu guards scheduler, intake, startRate, awaited, renewals, committed, steppingDown, handingOver, machineCalls, waves, changedWaves,
	// operations and cycles.
	mu        sync.Mutex
	scheduler *engine.Scheduler
	intake    *intake.Controller
	startRate startRate
	awaited   awaitedJobs
	renewals  renewalQueue
	// committed is closed and replaced after each successful commit, also one without a transaction.
	committed    chan struct{}
	steppingDown bool
	// handingOver means that a peer may acquire leadership at any moment, because it is being offered to it.
	handingOver bool
	// machineCalls counts the calls for machine operations in progress.
	machineCalls int
	waves        map[int64]*waveState
	// changedWaves are the numbers of the waves whose progress is to be stored.
	changedWaves map[int64]bool
	operations   *operationLog
	// cycles is nil without shift.Options.Cycles.
	cycles *cycleLog
	// rows and transactions are used by the commit loop only.
	rows         *rowlog.Log
	transactions txLog
	// storedVersion is the store's version after the last transaction of the commit loop.
	storedVersion atomic.Uint64
	// commitTook is how long that transaction took, in nanoseconds.
	commitTook atomic.Int64
	// commitBegan is when the transaction in progress began, nil if none is.
	commitBegan atomic.Pointer[time.Time]

	authorityMu sync.Mutex
	// authorityUntil is when the authority to send commands ends unless it is confirmed again before.
	authorityUntil time.Time

	planWake, commitWake, renewalWake chan struct{}
	// results are those of the orders that this process executes itself.
	results resultQueue
	// relays is nil without relays; relayOf names the relay of each worker and is replaced as a whole.
	relays  atomic.Pointer[relay.Pool]
	relayOf atomic.Pointer[assign.Assignment]
	// relayNames are the relays in use, for the log; only relayLoop uses it.
	relayNames string
	// work is what was done since the last report in the log, requests are the callers' requests since then.
	work     loadLog
	requests *requestLog
	// pools is the state of the pools at the last decision on moves; mu guards it.
	pools []shift.Report
	// done is closed when the session ends.
	done chan struct{}
}

func newSession(s *Service, l *elect.Leadership, rows *rowlog.Log) *session {
	scheduler := engine.New(s.Options.Scheduler, l.Term(), s.Log)
	scheduler.ConfirmFences(l.FencingToken(), int64(l.Version()))
	return &session{
		service: s, leadership: l, log: s.Log, scheduler: scheduler, intake: intake.NewController(scheduler.Weight),
		awaited:  awaitedJobs{},
		renewals: newRenewalQueue(), committed: make(chan struct{}),
		waves: map[int64]*waveState{}, changedWaves: map[int64]bool{},
		operations: newOperationLog(s.Clock, s.Moves.TakeoverPause+operationTTL, s.Log),
		cycles:     newCycleLog(s.Moves.Shift, s.Clock, s.Log),
		planWake:   make(chan struct{}, 1), commitWake: make(chan struct{}, 1), renewalWake: make(chan struct{}, 1),
		results: resultQueue{wake: make(chan struct{}, 1)}, done: make(chan struct{}), transactions: txLog{log: s.Log},
		requests: newRequestLog(), rows: rows,
	}
}

// run does the work of the leader until the context ends, leadership is lost or the store rejects a transaction.
func (s *session) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(s.done)
	var loops sync.WaitGroup
	for _, f := range []func(context.Context){s.watchRules, s.watchFleet, s.planLoop, s.tickLoop, s.moveLoop,
		s.handoverLoop, s.askLoop, s.renewalLoop, s.resultLoop, s.relayLoop, s.loadLoop} {
		loops.Go(func() { f(ctx) })
	}
	s.commitLoop(ctx)
	cancel()
	loops.Wait()
}

// wake brings the next pass of the loop that reads the channel forward; it never blocks.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// wakeLoops wakes the loops that act on changes of the scheduler.
func (s *session) wakeLoops() {
	wake(s.planWake)
	wake(s.commitWake)
	wake(s.renewalWake)
}

// hasAuthority reports whether this process may still send commands.
func (s *session) hasAuthority() bool { return s.authorityLeft() > 0 }

// authorityLeft returns for how long this process may send commands, 0 or less if it may not: leadership is not known to
// be lost, and the store has confirmed it within authorityMaxAge or all peers have ever since. A later leader is one of
// the peers, so that authority ends at most the longer of both times after that has acquired leadership, within
// engine.Options.Authority. Once authority has ended, only the store can confirm that no later leader has acted meanwhile.
func (s *session) authorityLeft() time.Duration {
	if s.leadership.Lost() {
		return 0
	}
	s.authorityMu.Lock()
	defer s.authorityMu.Unlock()
	now := time.Now()
	extend := func(until time.Time) {
		if until.After(s.authorityUntil) {
			s.authorityUntil = until
		}
	}
	extend(now.Add(authorityMaxAge - s.leadership.SinceConfirmed()))
	// The peers count only while the store is late, since asking for them takes time for each.
	if left := s.authorityUntil.Sub(now); left > 0 && left < peersNeededBelow {
		extend(s.service.peersConfirmedAt().Add(peersMaxAge))
	}
	return s.authorityUntil.Sub(now)
}

func (s *session) watchRules(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.applyRules()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// applyRules applies the current rules once there is a config, and returns a channel that is closed when they change.
func (s *session) applyRules() <-chan struct{} {
	current, changed := s.service.Rules.Current()
	if current.Config != nil {
		s.mu.Lock()
		s.scheduler.Configure(current.Config)
		s.scheduler.Evacuate(current.EvacuatedZones)
		s.mu.Unlock()
		s.wakeLoops()
	}
	return changed
}

func (s *session) watchFleet(ctx context.Context) {
	s.service.Fleet.Watch(ctx, func(list []work.Worker) {
		s.mu.Lock()
		s.scheduler.SetWorkers(list)
		s.mu.Unlock()
		s.wakeLoops()
	}, func(at time.Time) {
		s.mu.Lock()
		s.scheduler.ConfirmReports(at)
		s.mu.Unlock()
	})
}

func (s *session) tickLoop(ctx context.Context) {
	had := true
	pace.After(ctx, tickInterval, func(context.Context) {
		s.mu.Lock()
		s.scheduler.ConfirmLeadership(time.Now().Add(-s.leadership.SinceConfirmed()))
		s.scheduler.Tick()
		s.observePlannedStarts()
		s.observeLoad()
		s.withdrawAbandoned()
		s.mu.Unlock()
		if has := s.hasAuthority(); has != had {
			had = has
			s.log.Info("leader: authority to send commands changed", zap.Bool("authority", has),
				zap.Duration("age", s.leadership.SinceConfirmed()), zap.Bool("peers", s.service.peersConfirm()),
				zap.Strings("unconfirmed", s.service.unconfirmedPeers(maxNamedPeers)), zap.Bool("lost", s.leadership.Lost()))
		}
		s.wakeLoops()
	})
}

// commitLoop stores changes until the context ends, leadership is lost or the store rejects a transaction; without
// changes it confirms leadership every elect.ConfirmInterval(Succession).
func (s *session) commitLoop(ctx context.Context) {
	for ctx.Err() == nil && !s.leadership.Lost() {
		if err := s.commit(ctx); err != nil {
			if !errors.Is(err, elect.ErrLost) && ctx.Err() == nil {
				s.log.Error("leader: store rejected a transaction, leadership ends", zap.Error(err))
			}
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-s.leadership.Abandoned():
			return
		case <-time.After(minCommitInterval):
		}
		s.awaitChanges(ctx)
	}
}

// awaitChanges waits until there are changes to store or ended runs to acknowledge, leadership must be confirmed again
// or the context ends.
func (s *session) awaitChanges(ctx context.Context) {
	confirm := time.NewTimer(max(elect.ConfirmInterval(s.service.Succession)-s.leadership.SinceConfirmed(), 0))
	defer confirm.Stop()
	for {
		s.mu.Lock()
		dirty := s.scheduler.Dirty() || s.scheduler.HasPlannedStarts() || len(s.changedWaves) > 0 || len(s.operations.pending) > 0
		s.mu.Unlock()
		if dirty {
			return
		}
		select {
		case <-s.leadership.Abandoned():
			return
		case <-s.commitWake:
		case <-confirm.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *session) commit(ctx context.Context) error {
	readRowLog := s.service.peersReadRowLog()
	s.mu.Lock()
	starts, startsErr := s.scheduler.StartWrites()
	rows := max(engine.MaxBatchRows-len(starts), minBatchRows)
	limit := rows
	if readRowLog {
		limit = maxBatchChanges
	}
	batch, err := s.scheduler.BatchOf(limit)
	others := append(s.takeWaveWrites(), s.operations.takeWrites()...)
	others = append(others, s.cycles.takeWrites(len(others))...)
	others = append(others, starts...)
	s.mu.Unlock()
	if err = errors.Join(err, startsErr); err != nil {
		return err
	}
	if len(batch.Writes)+len(others) > 0 || s.leadership.SinceConfirmed() >= elect.ConfirmInterval(s.service.Succession) {
		began := time.Now()
		s.commitBegan.Store(&began)
		defer s.commitBegan.Store(nil)
		writes, err := s.rows.Fold(batch.Writes, rows)
		if err != nil {
			return err
		}
		queued, err := s.leadership.Commit(ctx, append(writes, others...))
		if err != nil {
			return err
		}
		s.storedVersion.Store(s.leadership.Version())
		s.commitTook.Store(int64(time.Since(began)))
		s.observeCommit(time.Since(began))
		s.service.observe("store_commit_ms", began)
		s.transactions.record(batch, len(writes)+len(others), s.rows.Rows(), began, queued)
		s.service.gauges.logRows.Update(int64(s.rows.Rows()))
	}
	s.mu.Lock()
	s.scheduler.ConfirmFences(s.leadership.FencingToken(), int64(s.leadership.Version()))
	s.scheduler.HandleCommit(batch)
	s.scheduler.ConfirmStarts()
	batch.Jobs(func(id work.JobID) {
		if s.awaited.stored(id) {
			s.log.Info("leader: job stored, no request waits for it any more", zap.String("job", string(id)))
		}
	})
	s.operations.confirm()
	close(s.committed)
	s.committed = make(chan struct{})
	s.mu.Unlock()
	s.sendStarts(ctx)
	wake(s.planWake)
	wake(s.renewalWake)
	return nil
}

// locked calls a function with mu held, and releases it also if the function panics.
func (s *session) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// awaitCommit waits for a commit after which a condition holds, which is checked with mu held; it returns false if the
// session or the context ends first.
func (s *session) awaitCommit(ctx context.Context, isStored func() bool) bool {
	for {
		var stored bool
		var committed chan struct{}
		s.locked(func() { stored, committed = isStored(), s.committed })
		if stored {
			return true
		}
		select {
		case <-committed:
		case <-s.done:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// stepDown stops accepting jobs and sending commands, and releases leadership.
func (s *session) stepDown(ctx context.Context) {
	s.mu.Lock()
	s.steppingDown = true
	s.mu.Unlock()
	if err := s.leadership.Release(ctx); err != nil {
		s.log.Warn("leader: releasing leadership failed, other instances take over after a time-out", zap.Error(err))
	}
	wake(s.commitWake)
}
