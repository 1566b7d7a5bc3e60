package elect

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// maxTakeoverCalls is the number of announcements of a new leader at the same time.
	maxTakeoverCalls = 32
	// takeoverCallTimeout bounds one of them. It is a hundred times a usual round trip, so that instances that are gone, of which
	// there may be many, don't hold up the others; later announcements reach those that are slow.
	takeoverCallTimeout = 200 * time.Millisecond
	// listBackoff is the pause after a failed read of the instances.
	listBackoff = 50 * time.Millisecond
)

// takeover announces a new leader to all instances, once it has acquired leadership and again once it has loaded the stored
// state.
type takeover struct {
	announcer *Announcer
	record    LeaderRecord
	// places bounds the calls at the same time.
	places chan struct{}
	// loaded is closed when the stored state is loaded.
	loaded     chan struct{}
	loadedOnce sync.Once
	reached    atomic.Int64
}

// Acquired announces this process to the former leader, so that it ends its term at once if it still runs, and to all instances
// in the store, which it reads while the Candidate loads the stored state. See Elector.Acquired.
func (a *Announcer) Acquired(ctx context.Context, record, former LeaderRecord) (ended func()) {
	ctx, cancel := context.WithCancel(ctx)
	t := &takeover{announcer: a, record: record, places: make(chan struct{}, maxTakeoverCalls), loaded: make(chan struct{})}
	a.mu.Lock()
	a.takeover = t
	a.mu.Unlock()
	var calls sync.WaitGroup
	calls.Go(func() { t.run(ctx, former) })
	return func() {
		cancel()
		calls.Wait()
	}
}

// Loaded announces that this process, which has acquired leadership in a term, has loaded the stored state.
func (a *Announcer) Loaded(term int64) {
	a.mu.Lock()
	t := a.takeover
	a.mu.Unlock()
	if t != nil && t.record.Term == term {
		t.loadedOnce.Do(func() { close(t.loaded) })
	}
}

// isLoaded reports whether this process leads in a term and has announced that it has loaded the stored state.
func (a *Announcer) isLoaded(term int64) bool {
	a.mu.Lock()
	t := a.takeover
	a.mu.Unlock()
	return t != nil && t.record.Term == term && t.isLoaded()
}

func (t *takeover) run(ctx context.Context, former LeaderRecord) {
	began := time.Now()
	var calls sync.WaitGroup
	self := t.announcer.Self.Address
	// The former leader comes first, and does not wait for the store.
	if former.Address != "" && former.Address != self {
		calls.Go(func() { t.tell(ctx, former.Name, former.Address) })
	}
	instances := t.list(ctx)
	for name, i := range instances {
		if i.Address != self && i.Address != former.Address {
			calls.Go(func() { t.tell(ctx, name, i.Address) })
		}
	}
	calls.Wait()
	t.announcer.Log.Info("elect: leadership announced", zap.Int64("term", t.record.Term), zap.Int("instances", len(instances)),
		zap.Int64("reached", t.reached.Load()), zap.Duration("took", time.Since(began)))
}

// list reads the instances until that succeeds or the context ends.
func (t *takeover) list(ctx context.Context) map[string]Identity {
	for ctx.Err() == nil {
		instances, err := t.announcer.listInstances(ctx)
		if err == nil {
			return instances
		}
		t.announcer.Log.Debug("elect: listing the instances failed, retrying", zap.Error(err))
		if sleepJittered(ctx, listBackoff) != nil {
			break
		}
	}
	return nil
}

// tell announces the leader to an instance, and again once the stored state is loaded.
func (t *takeover) tell(ctx context.Context, name, address string) {
	if !t.isLoaded() {
		t.call(ctx, name, address)
	}
	select {
	case <-t.loaded:
		if t.call(ctx, name, address) {
			t.reached.Add(1)
		}
	case <-ctx.Done():
	}
}

func (t *takeover) isLoaded() bool {
	select {
	case <-t.loaded:
		return true
	default:
		return false
	}
}

// call makes one announcement and reports whether it was confirmed.
func (t *takeover) call(ctx context.Context, name, address string) bool {
	select {
	case t.places <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-t.places }()
	ctx, cancel := context.WithTimeout(ctx, takeoverCallTimeout)
	defer cancel()
	err := t.announcer.AnnounceLeader(ctx, address, t.record, t.isLoaded())
	if err != nil {
		t.announcer.Log.Debug("elect: announcing the new leader failed", zap.String("instance", name), zap.Error(err))
	}
	return err == nil
}
