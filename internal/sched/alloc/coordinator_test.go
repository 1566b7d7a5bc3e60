package alloc

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// testPool is a pool "p" with a real coordinator and with entries and workers that a script controls.
type testPool struct {
	c        *Coordinator
	stop     func()
	mu       sync.Mutex
	view     fleet.View
	reports  map[fleet.InstanceID]worker.Report
	sequence map[fleet.EntryID]uint64
	permits  map[fleet.EntryID][]peer.Permit
	running  map[fleet.EntryID][]peer.Occupied
	outcomes map[fleet.EntryID][]peer.Outcome
	steps    []peer.ZoneStep
	tasks    int
}

func newTestPool() *testPool {
	b := &testPool{
		reports: map[fleet.InstanceID]worker.Report{}, sequence: map[fleet.EntryID]uint64{},
		permits: map[fleet.EntryID][]peer.Permit{}, running: map[fleet.EntryID][]peer.Occupied{},
		outcomes: map[fleet.EntryID][]peer.Outcome{},
	}
	b.restartCoordinator()
	return b
}

// restartCoordinator replaces the coordinator by a new one without state.
func (b *testPool) restartCoordinator() {
	if b.stop != nil {
		b.stop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	c := NewCoordinator("coordinator.1", b, b)
	go func() { defer close(done); c.Run(ctx) }()
	b.c, b.stop = c, func() { cancel(); <-done }
}

func (b *testPool) View() fleet.View {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view
}

func (b *testPool) Report(_ context.Context, address string) (worker.Report, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.reports[fleet.InstanceID(address)]
	if !ok {
		return r, errors.New("no reply")
	}
	return r, nil
}

func (b *testPool) setReport(id fleet.InstanceID, slots int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports[id] = worker.Report{Instance: id, Slots: slots, Boot: "1"}
}

// run executes one command of a script.
func (b *testPool) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "fleet":
		return b.setFleet(t, d)
	case "zone":
		var name, state string
		d.ScanArgs(t, "name", &name)
		d.ScanArgs(t, "state", &state)
		r := b.view.Revision() + 1
		b.mu.Lock()
		b.view = b.view.WithRevision(r).
			WithZone(fleet.AvailabilityZone(name), fleet.ZoneStatus{State: fleet.ZoneState(state), Generation: r})
		b.mu.Unlock()
		return ""
	case "advance":
		w, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(w)
		synctest.Wait()
		return ""
	case "coordinator":
		b.restartCoordinator()
		return ""
	case "worker":
		return b.setWorker(t, d)
	case "poll":
		return b.poll(t, d)
	}
	t.Fatalf("unknown command %q", d.Cmd)
	return ""
}

