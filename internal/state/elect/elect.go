package elect

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// Defaults of an Elector.
const (
	// DefaultTakeoverTimeout is how long the row must stand still, seen through a store that answers, before it is
	// taken. The holder confirms it every ConfirmInterval.
	DefaultTakeoverTimeout = 1500 * time.Millisecond
	// refusedStale is the same if the holder says itself that the store refuses it. When the store is back for all, the
	// holder confirms the row first.
	refusedStale = 500 * time.Millisecond
	// endedStale is the same if the holder's process is known to have ended, as its address refuses connections or
	// another process answers there. A transaction of its last moment is done by then.
	endedStale = 100 * time.Millisecond
	// ConfirmInterval is the longest time between two transactions of a holder.
	ConfirmInterval = 500 * time.Millisecond
	// watchEvery is the time between two reads of the row while the holder can't be reached otherwise.
	watchEvery = 250 * time.Millisecond
	// restEvery is the time between two reads while the holder answers its peers.
	restEvery = 3 * time.Second
	// maxJitter spreads the instances that find the seat free.
	maxJitter = 120 * time.Millisecond
)

// Candidate does the work of the seat until its context ends or the seat is lost.
type Candidate interface {
	Lead(ctx context.Context, t *Leadership)
}

// FailureDetector tell what peers see of the holder of a term.
type FailureDetector interface {
	// Alive reports whether it answers and can confirm the seat.
	Alive(term int64) bool
	// ProcessExited reports whether its process has ended.
	ProcessExited(term int64) bool
	// StoreRefused reports whether it says that the store refuses it.
	StoreRefused(term int64) bool
}

// Elector follows the seat and takes it when it is free.
type Elector struct {
	Store     table.Table
	Self      Identity
	Candidate Candidate
	Detector  FailureDetector
	// ElectionDelay delays the attempts of an instance that is less fit for the seat.
	ElectionDelay time.Duration
	// Stopped reports whether the process is about to end and takes no seat any more; it may be nil.
	Stopped func() bool
	Log     *zap.Logger

	seat atomic.Pointer[LeaderRecord]
	wake chan struct{}
	// version of the row that was last read, and since when it stands still.
	version uint64
	since   time.Time
}

// NewElector returns an elector.
func NewElector(store table.Table, self Identity, h Candidate, signs FailureDetector, log *zap.Logger) *Elector {
	return &Elector{Store: store, Self: self, Candidate: h, Detector: signs, Log: log, wake: make(chan struct{}, 1)}
}

// Leader returns the row as it was last read.
func (e *Elector) Leader() (LeaderRecord, bool) {
	s := e.seat.Load()
	if s == nil {
		return LeaderRecord{}, false
	}
	return *s, true
}

// ObserveLeader takes in a seat that a peer knows of, and looks at the row if it is newer.
func (e *Elector) ObserveLeader(s LeaderRecord) {
	old := e.seat.Load()
	if s.Validate() == nil && (old == nil || s.Term > old.Term) {
		e.seat.Store(&s)
	}
	e.Wake()
}

// Wake looks at the row now.
func (e *Elector) Wake() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run follows the seat until the context ends.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		item, free, err := e.look(ctx)
		switch {
		case err != nil:
			// Without the store nothing is known of the time for which the row stood still.
			e.since = time.Time{}
		case free:
			e.take(ctx, item)
		}
		every := watchEvery
		switch s := e.seat.Load(); {
		case s == nil || s.Released:
		case e.Detector.Alive(s.Term):
			every = restEvery
		case e.Detector.ProcessExited(s.Term):
			every = endedStale
		}
		e.sleep(ctx, every)
	}
}

func (e *Elector) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d/2 + rand.N(d/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.wake:
		// A poke that comes with every failed call must not turn into a stream of reads.
		_ = wait(ctx, min(d, watchEvery))
	case <-ctx.Done():
	}
}

// look reads the row and reports whether it may be taken.
func (e *Elector) look(ctx context.Context) (table.Item, bool, error) {
	items, err := e.Store.Get(ctx, LeaderKey)
	if err != nil {
		e.Log.Debug("elect: seat not read", zap.Error(err))
		return table.Item{}, false, err
	}
	if len(items) == 0 {
		return table.Item{}, e.still(0) >= e.ElectionDelay, nil
	}
	s, err := decode(items[0])
	if err != nil {
		e.Log.Error("elect: seat can't be read", zap.Error(err))
		return table.Item{}, false, err
	}
	if old := e.seat.Load(); old == nil || s.Term >= old.Term {
		e.seat.Store(&s)
	}
	patience := DefaultTakeoverTimeout
	switch {
	case s.Released || s.Name == e.Self.Name && s.Boot == e.Self.Boot:
		patience = 0
	case e.Detector.ProcessExited(s.Term):
		patience = endedStale
	case e.Detector.StoreRefused(s.Term):
		patience = refusedStale
	}
	return items[0], e.still(items[0].Version) >= patience+e.ElectionDelay, nil
}

// still returns how long the row has been seen at a version.
func (e *Elector) still(version uint64) time.Duration {
	now := time.Now()
	if e.since.IsZero() || version != e.version {
		e.version, e.since = version, now
	}
	return now.Sub(e.since)
}

func (e *Elector) take(ctx context.Context, item table.Item) {
	if e.Stopped != nil && e.Stopped() {
		return
	}
	if err := wait(ctx, maxJitter); err != nil {
		return
	}
	t, err := Acquire(ctx, e.Store, e.Self, item)
	if err != nil {
		if !errors.Is(err, table.ErrConflict) {
			e.Log.Warn("elect: seat not taken", zap.Error(err))
		}
		return
	}
	e.Log.Info("elect: leadership acquired", zap.Int64("term", t.Term()), zap.Int64("fence", t.FencingToken()))
	seat := t.seat
	e.seat.Store(&seat)
	e.Candidate.Lead(ctx, t)
	e.Log.Info("elect: leadership released", zap.Int64("term", t.Term()), zap.Bool("lost", t.Lost()))
	e.since = time.Time{}
}
