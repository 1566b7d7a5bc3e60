// Package member registers this entry instance, probes the others and removes those that are lost.
package member

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/pace"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
)

const (
	probeInterval  = 500 * time.Millisecond
	probeTimeout   = time.Second
	rosterInterval = 2 * time.Second
	rosterTimeout  = 2 * time.Second
	removeInterval = time.Second

	// aliveTimeout is how long after its last reply a member counts as reachable.
	aliveTimeout = 2 * time.Second
	// lostTimeout and unlistedTimeout are how long a member must be unreachable before its removal, without and with its
	// absence from the roster.
	lostTimeout     = 30 * time.Second
	unlistedTimeout = 10 * time.Second
	// exitedTimeout is how long a member must be unreachable and absent from the roster before its process counts as
	// exited, so that the simultaneous loss of a majority doesn't block edits forever.
	exitedTimeout = 60 * time.Second
	// pauseThreshold is the time between two probes above which this process counts as paused; durations measured across
	// a pause are discarded.
	pauseThreshold = 3 * time.Second

	// minJitter and maxJitter bound the random wait between attempts to register or remove a member, so that the entry
	// instances don't all write at once to a recovering store.
	minJitter = 200 * time.Millisecond
	maxJitter = 2 * time.Second
)

// errNotMember prevents a removed entry instance from removing others.
var errNotMember = errors.New("member: this entry instance is not a member")

// Views reads and edits the view; *view.Replica implements it.
type Views interface {
	View() fleet.View
	Changes() <-chan struct{}
	Identify(self fleet.EntryID)
	Edit(ctx context.Context, author string, change view.Change) (uint64, error)
	QueryMember(ctx context.Context, m fleet.Member, revision uint64) (fleet.EntryID, uint64, error)
}

// Roster lists the platform's instances; *roster.Client implements it.
type Roster interface {
	List(ctx context.Context) ([]roster.Listing, error)
}

// Registrar keeps this entry instance registered, under a new identifier for each incarnation.
type Registrar struct {
	name      string
	views     Views
	roster    Roster
	log       *zap.Logger
	onRemoved func(ctx context.Context, next fleet.EntryID)
	self      atomic.Pointer[fleet.Member]
	leaving   atomic.Bool

	mu        sync.Mutex
	contacts  map[fleet.EntryID]*contact
	lastProbe time.Time
	// majoritySince is since when this entry instance has been in contact with a majority of the members; zero if it
	// is not.
	majoritySince time.Time
}

// Option changes a Registrar.
type Option func(*Registrar)

// WithLog sets the logger.
func WithLog(l *zap.Logger) Option { return func(r *Registrar) { r.log = l } }

// WithRemoved sets the function that is called when this entry instance detects its removal. It returns once all work
// of the old incarnation is dropped; then the next incarnation is registered.
func WithRemoved(f func(ctx context.Context, next fleet.EntryID)) Option {
	return func(r *Registrar) { r.onRemoved = f }
}

// NewID returns the identifier of a new incarnation of an entry instance.
func NewID(name string) fleet.EntryID {
	return fleet.EntryID(name + "." + strings.ToLower(ulid.Make().String()))
}

// New returns a Registrar for a member whose ID was returned by NewID(name).
func New(name string, m fleet.Member, v Views, l Roster, options ...Option) *Registrar {
	r := &Registrar{
		name: name, views: v, roster: l, log: zap.NewNop(),
		onRemoved: func(context.Context, fleet.EntryID) {},
		contacts:  map[fleet.EntryID]*contact{},
	}
	for _, o := range options {
		o(r)
	}
	r.self.Store(&m)
	v.Identify(m.ID)
	return r
}

// Self returns the member record under which this entry instance is or will be registered.
func (r *Registrar) Self() fleet.Member { return *r.self.Load() }

// Registered reports whether this incarnation is a member in the view.
func (r *Registrar) Registered() bool {
	_, ok := r.views.View().Member(r.Self().ID)
	return ok
}

