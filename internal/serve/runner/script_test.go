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

// TestScripts runs every script in testdata on the paused clock. Each script says which failure it guards against.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster()
				defer c.close()
				datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return c.command(t, d) })
			})
		})
	}
}

// newCluster returns a cluster with the entry instance a.1 and the workers w1 and w2 in the zones z1 and z2.
func newCluster() *cluster {
	c := &cluster{members: map[fleet.EntryID]bool{}, leaving: map[fleet.InstanceID]bool{},
		records: map[string]claim.Record{}, objects: map[string][]byte{}, runners: map[string]*entryRunner{},
		startedAt: time.Now(), permitWorkers: []fleet.InstanceID{"w1"}}
	c.workers = &fakeWorkers{mu: &sync.Mutex{}, byAddress: map[string]*fakeWorker{}, logf: c.log}
	for _, id := range []string{"w1", "w2"} {
		c.workers.byAddress[id] = &fakeWorker{boot: id + ".1", faults: map[string]int{}, tasks: map[fleet.TaskID]*fakeTask{}}
	}
	section := fleet.QueueSection{Team: "blue", Pool: "main", Timeout: time.Minute, Waiting: 5, Slots: 1}
	c.view = fleet.View{}.WithRevision(1).WithDocument(fleet.Document{
		Zones:  map[fleet.AvailabilityZone]fleet.ZoneSection{"z1": {Grace: 3 * time.Second}, "z2": {}},
		Teams:  map[fleet.TeamName]fleet.TeamSection{"blue": {Ceiling: 10}, "red": {Ceiling: 10}},
		Queues: map[fleet.QueueName]fleet.QueueSection{"rope": section},
	}).WithPool("main", []fleet.PoolMember{
		{ID: "w1", Address: "w1", Zone: "z1", Slots: 2, State: fleet.InstanceActive},
		{ID: "w2", Address: "w2", Zone: "z2", Slots: 2, State: fleet.InstanceActive},
	})
	c.addEntry("a.1", 10)
	return c
}

func (c *cluster) addEntry(id fleet.EntryID, units int) {
	e := &entryRunner{cluster: c, id: id, units: units}
	workers := &fakeWorkers{mu: c.workers.mu, disconnected: &e.disconnected, byAddress: c.workers.byAddress, logf: c.log}
	e.Runner = New(Options{Views: c, Workers: workers, Grants: e, Records: c, Objects: c, Members: e, Roster: c, Owners: c,
		Memory: c.memory})
	e.Attach(e)
	c.members[id] = true
	c.runners[string(id)] = e
	c.view = c.view.WithMember(e.Self())
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	go e.Run(ctx)
}

// close ends all tasks and runners, so that no goroutine outlives the synctest bubble.
func (c *cluster) close() {
	c.mu.Lock()
	c.permitsPaused, c.storeDown = true, false
	c.mu.Unlock()
	for _, e := range c.runners {
		e.AbandonAll()
		e.stop()
	}
	time.Sleep(10 * time.Minute)
}

