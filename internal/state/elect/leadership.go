package elect

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// ErrLost means that another instance has taken the seat.
var ErrLost = errors.New("elect: the seat is lost")

const (
	// retryPause is the longest pause before the first repetition of a transaction; it doubles up to maxRetryPause, which
	// stays below refusedStale, so that the holder confirms the seat first when the store is back for all. Only the holder
	// repeats transactions: four a second.
	retryPause    = 40 * time.Millisecond
	maxRetryPause = 250 * time.Millisecond
)

// Leadership is the seat while one process holds it.
type Leadership struct {
	store table.Table
	fence uint64
	term  int64

	mu   sync.Mutex
	seat LeaderRecord
	ver  uint64

	// confirmed is when the last successful transaction was sent, in nanoseconds of the process's clock.
	confirmed atomic.Int64
	// refused is when the store first refused a transaction since then, on the same clock; 0 means that it did not.
	refused atomic.Int64
	lost    atomic.Bool
	epoch   time.Time
}

// Acquire takes the seat from the holder whose row was seen; the zero Item is an empty row.
func Acquire(ctx context.Context, store table.Table, self Identity, seen table.Item) (*Leadership, error) {
	var term int64
	if seen.Version != 0 {
		old, err := decode(seen)
		if err != nil {
			return nil, err
		}
		term = old.Term
	}
	t := &Leadership{store: store, epoch: time.Now(), term: term + 1,
		seat: LeaderRecord{Name: self.Name, Boot: self.Boot, Address: self.Address, Term: term + 1}, ver: seen.Version}
	value, err := encode(t.seat)
	if err != nil {
		return nil, err
	}
	sent := time.Now()
	ver, err := store.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: LeaderKey, Version: seen.Version}},
		Writes:     []table.Write{{Key: LeaderKey, Value: value}},
	})
	if err != nil {
		return nil, fmt.Errorf("elect: take: %w", err)
	}
	t.ver, t.fence = ver, ver
	t.confirmed.Store(int64(sent.Sub(t.epoch)))
	return t, nil
}

// FencingToken returns the fencing token of this leadership.
func (t *Leadership) FencingToken() int64 { return int64(t.fence) }

// Term returns the number of this leadership.
func (t *Leadership) Term() int64 { return t.term }

// SinceConfirmed returns the time since the store last confirmed the seat.
func (t *Leadership) SinceConfirmed() time.Duration {
	return time.Since(t.epoch) - time.Duration(t.confirmed.Load())
}

// StoreRefusedFor returns for how long the store has refused every transaction or could not be reached. It says no more
// than that: a reply that was lost is no refusal.
func (t *Leadership) StoreRefusedFor() time.Duration {
	since := t.refused.Load()
	if since == 0 {
		return 0
	}
	return time.Since(t.epoch) - time.Duration(since)
}

// Lost reports whether the seat is known to be lost.
func (t *Leadership) Lost() bool { return t.lost.Load() }

// MarkLost gives the seat up because another instance is known to hold it.
func (t *Leadership) MarkLost() { t.lost.Store(true) }

// Commit writes rows as the holder of the seat and confirms the seat; it repeats the transaction until its outcome is
// known. It returns ErrLost if another instance holds the seat, and the context's error.
func (t *Leadership) Commit(ctx context.Context, writes []table.Write) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.write(ctx, writes, false)
}

// Release opens the seat for others.
func (t *Leadership) Release(ctx context.Context) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	err := t.write(ctx, nil, true)
	t.lost.Store(true)
	return err
}

func (t *Leadership) write(ctx context.Context, writes []table.Write, open bool) error {
	next := t.seat
	next.Sequence++
	next.Released = open
	value, err := encode(next)
	if err != nil {
		return err
	}
	x := table.Transaction{
		Conditions: []table.Condition{{Key: LeaderKey, Version: t.ver}},
		Writes:     append([]table.Write{{Key: LeaderKey, Value: value}}, writes...),
	}
	pause := retryPause
	for {
		if t.lost.Load() {
			return ErrLost
		}
		sent := time.Now()
		ver, err := t.store.Commit(ctx, x)
		if errors.Is(err, table.ErrConflict) {
			ver, err = t.resolve(ctx, next)
		}
		if err == nil {
			t.seat, t.ver = next, ver
			t.confirmed.Store(int64(sent.Sub(t.epoch)))
			t.refused.Store(0)
			return nil
		}
		if errors.Is(err, table.ErrUnavailable) {
			t.refused.CompareAndSwap(0, max(1, int64(time.Since(t.epoch))))
		}
		if !errors.Is(err, table.ErrUnavailable) && !errors.Is(err, table.ErrUnknown) {
			return err
		}
		if err := wait(ctx, pause); err != nil {
			return err
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// resolve tells after a conflict whether an earlier try of the same transaction took effect.
func (t *Leadership) resolve(ctx context.Context, next LeaderRecord) (uint64, error) {
	items, err := t.store.Get(ctx, LeaderKey)
	if err != nil {
		return 0, err
	}
	if len(items) == 1 {
		now, err := decode(items[0])
		if err == nil && now == next {
			return items[0].Version, nil
		}
	}
	t.lost.Store(true)
	return 0, ErrLost
}

// wait pauses for a random part of a time, so that instances don't come back in step.
func wait(ctx context.Context, most time.Duration) error {
	timer := time.NewTimer(most/2 + rand.N(most/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
