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

// Cluster holds all parts of one cell: store, workers, entry instances, callers, operators and the faults between them.
type Cluster struct {
	seed    uint64
	without Mechanism
	net     *port.Network
	store   *store.Store
	logger  *zap.Logger
	end     chan struct{}
	began   time.Time
	roles   map[string]string // names of the entry instances by rank for the main pool: lead, next, last
	workers map[string]*worker.Worker

	journal record.Log[record.Journal]
	calls   record.Log[record.Call]
	edits   record.Log[record.Edit]
	running sync.WaitGroup // callers and operators

	mu           sync.Mutex
	entries      map[string]*Entry
	starts       map[string]int // started processes, by name
	conns        map[*conn]bool
	cut          map[string]bool    // names of partitioned entry instances
	silent       map[[2]string]bool // unresponsive connections, by entry instance and host
	targetTasks  []string           // ids of the tasks of the row's own request
	trigger      *trigger
	reordered    map[string]chan struct{} // messages held back for reordering, by sender and receiver
	healed       bool
	frozen       []string         // workers
	reclaimed    fleet.InstanceID // worker that the platform removes
	faultZone    string           // availability zone of the worker that receives the step's message
	pools        map[fleet.PoolName][]fleet.PoolMember
	headRevision uint64 // last written revision
	violations   []string
	notes        []string
	requests     int
}

// newCluster starts three entry instances and five workers in two availability zones, and returns once they are ready.
func newCluster(seed uint64, without Mechanism, logger *zap.Logger) *Cluster {
	cl := &Cluster{
		seed: seed, without: without, net: port.NewNetwork(), logger: logger, end: make(chan struct{}), began: time.Now(),
		roles: map[string]string{}, workers: map[string]*worker.Worker{}, entries: map[string]*Entry{},
		starts: map[string]int{}, conns: map[*conn]bool{}, cut: map[string]bool{}, silent: map[[2]string]bool{},
		reordered: map[string]chan struct{}{}, pools: map[fleet.PoolName][]fleet.PoolMember{},
	}
	cl.store = store.New(store.WithCommitObserver(cl.observeCommit), store.WithRebooter(cl.reboot))
	cl.store.Join(cl.net)
	cl.addWorkers()
	var members []fleet.Member
	for _, name := range []string{"a", "b", "c"} {
		members = append(members, fleet.Member{ID: fleet.EntryID(name + ".1")})
		cl.store.Put(roster.Listing{ID: fleet.InstanceID(name), Kind: roster.Entry, Address: name, Zone: "z1",
			State: roster.Live})
	}
	for i, m := range alloc.Rank(members, mainPool) {
		cl.roles[[]string{"lead", "next", "last"}[i]] = nameOf(m.ID)
	}
	for _, name := range []string{"a", "b", "c"} {
		cl.launch(name)
		// If entry instances started at the same moment, their timers would fire together, and the order of
		// goroutines that become ready at the same moment is not reproducible.
		time.Sleep(37 * time.Millisecond)
	}
	cl.writeDocument()
	cl.awaitReady()
	return cl
}

func (cl *Cluster) addWorkers() {
	for i, z := range []fleet.AvailabilityZone{"z1", "z1", "z2", "z2", "z2"} {
		id := fmt.Sprintf("w%d", i+1)
		l := roster.Listing{ID: fleet.InstanceID(id), Kind: roster.Worker, Address: id, Zone: z, Rack: "r" + id,
			Slots: 2, State: roster.Live}
		cl.workers[id] = worker.New(l, &cl.journal, worker.WithVersion("v1"))
		cl.workers[id].Join(cl.net)
		cl.store.Put(l)
	}
}

// reboot restarts a worker on behalf of the platform.
func (cl *Cluster) reboot(_ context.Context, l roster.Listing, version string) error {
	err := cl.workers[string(l.ID)].Reboot(version, false)
	if errors.Is(err, worker.ErrNotIdle) {
		return store.ErrBusy
	}
	return err
}

// launch starts a new process of an entry instance.
func (cl *Cluster) launch(name string) {
	cl.mu.Lock()
	cl.starts[name]++
	id := fleet.EntryID(fmt.Sprintf("%s.%d", name, cl.starts[name]))
	cl.mu.Unlock()
	e := cl.newEntry(name, id)
	cl.mu.Lock()
	cl.entries[name] = e
	cl.mu.Unlock()
}

func (cl *Cluster) writeDocument() {
	e := cl.entry("a")
	_ = e.replica.Await(context.Background())
	now := record.Now()
	_, err := e.replica.Edit(context.Background(), "seed", func(fleet.View) ([]fleet.Item, error) {
		var items []fleet.Item
		for name, text := range sections() {
			items = append(items, view.SectionItem(fleet.Section{Name: name, Text: text}))
		}
		var main, side []fleet.PoolMember
		for _, id := range []string{"w1", "w2", "w3", "w4", "w5"} {
			l := cl.workers[id].Listing()
			m := fleet.PoolMember{ID: l.ID, Address: l.Address, Zone: l.Zone, Rack: l.Rack, Slots: l.Slots,
				State: fleet.InstanceActive}
			if id == "w5" {
				side = append(side, m)
			} else {
				main = append(main, m)
			}
		}
		return append(items, view.PoolItem(mainPool, main), view.PoolItem(sidePool, side),
			view.ZoneItem("z1", fleet.ZoneStatus{State: fleet.ZoneIn}),
			view.ZoneItem("z2", fleet.ZoneStatus{State: fleet.ZoneIn})), nil
	})
	if err != nil {
		panic(err)
	}
	cl.edits.Write(record.Edit{Kind: record.EditCeiling, Sent: now, Time: now, Team: team, Count: ceiling})
}

