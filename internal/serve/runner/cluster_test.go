package runner

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/plat/object"
	"github.com/yuccahaven/yuccahaven/internal/sched/admit"
	"github.com/yuccahaven/yuccahaven/internal/state/claim"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// cluster is the environment of the runners of a script: view, workers, store and a coordinator that permits at once.
type cluster struct {
	mu                sync.Mutex
	view              fleet.View
	stale             bool
	storeDown         bool // both the record store and the object store
	loseClaims        bool // loses the replies to claims, which take effect
	objectsUnreadable bool
	recordReads       int
	members           map[fleet.EntryID]bool
	leaving           map[fleet.InstanceID]bool
	records           map[string]claim.Record
	objects           map[string][]byte
	workers           *fakeWorkers
	storeDelay        time.Duration // of calls to the store
	runners           map[string]*entryRunner
	startedAt         time.Time
	events            []string
	permitsPaused     bool // the coordinator gives no permits
	nextID            int
	memory            *admit.Memory      // of entry instances added from now on
	permitWorkers     []fleet.InstanceID // that permits name, in turn
	permitted         int                // permits since permitWorkers was set
}

// entryRunner is one entry instance with its ceiling grants.
type entryRunner struct {
	*Runner
	cluster      *cluster
	id           fleet.EntryID
	mu           sync.Mutex
	units        int
	used         int
	peak         int
	wanted       int
	stop         context.CancelFunc
	disconnected atomic.Bool
	// polling prevents two polls at the same time from permitting the same demand twice.
	polling sync.Mutex
}

func (c *cluster) log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Since(c.startedAt).Round(10 * time.Millisecond)
	c.events = append(c.events, fmt.Sprintf("%8s ", at)+fmt.Sprintf(format, args...))
}

// takeEvents returns the events since the last call; those of the same time are sorted, because their order is not
// defined.
func (c *cluster) takeEvents() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortStableFunc(c.events, func(a, b string) int {
		x, _ := time.ParseDuration(strings.Fields(a)[0])
		y, _ := time.ParseDuration(strings.Fields(b)[0])
		if x != y {
			return int(x - y)
		}
		return strings.Compare(a, b)
	})
	out := strings.Join(append(c.events, ""), "\n")
	c.events = nil
	return out
}

func (c *cluster) View() fleet.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

func (c *cluster) Fresh() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stale {
		return reject.New(reject.KindStale, reject.WorkNotRun, "stale")
	}
	return nil
}

func (c *cluster) Await(ctx context.Context) error {
	for c.Fresh() != nil {
		if pause(ctx, 50*time.Millisecond); ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

func (c *cluster) Leaving(id fleet.InstanceID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving[id]
}

// Task delivers a request to the entry instance at an address.
func (c *cluster) Task(ctx context.Context, address string, q peer.TaskRequest) (peer.TaskReply, error) {
	c.mu.Lock()
	e, ok := c.runners[address]
	alive := ok && c.members[e.id]
	c.mu.Unlock()
	if !alive {
		return peer.TaskReply{}, context.DeadlineExceeded
	}
	return e.HandleTask(ctx, q)
}

func (e *entryRunner) Self() fleet.Member { return fleet.Member{ID: e.id, Address: string(e.id)} }

func (e *entryRunner) Alive(id fleet.EntryID) bool {
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	return e.cluster.members[id]
}

func (e *entryRunner) Acquire(_ fleet.TeamName, n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.used+n > e.units {
		return false
	}
	e.used += n
	e.peak = max(e.peak, e.used)
	return true
}

func (e *entryRunner) Release(_ fleet.TeamName, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.used -= n; e.used < 0 {
		panic("more units released than acquired")
	}
}

func (e *entryRunner) Free(fleet.TeamName) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.units - e.used
}

func (e *entryRunner) Want(_ fleet.TeamName, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.wanted = n
}

func (e *entryRunner) Estimates(fleet.PoolName) []peer.Estimate { return nil }

// RequestPoll replaces the poll of a coordinator: it permits the waiting slots on the workers that the script sets, and
// again every 20 ms while there is demand.
func (e *entryRunner) RequestPoll(p fleet.PoolName) {
	time.AfterFunc(time.Millisecond, func() { e.poll(p) })
}

func (e *entryRunner) poll(p fleet.PoolName) {
	if e.cluster.arePermitsPaused() {
		return
	}
	e.polling.Lock()
	defer e.polling.Unlock()
	q := e.Snapshot(p)
	for _, d := range q.Demand {
		n := min(d.Waiting, d.Usable) - len(q.Unused)
		for range n {
			e.Permit(e.cluster.permit(p, d.Team))
		}
	}
	if len(q.Demand) > 0 {
		time.AfterFunc(20*time.Millisecond, func() { e.poll(p) })
	}
}

func (c *cluster) arePermitsPaused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.permitsPaused
}