// setFleet reads lines "team NAME SHARE", "worker ID ZONE RACK SLOTS" and "queue NAME TEAM SLOTS".
func (b *testPool) setFleet(t *testing.T, d *datadriven.TestData) string {
	doc := fleet.Document{
		Teams: map[fleet.TeamName]fleet.TeamSection{}, Queues: map[fleet.QueueName]fleet.QueueSection{},
		Pools: map[fleet.PoolName]fleet.PoolSection{},
	}
	var members []fleet.PoolMember
	for line := range strings.Lines(d.Input) {
		var kind, name, x, y string
		var n int
		_, _ = fmt.Sscan(line, &kind, &name)
		switch kind {
		case "team":
			_, _ = fmt.Sscan(line, &kind, &name, &n)
			doc.Teams[fleet.TeamName(name)] = fleet.TeamSection{Share: n}
		case "queue":
			_, _ = fmt.Sscan(line, &kind, &name, &x, &n)
			doc.Queues[fleet.QueueName(name)] = fleet.QueueSection{Team: fleet.TeamName(x), Pool: "p", Slots: n}
		case "worker":
			_, _ = fmt.Sscan(line, &kind, &name, &x, &y, &n)
			members = append(members, fleet.PoolMember{
				ID: fleet.InstanceID(name), Address: name, Zone: fleet.AvailabilityZone(x), Rack: y, Slots: n,
				State: fleet.InstanceActive,
			})
			b.setReport(fleet.InstanceID(name), n)
		default:
			t.Fatalf("unknown line %q", line)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view = b.view.WithRevision(b.view.Revision()+1).WithDocument(doc).WithPool("p", members)
	return ""
}

// setWorker changes a worker's reports: "silent" ends them, "back" starts them again without tasks, "task" adds a
// running task, "ended" removes all tasks, "leaving" and "connections" set these fields.
func (b *testPool) setWorker(t *testing.T, d *datadriven.TestData) string {
	id := fleet.InstanceID(d.CmdArgs[0].Key)
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.reports[id]
	for _, a := range d.CmdArgs[1:] {
		switch a.Key {
		case "silent":
			delete(b.reports, id)
			return ""
		case "back":
			r = worker.Report{Instance: id, Slots: 8, Boot: r.Boot}
		case "task":
			r.Tasks = append(r.Tasks, worker.ReportedTask{Task: fleet.TaskID(a.Vals[0]), State: worker.Running})
			r.Used++
		case "ended":
			r.Tasks, r.Used = nil, 0
		case "leaving":
			r.Leaving = true
		case "connections":
			_, _ = fmt.Sscan(a.Vals[0], &r.Connections)
		default:
			t.Fatalf("unknown argument %q", a.Key)
		}
	}
	b.reports[id] = r
	return ""
}

// poll sends an entry's poll. Lines: "want TEAM WAITING [urgent=N] [usable=N] [size=N] [oldest=MS]" adds demand,
// "start" turns the entry's permits into tasks, "drop" discards them, "end TASK|all" ends tasks,
// "outcome WORKER KIND N QUEUE" reports outcomes.
func (b *testPool) poll(t *testing.T, d *datadriven.TestData) string {
	id := fleet.EntryID(d.CmdArgs[0].Key + ".1")
	b.sequence[id]++
	q := peer.PollRequest{From: id, Pool: "p", Sequence: b.sequence[id], Steps: b.steps}
	for line := range strings.Lines(d.Input) {
		b.applyLine(t, id, &q, strings.Fields(line))
	}
	q.Occupied, q.Outcomes = b.running[id], b.outcomes[id]
	b.outcomes[id] = nil
	for _, m := range b.permits[id] {
		q.Unused = append(q.Unused, m.ID)
	}
	if d.HasArg("stale") {
		q.Sequence -= 2
	}
	r, err := b.c.Poll(t.Context(), q)
	if err != nil {
		return err.Error()
	}
	b.permits[id] = append(b.permits[id], r.Permits...)
	b.steps = r.Steps
	if d.HasArg("estimates") {
		return fmt.Sprintf("%+v\n", r.Estimates)
	}
	return formatReply(r)
}

func (b *testPool) applyLine(t *testing.T, id fleet.EntryID, q *peer.PollRequest, f []string) {
	switch f[0] {
	case "want":
		m := peer.Demand{Team: fleet.TeamName(f[1])}
		_, _ = fmt.Sscan(f[2], &m.Waiting)
		m.Usable = m.Waiting
		for _, o := range f[3:] {
			var n int
			k, v, _ := strings.Cut(o, "=")
			_, _ = fmt.Sscan(v, &n)
			switch k {
			case "urgent":
				m.Urgent = n
			case "usable":
				m.Usable = n
			case "size":
				m.Sizes = []peer.Size{{Slots: n, Tasks: m.Waiting / n}}
			case "oldest":
				m.Oldest = time.Duration(n) * time.Millisecond
			}
		}
		q.Demand = append(q.Demand, m)
	case "start":
		for _, m := range b.permits[id] {
			b.tasks++
			task := fleet.TaskID(fmt.Sprintf("t%d", b.tasks))
			b.running[id] = append(b.running[id],
				peer.Occupied{Task: task, Worker: m.Worker, Team: m.Team, Slots: m.Slots, Urgent: m.Urgent})
		}
		b.permits[id] = nil
	case "drop":
		b.permits[id] = nil
	case "end":
		b.running[id] = slices.DeleteFunc(b.running[id], func(o peer.Occupied) bool {
			return f[1] == "all" || string(o.Task) == f[1]
		})
	case "outcome":
		var n int
		_, _ = fmt.Sscan(f[3], &n)
		for range n {
			b.outcomes[id] = append(b.outcomes[id], peer.Outcome{
				Worker: fleet.InstanceID(f[1]), Kind: peer.OutcomeKind(f[2]), Queue: fleet.QueueName(f[4]),
				Team: "a", Ran: 100 * time.Millisecond,
			})
		}
	default:
		t.Fatalf("unknown line %q", f)
	}
}

// formatReply lists the permits as "TEAM WORKER xSLOTS [urgent]" with a count, sorted.
func formatReply(r peer.PollReply) string {
	counts := map[string]int{}
	for _, m := range r.Permits {
		s := fmt.Sprintf("%s %s x%d", m.Team, m.Worker, m.Slots)
		if m.Urgent {
			s += " urgent"
		}
		counts[s]++
	}
	var lines []string
	for s, n := range counts {
		lines = append(lines, fmt.Sprintf("%d: %s", n, s))
	}
	slices.SortFunc(lines, func(a, b string) int {
		return strings.Compare(a[strings.Index(a, ":"):], b[strings.Index(b, ":"):])
	})
	for _, s := range r.Steps {
		lines = append(lines, fmt.Sprintf("zone %s generation %d step %d", s.Zone, s.Generation, s.Step))
	}
	if len(lines) == 0 {
		return "nothing\n"
	}
	return strings.Join(lines, "\n") + "\n"
}

// TestCoordinator runs the scripts in testdata/coordinator; each states the failure it guards against.
func TestCoordinator(t *testing.T) {
	datadriven.Walk(t, "testdata/coordinator", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			b := newTestPool()
			defer func() { b.stop() }()
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return b.run(t, d) })
		})
	})
}
