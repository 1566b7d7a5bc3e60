package elect

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/plat/hedge"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// ErrLost means that another instance has acquired leadership or that this one has released it.
var ErrLost = errors.New("elect: leadership is lost")

const (
	// minBackoff bounds the pause before the first retry of a transaction. The bound doubles with each retry up to
	// maxBackoff, which is less than refusedTakeoverTimeout, so that the leader confirms its leadership first when the
	// store answers all instances again. Such short pauses don't burden the store, because only the leader retries its
	// transactions at this rate: about four a second.
	minBackoff = 40 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
)

// Leadership is one term for which this process has acquired leadership.
type Leadership struct {
	store table.Table
	fence uint64
	term  int64

	// writing holds a value during a transaction and guards record, the last one written, and its version. Unlike a mutex
	// it can be waited for until a context ends.
	writing chan struct{}
	record  LeaderRecord
	version uint64

	// confirmedAt is when the last attempt of the last successful transaction was sent, in nanoseconds since epoch.
	confirmedAt atomic.Int64
	// confirmedVersion is the store's version after that transaction.
	confirmedVersion atomic.Uint64
	// refusedSince is when the store first refused a transaction, or could not be reached, after the last successful one,
	// in nanoseconds since epoch; 0 means that it has not.
	refusedSince atomic.Int64
	lost         atomic.Bool
	// failed means that this process can't do the leader's work now.
	failed atomic.Bool
	// logged is the value of Logged in the leader records that this process writes, formerLogged that in the record of
	// its predecessor; without a predecessor both are true.
	logged       atomic.Bool
	formerLogged bool
	// storedLogged is the value of Logged in the last confirmed record.
	storedLogged atomic.Bool
	epoch        time.Time
	pacer        *hedge.Pacer
	// abandoned ends the transaction in progress when it is done.
	abandoned context.Context
	abandon   context.CancelFunc
}

// Acquire acquires leadership if the leader record is still at the version of the last read; the zero Item means that
// there was no record.
func Acquire(ctx context.Context, store table.Table, self Identity, last table.Item) (*Leadership, error) {
	var term int64
	logged := true
	if last.Version != 0 {
		old, err := decode(last)
		if err != nil {
			return nil, err
		}
		term, logged = old.Term, old.Logged
	}
	l := &Leadership{store: store, epoch: time.Now(), pacer: hedge.NewPacer(), term: term + 1, writing: make(chan struct{}, 1),
		record:  LeaderRecord{Name: self.Name, Boot: self.Boot, Address: self.Address, Term: term + 1, Logged: logged},
		version: last.Version, formerLogged: logged}
	l.abandoned, l.abandon = context.WithCancel(context.Background())
	l.logged.Store(logged)
	l.storedLogged.Store(logged)
	value, err := encode(l.record)
	if err != nil {
		return nil, err
	}
	sent := time.Now()
	version, err := store.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: LeaderKey, Version: last.Version}},
		Writes:     []table.Write{{Key: LeaderKey, Value: value}},
	})
	if err != nil {
		return nil, fmt.Errorf("elect: acquire leadership: %w", err)
	}
	l.version, l.fence = version, version
	l.confirmedVersion.Store(version)
	l.confirmedAt.Store(int64(sent.Sub(l.epoch)))
	return l, nil
}

// FencingToken returns the fencing token of this term.
func (l *Leadership) FencingToken() int64 { return int64(l.fence) }

// Term returns the number of this term.
func (l *Leadership) Term() int64 { return l.term }

// SinceConfirmed returns the time since the sending of the last transaction that the store has confirmed.
func (l *Leadership) SinceConfirmed() time.Duration {
	return time.Since(l.epoch) - time.Duration(l.confirmedAt.Load())
}

// StoreRefusedFor returns the time since the store first refused a transaction, or could not be reached, after the last
// successful one; 0 if it has not. A lost reply to a transaction is not a refusal.
func (l *Leadership) StoreRefusedFor() time.Duration {
	since := l.refusedSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(l.epoch) - time.Duration(since)
}

// Lost reports whether leadership is known to be lost or has been released.
func (l *Leadership) Lost() bool { return l.lost.Load() }

// MarkLost records that another instance is known to lead in a later term.
func (l *Leadership) MarkLost() { l.lost.Store(true) }

// Abandoned returns a channel that is closed by Abandon.
func (l *Leadership) Abandoned() <-chan struct{} { return l.abandoned.Done() }

// Abandon is MarkLost that also ends the transaction in progress, whose outcome stays unknown.
func (l *Leadership) Abandon() {
	l.lost.Store(true)
	l.abandon()
}

// MarkFailed records that this process can't do the leader's work now, so that it does not stand for election for a while.
func (l *Leadership) MarkFailed() { l.failed.Store(true) }

// FormerLogged reports whether the store has a record of the machine operations of former leaders.
func (l *Leadership) FormerLogged() bool { return l.formerLogged }

// SetLogged states in the leader record, from the next transaction on, whether the store has a record of all machine
// operations that can still matter.
func (l *Leadership) SetLogged(on bool) { l.logged.Store(on) }

