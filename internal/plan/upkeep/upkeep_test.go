package upkeep

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plan/budget"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
)

// fakeWorker is a worker of the fake platform.
type fakeWorker struct {
	version       string
	boot          int
	busyUntil     time.Time
	readyAt       time.Time
	lastStartable time.Time
	down          bool
	reboots       int
	interrupted   int
}

// cluster is a fake of the view editor, the workers, the platform and the roster. It checks the budgets at every edit.
type cluster struct {
	t            *testing.T
	view         fleet.View
	workers      map[fleet.InstanceID]*fakeWorker
	bootTime     time.Duration
	edits        int
	rebootErrors int
	stale        bool
	listings     []roster.Listing
	startRandom  *rand.Rand
}

const taskTime = 20 * time.Second

func newCluster(t *testing.T, instances, minAvailable, wave int) *cluster {
	c := &cluster{t: t, workers: map[fleet.InstanceID]*fakeWorker{}, bootTime: 90 * time.Second,
		startRandom: rand.New(rand.NewPCG(3, 4))}
	var members []fleet.PoolMember
	random := rand.New(rand.NewPCG(1, 2))
	for i := range instances {
		id := fleet.InstanceID(fmt.Sprintf("w%03d", i))
		members = append(members, fleet.PoolMember{ID: id, Address: string(id), Zone: fleet.AvailabilityZone(fmt.Sprint("z", i%4)),
			State: fleet.InstanceActive, Version: "v1"})
		c.workers[id] = &fakeWorker{version: "v1"}
		c.workers[id].busyUntil = time.Now().Add(time.Duration(random.Int64N(int64(taskTime))))
	}
	c.view = fleet.View{}.WithPool("main", members).WithDocument(fleet.Document{Pools: map[fleet.PoolName]fleet.PoolSection{
		"main": {Min: minAvailable, Wave: wave, Version: "v2"}, "other": {}, "spare": {Spare: true}}})
	return c
}

func (c *cluster) View() fleet.View { return c.view }

func (c *cluster) Fresh() error {
	if c.stale {
		return errors.New("stale")
	}
	return nil
}

// maxStartDelay is how long after a drain the design lets a task start: 2 s of view freshness and 1 s of reservation.
const maxStartDelay = 3 * time.Second

// startTasks starts a task on every idle instance in service and, at random, on one that a delayed start still reaches.
func (c *cluster) startTasks() {
	for _, p := range c.view.PoolNames() {
		for _, member := range c.view.Pool(p) {
			m, ok := c.workers[member.ID]
			if !ok {
				continue
			}
			if c.view.Startable(p, member.ID) {
				m.lastStartable = time.Now()
			}
			up := !m.down && !time.Now().Before(m.readyAt)
			late := time.Since(m.lastStartable) < maxStartDelay && c.startRandom.IntN(4) == 0
			if up && (c.view.Startable(p, member.ID) || late) && !time.Now().Before(m.busyUntil) {
				m.busyUntil = time.Now().Add(taskTime)
			}
		}
	}
}

func (c *cluster) Edit(_ context.Context, _ string, change func(fleet.View) ([]fleet.Item, error)) (uint64, error) {
	c.startTasks()
	defer c.startTasks()
	items, err := change(c.view)
	if err != nil || len(items) == 0 {
		return c.view.Revision(), err
	}
	after, err := budget.Apply(c.view, items)
	if err != nil {
		c.t.Fatal(err)
	}
	for _, p := range after.PoolNames() {
		was, is := budget.Available(c.view, p, c.failed()...), budget.Available(after, p, c.failed()...)
		if is < was && is < after.Document().Pools[p].Min {
			c.t.Errorf("planned work took pool %s from %d to %d available", p, was, is)
		}
	}
	c.view = after.WithRevision(c.view.Revision() + 1)
	c.edits++
	return c.view.Revision(), nil
}

func (c *cluster) failed() []fleet.InstanceID {
	var failed []fleet.InstanceID
	for id, m := range c.workers {
		if m.down {
			failed = append(failed, id)
		}
	}
	return failed
}