func (c *cluster) permit(p fleet.PoolName, t fleet.TeamName) peer.Permit {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	c.permitted++
	return peer.Permit{ID: strconv.Itoa(c.nextID), Pool: p, Team: t, Slots: 1, TTL: 500 * time.Millisecond,
		Worker: c.permitWorkers[(c.permitted-1)%len(c.permitWorkers)]}
}

// Claim and the methods below are the fake stores of task records and objects; Write replaces the hidden version of the
// repository.
func (c *cluster) Claim(ctx context.Context, r claim.Record) (claim.Record, error) {
	if pause(ctx, c.storeDelay); ctx.Err() != nil {
		return r, claim.ErrUnknown
	}
	if c.isStoreDown() {
		return r, claim.ErrUnavailable
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.records[string(r.Team)+r.ID]; ok {
		return old, claim.ErrExists
	}
	if written := c.putLocked(r); !c.loseClaims {
		return written, nil
	}
	return r, claim.ErrUnknown
}

func (c *cluster) putLocked(r claim.Record) claim.Record {
	c.nextID++
	r.Write = strconv.Itoa(c.nextID)
	c.records[string(r.Team)+r.ID] = r
	return r
}

func (c *cluster) Replace(ctx context.Context, old, next claim.Record) (claim.Record, error) {
	if pause(ctx, c.storeDelay); ctx.Err() != nil {
		return next, claim.ErrUnknown
	}
	if c.isStoreDown() {
		return next, claim.ErrUnavailable
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if current := c.records[string(old.Team)+old.ID]; current.Write != old.Write {
		return current, claim.ErrConflict
	}
	return c.putLocked(next), nil
}

func (c *cluster) Find(ctx context.Context, t fleet.TeamName, id string) (claim.Record, error) {
	if pause(ctx, c.storeDelay); c.isStoreDown() || ctx.Err() != nil {
		return claim.Record{}, claim.ErrUnavailable
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordReads++
	if r, ok := c.records[string(t)+id]; ok {
		return r, nil
	}
	return claim.Record{}, claim.ErrAbsent
}

func (c *cluster) Orphans(_ context.Context, live func(fleet.EntryID) bool) ([]claim.Record, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rs []claim.Record
	for _, r := range c.records {
		if r.Async && !r.Final() && !live(r.Owner) {
			rs = append(rs, r)
		}
	}
	return rs, nil
}

func (c *cluster) isStoreDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeDown
}

func (c *cluster) Put(ctx context.Context, name string, body []byte) error {
	pause(ctx, c.storeDelay)
	if c.isStoreDown() {
		return object.ErrUnavailable
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.objects[name] = body
	return nil
}

func (c *cluster) Get(_ context.Context, name string) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeDown || c.objectsUnreadable {
		return nil, object.ErrUnavailable
	}
	if b, ok := c.objects[name]; ok {
		return b, nil
	}
	return nil, object.ErrAbsent
}

func (c *cluster) Delete(context.Context, string) error { return nil }
