package matrix

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/lab/port"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/lab/store"
	"github.com/yuccahaven/yuccahaven/internal/lab/worker"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
	"github.com/yuccahaven/yuccahaven/internal/sched/alloc"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
)

const (
	mainPool    fleet.PoolName  = "main"
	sidePool    fleet.PoolName  = "side"
	workQueue   fleet.QueueName = "work"
	sideQueue   fleet.QueueName = "side"
	targetQueue fleet.QueueName = "target"
	team        fleet.TeamName  = "blue"
	ceiling                     = 4
)

// Cluster is everything of one cell: store, workers, entry instances, callers, operators and the faults between them.
type Cluster struct {
	seed    uint64
	without Mechanism
	net     *port.Network
	store   *store.Store
	logger  *zap.Logger
	end     chan struct{}
	began   time.Time
	roles   map[string]string
	workers map[string]*worker.Worker

	journal record.Log[record.Journal]
	calls   record.Log[record.Call]
	edits   record.Log[record.Edit]
	running sync.WaitGroup // callers and operators

	mu       sync.Mutex
	entries  map[string]*Entry
	starts   map[string]int // processes started under each name
	conns    map[*conn]bool
	cut      map[string]bool
	silent   map[[2]string]bool
	targets  []string
	trap     *trap
	waiting  map[string]chan struct{} // reordered messages, by sender and receiver
	healed   bool
	frozen   []string // workers
	taken    fleet.InstanceID
	zone     string // of the worker at the step
	pools    map[fleet.PoolName][]fleet.PoolMember
	head     uint64 // revision last written
	breaches []string
	notes    []string
	requests int
}

// newWorld starts three entry instances and five workers in two availability zones, and returns once they are ready.
func newWorld(seed uint64, without Mechanism, logger *zap.Logger) *Cluster {
	w := &Cluster{
		seed: seed, without: without, net: port.NewNetwork(), logger: logger, end: make(chan struct{}), began: time.Now(),
		roles: map[string]string{}, workers: map[string]*worker.Worker{}, entries: map[string]*Entry{},
		starts: map[string]int{}, conns: map[*conn]bool{}, cut: map[string]bool{}, silent: map[[2]string]bool{},
		waiting: map[string]chan struct{}{}, pools: map[fleet.PoolName][]fleet.PoolMember{},
	}
	w.store = store.New(store.WithWatch(w.watchCommit), store.WithRebooter(w.reboot))
	w.store.Join(w.net)
	w.addWorkers()
	var members []fleet.Member
	for _, name := range []string{"a", "b", "c"} {
		members = append(members, fleet.Member{ID: fleet.EntryID(name + ".1")})
		w.store.Put(roster.Listing{ID: fleet.InstanceID(name), Kind: roster.Entry, Address: name, Zone: "z1", State: roster.Live})
	}
	for i, m := range alloc.Rank(members, mainPool) {
		w.roles[[]string{"lead", "next", "last"}[i]] = nameOf(m.ID)
	}
	for _, name := range []string{"a", "b", "c"} {
		w.launch(name)
		// Entry instances that started at the same moment would have their timers fire together, and the order
		// of goroutines that are ready at the same moment is not reproducible.
		time.Sleep(37 * time.Millisecond)
	}
	w.writeDocument()
	w.awaitReady()
	return w
}

func (w *Cluster) addWorkers() {
	for i, z := range []fleet.AvailabilityZone{"z1", "z1", "z2", "z2", "z2"} {
		id := fmt.Sprintf("w%d", i+1)
		l := roster.Listing{ID: fleet.InstanceID(id), Kind: roster.Worker, Address: id, Zone: z, Rack: "r" + id, Slots: 2, State: roster.Live}
		w.workers[id] = worker.New(l, &w.journal, worker.WithVersion("v1"))
		w.workers[id].Join(w.net)
		w.store.Put(l)
	}
}

// reboot restarts a worker for the platform.
func (w *Cluster) reboot(_ context.Context, l roster.Listing, version string) error {
	err := w.workers[string(l.ID)].Reboot(version, false)
	if errors.Is(err, worker.ErrNotIdle) {
		return store.ErrBusy
	}
	return err
}

// launch starts the next process of an entry instance.
func (w *Cluster) launch(name string) {
	w.mu.Lock()
	w.starts[name]++
	id := fleet.EntryID(fmt.Sprintf("%s.%d", name, w.starts[name]))
	w.mu.Unlock()
	e := w.newEntry(name, id)
	w.mu.Lock()
	w.entries[name] = e
	w.mu.Unlock()
}

func (w *Cluster) writeDocument() {
	e := w.entry("a")
	_ = e.keeper.Await(context.Background())
	now := record.Now()
	_, err := e.keeper.Edit(context.Background(), "seed", func(fleet.View) ([]fleet.Item, error) {
		var items []fleet.Item
		for name, text := range sections() {
			items = append(items, view.SectionItem(fleet.Section{Name: name, Text: text}))
		}
		var main, side []fleet.PoolMember
		for _, id := range []string{"w1", "w2", "w3", "w4", "w5"} {
			l := w.workers[id].Listing()
			m := fleet.PoolMember{ID: l.ID, Address: l.Address, Zone: l.Zone, Rack: l.Rack, Slots: l.Slots, State: fleet.InstanceActive}
			if id == "w5" {
				side = append(side, m)
			} else {
				main = append(main, m)
			}
		}
		return append(items, view.PoolItem(mainPool, main), view.PoolItem(sidePool, side),
			view.ZoneItem("z1", fleet.ZoneStatus{State: fleet.ZoneIn}), view.ZoneItem("z2", fleet.ZoneStatus{State: fleet.ZoneIn})), nil
	})
	if err != nil {
		panic(err)
	}
	w.edits.Write(record.Edit{Kind: record.EditCeiling, Sent: now, Time: now, Team: team, Count: ceiling})
}

