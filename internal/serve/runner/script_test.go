package runner

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/sched/admit"
	"github.com/yuccahaven/yuccahaven/internal/state/claim"
)

// TestScripts runs every script in testdata on the paused clock. Each script names the failure it guards against.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld()
				defer w.close()
				datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return w.command(t, d) })
			})
		})
	}
}

func newWorld() *world {
	w := &world{members: map[fleet.EntryID]bool{}, leaving: map[fleet.InstanceID]bool{},
		records: map[string]claim.Record{}, objects: map[string][]byte{}, runners: map[string]*entryRunner{},
		began: time.Now(), pick: []fleet.InstanceID{"w1"}}
	w.workers = &fakeWorkers{mu: &sync.Mutex{}, nodes: map[string]*fakeWorker{}, journal: w.log}
	for _, id := range []string{"w1", "w2"} {
		w.workers.nodes[id] = &fakeWorker{boot: id + ".1", faults: map[string]int{}, tasks: map[fleet.TaskID]*fakeTask{}}
	}
	section := fleet.QueueSection{Team: "blue", Pool: "main", Timeout: time.Minute, Waiting: 5, Slots: 1}
	w.view = fleet.View{}.WithRevision(1).WithDocument(fleet.Document{
		Zones:  map[fleet.AvailabilityZone]fleet.ZoneSection{"z1": {Grace: 3 * time.Second}, "z2": {}},
		Teams:  map[fleet.TeamName]fleet.TeamSection{"blue": {Ceiling: 10}, "red": {Ceiling: 10}},
		Queues: map[fleet.QueueName]fleet.QueueSection{"rope": section},
	}).WithPool("main", []fleet.PoolMember{
		{ID: "w1", Address: "w1", Zone: "z1", Slots: 2, State: fleet.InstanceActive},
		{ID: "w2", Address: "w2", Zone: "z2", Slots: 2, State: fleet.InstanceActive},
	})
	w.addEntry("a.1", 10)
	return w
}

func (w *world) addEntry(id fleet.EntryID, units int) {
	e := &entryRunner{w: w, id: id, held: units}
	workers := &fakeWorkers{mu: w.workers.mu, cut: &e.cut, nodes: w.workers.nodes, journal: w.log}
	e.Runner = New(Parts{Views: w, Workers: workers, Grants: e, Records: w, Objects: w, Members: e, Roster: w, Owners: w,
		Memory: w.memory})
	e.Attach(e)
	w.members[id] = true
	w.runners[string(id)] = e
	w.view = w.view.WithMember(e.Self())
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	go e.Run(ctx)
}

// close ends everything, so that no goroutine outlives the bubble.
func (w *world) close() {
	w.mu.Lock()
	w.hold, w.down = true, false
	w.mu.Unlock()
	for _, e := range w.runners {
		e.Drop()
		e.stop()
	}
	time.Sleep(10 * time.Minute)
}