func (c *cluster) Report(_ context.Context, address string) (worker.Report, error) {
	id := fleet.InstanceID(address)
	m := c.workers[id]
	if m.down || time.Now().Before(m.readyAt) {
		return worker.Report{}, worker.ErrRefused
	}
	r := worker.Report{Instance: id, Version: m.version, Boot: fmt.Sprint(id, m.boot)}
	if time.Now().Before(m.busyUntil) {
		r.Used = 1
	}
	return r, nil
}

func (c *cluster) Reboot(_ context.Context, id fleet.InstanceID, version string) error {
	m := c.workers[id]
	if c.rebootErrors > 0 {
		c.rebootErrors--
		return errors.New("platform is unavailable")
	}
	// A start in transit counts as interrupted too, because the caller can't know its outcome.
	if time.Now().Before(m.busyUntil) || time.Since(m.lastStartable) < maxStartDelay {
		m.interrupted++
	}
	m.reboots++
	m.boot++
	m.lastStartable = time.Time{}
	m.readyAt = time.Now().Add(c.bootTime)
	if version != "" {
		m.version = version
	}
	return nil
}

func (c *cluster) List(context.Context) ([]roster.Listing, error) { return c.listings, nil }

func (c *cluster) planner() *Planner {
	return New(Options{Views: c, Prober: c, Platform: c,
		Leads: func(fleet.PoolName) bool { return true }, Failed: c.failed})
}

// runUntil runs planners until a condition holds and returns the elapsed time of the synctest bubble.
func (c *cluster) runUntil(limit time.Duration, done func() bool, planners ...*Planner) time.Duration {
	start := time.Now()
	for time.Since(start) < limit && !done() {
		c.startTasks()
		for _, p := range planners {
			p.pass(context.Background())
		}
		time.Sleep(interval)
	}
	if !done() {
		c.t.Errorf("not done after %v: %d of %d instances upgraded", limit, c.upgraded(), len(c.workers))
	}
	return time.Since(start)
}

func (c *cluster) upgraded() int {
	n := 0
	for _, m := range c.view.Pool("main") {
		if m.Version == "v2" && m.State == fleet.InstanceActive {
			n++
		}
	}
	return n
}

func (c *cluster) rolledOut() bool { return c.upgraded() == len(c.view.Pool("main")) }

func (c *cluster) counts() (reboots, interrupted int) {
	for _, m := range c.workers {
		reboots += m.reboots
		interrupted += m.interrupted
	}
	return reboots, interrupted
}

// rollOutLimit is the design target for one roll-out of the largest pools.
const rollOutLimit = 14 * 24 * time.Hour

// TestRollOut guards against roll-outs that violate a budget, interrupt tasks, reboot an instance twice or take longer
// than the design target. Its log output provides the figures of docs/note-maintenance.md.
func TestRollOut(t *testing.T) {
	for _, x := range []struct{ instances, minAvailable, wave int }{
		{10, 8, 2}, {10, 8, 10}, {10, 5, 3}, {110, 100, 10}, {110, 80, 30},
	} {
		t.Run(fmt.Sprintf("%d instances min %d wave %d", x.instances, x.minAvailable, x.wave), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, x.instances, x.minAvailable, x.wave)
				took := c.runUntil(rollOutLimit, c.rolledOut, c.planner())
				reboots, interrupted := c.counts()
				if reboots != x.instances || interrupted != 0 {
					t.Errorf("%d reboots of %d instances, %d interrupted", reboots, x.instances, interrupted)
				}
				// In theory every round drains for half a task on average, then boots, and the next follows at once.
				atOnce := min(x.wave, x.instances-x.minAvailable)
				rounds := (x.instances + atOnce - 1) / atOnce
				best := time.Duration(rounds) * (taskTime/2 + c.bootTime)
				t.Logf("roll-out %v, theoretical best %v (%.2f times), reboots %d, edits %d", took.Round(time.Second),
					best.Round(time.Second), float64(took)/float64(best), reboots, c.edits)
			})
		})
	}
}

// TestResume guards against a planner that skips, repeats or interrupts work when it replaces a failed one.
func TestResume(t *testing.T) {
	for _, at := range []time.Duration{time.Second, 10 * time.Second, 40 * time.Second, 100 * time.Second, 3 * time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 6, 4, 2)
			first := time.Now()
			c.runUntil(at, func() bool { return time.Since(first) >= at-interval }, c.planner())
			c.runUntil(rollOutLimit, c.rolledOut, c.planner())
			if reboots, interrupted := c.counts(); reboots != 6 || interrupted != 0 {
				t.Errorf("planner replaced after %v: %d reboots of 6 instances, %d interrupted", at, reboots, interrupted)
			}
		})
	}
}

