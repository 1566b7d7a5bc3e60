package spare

import (
	"context"
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plan/budget"
)

// The simulated fleet has today's size: four working pools and a spare pool, each of ten workers with eight slots.
const (
	workingPools   = 4
	workersPerPool = 10
	slotsPerWorker = 8
	taskTime       = 2 * time.Second
	// moveTime covers a drain of 7 s, a reboot of 90 s and three probes.
	moveTime      = 100 * time.Second
	lateThreshold = 5 * time.Second
	// rejectionThreshold is the expected wait above which a queue rejects work.
	rejectionThreshold = 30 * time.Second
	simulationStep     = 100 * time.Millisecond
)

func newFleet() fleet.View {
	d := fleet.Document{Pools: map[fleet.PoolName]fleet.PoolSection{"spare": {Spare: true}}}
	var v fleet.View
	for i := range workingPools + 1 {
		p := fleet.PoolName(fmt.Sprint("p", i))
		if i == workingPools {
			p = "spare"
		} else {
			d.Pools[p] = fleet.PoolSection{Min: workersPerPool - 2}
		}
		var members []fleet.PoolMember
		for n := range workersPerPool {
			members = append(members, fleet.PoolMember{ID: fleet.InstanceID(fmt.Sprintf("%s-%02d", p, n)),
				Slots: slotsPerWorker, State: fleet.InstanceActive})
		}
		v = v.WithPool(p, members)
	}
	return v.WithDocument(d)
}

// scenario returns the demand for a pool at a time, in slots.
type scenario func(pool int, at time.Duration) float64

// surges makes the demand of each queue in turn rise to five times its mean for a while and fall to a twentieth of it
// in between.
func surges(length time.Duration, mean float64) scenario {
	const surge, calm = 5, 0.05
	cycle := time.Duration(float64(length) * (surge - calm) / (1 - calm))
	return func(pool int, at time.Duration) float64 {
		offset := (at + time.Duration(pool)*cycle/workingPools) % cycle
		if offset < length {
			return surge * mean
		}
		return calm * mean
	}
}

// sustainedDemand keeps the demand for one pool at 1.5 times its own slots for half an hour.
func sustainedDemand(pool int, at time.Duration) float64 {
	if pool == 0 && at > 10*time.Minute && at < 40*time.Minute {
		return 1.5 * workersPerPool * slotsPerWorker
	}
	return 0.3 * workersPerPool * slotsPerWorker
}

// queue is a fluid model of the work of one pool, in tasks of one slot.
type queue struct{ waiting, running, late, rejected, total float64 }

func (q *queue) advance(demand, capacity float64) {
	arrived := demand * simulationStep.Seconds() / taskTime.Seconds()
	q.total += arrived
	rate := math.Max(capacity, 1) / taskTime.Seconds()
	switch wait := time.Duration(q.waiting / rate * float64(time.Second)); {
	case wait > rejectionThreshold:
		q.rejected += arrived
	case wait > lateThreshold:
		q.late += arrived
		q.waiting += arrived
	default:
		q.waiting += arrived
	}
	q.running -= q.running * simulationStep.Seconds() / taskTime.Seconds()
	started := math.Min(q.waiting, math.Max(0, capacity-q.running))
	q.waiting -= started
	q.running += started
}

// result holds the number of moves, the mean number of spare instances, and the percentage of late and rejected work.
type result struct {
	moves                 int
	spare, late, rejected float64
}

