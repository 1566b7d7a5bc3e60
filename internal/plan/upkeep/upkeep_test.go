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

// machine is one worker of the fake platform.
type machine struct {
	version     string
	boot        int
	busyUntil   time.Time
	bootedAt    time.Time
	startable   time.Time
	dead        bool
	reboots     int
	interrupted int
}

// site stands for the view's keeper, the workers and the platform. It checks the budgets at every edit.
type site struct {
	t        *testing.T
	view     fleet.View
	machines map[fleet.InstanceID]*machine
	boots    time.Duration
	edits    int
	failures int
	stale    bool
	listings []roster.Listing
	late     *rand.Rand
}

const taskTime = 20 * time.Second

func newSite(t *testing.T, instances, least, wave int) *site {
	s := &site{t: t, machines: map[fleet.InstanceID]*machine{}, boots: 90 * time.Second,
		late: rand.New(rand.NewPCG(3, 4))}
	var members []fleet.PoolMember
	random := rand.New(rand.NewPCG(1, 2))
	for i := range instances {
		id := fleet.InstanceID(fmt.Sprintf("w%03d", i))
		members = append(members, fleet.PoolMember{ID: id, Address: string(id), Zone: fleet.AvailabilityZone(fmt.Sprint("z", i%4)),
			State: fleet.InstanceActive, Version: "v1"})
		s.machines[id] = &machine{version: "v1"}
		s.machines[id].busyUntil = time.Now().Add(time.Duration(random.Int64N(int64(taskTime))))
	}
	s.view = fleet.View{}.WithPool("main", members).WithDocument(fleet.Document{Pools: map[fleet.PoolName]fleet.PoolSection{
		"main": {Min: least, Wave: wave, Version: "v2"}, "other": {}, "spare": {Spare: true}}})
	return s
}

func (s *site) View() fleet.View { return s.view }

func (s *site) Fresh() error {
	if s.stale {
		return errors.New("stale")
	}
	return nil
}

// lateStart is how long after a drain the design page lets a task start: 2 s of freshness and 1 s of reservation.
const lateStart = 3 * time.Second

// tick starts a task on every idle machine in service, and now and then on one that a start still reaches.
func (s *site) tick() {
	for _, p := range s.view.PoolNames() {
		for _, member := range s.view.Pool(p) {
			m, ok := s.machines[member.ID]
			if !ok {
				continue
			}
			if s.view.Startable(p, member.ID) {
				m.startable = time.Now()
			}
			up := !m.dead && !time.Now().Before(m.bootedAt)
			late := time.Since(m.startable) < lateStart && s.late.IntN(4) == 0
			if up && (s.view.Startable(p, member.ID) || late) && !time.Now().Before(m.busyUntil) {
				m.busyUntil = time.Now().Add(taskTime)
			}
		}
	}
}

func (s *site) Edit(_ context.Context, _ string, change func(fleet.View) ([]fleet.Item, error)) (uint64, error) {
	s.tick()
	defer s.tick()
	items, err := change(s.view)
	if err != nil || len(items) == 0 {
		return s.view.Revision(), err
	}
	after, err := budget.Apply(s.view, items)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, p := range after.PoolNames() {
		was, is := budget.Available(s.view, p, s.failed()...), budget.Available(after, p, s.failed()...)
		if is < was && is < after.Document().Pools[p].Min {
			s.t.Errorf("planned work took pool %s from %d to %d available", p, was, is)
		}
	}
	s.view = after.WithRevision(s.view.Revision() + 1)
	s.edits++
	return s.view.Revision(), nil
}

func (s *site) failed() []fleet.InstanceID {
	var failed []fleet.InstanceID
	for id, m := range s.machines {
		if m.dead {
			failed = append(failed, id)
		}
	}
	return failed
}

func (s *site) Report(_ context.Context, address string) (worker.Report, error) {
	id := fleet.InstanceID(address)
	m := s.machines[id]
	if m.dead || time.Now().Before(m.bootedAt) {
		return worker.Report{}, worker.ErrRefused
	}
	r := worker.Report{Instance: id, Version: m.version, Boot: fmt.Sprint(id, m.boot)}
	if time.Now().Before(m.busyUntil) {
		r.Used = 1
	}
	return r, nil
}

