package elect

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/plan/detect"
	"github.com/yuccahaven/yuccahaven/internal/plat/hedge"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// Timeouts and intervals of an Elector.
const (
	// DefaultTakeoverTimeout is how long the leader record must stay unchanged, as read from a store that answers, before
	// leadership is acquired; the election delay is added to it. The leader confirms the record every confirmInterval.
	DefaultTakeoverTimeout = 1500 * time.Millisecond
	// refusedTakeoverTimeout is the same if the leader itself reports that the store refuses it. When the store answers
	// all instances again, the leader confirms the record first.
	refusedTakeoverTimeout = 500 * time.Millisecond
	// exitedTakeoverTimeout is the same if the leader's process is known to have exited, because its address refuses
	// connections or another process answers there. The last transaction of the process has ended by then. It is also the
	// longest time between two reads of the leader record in this case.
	exitedTakeoverTimeout = 100 * time.Millisecond
	// readInterval is the longest time between two reads of the leader record while there is no leader or it is not known
	// to be alive.
	readInterval = 250 * time.Millisecond
	// aliveReadInterval is the longest time between two reads while the leader is alive and nothing wakes the elector.
	aliveReadInterval = 3 * time.Second
	// failureBackoff is how long an instance does not stand for election after it could not do the leader's work.
	failureBackoff = 3 * time.Second
	// maxAcquireJitter bounds the random delay that spreads the attempts of instances to acquire leadership.
	maxAcquireJitter = 120 * time.Millisecond
)

// Candidate does the work of the leader until its context ends or leadership is lost.
type Candidate interface {
	Lead(ctx context.Context, l *Leadership)
}

// FailureDetector reports what this instance knows of the leader of a term from its heartbeats.
type FailureDetector interface {
	// Alive reports whether the leader answers and can confirm its leadership.
	Alive(term int64) bool
	// ProcessExited reports whether the leader's process has exited.
	ProcessExited(term int64) bool
	// StoreRefused reports whether the leader reports that the store refuses it.
	StoreRefused(term int64) bool
}

// Elector follows the leader record and acquires leadership when it is free.
type Elector struct {
	Store     table.Table
	Self      Identity
	Candidate Candidate
	Detector  FailureDetector
	// ElectionDelay returns by how much the attempts of this instance are delayed: the longer, the less suitable it is as
	// leader now. Nil means 0.
	ElectionDelay func() time.Duration
	// Succession turns on fast takeover from a lost leader; see docs/design/succession.md.
	Succession bool
	// Acquired is called right after the acquisition of leadership, before the Candidate leads, with the records of this leader
	// and of the former one, which is the zero record without one. It must not block; what it returns is called at the end of the
	// term. It may be nil.
	Acquired func(ctx context.Context, record, former LeaderRecord) (ended func())
	// Checker decides about a leader that does not answer; it is used only with Succession.
	Checker Checker
	// TakeoverTime gets the milliseconds from the last sign of life of a lost leader to the acquisition; it may be nil.
	TakeoverTime metrics.Histogram
	// ShuttingDown reports whether the process is about to exit and must not acquire leadership any more; it may be nil.
	ShuttingDown func() bool
	Log          *zap.Logger

	record atomic.Pointer[LeaderRecord]
	wake   chan struct{}
	// offer is the last accepted offer, offered is signalled when one comes.
	offer   atomic.Pointer[offer]
	offered chan struct{}
	// checks is signalled when a check of the leader starts.
	checks chan struct{}
	// version is that of the record in the last read, and unchangedSince when that version was first read. The zero
	// time means that this is unknown.
	version        uint64
	unchangedSince time.Time
	// reads are the durations of the reads of the leader record, with Succession only.
	reads readTimes
	// check is the decision of the last read during a check.
	check detect.Decision
	// leading is the leadership of this process.
	leading atomic.Pointer[Leadership]
	// failedAt is when this instance last gave up leadership because it could not do the leader's work.
	failedAt time.Time
}

// NewElector returns an elector.
func NewElector(store table.Table, self Identity, c Candidate, detector FailureDetector, log *zap.Logger) *Elector {
	return &Elector{Store: store, Self: self, Candidate: c, Detector: detector, Log: log,
		wake: make(chan struct{}, 1), offered: make(chan struct{}, 1),
		checks: make(chan struct{}, 1), reads: readTimes{pacer: hedge.NewPacer()}}
}

// Leader returns the last known leader record, read from the store or received from a peer, and false if none is known.
func (e *Elector) Leader() (LeaderRecord, bool) {
	r := e.record.Load()
	if r == nil {
		return LeaderRecord{}, false
	}
	return *r, true
}

// ObserveLeader keeps a leader record received from a peer if it is valid and its term is later than the known one. It
// wakes the elector in any case.
func (e *Elector) ObserveLeader(r LeaderRecord) {
	if r.Validate() == nil {
		e.abandonFor(r)
	}
	old := e.record.Load()
	if r.Validate() == nil && (old == nil || r.Term > old.Term) {
		e.record.Store(&r)
	}
	e.Wake()
}