// simulate runs a policy for 90 minutes; with a nil policy no instance moves.
func simulate(t *testing.T, s scenario, p *Policy) result {
	t.Helper()
	v, m := newFleet(), NewMover(Default)
	if p != nil {
		m = NewMover(*p)
	}
	queues := make([]queue, workingPools)
	arrivals := map[fleet.InstanceID]time.Duration{}
	slots := activeSlots(v)
	var r result
	const length = 90 * time.Minute
	for at := time.Duration(0); at < length; at += simulationStep {
		for i := range queues {
			queues[i].advance(s(i, at), slots[fleet.PoolName(fmt.Sprint("p", i))])
		}
		r.spare += slots["spare"] / slotsPerWorker * float64(simulationStep) / float64(length)
		for id, due := range arrivals {
			if at >= due {
				v = mustApply(t, v, func(v fleet.View) ([]fleet.Item, error) { return budget.Reboot(v, id) })
				v = mustApply(t, v, func(v fleet.View) ([]fleet.Item, error) { return budget.Activate(v, id, "") })
				delete(arrivals, id)
				slots = activeSlots(v)
			}
		}
		if p == nil || at%time.Second != 0 {
			continue
		}
		for _, move := range m.Decide(v, poolDemands(queues), time.Unix(0, 0).Add(at)) {
			v = mustApply(t, v, func(v fleet.View) ([]fleet.Item, error) { return budget.Move(v, move.ID, move.Target) })
			arrivals[move.ID] = at + moveTime
			slots = activeSlots(v)
			r.moves++
		}
	}
	total := 0.0
	for _, q := range queues {
		r.late += q.late
		r.rejected += q.rejected
		total += q.total
	}
	r.late, r.rejected = 100*r.late/total, 100*r.rejected/total
	return r
}

func poolDemands(queues []queue) []Demand {
	var d []Demand
	for i, q := range queues {
		d = append(d, Demand{Pool: fleet.PoolName(fmt.Sprint("p", i)), Running: int(q.running), Waiting: int(q.waiting)})
	}
	return d
}

// activeSlots returns the number of slots of each pool's active instances.
func activeSlots(v fleet.View) map[fleet.PoolName]float64 {
	slots := map[fleet.PoolName]float64{}
	for _, p := range v.PoolNames() {
		for _, m := range v.Pool(p) {
			if m.State == fleet.InstanceActive {
				slots[p] += float64(m.Slots)
			}
		}
	}
	return slots
}

func mustApply(t *testing.T, v fleet.View, s budget.Step) fleet.View {
	t.Helper()
	items, err := s(v)
	if err != nil {
		t.Fatal(err)
	}
	after, err := budget.Apply(v, items)
	if err != nil {
		t.Fatal(err)
	}
	return after
}

// immediatePolicy moves instances as soon as utilisation crosses a threshold.
var immediatePolicy = Policy{HighUtilisation: 0.9, TargetUtilisation: 0.75, LowUtilisation: 0.6}

// TestPolicies guards against a policy that moves instances for surges that end before an instance arrives, that
// doesn't react to sustained demand, or that never returns lent instances. Its log output provides the figures of
// docs/note-spare.md.
func TestPolicies(t *testing.T) {
	scenarios := []struct {
		name   string
		demand scenario
	}{
		{"surges of 8 s", surges(8*time.Second, 0.4*workersPerPool*slotsPerWorker)},
		{"surges of 30 s", surges(30*time.Second, 0.4*workersPerPool*slotsPerWorker)},
		{"surges of 120 s", surges(120*time.Second, 0.4*workersPerPool*slotsPerWorker)},
		{"sustained demand", sustainedDemand},
	}
	for _, s := range scenarios {
		never, immediate, hysteresis := simulate(t, s.demand, nil), simulate(t, s.demand, &immediatePolicy),
			simulate(t, s.demand, &Default)
		for name, r := range map[string]result{"never": never, "every change": immediate, "hysteresis": hysteresis} {
			t.Logf("%-16s %-13s moves %4d, spare pool %5.2f instances, late %6.2f %%, refused %6.2f %%",
				s.name, name, r.moves, r.spare, r.late, r.rejected)
		}
		if hysteresis.moves > immediate.moves {
			t.Errorf("%s: hysteresis made %d moves, more than the %d on every change", s.name, hysteresis.moves, immediate.moves)
		}
		if hysteresis.late+hysteresis.rejected > never.late+never.rejected {
			t.Errorf("%s: hysteresis made more work late or rejected than no moves: %.2f and %.2f percent", s.name,
				hysteresis.late+hysteresis.rejected, never.late+never.rejected)
		}
	}
}