func (s *site) Reboot(_ context.Context, id fleet.InstanceID, version string) error {
	m := s.machines[id]
	if s.failures > 0 {
		s.failures--
		return errors.New("platform is unavailable")
	}
	// A start that is on its way is interrupted too, as its outcome is unknown to the caller.
	if time.Now().Before(m.busyUntil) || time.Since(m.startable) < lateStart {
		m.interrupted++
	}
	m.reboots++
	m.boot++
	m.startable = time.Time{}
	m.bootedAt = time.Now().Add(s.boots)
	if version != "" {
		m.version = version
	}
	return nil
}

func (s *site) List(context.Context) ([]roster.Listing, error) { return s.listings, nil }

func (s *site) planner() *Planner {
	return New(Options{Views: s, Prober: s, Platform: s, Leads: func(fleet.PoolName) bool { return true }, Failed: s.failed})
}

// runUntil runs planners until a condition holds and returns how long that took in the bubble's time.
func (s *site) runUntil(limit time.Duration, done func() bool, planners ...*Planner) time.Duration {
	start := time.Now()
	for time.Since(start) < limit && !done() {
		s.tick()
		for _, p := range planners {
			p.pass(context.Background())
		}
		time.Sleep(interval)
	}
	if !done() {
		s.t.Errorf("not done after %v: %d of %d current", limit, s.current(), len(s.machines))
	}
	return time.Since(start)
}

func (s *site) current() int {
	n := 0
	for _, m := range s.view.Pool("main") {
		if m.Version == "v2" && m.State == fleet.InstanceActive {
			n++
		}
	}
	return n
}

func (s *site) rolledOut() bool { return s.current() == len(s.view.Pool("main")) }

func (s *site) counts() (reboots, interrupted int) {
	for _, m := range s.machines {
		reboots += m.reboots
		interrupted += m.interrupted
	}
	return reboots, interrupted
}

// everyTwoWeeks is the target of the design page for one roll-out of the largest pools.
const everyTwoWeeks = 14 * 24 * time.Hour

// Guards against roll-outs that break a budget, interrupt tasks, reboot twice or need longer than the target.
// Its log holds the figures of docs/note-maintenance.md.
func TestRollOut(t *testing.T) {
	for _, c := range []struct{ instances, least, wave int }{{10, 8, 2}, {10, 8, 10}, {10, 5, 3}, {110, 100, 10}, {110, 80, 30}} {
		t.Run(fmt.Sprintf("%d instances min %d wave %d", c.instances, c.least, c.wave), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, c.instances, c.least, c.wave)
				took := s.runUntil(everyTwoWeeks, s.rolledOut, s.planner())
				reboots, interrupted := s.counts()
				if reboots != c.instances || interrupted != 0 {
					t.Errorf("%d reboots of %d instances, %d interrupted", reboots, c.instances, interrupted)
				}
				// On paper every round drains for half a task on average and boots; rounds follow without a gap.
				atOnce := min(c.wave, c.instances-c.least)
				rounds := (c.instances + atOnce - 1) / atOnce
				best := time.Duration(rounds) * (taskTime/2 + s.boots)
				t.Logf("roll-out %v, best on paper %v (%.2f times), reboots %d, edits %d", took.Round(time.Second),
					best.Round(time.Second), float64(took)/float64(best), reboots, s.edits)
			})
		})
	}
}

// Guards against a planner that forgets, repeats or interrupts work when it takes over from a dead one.
func TestResume(t *testing.T) {
	for _, at := range []time.Duration{time.Second, 10 * time.Second, 40 * time.Second, 100 * time.Second, 3 * time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, 6, 4, 2)
			first := time.Now()
			s.runUntil(at, func() bool { return time.Since(first) >= at-interval }, s.planner())
			s.runUntil(everyTwoWeeks, s.rolledOut, s.planner())
			if reboots, interrupted := s.counts(); reboots != 6 || interrupted != 0 {
				t.Errorf("death at %v: %d reboots of 6 instances, %d interrupted", at, reboots, interrupted)
			}
		})
	}
}