// readyTimeout bounds the start-up of the entry instances.
const readyTimeout = 20 * time.Second

func (cl *Cluster) awaitReady() {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		held, ready := 0, 0
		for _, e := range cl.liveEntries() {
			held += e.grants.Held(team)
			if e.registrar.Registered() && len(e.replica.View().Members()) == 3 && e.replica.Fresh() == nil {
				ready++
			}
		}
		if ready == 3 && held >= 3 {
			return
		}
	}
	panic("matrix: the entry instances were not ready within the timeout")
}

// latency is the delivery time of messages between two parts. It is constant within a cell and depends on the seed.
func (cl *Cluster) latency(from, to string) time.Duration {
	h := xxhash.Sum64String(fmt.Sprint(cl.seed, from, "\x00", to))
	return 200*time.Microsecond + time.Duration(h%800)*time.Microsecond
}

func (cl *Cluster) entry(name string) *Entry {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if n, ok := cl.roles[name]; ok {
		name = n
	}
	return cl.entries[name]
}

// liveEntries returns the entry instances that are neither dead nor shut down, sorted by name.
func (cl *Cluster) liveEntries() []*Entry {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var found []*Entry
	for _, name := range []string{"a", "b", "c"} {
		if e := cl.entries[name]; e != nil && !e.process.isDead() && !e.hasShutDown() {
			found = append(found, e)
		}
	}
	return found
}

func (cl *Cluster) isWorker(host string) bool { return cl.workers[host] != nil }

func (cl *Cluster) isCut(name string) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.cut[name]
}

func (cl *Cluster) isSilent(name, host string) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.silent[[2]string{name, host}]
}

func (cl *Cluster) clearSilent(name string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for k := range cl.silent {
		if k[0] == name {
			delete(cl.silent, k)
		}
	}
}

// note adds a line to the trace.
func (cl *Cluster) note(format string, args ...any) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.notes = append(cl.notes, fmt.Sprintf("%8.3f ", time.Since(cl.began).Seconds())+fmt.Sprintf(format, args...))
}

// addViolation records a violation of a guarantee.
func (cl *Cluster) addViolation(check, format string, args ...any) {
	cl.note("VIOLATION "+check+": "+format, args...)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.violations = append(cl.violations, check)
}

// kill ends an entry instance's process without a graceful shutdown.
func (cl *Cluster) kill(e *Entry) {
	cl.note("%s is killed", e.name)
	e.process.kill()
	e.stop()
	e.host.Refuse()
	_ = e.listener.Close()
	cl.eachConn(e.name, "", func(c *conn) { _ = c.Close() })
}

// partition disconnects an entry instance from the store and the other entry instances, but not from workers and
// callers.
func (cl *Cluster) partition(e *Entry) {
	cl.note("%s is cut off", e.name)
	cl.mu.Lock()
	cl.cut[e.name] = true
	cl.mu.Unlock()
	cl.eachConn(e.name, "", func(c *conn) { _ = c.Close() })
}

// heal ends every fault. Entry instances that were killed are replaced, and workers that were killed start again.
func (cl *Cluster) heal() {
	cl.note("healed")
	_ = cl.store.SetAll(store.Faults{})
	cl.store.SetLag(0)
	cl.mu.Lock()
	cl.healed = true
	cl.cut, cl.silent = map[string]bool{}, map[[2]string]bool{}
	frozen := cl.frozen
	cl.frozen = nil
	var dead []string
	for name, e := range cl.entries {
		if e.process.isDead() {
			dead = append(dead, name)
		}
	}
	cl.mu.Unlock()
	for _, id := range frozen {
		cl.workers[id].Thaw()
	}
	for _, x := range cl.workers {
		_ = x.Boot()
	}
	for _, e := range cl.liveEntries() {
		e.process.resume()
	}
	for _, name := range dead {
		cl.launch(name)
	}
}

func (cl *Cluster) isHealed() bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.healed
}

// close ends the cell and waits until every goroutine has ended, as the bubble requires. Tasks give up after the
// longest of their own time limits.
func (cl *Cluster) close() {
	close(cl.end)
	cl.mu.Lock()
	entries := cl.entries
	cl.mu.Unlock()
	for _, e := range entries {
		e.process.resume()
		e.runner.AbandonAll()
		e.stop()
		_ = e.peers.Close()
	}
	cl.mu.Lock()
	var open []*conn
	for c := range cl.conns {
		open = append(open, c)
	}
	cl.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
	time.Sleep(giveUpDelay)
}

// giveUpDelay exceeds every time limit after which a task gives up if no other part is reachable.
const giveUpDelay = 10 * time.Minute

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
		"keys/blue": strings.Join([]string{"keys:", "  - id: k", "    role: submit", "    salt: " + salt, "    hash: " + hash,
			""}, "\n"),
	}
}

func zoneText(state string) string { return "state: " + state + "\ngrace: 2s\n" }

func ceilingText(n int) string { return fmt.Sprintf("share: 1\nceiling: %d\ncustomer: blue\n", n) }

func queueText(p fleet.PoolName, timeout int) string {
	return fmt.Sprintf("team: blue\npool: %s\ntimeout: %ds\nwaiting: 100\nslots: 1\n", p, timeout)
}