// TestLendAndReturn guards against a lent instance that never returns and against one that returns while it is needed.
func TestLendAndReturn(t *testing.T) {
	v, m := newFleet(), NewMover(Default)
	now := time.Unix(0, 0)
	moves := func(running int, d time.Duration) []Move {
		var all []Move
		for end := now.Add(d); now.Before(end); now = now.Add(time.Second) {
			for _, move := range m.Decide(v, []Demand{{Pool: "p0", Running: running}}, now) {
				all = append(all, move)
				v = mustApply(t, v, func(v fleet.View) ([]fleet.Item, error) { return budget.Move(v, move.ID, move.Target) })
				v = mustApply(t, v, func(v fleet.View) ([]fleet.Item, error) { return budget.Reboot(v, move.ID) })
				v = mustApply(t, v, func(v fleet.View) ([]fleet.Item, error) { return budget.Activate(v, move.ID, "") })
			}
		}
		return all
	}
	if got := moves(40, time.Hour); len(got) != 0 {
		t.Errorf("moves %v at half demand", got)
	}
	// 120 slots are 90 percent of 134 slots, which need 7 more instances, and 75 percent of 160 slots, which need 10.
	lent := moves(120, time.Hour)
	if len(lent) < 7 || len(lent) > 10 {
		t.Errorf("%d moves for sustained demand, want 7 to 10", len(lent))
	}
	if got := moves(120, time.Hour); len(got) != 0 {
		t.Errorf("moves %v under the same demand", got)
	}
	m = NewMover(Default) // as when another entry instance takes over
	if got := moves(10, 2*time.Hour); len(got) != len(lent) || len(v.Pool("spare")) != workersPerPool {
		t.Errorf("%d moves and %d spare instances after the demand fell, want %d and %d", len(got), len(v.Pool("spare")),
			len(lent), workersPerPool)
	}
}

// fakeViews is a fake ViewEditor.
type fakeViews struct {
	view  fleet.View
	stale error
	edits int
}

func (f *fakeViews) View() fleet.View { return f.view }
func (f *fakeViews) Fresh() error     { return f.stale }
func (f *fakeViews) Edit(_ context.Context, _ string, change func(fleet.View) ([]fleet.Item, error)) (uint64, error) {
	items, err := change(f.view)
	if err == nil && len(items) > 0 {
		f.edits++
		f.view, err = budget.Apply(f.view, items)
	}
	return 0, err
}

// TestPlanner guards against moves based on a stale view or unknown demand, and against moving an instance that an
// operator has drained since the decision.
func TestPlanner(t *testing.T) {
	f := &fakeViews{view: newFleet(), stale: errors.New("stale")}
	demand, demandErr := 200, errors.New("no answer")
	p := New(Options{Views: f, Leads: func() bool { return true }, Policy: immediatePolicy,
		Demands: func(context.Context) ([]Demand, error) { return []Demand{{Pool: "p0", Running: demand}}, demandErr }})
	p.pass(t.Context())
	f.stale = nil
	p.pass(t.Context())
	if f.edits != 0 {
		t.Errorf("%d edits on a stale view or unknown demand", f.edits)
	}
	demandErr = nil
	p.pass(t.Context())
	if f.edits != 1 {
		t.Errorf("%d edits, want 1", f.edits)
	}
	drained := mustApply(t, newFleet(), func(v fleet.View) ([]fleet.Item, error) { return budget.Drain(v, "spare-00") })
	items, err := budget.Batch(drained, steps([]Move{{"spare-00", "p0"}, {"spare-01", "p0"}}, nil)...)
	if after, _ := budget.Apply(drained, items); err != nil || memberOf(after, "spare-00").Target != "" ||
		memberOf(after, "spare-01").Target != "p0" {
		t.Errorf("items %v, error %v; want the drained instance unchanged and the other one moved", items, err)
	}
}

func memberOf(v fleet.View, id fleet.InstanceID) fleet.PoolMember {
	p, _ := v.PoolOf(id)
	m, _ := v.PoolMember(p, id)
	return m
}