// Guards against two planners of one pool that break a budget or interrupt tasks.
func TestTwoPlanners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 6, 4, 2)
		s.runUntil(everyTwoWeeks, s.rolledOut, s.planner(), s.planner())
		if _, interrupted := s.counts(); interrupted != 0 {
			t.Errorf("%d interrupted", interrupted)
		}
	})
}

// Guards against planned work that goes on while failures have used up the budget, and that never ends after them.
func TestFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 6, 4, 2)
		p := s.planner()
		s.machines["w000"].dead, s.machines["w001"].dead = true, true
		start := time.Now()
		s.runUntil(time.Hour, func() bool { return time.Since(start) > 10*time.Minute }, p)
		if reboots, _ := s.counts(); reboots != 0 {
			t.Errorf("%d reboots while two of six failed and four are needed", reboots)
		}
		// One comes back, the other dies for good in the middle of its reboot.
		s.machines["w000"].dead, s.machines["w001"].dead = false, false
		s.failures = 3
		s.runUntil(time.Hour, func() bool { return s.machines["w001"].reboots > 0 }, p)
		s.machines["w001"].dead = true
		s.runUntil(everyTwoWeeks, func() bool { return s.current() == 5 }, p)
		if _, interrupted := s.counts(); interrupted != 0 {
			t.Errorf("%d interrupted", interrupted)
		}
	})
}

// Guards against a planner that takes an instance from an operator's hands.
func TestOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 4, 1, 2)
		p := s.planner()
		ctx := context.Background()
		hold := func(v fleet.View) ([]fleet.Item, error) { return budget.Drain(v, "w000") }
		if _, err := s.Edit(ctx, "operator", hold); err != nil {
			t.Fatal(err)
		}
		s.runUntil(everyTwoWeeks, func() bool { return s.current() == 3 }, p)
		if m, _ := s.view.PoolMember("main", "w000"); m.State != fleet.InstanceDraining || s.machines["w000"].reboots != 0 {
			t.Errorf("held instance is %s after %d reboots", m.State, s.machines["w000"].reboots)
		}
		// A cancel decided on an older view must not end a hold that began since.
		if items, err := undrain(s.view, cancel{"w000", "main"}); len(items) > 0 || err != nil {
			t.Errorf("cancel changes %v, error %v", items, err)
		}
		// A move needs a reboot even without a change of version, and the wish for a roll-out may be withdrawn.
		move := func(v fleet.View) ([]fleet.Item, error) { return budget.Move(v, "w001", "other") }
		if _, err := s.Edit(ctx, "operator", move); err != nil {
			t.Fatal(err)
		}
		s.runUntil(time.Hour, func() bool { return len(s.view.Pool("other")) == 1 }, p)
		if n := s.machines["w001"].reboots; n != 2 {
			t.Errorf("%d reboots of the moved instance, want one for the roll-out and one for the move", n)
		}
	})
}

// Guards against any order of operators' changes, failures and two planners that breaks a budget, interrupts a task,
// loses an instance or leaves one behind. Once the operators and failures rest, the roll-out has to complete.
func TestRaces(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, 8, 4, 3)
			random := rand.New(rand.NewPCG(seed, 0))
			planners := []*Planner{s.planner(), s.planner()}
			for range 200 {
				s.disturb(random)
				start := time.Now()
				pause := time.Duration(random.Int64N(int64(10 * time.Second)))
				s.runUntil(time.Hour, func() bool { return time.Since(start) >= pause }, planners...)
				if random.IntN(20) == 0 {
					planners[0] = s.planner()
				}
			}
			s.calm()
			s.runUntil(everyTwoWeeks, func() bool { return s.rolledOut() && s.settled() }, planners...)
			if _, interrupted := s.counts(); interrupted != 0 {
				t.Errorf("seed %d: %d reboots interrupted a task", seed, interrupted)
			}
			if n := len(s.view.Pool("main")) + len(s.view.Pool("other")); n != 8 {
				t.Errorf("seed %d: %d instances, want 8", seed, n)
			}
		})
	}
}