func (w *world) command(t *testing.T, d *datadriven.TestData) string {
	arg := func(key, absent string) string {
		if !d.HasArg(key) {
			return absent
		}
		var s string
		d.ScanArgs(t, key, &s)
		return s
	}
	e := w.runners[arg("entry", "a.1")]
	node := w.workers.nodes[arg("worker", "w1")]
	switch d.Cmd {
	case "submit":
		w.submit(e, d, arg)
	case "advance":
		dur, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(dur)
		synctest.Wait()
	case "sleep":
		time.Sleep(10 * time.Second)
		return ""
	case "lose":
		w.workers.mu.Lock()
		n, _ := strconv.Atoi(arg("n", "1"))
		node.faults[d.CmdArgs[0].Key] += n
		w.workers.mu.Unlock()
	case "set":
		w.set(d, node)
	case "zone":
		w.setZone(fleet.AvailabilityZone(arg("zone", "z1")), fleet.ZoneState(d.CmdArgs[0].Key))
	case "entry":
		w.addEntry(fleet.EntryID(d.CmdArgs[0].Key), 10)
	case "permit":
		e.Permit(w.permit("main", "blue"))
	case "kill":
		w.kill(e)
	case "count":
		// Moments that depend on the order of polls are left out.
		return fmt.Sprintln(strings.Count(w.flush(), strings.TrimSpace(d.Input)))
	case "load":
		l := e.Load().Pools["main"]
		return fmt.Sprintf("running %d, waiting %d\n", l.Running, l.Waiting)
	case "used":
		return fmt.Sprintf("used %d\n", e.held-e.Free(""))
	case "poll":
		poll := func() { w.poll(e, arg("id", ""), arg("team", "blue"), arg("wait", "0s")) }
		if d.HasArg("background") {
			go poll()
		} else {
			poll()
		}
	case "reads":
		defer func() { w.reads = 0 }()
		return fmt.Sprintf("%d reads\n", w.reads)
	case "cancel":
		err := e.Cancel(fleet.TeamName(arg("team", "blue")), claim.KeyID("blue", arg("key", "")))
		w.log("cancel: %s", outcome(Answer{}, err))
	case "drain":
		go func() { w.log("drained: %v", e.Drain(context.Background())) }()
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	synctest.Wait()
	return w.flush()
}

func (w *world) submit(e *entryRunner, d *datadriven.TestData, arg func(string, string) string) {
	name := d.CmdArgs[0].Key
	timeout, _ := time.ParseDuration(arg("timeout", "0s"))
	j := Job{Queue: "rope", Team: "blue", Key: arg("key", ""), Once: d.HasArg("once"), Timeout: timeout,
		Input: []byte(strings.TrimSpace(name + " " + arg("run", "1s") + " " + arg("then", "")))}
	ctx, cancel := context.WithCancel(context.Background())
	if gone, err := time.ParseDuration(arg("gone", "")); err == nil {
		time.AfterFunc(gone, cancel)
	}
	go func() {
		defer cancel()
		if d.HasArg("async") {
			_, err := e.SubmitAsync(ctx, j)
			e.report("%s accepted: %s", name, outcome(Answer{}, err))
			return
		}
		a, err := e.Submit(ctx, j)
		e.report("%s answered: %s", name, outcome(a, err))
	}()
}

// report logs what a caller of this instance sees; callers of a dead one see nothing.
func (e *entryRunner) report(format string, args ...any) {
	if !e.cut.Load() {
		e.w.log(format, args...)
	}
}

func outcome(a Answer, err error) string {
	var e *reject.Error
	switch {
	case errors.As(err, &e):
		return fmt.Sprintf("%s, work %s: %s", e.Kind, e.Work, e.Detail)
	case err != nil:
		return err.Error()
	case a.Body == nil:
		return "ok"
	}
	return string(a.Body)
}

func (w *world) poll(e *entryRunner, key, team, wait string) {
	d, _ := time.ParseDuration(wait)
	p, err := e.Get(context.Background(), fleet.TeamName(team), claim.KeyID("blue", key), d)
	switch {
	case err != nil:
		w.log("poll: %s", outcome(Answer{}, err))
	case p.Rejection != nil:
		w.log("poll: %s: %s", p.Phase, outcome(Answer{}, p.Rejection))
	default:
		w.log("poll: %s %s", p.Phase, p.Answer.Body)
	}
}

func (w *world) set(d *datadriven.TestData, node *fakeWorker) {
	w.workers.mu.Lock()
	defer w.workers.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range d.CmdArgs {
		on := !slices.Contains(a.Vals, "off")
		switch a.Key {
		case "silent":
			node.silent = on
		case "busy":
			node.busy = on
		case "behind":
			node.behind = on
		case "rebooted":
			node.boot, node.tasks = node.boot+"x", map[fleet.TaskID]*fakeTask{}
		case "delay":
			node.delay, _ = time.ParseDuration(a.Vals[0])
		case "slow":
			node.slow, _ = time.ParseDuration(a.Vals[0])
		case "slowstore":
			w.slow, _ = time.ParseDuration(a.Vals[0])
		case "draining":
			ms := w.view.Pool("main")
			ms[0].State = fleet.InstanceDraining
			w.view = w.view.WithPool("main", ms)
		case "memory":
			n, _ := strconv.ParseInt(a.Vals[0], 10, 64)
			w.memory = admit.NewMemory(n)
		case "units":
			for _, e := range w.runners {
				e.mu.Lock()
				e.held, _ = strconv.Atoi(a.Vals[0])
				e.mu.Unlock()
			}
		case "removed":
			w.view = w.view.WithoutMember("a.1")
		case "stale":
			w.stale = on
		case "down":
			w.down = on
		case "lost":
			w.lost = on
		case "blind":
			w.blind = on
		case "hold":
			w.hold = on
		case "leaving":
			id := fleet.InstanceID("w1")
			if on && len(a.Vals) > 0 {
				id = fleet.InstanceID(a.Vals[0])
			}
			w.leaving[id] = on
		case "pick":
			w.pick, w.picked = nil, 0
			for _, id := range a.Vals {
				w.pick = append(w.pick, fleet.InstanceID(id))
			}
		case "pool":
			doc := w.view.Document()
			q := doc.Queues["rope"]
			q.Pool = fleet.PoolName(a.Vals[0])
			doc.Queues = map[fleet.QueueName]fleet.QueueSection{"rope": q}
			w.view = w.view.WithDocument(doc).WithPool(q.Pool, w.view.Pool("main")).WithPool("main", nil)
		}
	}
}

func (w *world) setZone(z fleet.AvailabilityZone, s fleet.ZoneState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view = w.view.WithRevision(w.view.Revision() + 1)
	w.view = w.view.WithZone(z, fleet.ZoneStatus{State: s, Generation: w.view.Revision()})
}

// kill cuts an entry instance off from everything at once and removes it from the members.
func (w *world) kill(e *entryRunner) {
	e.stop()
	e.cut.Store(true)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.members[e.id] = false
	w.view = w.view.WithoutMember(e.id)
}