// TestTwoPlanners guards against two planners of one pool that violate a budget or interrupt tasks.
func TestTwoPlanners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6, 4, 2)
		c.runUntil(rollOutLimit, c.rolledOut, c.planner(), c.planner())
		if _, interrupted := c.counts(); interrupted != 0 {
			t.Errorf("%d interrupted", interrupted)
		}
	})
}

// TestFailures guards against planned work that continues while failures have used up the budget, and against planned
// work that doesn't complete after the failures end.
func TestFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 6, 4, 2)
		p := c.planner()
		c.workers["w000"].down, c.workers["w001"].down = true, true
		start := time.Now()
		c.runUntil(time.Hour, func() bool { return time.Since(start) > 10*time.Minute }, p)
		if reboots, _ := c.counts(); reboots != 0 {
			t.Errorf("%d reboots while two of six failed and four are needed", reboots)
		}
		// Both recover, then one fails permanently during its reboot.
		c.workers["w000"].down, c.workers["w001"].down = false, false
		c.rebootErrors = 3
		c.runUntil(time.Hour, func() bool { return c.workers["w001"].reboots > 0 }, p)
		c.workers["w001"].down = true
		c.runUntil(rollOutLimit, func() bool { return c.upgraded() == 5 }, p)
		if _, interrupted := c.counts(); interrupted != 0 {
			t.Errorf("%d interrupted", interrupted)
		}
	})
}

// TestOperators guards against a planner that reboots or returns to service an instance that an operator drained.
func TestOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 1, 2)
		p := c.planner()
		ctx := context.Background()
		drain := func(v fleet.View) ([]fleet.Item, error) { return budget.Drain(v, "w000") }
		if _, err := c.Edit(ctx, "operator", drain); err != nil {
			t.Fatal(err)
		}
		c.runUntil(rollOutLimit, func() bool { return c.upgraded() == 3 }, p)
		if m, _ := c.view.PoolMember("main", "w000"); m.State != fleet.InstanceDraining || c.workers["w000"].reboots != 0 {
			t.Errorf("instance drained by the operator is %s after %d reboots", m.State, c.workers["w000"].reboots)
		}
		// A cancellation decided on an older view must not end a drain that an operator started since.
		if items, err := undrain(c.view, cancelReboot{"w000", "main"}); len(items) > 0 || err != nil {
			t.Errorf("cancel changes %v, error %v", items, err)
		}
		// A move needs a reboot even if the version stays the same.
		move := func(v fleet.View) ([]fleet.Item, error) { return budget.Move(v, "w001", "other") }
		if _, err := c.Edit(ctx, "operator", move); err != nil {
			t.Fatal(err)
		}
		c.runUntil(time.Hour, func() bool { return len(c.view.Pool("other")) == 1 }, p)
		if n := c.workers["w001"].reboots; n != 2 {
			t.Errorf("%d reboots of the moved instance, want one for the roll-out and one for the move", n)
		}
	})
}

// TestRaces guards against interleavings of operators' changes, failures and two planners that violate a budget,
// interrupt a task or lose an instance. Once changes and failures stop, the roll-out has to complete on every instance.
func TestRaces(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 8, 4, 3)
			random := rand.New(rand.NewPCG(seed, 0))
			planners := []*Planner{c.planner(), c.planner()}
			for range 200 {
				c.disturb(random)
				start := time.Now()
				pause := time.Duration(random.Int64N(int64(10 * time.Second)))
				c.runUntil(time.Hour, func() bool { return time.Since(start) >= pause }, planners...)
				if random.IntN(20) == 0 {
					planners[0] = c.planner()
				}
			}
			c.restore()
			c.runUntil(rollOutLimit, func() bool { return c.rolledOut() && c.allActive() }, planners...)
			if _, interrupted := c.counts(); interrupted != 0 {
				t.Errorf("seed %d: %d reboots interrupted a task", seed, interrupted)
			}
			if n := len(c.view.Pool("main")) + len(c.view.Pool("other")); n != 8 {
				t.Errorf("seed %d: %d instances, want 8", seed, n)
			}
		})
	}
}

