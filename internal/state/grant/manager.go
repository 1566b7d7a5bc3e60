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
	// RemovalDelay is the time from the acceptance of an entry instance's removal until its grants are reusable:
	// 2 s freshness + 1 s reservation + 1.25 x 10 s task lease, rounded up.
	RemovalDelay = 16 * time.Second

	// minCommitInterval is the least time between two transactions of this entry instance for one team.
	minCommitInterval = 250 * time.Millisecond
	// minReadInterval is the least time between two reads of a record, pollInterval the least time between reads
	// without a new reason.
	minReadInterval = 50 * time.Millisecond
	pollInterval    = time.Second
	// sweepInterval bounds the delay that a lost notification causes.
	sweepInterval = 5 * time.Second
	// joinTimeout is how long after its first read of the record a registered entry instance wants its equal part of a
	// ceiling regardless of its demand, unless it held that part before.
	joinTimeout = 5 * time.Second
	// starvationTimeout is how long an entry instance waits without any grant before it advances the turn.
	starvationTimeout = 2 * time.Second

	storeTimeout  = 2 * time.Second
	notifyTimeout = time.Second
	// commitsPerSecond bounds the transactions of this entry instance over all teams: the store sustains several
	// hundred writes per second for the whole deployment, of which task records may take 240.
	commitsPerSecond = 20
	parallelCommits  = 8
)

// Views gives the Manager the current view; *view.Replica implements it.
type Views interface {
	View() fleet.View
	Changes() <-chan struct{}
	MajorityRevision() uint64
}

// Peers notifies other entry instances; *peer.Client implements it.
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

	self          atomic.Pointer[fleet.EntryID]
	accounts      sync.Map // fleet.TeamName to *account
	leaving       atomic.Bool
	wakeReconcile chan struct{}
	// resetMu keeps a pass of the old incarnation from raising a limit after Reset.
	resetMu sync.Mutex

	// The fields below are used only by the reconcile loop, except that Reset sets reset.
	lastSweep time.Time
	removedMu sync.Mutex // guards removed against the parallel commits of one pass
	removed   map[fleet.EntryID]*removedHolder
	reset     atomic.Bool // the next pass is to clear the accounts of the old incarnation
}

// Option changes a Manager.
type Option func(*Manager)

// WithLog sets the logger.
func WithLog(l *zap.Logger) Option { return func(m *Manager) { m.log = l } }

// WithMetrics registers the count of the Manager's store writes as "grant.commits".
func WithMetrics(r metrics.Registry) Option {
	return func(m *Manager) { m.commits = metrics.GetOrRegisterCounter("grant.commits", r) }
}

// New returns a Manager without grants for an entry instance.
func New(self fleet.EntryID, v Views, t table.Table, p Peers, options ...Option) *Manager {
	m := &Manager{
		views: v, table: t, peers: p, log: zap.NewNop(), commits: metrics.NewCounter(),
		limiter:       rate.NewLimiter(commitsPerSecond, commitsPerSecond),
		wakeReconcile: make(chan struct{}, 1),
		removed:       map[fleet.EntryID]*removedHolder{},
	}
	for _, o := range options {
		o(m)
	}
	m.self.Store(&self)
	return m
}

// Reset starts a new incarnation that holds nothing. It is called after the tasks of the old incarnation are
// dropped; slots that are not released yet count as used until they are.
func (m *Manager) Reset(self fleet.EntryID) {
	m.resetMu.Lock()
	defer m.resetMu.Unlock()
	m.self.Store(&self)
	m.accounts.Range(func(_, value any) bool {
		value.(*account).setLimit(0)
		return true
	})
	m.reset.Store(true)
	m.wake()
}

// Acquire takes slots of the team's grant, to be returned by Release. It returns false if the grant has too few
// free slots, or if the ceiling changed and the record is not yet known to be within it.
func (m *Manager) Acquire(t fleet.TeamName, slots int) bool {
	a := m.account(t)
	if slots < 1 || !m.isVerified(a) {
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

// Release returns slots taken by Acquire, once their task is known to have ended.
func (m *Manager) Release(t fleet.TeamName, slots int) {
	a := m.account(t)
	a.release(slots)
	if limit, used := a.load(); limit < int(a.recorded.Load()) && used >= limit {
		m.markDue(a)
	}
}

// Free returns how many slots Acquire can take now.
func (m *Manager) Free(t fleet.TeamName) int {
	a := m.account(t)
	if !m.isVerified(a) {
		return 0
	}
	limit, used := a.load()
	return max(0, limit-used)
}

// Held returns the last known held count of the team in the record.
func (m *Manager) Held(t fleet.TeamName) int { return int(m.account(t).recorded.Load()) }

// Want sets how many slots waiting work could use beyond those in use.
func (m *Manager) Want(t fleet.TeamName, slots int) {
	a := m.account(t)
	if slots == 0 {
		a.unit.Store(0)
	}
	before := a.waiting.Swap(int64(slots))
	limit, used := a.load()
	if short := used+slots > limit; short && before != int64(slots) || !short && used+int(before) > limit {
		m.markDue(a)
	}
}

// HandleNotifyGrants marks teams for a read of their records because another entry instance wants or freed grants.
func (m *Manager) HandleNotifyGrants(_ context.Context, q peer.NotifyGrantsRequest) (peer.NotifyGrantsReply, error) {
	for _, t := range q.Teams {
		if _, ok := m.views.View().Document().Teams[t]; ok {
			m.markDue(m.account(t))
		}
	}
	return peer.NotifyGrantsReply{}, nil
}

// Return stops granting and gives all grants back as their tasks end. It blocks until nothing is held or the context
// ends.
func (m *Manager) Return(ctx context.Context) error {
	m.leaving.Store(true)
	t := time.NewTicker(minCommitInterval)
	defer t.Stop()
	for {
		held := 0
		m.accounts.Range(func(_, value any) bool {
			a := value.(*account)
			a.lowerLimit(0)
			if n := int(a.recorded.Load()); n > 0 {
				held += n
				a.due.Store(true)
			}
			return true
		})
		if held == 0 {
			return nil
		}
		m.wake()
		select {
		case <-t.C:
		case <-ctx.Done():
			return fmt.Errorf("grant: %d slots not returned: %w", held, context.Cause(ctx))
		}
	}
}

// isVerified reports whether the record is known to be within the ceiling of the current view.
func (m *Manager) isVerified(a *account) bool {
	s, ok := m.views.View().Section(a.section)
	return ok && s.Version == a.verifiedVersion.Load()
}

func (m *Manager) account(t fleet.TeamName) *account {
	if a, ok := m.accounts.Load(t); ok {
		return a.(*account)
	}
	a, _ := m.accounts.LoadOrStore(t, &account{team: t, section: "team/" + string(t)})
	return a.(*account)
}

func (m *Manager) markDue(a *account) {
	if !a.due.Swap(true) {
		m.wake()
	}
}

func (m *Manager) wake() {
	select {
	case m.wakeReconcile <- struct{}{}:
	default:
	}
}
