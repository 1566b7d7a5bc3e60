// Package grant divides each team's ceiling between the entry instances, so that no team ever has more
// slots in use across the fleet than its ceiling.
package grant

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	// RemovalDelay is how long the grants of a removed entry instance stay out of use, counted from the
	// acceptance of the removal: 2 s freshness + 1 s reservation + 1.25 x 10 s task lease, rounded up.
	RemovalDelay = 16 * time.Second

	// teamInterval is the least time between two transactions for one team.
	teamInterval = 250 * time.Millisecond
	// readInterval is the least time between two readings of a record, pollInterval that between readings
	// without a new reason.
	readInterval = 50 * time.Millisecond
	pollInterval = time.Second
	// sweepInterval bounds how long a lost nudge delays a movement.
	sweepInterval = 5 * time.Second
	// joinTime is how long an entry wants its part of a ceiling after its registration whatever its demand.
	joinTime = 5 * time.Second
	// starveAfter is how long an entry waits with no grant at all before it advances the turn.
	starveAfter = 2 * time.Second

	storeTimeout = 2 * time.Second
	nudgeTimeout = time.Second
	// commitsPerSecond bounds the transactions of this entry over all teams: the store bears several
	// hundred writes a second for the whole deployment, of which task records may take 240.
	commitsPerSecond = 20
	parallelCommits  = 8
)

// Views is what the Manager needs of *view.Replica.
type Views interface {
	View() fleet.View
	Changes() <-chan struct{}
	MajorityRevision() uint64
}

// Peers nudges other entry instances; *peer.Client implements it.
type Peers interface {
	NotifyGrants(ctx context.Context, address string, q peer.NotifyGrantsRequest) (peer.NotifyGrantsReply, error)
}

// Manager holds this entry instance's grants. Its methods may be called from any goroutine.
type Manager struct {
	views   Views
	table   table.Table
	peers   Peers
	log     *zap.Logger
	commits metrics.Counter
	limiter *rate.Limiter

	self     atomic.Pointer[fleet.EntryID]
	accounts sync.Map // fleet.TeamName to *account
	leaving  atomic.Bool
	wake     chan struct{}
	// adopting keeps a round of the old incarnation from raising a limit after Reset.
	adopting sync.Mutex

	// The rest belongs to the goroutine of the rounds.
	sweep     time.Time
	departing sync.Mutex // guards departed among the commits of one round
	departed  map[fleet.EntryID]*departure
	reset     atomic.Bool
}

// Option changes a Manager.
type Option func(*Manager)

// WithLog sets the logger.
func WithLog(l *zap.Logger) Option { return func(b *Manager) { b.log = l } }

// WithMetrics registers the count of the Manager's store writes as "grant.commits".
func WithMetrics(r metrics.Registry) Option {
	return func(b *Manager) { b.commits = metrics.GetOrRegisterCounter("grant.commits", r) }
}

// New returns a Manager with no grants for an entry instance.
func New(self fleet.EntryID, v Views, t table.Table, p Peers, options ...Option) *Manager {
	b := &Manager{
		views: v, table: t, peers: p, log: zap.NewNop(), commits: metrics.NewCounter(),
		limiter:  rate.NewLimiter(commitsPerSecond, commitsPerSecond),
		wake:     make(chan struct{}, 1),
		departed: map[fleet.EntryID]*departure{},
	}
	for _, o := range options {
		o(b)
	}
	b.self.Store(&self)
	return b
}

// Reset begins a new incarnation with nothing held. It is called once the old one's tasks are dropped;
// slots not yet released count as used until they are.
func (b *Manager) Reset(self fleet.EntryID) {
	b.adopting.Lock()
	defer b.adopting.Unlock()
	b.self.Store(&self)
	b.accounts.Range(func(_, value any) bool {
		value.(*account).setLimit(0)
		return true
	})
	b.reset.Store(true)
	b.poke()
}

// Acquire takes slots of the team's grant, to be given back by Release. It returns false if the grant
// has too few free, or if the ceiling was changed and the record was not found within it yet.
func (b *Manager) Acquire(t fleet.TeamName, slots int) bool {
	a := b.account(t)
	if slots < 1 || !b.open(a) {
		return false
	}
	if a.acquire(slots) {
		return true
	}
	if int64(slots) > a.unit.Load() {
		a.unit.Store(int64(slots))
	}
	return false
}

// Release gives slots back that Acquire took, once their task is known to have ended.
func (b *Manager) Release(t fleet.TeamName, slots int) {
	a := b.account(t)
	a.release(slots)
	if limit, used := a.load(); limit < int(a.counted.Load()) && used >= limit {
		b.mark(a)
	}
}

// Free returns how many slots Acquire could take now.
func (b *Manager) Free(t fleet.TeamName) int {
	a := b.account(t)
	if !b.open(a) {
		return 0
	}
	limit, used := a.load()
	return max(0, limit-used)
}

// Held returns the count of the team in the record as last known.
func (b *Manager) Held(t fleet.TeamName) int { return int(b.account(t).counted.Load()) }

// Want sets how many slots waiting work could use beyond those in use.
func (b *Manager) Want(t fleet.TeamName, slots int) {
	a := b.account(t)
	if slots == 0 {
		a.unit.Store(0)
	}
	before := a.wanted.Swap(int64(slots))
	limit, used := a.load()
	if short := used+slots > limit; short && before != int64(slots) || !short && used+int(before) > limit {
		b.mark(a)
	}
}

// HandleNotifyGrants has the records of teams read because another entry instance wants grants or freed some.
func (b *Manager) HandleNotifyGrants(_ context.Context, q peer.NotifyGrantsRequest) (peer.NotifyGrantsReply, error) {
	for _, t := range q.Teams {
		if _, ok := b.views.View().Document().Teams[t]; ok {
			b.mark(b.account(t))
		}
	}
	return peer.NotifyGrantsReply{}, nil
}

// Return gives all grants back as their tasks end, and nothing is granted any more.
func (b *Manager) Return(ctx context.Context) error {
	b.leaving.Store(true)
	t := time.NewTicker(teamInterval)
	defer t.Stop()
	for {
		held := 0
		b.accounts.Range(func(_, value any) bool {
			a := value.(*account)
			a.lowerLimit(0)
			if n := int(a.counted.Load()); n > 0 {
				held += n
				a.due.Store(true)
			}
			return true
		})
		if held == 0 {
			return nil
		}
		b.poke()
		select {
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("grant: %d slots not returned: %w", held, context.Cause(ctx))
		}
	}
}

// open reports whether the record was found within the ceiling of the current view.
func (b *Manager) open(a *account) bool {
	s, ok := b.views.View().Section(a.section)
	return ok && s.Version == a.verified.Load()
}

func (b *Manager) account(t fleet.TeamName) *account {
	if a, ok := b.accounts.Load(t); ok {
		return a.(*account)
	}
	a, _ := b.accounts.LoadOrStore(t, &account{team: t, section: "team/" + string(t)})
	return a.(*account)
}

func (b *Manager) mark(a *account) {
	if !a.due.Swap(true) {
		b.poke()
	}
}

func (b *Manager) poke() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}