// Run keeps this entry instance registered, probes the others and removes those that are lost until the context ends.
func (r *Registrar) Run(ctx context.Context) {
	var g sync.WaitGroup
	g.Go(func() { r.stayRegistered(ctx) })
	g.Go(func() { pace.Every(ctx, probeInterval, nil, r.probe) })
	g.Go(func() { pace.Every(ctx, rosterInterval, nil, r.readRoster) })
	g.Go(func() { pace.Every(ctx, removeInterval, nil, r.removeLost) })
	g.Wait()
}

func (r *Registrar) stayRegistered(ctx context.Context) {
	for ctx.Err() == nil && !r.leaving.Load() {
		if err := r.register(ctx); err != nil {
			r.log.Warn("member: could not register this entry instance; retrying", zap.Error(err))
			waitJitter(ctx)
			continue
		}
		r.log.Info("member: registered this entry instance", zap.String("id", string(r.Self().ID)))
		if !r.awaitRemoval(ctx) || r.leaving.Load() {
			return
		}
		next := r.Self()
		r.log.Warn("member: this entry instance was removed; dropping its work and registering again",
			zap.String("id", string(next.ID)))
		next.ID = NewID(r.name)
		r.onRemoved(ctx, next.ID)
		r.self.Store(&next)
		r.views.Identify(next.ID)
		waitJitter(ctx)
	}
}

func (r *Registrar) register(ctx context.Context) error {
	self := r.Self()
	_, err := r.views.Edit(ctx, "entry "+r.name, func(v fleet.View) ([]fleet.Item, error) {
		if _, ok := v.Member(self.ID); ok {
			return nil, nil
		}
		return []fleet.Item{view.MemberItem(self)}, nil
	})
	return ignoreUnconfirmed(err)
}

// ignoreUnconfirmed returns nil for the error of an edit that is stored but not yet confirmed.
func ignoreUnconfirmed(err error) error {
	var e *reject.Error
	if errors.As(err, &e) && e.Kind == reject.KindUnconfirmed {
		return nil
	}
	return err
}

// awaitRemoval returns true once this incarnation is no longer in the view, false if the context ends first.
func (r *Registrar) awaitRemoval(ctx context.Context) bool {
	for {
		changed := r.views.Changes()
		if !r.Registered() {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Leave removes this entry instance from the members permanently.
func (r *Registrar) Leave(ctx context.Context) error {
	r.leaving.Store(true)
	for {
		err := r.remove(ctx, r.Self().ID)
		if err == nil {
			return nil
		}
		r.log.Warn("member: could not remove this entry instance from the members; retrying", zap.Error(err))
		if waitJitter(ctx); ctx.Err() != nil {
			return fmt.Errorf("member: leave: %w", errors.Join(err, context.Cause(ctx)))
		}
	}
}

func (r *Registrar) remove(ctx context.Context, id fleet.EntryID) error {
	_, err := r.views.Edit(ctx, "entry "+r.name, memberRemoval(id))
	return ignoreUnconfirmed(err)
}

// removeAsMember removes another member unless this entry instance was itself removed meanwhile.
func (r *Registrar) removeAsMember(ctx context.Context, id fleet.EntryID) error {
	_, err := r.views.Edit(ctx, "entry "+r.name, func(v fleet.View) ([]fleet.Item, error) {
		if _, ok := v.Member(r.Self().ID); !ok {
			return nil, errNotMember
		}
		return memberRemoval(id)(v)
	})
	return ignoreUnconfirmed(err)
}

func memberRemoval(id fleet.EntryID) view.Change {
	return func(v fleet.View) ([]fleet.Item, error) {
		if _, ok := v.Member(id); !ok {
			return nil, nil
		}
		return []fleet.Item{view.MemberRemoval(id)}, nil
	}
}

func waitJitter(ctx context.Context) {
	select {
	case <-time.After(minJitter + rand.N(maxJitter-minJitter)):
	case <-ctx.Done():
	}
}
