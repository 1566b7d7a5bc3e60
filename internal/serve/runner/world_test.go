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

// world is everything around the runners of a script: view, workers, store and a coordinator that permits at once.
type world struct {
	mu      sync.Mutex
	view    fleet.View
	stale   bool
	down    bool // the store
	lost    bool // the replies to claims, after they took effect
	blind   bool // the object store can't be read
	reads   int  // of records
	members map[fleet.EntryID]bool
	leaving map[fleet.InstanceID]bool
	records map[string]claim.Record
	objects map[string][]byte
	workers *fakeWorkers
	slow    time.Duration // of the object store
	runners map[string]*entryRunner
	began   time.Time
	lines   []string
	hold    bool // no permits
	next    int
	memory  *admit.Memory      // of entry instances added from now on
	pick    []fleet.InstanceID // the workers that permits name, in turn
	picked  int
}

// entryRunner is one entry instance with its ceiling grants.
type entryRunner struct {
	*Runner
	w    *world
	id   fleet.EntryID
	mu   sync.Mutex
	held int
	used int
	peak int
	want int
	stop context.CancelFunc
	cut  atomic.Bool
	// polling keeps two polls of one moment from permitting the same demand twice.
	polling sync.Mutex
}

func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := time.Since(w.began).Round(10 * time.Millisecond)
	w.lines = append(w.lines, fmt.Sprintf("%8s ", at)+fmt.Sprintf(format, args...))
}

// flush returns the events since the last call; those of one moment are sorted, as their order is left open.
func (w *world) flush() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.SortStableFunc(w.lines, func(a, b string) int {
		x, _ := time.ParseDuration(strings.Fields(a)[0])
		y, _ := time.ParseDuration(strings.Fields(b)[0])
		if x != y {
			return int(x - y)
		}
		return strings.Compare(a, b)
	})
	out := strings.Join(append(w.lines, ""), "\n")
	w.lines = nil
	return out
}

func (w *world) View() fleet.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view
}

func (w *world) Fresh() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stale {
		return reject.New(reject.KindStale, reject.WorkNotRun, "stale")
	}
	return nil
}

func (w *world) Await(ctx context.Context) error {
	for w.Fresh() != nil {
		if pause(ctx, 50*time.Millisecond); ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

func (w *world) Leaving(id fleet.InstanceID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving[id]
}

// Task delivers a question to the entry instance at an address.
func (w *world) Task(ctx context.Context, address string, q peer.TaskRequest) (peer.TaskReply, error) {
	w.mu.Lock()
	e, ok := w.runners[address]
	alive := ok && w.members[e.id]
	w.mu.Unlock()
	if !alive {
		return peer.TaskReply{}, context.DeadlineExceeded
	}
	return e.HandleTask(ctx, q)
}

func (e *entryRunner) Self() fleet.Member { return fleet.Member{ID: e.id, Address: string(e.id)} }

func (e *entryRunner) Alive(id fleet.EntryID) bool {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	return e.w.members[id]
}

func (e *entryRunner) Acquire(_ fleet.TeamName, n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.used+n > e.held {
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
	return e.held - e.used
}

func (e *entryRunner) Want(_ fleet.TeamName, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.want = n
}

func (e *entryRunner) Estimates(fleet.PoolName) []peer.Estimate { return nil }

// RequestPoll stands for the poll of a coordinator: it permits what waits, on the worker that the script picks.
func (e *entryRunner) RequestPoll(p fleet.PoolName) {
	time.AfterFunc(time.Millisecond, func() { e.poll(p) })
}

func (e *entryRunner) poll(p fleet.PoolName) {
	if e.w.isHeld() {
		return
	}
	e.polling.Lock()
	defer e.polling.Unlock()
	q := e.Snapshot(p)
	for _, d := range q.Demand {
		n := min(d.Waiting, d.Usable) - len(q.Unused)
		for range n {
			e.Permit(e.w.permit(p, d.Team))
		}
	}
	if len(q.Demand) > 0 {
		time.AfterFunc(20*time.Millisecond, func() { e.poll(p) })
	}
}

func (w *world) isHeld() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hold
}

func (w *world) permit(p fleet.PoolName, t fleet.TeamName) peer.Permit {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	w.picked++
	return peer.Permit{ID: strconv.Itoa(w.next), Pool: p, Team: t, Slots: 1, TTL: 500 * time.Millisecond,
		Worker: w.pick[(w.picked-1)%len(w.pick)]}
}

// Claim and the methods below are the fake store of task records; Write stands for the ledger's hidden version.
func (w *world) Claim(ctx context.Context, r claim.Record) (claim.Record, error) {
	if pause(ctx, w.slow); ctx.Err() != nil {
		return r, claim.ErrUnknown
	}
	if w.isDown() {
		return r, claim.ErrUnavailable
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if old, ok := w.records[string(r.Team)+r.ID]; ok {
		return old, claim.ErrExists
	}
	if written := w.putLocked(r); !w.lost {
		return written, nil
	}
	return r, claim.ErrUnknown
}

func (w *world) putLocked(r claim.Record) claim.Record {
	w.next++
	r.Write = strconv.Itoa(w.next)
	w.records[string(r.Team)+r.ID] = r
	return r
}

func (w *world) Replace(ctx context.Context, old, next claim.Record) (claim.Record, error) {
	if pause(ctx, w.slow); ctx.Err() != nil {
		return next, claim.ErrUnknown
	}
	if w.isDown() {
		return next, claim.ErrUnavailable
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if present := w.records[string(old.Team)+old.ID]; present.Write != old.Write {
		return present, claim.ErrConflict
	}
	return w.putLocked(next), nil
}

func (w *world) Find(ctx context.Context, t fleet.TeamName, id string) (claim.Record, error) {
	if pause(ctx, w.slow); w.isDown() || ctx.Err() != nil {
		return claim.Record{}, claim.ErrUnavailable
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reads++
	if r, ok := w.records[string(t)+id]; ok {
		return r, nil
	}
	return claim.Record{}, claim.ErrAbsent
}

func (w *world) Orphans(_ context.Context, live func(fleet.EntryID) bool) ([]claim.Record, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var rs []claim.Record
	for _, r := range w.records {
		if r.Async && !r.Final() && !live(r.Owner) {
			rs = append(rs, r)
		}
	}
	return rs, nil
}

func (w *world) isDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

func (w *world) Put(ctx context.Context, name string, body []byte) error {
	pause(ctx, w.slow)
	if w.isDown() {
		return object.ErrUnavailable
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.objects[name] = body
	return nil
}

func (w *world) Get(_ context.Context, name string) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || w.blind {
		return nil, object.ErrUnavailable
	}
	if b, ok := w.objects[name]; ok {
		return b, nil
	}
	return nil, object.ErrAbsent
}

func (w *world) Delete(context.Context, string) error { return nil }