// disturb lets an operator change something or a machine fail or come back.
func (s *site) disturb(random *rand.Rand) {
	id := fleet.InstanceID(fmt.Sprintf("w%03d", random.IntN(len(s.machines))))
	pool, _ := s.view.PoolOf(id)
	step := map[int]budget.Step{
		0: func(v fleet.View) ([]fleet.Item, error) { return budget.Drain(v, id, s.failed()...) },
		1: func(v fleet.View) ([]fleet.Item, error) { return budget.Undrain(v, id) },
		2: func(v fleet.View) ([]fleet.Item, error) { return budget.Move(v, id, "other", s.failed()...) },
		3: func(v fleet.View) ([]fleet.Item, error) { return budget.Move(v, id, "main", s.failed()...) },
	}[random.IntN(6)]
	if step != nil {
		_, _ = s.Edit(context.Background(), "operator", step)
		return
	}
	if m := s.machines[id]; m.dead || pool == "main" {
		m.dead = !m.dead
	}
}

// calm ends every failure and every hold of an operator, and gives the budget room, which moves may have used up.
func (s *site) calm() {
	s.view.Document().Pools["main"] = fleet.PoolSection{Wave: 3, Version: "v2"}
	for id, m := range s.machines {
		m.dead = false
		pool, _ := s.view.PoolOf(id)
		if x, _ := s.view.PoolMember(pool, id); x.State == fleet.InstanceDraining && x.Target == "" {
			_, _ = s.Edit(context.Background(), "operator", func(v fleet.View) ([]fleet.Item, error) { return budget.Undrain(v, id) })
		}
	}
}

// settled reports whether every instance is back in service.
func (s *site) settled() bool {
	for _, p := range s.view.PoolNames() {
		for _, m := range s.view.Pool(p) {
			if m.State != fleet.InstanceActive {
				return false
			}
		}
	}
	return true
}

// Guards against reboots that are requested on an old view and against a roll-out that can't be withdrawn.
func TestStaleAndWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 4, 1, 2)
		p := s.planner()
		s.stale = true
		start := time.Now()
		s.runUntil(time.Hour, func() bool { return time.Since(start) > time.Minute }, p)
		if s.edits != 0 {
			t.Errorf("%d edits without a fresh view", s.edits)
		}
		s.stale = false
		s.runUntil(time.Hour, func() bool { return s.edits > 0 }, p)
		s.view = s.view.WithDocument(fleet.Document{Pools: map[fleet.PoolName]fleet.PoolSection{"main": {Wave: 2}}})
		s.runUntil(time.Minute, func() bool { return budget.Available(s.view, "main") == 4 }, p)
		if reboots, _ := s.counts(); reboots != 0 {
			t.Errorf("%d reboots after the roll-out was withdrawn", reboots)
		}
	})
}

// Guards against members that leave because the list lags, stay after they are gone or get work while they leave.
func TestFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, 0, 1)
		f := NewFollower(FollowerOptions{Views: s, Roster: s, Leads: func() bool { return true }, Failed: s.failed})
		s.listings = []roster.Listing{{ID: "w001", State: roster.Leaving}, {ID: "new", Kind: roster.Worker, State: roster.Live}}
		f.pass(context.Background())
		if m, _ := s.view.PoolMember("main", "w001"); m.State != fleet.InstanceDraining {
			t.Errorf("leaving instance is %s", m.State)
		}
		if _, ok := s.view.PoolOf("new"); !ok {
			t.Error("new instance has not joined")
		}
		for range absentFor {
			f.pass(context.Background())
		}
		if _, ok := s.view.PoolOf("w000"); !ok {
			t.Error("a reachable member left because the list lacked it")
		}
		s.machines["w000"].dead = true
		for n := range absentFor {
			if _, ok := s.view.PoolOf("w000"); !ok {
				t.Errorf("an unreachable member left after %d lists", n)
			}
			f.pass(context.Background())
		}
		if _, ok := s.view.PoolOf("w000"); ok {
			t.Error("an instance that is gone stays a member")
		}
	})
}