// disturb makes a random operator change, or makes an instance fail or recover.
func (c *cluster) disturb(random *rand.Rand) {
	id := fleet.InstanceID(fmt.Sprintf("w%03d", random.IntN(len(c.workers))))
	pool, _ := c.view.PoolOf(id)
	step := map[int]budget.Step{
		0: func(v fleet.View) ([]fleet.Item, error) { return budget.Drain(v, id, c.failed()...) },
		1: func(v fleet.View) ([]fleet.Item, error) { return budget.Undrain(v, id) },
		2: func(v fleet.View) ([]fleet.Item, error) { return budget.Move(v, id, "other", c.failed()...) },
		3: func(v fleet.View) ([]fleet.Item, error) { return budget.Move(v, id, "main", c.failed()...) },
	}[random.IntN(6)]
	if step != nil {
		_, _ = c.Edit(context.Background(), "operator", step)
		return
	}
	if m := c.workers[id]; m.down || pool == "main" {
		m.down = !m.down
	}
}

// restore ends every failure and every drain by an operator, and sets the pool's min to 0, because moves may have used
// up the budget.
func (c *cluster) restore() {
	c.view.Document().Pools["main"] = fleet.PoolSection{Wave: 3, Version: "v2"}
	for id, m := range c.workers {
		m.down = false
		pool, _ := c.view.PoolOf(id)
		if x, _ := c.view.PoolMember(pool, id); x.State == fleet.InstanceDraining && x.Target == "" {
			_, _ = c.Edit(context.Background(), "operator",
				func(v fleet.View) ([]fleet.Item, error) { return budget.Undrain(v, id) })
		}
	}
}

// allActive reports whether every instance is back in service.
func (c *cluster) allActive() bool {
	for _, p := range c.view.PoolNames() {
		for _, m := range c.view.Pool(p) {
			if m.State != fleet.InstanceActive {
				return false
			}
		}
	}
	return true
}

// TestStaleAndWithdrawn guards against edits based on a stale view and against a roll-out that can't be cancelled.
func TestStaleAndWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 1, 2)
		p := c.planner()
		c.stale = true
		start := time.Now()
		c.runUntil(time.Hour, func() bool { return time.Since(start) > time.Minute }, p)
		if c.edits != 0 {
			t.Errorf("%d edits without a fresh view", c.edits)
		}
		c.stale = false
		c.runUntil(time.Hour, func() bool { return c.edits > 0 }, p)
		c.view = c.view.WithDocument(fleet.Document{Pools: map[fleet.PoolName]fleet.PoolSection{"main": {Wave: 2}}})
		c.runUntil(time.Minute, func() bool { return budget.Available(c.view, "main") == 4 }, p)
		if reboots, _ := c.counts(); reboots != 0 {
			t.Errorf("%d reboots after the roll-out was cancelled", reboots)
		}
	})
}

// TestFollower guards against members that are removed because the list lags, that stay in the pool after they are
// missing, or that get work while the platform takes them away.
func TestFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, 0, 1)
		f := NewFollower(FollowerOptions{Views: c, Roster: c, Leads: func() bool { return true }, Failed: c.failed})
		c.listings = []roster.Listing{{ID: "w001", State: roster.Leaving},
			{ID: "new", Kind: roster.Worker, State: roster.Live}}
		f.pass(context.Background())
		if m, _ := c.view.PoolMember("main", "w001"); m.State != fleet.InstanceDraining {
			t.Errorf("leaving instance is %s", m.State)
		}
		if _, ok := c.view.PoolOf("new"); !ok {
			t.Error("new instance has not joined")
		}
		for range requiredAbsences {
			f.pass(context.Background())
		}
		if _, ok := c.view.PoolOf("w000"); !ok {
			t.Error("a reachable member was removed because the list lacked it")
		}
		c.workers["w000"].down = true
		for n := range requiredAbsences {
			if _, ok := c.view.PoolOf("w000"); !ok {
				t.Errorf("an unreachable member was removed after %d lists", n)
			}
			f.pass(context.Background())
		}
		if _, ok := c.view.PoolOf("w000"); ok {
			t.Error("a missing instance is still a member")
		}
	})
}