// Wake brings the next read of the leader record forward.
func (e *Elector) Wake() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run follows the leader record and acquires leadership when it is free, until the context ends.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		item, free, err := e.read(ctx)
		switch {
		case err != nil:
			// While the store doesn't answer, it is unknown for how long the record has been unchanged.
			e.unchangedSince = time.Time{}
		case free:
			e.acquire(ctx, item)
		}
		if e.check.NextRead > 0 {
			e.sleepUntilRead(ctx, e.check.NextRead)
			continue
		}
		interval := readInterval
		switch r := e.record.Load(); {
		case r == nil || r.Released:
		case e.hasOffer(r.Term):
			interval = offerRetryInterval
		case e.Detector.Alive(r.Term):
			interval = aliveReadInterval
		case e.Detector.ProcessExited(r.Term):
			interval = exitedTakeoverTimeout
		}
		e.sleep(ctx, interval)
	}
}

func (e *Elector) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d/2 + rand.N(d/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.offered:
	case <-e.wake:
		// Every failed call wakes the elector; the pause keeps these wakes from causing a stream of reads.
		e.pauseUntilCheck(ctx, min(d, readInterval))
	case <-e.checks:
	case <-ctx.Done():
	}
}

// read reads the leader record and reports whether leadership may be acquired; the zero Item means that there is no
// record.
func (e *Elector) read(ctx context.Context) (table.Item, bool, error) {
	sent := time.Now()
	items, err := e.get(ctx)
	e.check = detect.Decision{}
	if err != nil {
		e.checkUnread()
		e.Log.Debug("elect: reading the leader record failed", zap.Error(err))
		return table.Item{}, false, err
	}
	if len(items) == 0 {
		return table.Item{}, e.unchangedFor(0) >= e.electionDelay(), nil
	}
	r, err := decode(items[0])
	if err != nil {
		e.Log.Error("elect: leader record is invalid", zap.Error(err))
		return table.Item{}, false, err
	}
	if old := e.record.Load(); old == nil || r.Term >= old.Term {
		e.record.Store(&r)
	}
	if e.hasOffer(r.Term) {
		return items[0], true, nil
	}
	timeout := DefaultTakeoverTimeout
	switch {
	case r.Released || r.Name == e.Self.Name && r.Boot == e.Self.Boot:
		timeout = 0
	case e.Detector.ProcessExited(r.Term):
		timeout = exitedTakeoverTimeout
	case e.Detector.StoreRefused(r.Term):
		timeout = refusedTakeoverTimeout
	}
	age := e.unchangedFor(items[0].Version)
	if timeout > 0 && e.checkLost(r.Term, sent) {
		return items[0], true, nil
	}
	return items[0], age >= timeout+e.electionDelay(), nil
}

func (e *Elector) electionDelay() time.Duration {
	if e.ElectionDelay == nil {
		return 0
	}
	return e.ElectionDelay()
}

// unchangedFor notes that the record was just read at a version, 0 without a record, and returns how long it has been
// at that version.
func (e *Elector) unchangedFor(version uint64) time.Duration {
	now := time.Now()
	if e.unchangedSince.IsZero() || version != e.version {
		e.version, e.unchangedSince = version, now
	}
	return now.Sub(e.unchangedSince)
}

func (e *Elector) acquire(ctx context.Context, item table.Item) {
	if e.ShuttingDown != nil && e.ShuttingDown() || !e.failedAt.IsZero() && time.Since(e.failedAt) < failureBackoff {
		return
	}
	if !e.hasOffer(e.knownTerm()) && !e.actsByRank() {
		if err := sleepJittered(ctx, maxAcquireJitter); err != nil {
			return
		}
	}
	l, err := Acquire(ctx, e.Store, e.Self, item)
	if err != nil {
		if !errors.Is(err, table.ErrConflict) {
			e.Log.Warn("elect: acquiring leadership failed, retrying after the next read", zap.Error(err))
		}
		if e.check.TakesOver() {
			// The transaction may have taken effect, which the next read shows.
			e.check = detect.Decision{NextRead: detect.ReadInterval}
		}
		return
	}
	e.Log.Info("elect: leadership acquired", zap.Int64("term", l.Term()), zap.Int64("fence", l.FencingToken()))
	r := l.record
	e.record.Store(&r)
	if e.Acquired != nil {
		// Acquire has decoded the same record, if there is one.
		former, _ := decode(item)
		defer e.Acquired(ctx, r, former)()
	}
	e.observeTakeover()
	e.leading.Store(l)
	e.Candidate.Lead(ctx, l)
	e.leading.Store(nil)
	if l.failed.Load() {
		e.failedAt = time.Now()
	}
	e.Log.Info("elect: leadership released", zap.Int64("term", l.Term()), zap.Bool("lost", l.Lost()))
	e.unchangedSince = time.Time{}
}