func (c *cluster) command(t *testing.T, d *datadriven.TestData) string {
	arg := func(key, fallback string) string {
		if !d.HasArg(key) {
			return fallback
		}
		var s string
		d.ScanArgs(t, key, &s)
		return s
	}
	e := c.runners[arg("entry", "a.1")]
	w := c.workers.byAddress[arg("worker", "w1")]
	switch d.Cmd {
	case "submit":
		c.submit(e, d, arg)
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
		c.workers.mu.Lock()
		n, _ := strconv.Atoi(arg("n", "1"))
		w.faults[d.CmdArgs[0].Key] += n
		c.workers.mu.Unlock()
	case "set":
		c.set(d, w)
	case "zone":
		c.setZone(fleet.AvailabilityZone(arg("zone", "z1")), fleet.ZoneState(d.CmdArgs[0].Key))
	case "entry":
		c.addEntry(fleet.EntryID(d.CmdArgs[0].Key), 10)
	case "permit":
		e.Permit(c.permit("main", "blue"))
	case "kill":
		c.kill(e)
	case "count":
		// The times are left out because they depend on the order of polls.
		return fmt.Sprintln(strings.Count(c.takeEvents(), strings.TrimSpace(d.Input)))
	case "load":
		l := e.Load().Pools["main"]
		return fmt.Sprintf("running %d, waiting %d\n", l.Running, l.Waiting)
	case "used":
		return fmt.Sprintf("used %d\n", e.units-e.Free(""))
	case "poll":
		poll := func() { c.poll(e, arg("id", ""), arg("team", "blue"), arg("wait", "0s")) }
		if d.HasArg("background") {
			go poll()
		} else {
			poll()
		}
	case "reads":
		defer func() { c.recordReads = 0 }()
		return fmt.Sprintf("%d reads\n", c.recordReads)
	case "cancel":
		err := e.Cancel(fleet.TeamName(arg("team", "blue")), claim.KeyID("blue", arg("key", "")))
		c.log("cancel: %s", outcome(Answer{}, err))
	case "drain":
		go func() { c.log("drained: %v", e.Drain(context.Background())) }()
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	synctest.Wait()
	return c.takeEvents()
}

func (c *cluster) submit(e *entryRunner, d *datadriven.TestData, arg func(string, string) string) {
	name := d.CmdArgs[0].Key
	timeout, _ := time.ParseDuration(arg("timeout", "0s"))
	j := Job{Queue: "rope", Team: "blue", Key: arg("key", ""), Once: d.HasArg("once"), Timeout: timeout,
		Input: []byte(strings.TrimSpace(name + " " + arg("run", "1s") + " " + arg("then", "")))}
	ctx, cancel := context.WithCancel(context.Background())
	if delay, err := time.ParseDuration(arg("gone", "")); err == nil {
		time.AfterFunc(delay, cancel)
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

// report logs what a caller of this instance receives; callers of a killed instance receive nothing.
func (e *entryRunner) report(format string, args ...any) {
	if !e.disconnected.Load() {
		e.cluster.log(format, args...)
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

func (c *cluster) poll(e *entryRunner, key, team, wait string) {
	d, _ := time.ParseDuration(wait)
	p, err := e.Get(context.Background(), fleet.TeamName(team), claim.KeyID("blue", key), d)
	switch {
	case err != nil:
		c.log("poll: %s", outcome(Answer{}, err))
	case p.Rejection != nil:
		c.log("poll: %s: %s", p.Phase, outcome(Answer{}, p.Rejection))
	default:
		c.log("poll: %s %s", p.Phase, p.Answer.Body)
	}
}

func (c *cluster) set(d *datadriven.TestData, w *fakeWorker) {
	c.workers.mu.Lock()
	defer c.workers.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range d.CmdArgs {
		on := !slices.Contains(a.Vals, "off")
		switch a.Key {
		case "silent":
			w.unresponsive = on
		case "busy":
			w.busy = on
		case "behind":
			w.slowClock = on
		case "rebooted":
			w.boot, w.tasks = w.boot+"x", map[fleet.TaskID]*fakeTask{}
		case "delay":
			w.startDelay, _ = time.ParseDuration(a.Vals[0])
		case "slow":
			w.reserveDelay, _ = time.ParseDuration(a.Vals[0])
		case "slowstore":
			c.storeDelay, _ = time.ParseDuration(a.Vals[0])
		case "draining":
			ms := c.view.Pool("main")
			ms[0].State = fleet.InstanceDraining
			c.view = c.view.WithPool("main", ms)
		case "memory":
			n, _ := strconv.ParseInt(a.Vals[0], 10, 64)
			c.memory = admit.NewMemory(n)
		case "units":
			for _, e := range c.runners {
				e.mu.Lock()
				e.units, _ = strconv.Atoi(a.Vals[0])
				e.mu.Unlock()
			}
		case "removed":
			c.view = c.view.WithoutMember("a.1")
		case "stale":
			c.stale = on
		case "down":
			c.storeDown = on
		case "lost":
			c.loseClaims = on
		case "blind":
			c.objectsUnreadable = on
		case "hold":
			c.permitsPaused = on
		case "leaving":
			id := fleet.InstanceID("w1")
			if on && len(a.Vals) > 0 {
				id = fleet.InstanceID(a.Vals[0])
			}
			c.leaving[id] = on
		case "pick":
			c.permitWorkers, c.permitted = nil, 0
			for _, id := range a.Vals {
				c.permitWorkers = append(c.permitWorkers, fleet.InstanceID(id))
			}
		case "pool":
			doc := c.view.Document()
			q := doc.Queues["rope"]
			q.Pool = fleet.PoolName(a.Vals[0])
			doc.Queues = map[fleet.QueueName]fleet.QueueSection{"rope": q}
			c.view = c.view.WithDocument(doc).WithPool(q.Pool, c.view.Pool("main")).WithPool("main", nil)
		}
	}
}

func (c *cluster) setZone(z fleet.AvailabilityZone, s fleet.ZoneState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = c.view.WithRevision(c.view.Revision() + 1)
	c.view = c.view.WithZone(z, fleet.ZoneStatus{State: s, Generation: c.view.Revision()})
}

// kill cuts an entry instance off from workers and callers and removes it from the members.
func (c *cluster) kill(e *entryRunner) {
	e.stop()
	e.disconnected.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[e.id] = false
	c.view = c.view.WithoutMember(e.id)
}
