// Package fakes provides in-memory fakes of the store, the peers and the workers, with fault injection.
package fakes

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// Table is a linearizable in-memory table. Each entry instance accesses it through its own Link.
type Table struct {
	mu      sync.Mutex
	items   map[string]table.Item
	version uint64
	// epoch is the origin of the table's clock.
	epoch time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{items: map[string]table.Item{}, epoch: time.Now()} }

// Now implements table.Clock.
func (t *Table) Now() (earliest, latest time.Duration, ok bool) {
	now := time.Since(t.epoch) + time.Millisecond
	return now, now, true
}

// Clone returns an independent copy of the table.
func (t *Table) Clone() *Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &Table{items: maps.Clone(t.items), version: t.version, epoch: t.epoch}
}

// Commits returns the number of transactions that took effect.
func (t *Table) Commits() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

func (t *Table) commit(x table.Transaction) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range x.Conditions {
		if t.items[c.Key].Version != c.Version {
			return 0, table.ErrConflict
		}
	}
	t.version++
	for _, w := range x.Writes {
		if w.Delete {
			delete(t.items, w.Key)
		} else {
			t.items[w.Key] = table.Item{Key: w.Key, Value: slices.Clone(w.Value), Version: t.version}
		}
	}
	return t.version, nil
}

func (t *Table) get(keys []string) []table.Item {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []table.Item
	for _, k := range keys {
		if i, ok := t.items[k]; ok {
			found = append(found, i)
		}
	}
	return found
}

func (t *Table) scan(prefix, after string, limit int) []table.Item {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []table.Item
	for k, i := range t.items {
		if strings.HasPrefix(k, prefix) && k > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b table.Item) int { return strings.Compare(a.Key, b.Key) })
	return found[:min(limit, len(found))]
}

// Faults configures the injected faults of a Link.
type Faults struct {
	// Down makes every request fail without effect.
	Down bool
	// RefuseScans makes every scan fail.
	RefuseScans bool
	// Delay is the duration of a request; half of it passes before the request takes effect.
	Delay time.Duration
	// Lose counts the next commits that take effect without a reply, Drop those that are discarded, and Late
	// those that take effect LateBy after the caller received an unknown outcome; if LateBy is 0, Late has no effect.
	Lose, Drop, Late int
	LateBy           time.Duration
	// LoseShare is the share of commits that take effect without a reply, of which the caller learns after Timeout.
	LoseShare float64
	Timeout   time.Duration
}

// Link is one client's connection to a Table; it implements table.Table.
type Link struct {
	table  *Table
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
}

// Link returns a new connection without faults.
func (t *Table) Link() *Link { return &Link{table: t, random: rand.New(rand.NewPCG(1, 2))} }

// SetTable connects the link to another table, as after a restore of the store from an old copy.
func (l *Link) SetTable(t *Table) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table = t
}

// SetFaults replaces the injected faults.
func (l *Link) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Get implements table.Reader.
func (l *Link) Get(ctx context.Context, keys ...string) ([]table.Item, error) {
	return read(ctx, l, func() []table.Item { return l.currentTable().get(keys) })
}

// Scan implements table.Reader.
func (l *Link) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Item, error) {
	l.mu.Lock()
	refused := l.faults.RefuseScans
	l.mu.Unlock()
	if refused {
		return nil, table.ErrUnavailable
	}
	return read(ctx, l, func() []table.Item { return l.currentTable().scan(prefix, after, limit) })
}

func read(ctx context.Context, l *Link, f func() []table.Item) ([]table.Item, error) {
	delay, err := l.begin(ctx)
	if err != nil {
		return nil, err
	}
	items := f()
	if !sleep(ctx, delay) {
		return nil, table.ErrUnavailable
	}
	return items, nil
}

// Commit implements table.Table.
func (l *Link) Commit(ctx context.Context, x table.Transaction) (uint64, error) {
	delay, err := l.begin(ctx)
	if err != nil {
		return 0, err
	}
	lose, drop, late := l.takeCommitFault()
	switch {
	case drop:
		return 0, table.ErrUnknown
	case late > 0:
		time.AfterFunc(late, func() { _, _ = l.currentTable().commit(x) })
		return 0, table.ErrUnknown
	}
	silence := l.takeSilence()
	version, err := l.currentTable().commit(x)
	if silence > 0 {
		sleep(ctx, silence)
		return 0, table.ErrUnknown
	}
	if lose || !sleep(ctx, delay) {
		return 0, table.ErrUnknown
	}
	return version, err
}

func (l *Link) currentTable() *Table {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table
}

func (l *Link) begin(ctx context.Context) (time.Duration, error) {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.Down || !sleep(ctx, f.Delay/2) {
		return 0, table.ErrUnavailable
	}
	return f.Delay - f.Delay/2, nil
}

// takeSilence returns how long the caller of a commit whose reply is lost waits, 0 if it is not.
func (l *Link) takeSilence() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.LoseShare > 0 && l.random.Float64() < l.faults.LoseShare {
		return l.faults.Timeout
	}
	return 0
}

func (l *Link) takeCommitFault() (lose, drop bool, late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.faults.Lose > 0:
		l.faults.Lose--
		return true, false, 0
	case l.faults.Drop > 0:
		l.faults.Drop--
		return false, true, 0
	case l.faults.Late > 0:
		l.faults.Late--
		return false, false, l.faults.LateBy
	}
	return false, false, 0
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
