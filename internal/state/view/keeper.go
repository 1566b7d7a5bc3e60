// Package view keeps this entry instance's copy of the view: it follows the store and the peers,
// proves that the copy is current, and makes edits.
package view

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/pace"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	// FreshFor is how long a confirmation holds, counted from the moment its request was sent.
	FreshFor = 2 * time.Second

	storeInterval = 500 * time.Millisecond
	// storeSilence is how long the store may leave the view unconfirmed before the peers are asked.
	storeSilence = time.Second
	// A reply to a request sent longer than FreshFor ago would confirm nothing.
	storeTimeout = FreshFor
	peerTimeout  = time.Second
	// confirmWithin is how long an edit waits for the acknowledgement of a majority.
	confirmWithin = 3 * time.Second

	logLength = 1000
	// deltaBytes bounds the deltas kept in memory for peers; a peer further behind gets the whole view.
	deltaBytes = 8 << 20
)

// Peers calls other entry instances at their addresses; *peer.Client implements it.
type Peers interface {
	Sync(ctx context.Context, address string, q peer.SyncRequest) (peer.SyncReply, error)
	Push(ctx context.Context, address string, q peer.PushRequest) (peer.PushReply, error)
}

// Replica holds the current view. Its methods may be called from any goroutine.
type Replica struct {
	table  table.Table
	peers  Peers
	decode Decoder
	log    *zap.Logger
	seeds  func(context.Context) ([]string, error)
	gone   func(fleet.EntryID) bool
	origin time.Time

	self    atomic.Pointer[fleet.EntryID]
	current atomic.Pointer[snapshot]
	// confirmed and stored are when the requests of the last confirmation at all and by the store were
	// sent, in nanoseconds after origin; 0 means never.
	confirmed atomic.Int64
	stored    atomic.Int64
	settled   atomic.Uint64

	wakeStore chan struct{}
	wakePeers chan struct{}

	mu     sync.Mutex
	items  map[string][]byte
	deltas []fleet.Delta
	size   int
	// acked is the highest revision that each entry instance is known to have applied.
	acked   map[fleet.EntryID]uint64
	changes chan struct{}
	renewal chan struct{}
}

// Option changes a Replica.
type Option func(*Replica)

// WithLog sets the logger.
func WithLog(l *zap.Logger) Option { return func(k *Replica) { k.log = l } }

// WithSeeds sets where to ask for the view when the store is down at start: the peers' addresses by the roster.
func WithSeeds(f func(context.Context) ([]string, error)) Option {
	return func(k *Replica) { k.seeds = f }
}

// WithExited sets a test for members whose process is certain to have ended. They count as having
// acknowledged every revision, so that the loss of a majority at once doesn't block edits for ever.
func WithExited(f func(fleet.EntryID) bool) Option { return func(k *Replica) { k.gone = f } }

// New returns a Replica with the empty view, which is not fresh until Run has confirmed one.
func New(self fleet.EntryID, t table.Table, p Peers, d Decoder, options ...Option) *Replica {
	k := &Replica{
		table: t, peers: p, decode: d, log: zap.NewNop(),
		seeds:     func(context.Context) ([]string, error) { return nil, nil },
		gone:      func(fleet.EntryID) bool { return false },
		origin:    time.Now().Add(-time.Nanosecond),
		wakeStore: make(chan struct{}, 1),
		wakePeers: make(chan struct{}, 1),
		items:     map[string][]byte{},
		acked:     map[fleet.EntryID]uint64{},
		changes:   make(chan struct{}),
		renewal:   make(chan struct{}),
	}
	for _, o := range options {
		o(k)
	}
	first, _ := d(nil)
	k.current.Store(&snapshot{view: fleet.View{}.WithDocument(first)})
	k.Identify(self)
	return k
}

// Identify sets the identifier that this entry instance has among the members.
func (k *Replica) Identify(self fleet.EntryID) { k.self.Store(&self) }

// View returns the current view. A caller that starts work calls Fresh first and View afterwards:
// the other way round the view may have been replaced between the calls.
func (k *Replica) View() fleet.View { return k.current.Load().view }

// Fresh returns nil if the view was confirmed within FreshFor, else a *reject.Error of KindStale.
func (k *Replica) Fresh() error {
	at := k.confirmed.Load()
	if at == 0 {
		return reject.New(reject.KindStale, reject.WorkNotRun, "the view was never confirmed").WithRetryAfter(FreshFor)
	}
	if age := k.now() - time.Duration(at); age >= FreshFor {
		return reject.New(reject.KindStale, reject.WorkNotRun, "the view was last confirmed %s ago",
			age.Round(time.Millisecond)).WithRetryAfter(FreshFor)
	}
	return nil
}

// MajorityRevision returns the highest revision that a majority of the members is known to have applied.
// No entry instance can confirm an older view by a request sent after MajorityRevision has returned.
func (k *Replica) MajorityRevision() uint64 { return k.settled.Load() }

// Changes returns a channel that is closed at the next revision.
func (k *Replica) Changes() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changes
}

// Await asks for a confirmation now and waits until the view is fresh or the context ends.
func (k *Replica) Await(ctx context.Context) error {
	for {
		k.mu.Lock()
		renewal := k.renewal
		k.mu.Unlock()
		err := k.Fresh()
		if err == nil {
			return nil
		}
		wake(k.wakeStore)
		select {
		case <-renewal:
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", err, context.Cause(ctx))
		}
	}
}

// Run follows the store and the peers until the context ends.
func (k *Replica) Run(ctx context.Context) {
	var g sync.WaitGroup
	g.Go(func() { pace.Every(ctx, storeInterval, k.wakeStore, k.followStore) })
	g.Go(func() { pace.Every(ctx, storeInterval, k.wakePeers, k.followPeers) })
	g.Wait()
}

func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (k *Replica) now() time.Duration { return time.Since(k.origin) }

func (k *Replica) id() fleet.EntryID { return *k.self.Load() }

func (k *Replica) revision() uint64 { return k.current.Load().view.Revision() }

// ready reports whether this process has confirmed a view. Until then it must not answer peers: its
// copy may be older than one that its predecessor at the same address acknowledged.
func (k *Replica) ready() bool { return k.confirmed.Load() != 0 }

// confirm notes a successful confirmation whose request was sent at a moment.
func (k *Replica) confirm(sent time.Duration) {
	for {
		last := k.confirmed.Load()
		if last >= int64(sent) {
			return
		}
		if k.confirmed.CompareAndSwap(last, int64(sent)) {
			break
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.renewal)
	k.renewal = make(chan struct{})
}
