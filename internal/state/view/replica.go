// Package view keeps this entry instance's replica of the view: it follows the store and the peers, confirms that the
// replica is current, and applies edits.
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
	// FreshTTL is how long a confirmation is valid, counted from the time its request was sent.
	FreshTTL = 2 * time.Second

	storeInterval = 500 * time.Millisecond
	// peerFallbackDelay is how long the store may fail to confirm the view before the peers are queried.
	peerFallbackDelay = time.Second
	// A reply to a request sent more than FreshTTL ago confirms nothing.
	storeTimeout = FreshTTL
	peerTimeout  = time.Second
	// confirmTimeout bounds an edit's wait for the acknowledgement by a majority, and a fetch of newer revisions.
	confirmTimeout = 3 * time.Second

	// logLength is the number of revisions kept in the store's log, and in memory for peers.
	logLength = 1000
	// maxDeltaBytes bounds the deltas kept in memory for peers; a peer further behind receives the whole view.
	maxDeltaBytes = 8 << 20
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
	exited func(fleet.EntryID) bool
	origin time.Time // 1 ns before the start, so that no time counted from it is 0

	self    atomic.Pointer[fleet.EntryID]
	current atomic.Pointer[snapshot]
	// confirmed and storeConfirmed are the send times of the requests that brought the last confirmation by any
	// source and by the store, in nanoseconds after origin; 0 means never.
	confirmed        atomic.Int64
	storeConfirmed   atomic.Int64
	majorityRevision atomic.Uint64

	wakeStore chan struct{}
	wakePeers chan struct{}

	mu        sync.Mutex
	items     map[string][]byte
	deltas    []fleet.Delta
	keptBytes int
	// acked holds the highest revision that each entry instance is known to have applied.
	acked        map[fleet.EntryID]uint64
	changes      chan struct{} // closed and replaced at each revision
	confirmation chan struct{} // closed and replaced at each confirmation
}

// Option changes a Replica.
type Option func(*Replica)

// WithLog sets the logger.
func WithLog(l *zap.Logger) Option { return func(r *Replica) { r.log = l } }

// WithSeeds sets the source of the addresses to query for the view when the store is down at start: those of the peers
// in the roster.
func WithSeeds(f func(context.Context) ([]string, error)) Option {
	return func(r *Replica) { r.seeds = f }
}

// WithExited sets a predicate for members whose process has certainly exited. They count as having acknowledged every
// revision, so that the simultaneous loss of a majority doesn't block edits forever. The predicate is called with the
// Replica's lock held.
func WithExited(f func(fleet.EntryID) bool) Option { return func(r *Replica) { r.exited = f } }

// New returns a Replica with the empty view, which is not fresh until Run has confirmed a view.
func New(self fleet.EntryID, t table.Table, p Peers, d Decoder, options ...Option) *Replica {
	r := &Replica{
		table: t, peers: p, decode: d, log: zap.NewNop(),
		seeds:        func(context.Context) ([]string, error) { return nil, nil },
		exited:       func(fleet.EntryID) bool { return false },
		origin:       time.Now().Add(-time.Nanosecond),
		wakeStore:    make(chan struct{}, 1),
		wakePeers:    make(chan struct{}, 1),
		items:        map[string][]byte{},
		acked:        map[fleet.EntryID]uint64{},
		changes:      make(chan struct{}),
		confirmation: make(chan struct{}),
	}
	for _, o := range options {
		o(r)
	}
	first, _ := d(nil)
	r.current.Store(&snapshot{view: fleet.View{}.WithDocument(first)})
	r.Identify(self)
	return r
}

// Identify sets the identifier of this entry instance among the members.
func (r *Replica) Identify(self fleet.EntryID) { r.self.Store(&self) }

// View returns the current view. A caller that starts work calls Fresh before View: in the other order, the view may be
// replaced between the calls.
func (r *Replica) View() fleet.View { return r.current.Load().view }

// Fresh returns nil if the view was confirmed within FreshTTL, else a *reject.Error of KindStale.
func (r *Replica) Fresh() error {
	at := r.confirmed.Load()
	if at == 0 {
		return reject.New(reject.KindStale, reject.WorkNotRun, "the view was never confirmed").WithRetryAfter(FreshTTL)
	}
	if age := r.now() - time.Duration(at); age >= FreshTTL {
		return reject.New(reject.KindStale, reject.WorkNotRun, "the view was last confirmed %s ago",
			age.Round(time.Millisecond)).WithRetryAfter(FreshTTL)
	}
	return nil
}

// MajorityRevision returns the highest revision that a majority of the members is known to have applied.
// No entry instance can confirm an older view by a request sent after MajorityRevision returns.
func (r *Replica) MajorityRevision() uint64 { return r.majorityRevision.Load() }

// Changes returns a channel that is closed at the next revision.
func (r *Replica) Changes() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changes
}

// Await waits until the view is fresh or the context ends. It requests a confirmation unless the view is fresh already.
func (r *Replica) Await(ctx context.Context) error {
	for {
		r.mu.Lock()
		confirmed := r.confirmation
		r.mu.Unlock()
		err := r.Fresh()
		if err == nil {
			return nil
		}
		wake(r.wakeStore)
		select {
		case <-confirmed:
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", err, context.Cause(ctx))
		}
	}
}

// Run follows the store and the peers until the context ends.
func (r *Replica) Run(ctx context.Context) {
	var g sync.WaitGroup
	g.Go(func() { pace.Every(ctx, storeInterval, r.wakeStore, r.followStore) })
	g.Go(func() { pace.Every(ctx, storeInterval, r.wakePeers, r.followPeers) })
	g.Wait()
}

func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (r *Replica) now() time.Duration { return time.Since(r.origin) }

func (r *Replica) id() fleet.EntryID { return *r.self.Load() }

func (r *Replica) revision() uint64 { return r.current.Load().view.Revision() }

// ready reports whether this process has confirmed a view. Until then it must not answer peers: its replica may be
// older than a revision that its predecessor at the same address acknowledged.
func (r *Replica) ready() bool { return r.confirmed.Load() != 0 }

// confirm records a confirmation whose request was sent at the given time.
func (r *Replica) confirm(sent time.Duration) {
	for {
		last := r.confirmed.Load()
		if last >= int64(sent) {
			return
		}
		if r.confirmed.CompareAndSwap(last, int64(sent)) {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.confirmation)
	r.confirmation = make(chan struct{})
}