// StatesUnlogged reports whether the leader record in the store states, and will state until SetLogged, that machine
// operations may have no record.
func (l *Leadership) StatesUnlogged() bool { return !l.logged.Load() && !l.storedLogged.Load() }

// Version returns the store's version after the last transaction that it has confirmed.
func (l *Leadership) Version() uint64 { return l.confirmedVersion.Load() }

// Commit writes rows as the leader and confirms leadership; it repeats the transaction until its outcome is known. It
// returns how long the transaction waited for others of this leader, and ErrLost if leadership is lost or released, the
// context's error if that ends first, and the store's error if the transaction is invalid.
func (l *Leadership) Commit(ctx context.Context, writes []table.Write) (time.Duration, error) {
	began := time.Now()
	if err := l.begin(ctx); err != nil {
		return time.Since(began), err
	}
	defer l.end()
	queued := time.Since(began)
	return queued, l.write(ctx, writes, false)
}

// begin waits until no transaction is in progress.
func (l *Leadership) begin(ctx context.Context) error {
	select {
	case l.writing <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Leadership) end() { <-l.writing }

// Release releases leadership, so that other instances can acquire it at once. Even if that fails, leadership counts as
// lost from then on.
func (l *Leadership) Release(ctx context.Context) error {
	if err := l.begin(ctx); err != nil {
		l.lost.Store(true)
		return err
	}
	defer l.end()
	err := l.write(ctx, nil, true)
	// Set before the next transaction can begin, which would acquire leadership again.
	l.lost.Store(true)
	return err
}

func (l *Leadership) write(ctx context.Context, writes []table.Write, release bool) error {
	next := l.record
	next.Sequence++
	next.Released = release
	next.Logged = l.logged.Load()
	value, err := encode(next)
	if err != nil {
		return err
	}
	x := table.Transaction{
		Conditions: []table.Condition{{Key: LeaderKey, Version: l.version}},
		Writes:     append([]table.Write{{Key: LeaderKey, Value: value}}, writes...),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(l.abandoned, cancel)()
	backoff := minBackoff
	for {
		if l.lost.Load() {
			return ErrLost
		}
		sent := time.Now()
		version, err := hedge.Do(ctx, l.pacer, isConclusive, func(ctx context.Context, number int) (uint64, error) {
			// Copies of a transaction do no harm: the first one that takes effect changes the record's version. But the store
			// handles them one after another, so that every other copy only reads whether one has taken effect.
			if number%2 == 1 {
				return l.probe(ctx, next)
			}
			return l.store.Commit(ctx, x)
		})
		if errors.Is(err, table.ErrConflict) {
			version, err = l.resolve(ctx, next)
		}
		if err == nil {
			l.record, l.version = next, version
			l.confirmedVersion.Store(version)
			l.storedLogged.Store(next.Logged)
			l.confirmedAt.Store(int64(sent.Sub(l.epoch)))
			l.refusedSince.Store(0)
			return nil
		}
		if errors.Is(err, table.ErrUnavailable) {
			l.refusedSince.CompareAndSwap(0, max(1, int64(time.Since(l.epoch))))
		}
		if isConclusive(err) {
			return err
		}
		if err := sleepJittered(ctx, backoff); err != nil {
			if l.abandoned.Err() != nil {
				return ErrLost
			}
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// resolve finds out after a conflict whether an earlier attempt of the same transaction took effect: it returns the
// record's version if so, ErrLost if not, and another error if reading the record fails.
func (l *Leadership) resolve(ctx context.Context, next LeaderRecord) (uint64, error) {
	version, err := hedge.Do(ctx, l.pacer, isConclusive, func(ctx context.Context, _ int) (uint64, error) {
		version, err := l.probe(ctx, next)
		if errors.Is(err, errNotInEffect) {
			err = ErrLost
		}
		return version, err
	})
	if errors.Is(err, ErrLost) {
		l.lost.Store(true)
	}
	return version, err
}

// errNotInEffect means that the record read is not the one that a transaction writes; it may take effect later.
var errNotInEffect = fmt.Errorf("%w: the leader record is another one", table.ErrUnknown)

// probe reads whether the transaction that writes a record has taken effect, and returns the record's version then.
func (l *Leadership) probe(ctx context.Context, next LeaderRecord) (uint64, error) {
	items, err := l.store.Get(ctx, LeaderKey)
	if err != nil {
		return 0, err
	}
	if len(items) == 1 {
		if current, err := decode(items[0]); err == nil && current == next {
			return items[0].Version, nil
		}
	}
	return 0, errNotInEffect
}

// isConclusive reports whether an error of the store says that a transaction has not taken effect and never will.
func isConclusive(err error) bool {
	return !errors.Is(err, table.ErrUnavailable) && !errors.Is(err, table.ErrUnknown)
}

// sleepJittered sleeps between half of a duration and the whole of it, so that instances don't retry in step.
func sleepJittered(ctx context.Context, longest time.Duration) error {
	timer := time.NewTimer(longest/2 + rand.N(longest/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