// readyWithin bounds the start of the entry instances.
const readyWithin = 20 * time.Second

func (w *Cluster) awaitReady() {
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		held, ready := 0, 0
		for _, e := range w.live() {
			held += e.book.Held(team)
			if e.registrar.Registered() && len(e.keeper.View().Members()) == 3 && e.keeper.Fresh() == nil {
				ready++
			}
		}
		if ready == 3 && held >= 3 {
			return
		}
	}
	panic("matrix: the entry instances did not become ready")
}

// latency is the constant time of a message between two parts; the seed varies it from cell to cell.
func (w *Cluster) latency(from, to string) time.Duration {
	h := xxhash.Sum64String(fmt.Sprint(w.seed, from, "\x00", to))
	return 200*time.Microsecond + time.Duration(h%800)*time.Microsecond
}

func (w *Cluster) entry(name string) *Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n, ok := w.roles[name]; ok {
		name = n
	}
	return w.entries[name]
}

// live returns the entry instances that are neither dead nor shut down, sorted by name.
func (w *Cluster) live() []*Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []*Entry
	for _, name := range []string{"a", "b", "c"} {
		if e := w.entries[name]; e != nil && !e.gate.isDead() && !e.hasLeft() {
			found = append(found, e)
		}
	}
	return found
}

func (w *Cluster) isWorker(host string) bool { return w.workers[host] != nil }

func (w *Cluster) isCut(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[name]
}

func (w *Cluster) isSilent(name, host string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silent[[2]string{name, host}]
}

func (w *Cluster) unsilence(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := range w.silent {
		if k[0] == name {
			delete(w.silent, k)
		}
	}
}

// note adds a line to the trace.
func (w *Cluster) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, fmt.Sprintf("%8.3f ", time.Since(w.began).Seconds())+fmt.Sprintf(format, args...))
}

// breach notes that a promise was broken that the audit does not check.
func (w *Cluster) breach(check, format string, args ...any) {
	w.note("BREACH "+check+": "+format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaches = append(w.breaches, check)
}

// kill ends an entry instance's process without notice.
func (w *Cluster) kill(e *Entry) {
	w.note("%s is killed", e.name)
	e.gate.kill()
	e.stop()
	e.host.Refuse()
	_ = e.listener.Close()
	w.eachConn(e.name, "", func(c *conn) { _ = c.Close() })
}

// partition cuts an entry instance off from the store and the other entry instances; workers and callers reach it.
func (w *Cluster) partition(e *Entry) {
	w.note("%s is cut off", e.name)
	w.mu.Lock()
	w.cut[e.name] = true
	w.mu.Unlock()
	w.eachConn(e.name, "", func(c *conn) { _ = c.Close() })
}

// heal ends every fault. Entry instances that were killed are replaced.
func (w *Cluster) heal() {
	w.note("healed")
	_ = w.store.SetAll(store.Faults{})
	w.store.SetLag(0)
	w.mu.Lock()
	w.healed = true
	w.cut, w.silent = map[string]bool{}, map[[2]string]bool{}
	frozen := w.frozen
	w.frozen = nil
	var dead []string
	for name, e := range w.entries {
		if e.gate.isDead() {
			dead = append(dead, name)
		}
	}
	w.mu.Unlock()
	for _, id := range frozen {
		w.workers[id].Thaw()
	}
	for _, x := range w.workers {
		_ = x.Boot()
	}
	for _, e := range w.live() {
		e.gate.release()
	}
	for _, name := range dead {
		w.launch(name)
	}
}

func (w *Cluster) isHealed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.healed
}

// close ends the cell, so that no goroutine outlives the bubble. Tasks give up within the longest of their own bounds.
func (w *Cluster) close() {
	close(w.end)
	w.mu.Lock()
	entries := w.entries
	w.mu.Unlock()
	for _, e := range entries {
		e.gate.release()
		e.runner.Drop()
		e.stop()
		_ = e.peers.Close()
	}
	w.mu.Lock()
	var open []*conn
	for c := range w.conns {
		open = append(open, c)
	}
	w.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
	time.Sleep(giveUpWithin)
}

// giveUpWithin outlasts every bound after which a task that reaches nobody gives up.
const giveUpWithin = 10 * time.Minute

func sections() map[string]string {
	salt, hash := keyHash()
	return map[string]string{
		"zone/z1":      zoneText("in"),
		"zone/z2":      zoneText("in"),
		"pool/main":    "min: 2\nquarantine: 20\nwave: 1\n",
		"pool/side":    "min: 0\nquarantine: 20\nwave: 1\n",
		"team/blue":    ceilingText(ceiling),
		"queue/work":   queueText(mainPool, 20),
		"queue/target": queueText(mainPool, 120),
		"queue/side":   queueText(sidePool, 20),
		"keys/blue":    strings.Join([]string{"keys:", "  - id: k", "    role: submit", "    salt: " + salt, "    hash: " + hash, ""}, "\n"),
	}
}

func zoneText(state string) string { return "state: " + state + "\ngrace: 2s\n" }

func ceilingText(n int) string { return fmt.Sprintf("share: 1\nceiling: %d\ncustomer: blue\n", n) }

func queueText(p fleet.PoolName, timeout int) string {
	return fmt.Sprintf("team: blue\npool: %s\ntimeout: %ds\nwaiting: 100\nslots: 1\n", p, timeout)
}
