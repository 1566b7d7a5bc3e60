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

// The site of the trials is today's size: four working pools and a spare one of ten workers with eight slots each.
const (
	workingPools = 4
	perPool      = 10
	perWorker    = 8
	taskTime     = 2 * time.Second
	// moveTime is a drain of 7 s, a reboot of 90 s and three probes.
	moveTime  = 100 * time.Second
	lateAfter = 5 * time.Second
	// refuseAfter is the expected wait at which a queue refuses work.
	refuseAfter = 30 * time.Second
	step        = 100 * time.Millisecond
)

func site() fleet.View {
	d := fleet.Document{Pools: map[fleet.PoolName]fleet.PoolSection{"spare": {Spare: true}}}
	var v fleet.View
	for i := range workingPools + 1 {
		p := fleet.PoolName(fmt.Sprint("p", i))
		if i == workingPools {
			p = "spare"
		} else {
			d.Pools[p] = fleet.PoolSection{Min: perPool - 2}
		}
		var members []fleet.PoolMember
		for n := range perPool {
			members = append(members, fleet.PoolMember{ID: fleet.InstanceID(fmt.Sprintf("%s-%02d", p, n)), Slots: perWorker, State: fleet.InstanceActive})
		}
		v = v.WithPool(p, members)
	}
	return v.WithDocument(d)
}

// scenario gives the demand for a pool, in slots, at a time.
type scenario func(pool int, at time.Duration) float64

// surges lets each queue in turn surge to five times its mean for a while and fall to a twentieth in between.
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

// shift keeps one pool at half as much again as its own slots for half an hour.
func shift(pool int, at time.Duration) float64 {
	if pool == 0 && at > 10*time.Minute && at < 40*time.Minute {
		return 1.5 * perPool * perWorker
	}
	return 0.3 * perPool * perWorker
}

// queue is the work of one pool, in tasks of one slot; all work is fluid.
type queue struct{ waiting, running, late, refused, total float64 }

func (q *queue) advance(demand, capacity float64) {
	arrived := demand * step.Seconds() / taskTime.Seconds()
	q.total += arrived
	rate := math.Max(capacity, 1) / taskTime.Seconds()
	switch wait := time.Duration(q.waiting / rate * float64(time.Second)); {
	case wait > refuseAfter:
		q.refused += arrived
	case wait > lateAfter:
		q.late += arrived
		q.waiting += arrived
	default:
		q.waiting += arrived
	}
	q.running -= q.running * step.Seconds() / taskTime.Seconds()
	started := math.Min(q.waiting, math.Max(0, capacity-q.running))
	q.waiting -= started
	q.running += started
}

// result is what a policy cost and gained over a trial.
type result struct {
	moves                int
	spare, late, refused float64
}

// trial runs a policy for an hour and a half; with nil no instance ever moves.
func trial(t *testing.T, s scenario, p *Policy) result {
	t.Helper()
	v, m := site(), NewMover(Default)
	if p != nil {
		m = NewMover(*p)
	}
	queues := make([]queue, workingPools)
	arrivals := map[fleet.InstanceID]time.Duration{}
	slots := present(v)
	var r result
	const length = 90 * time.Minute
	for at := time.Duration(0); at < length; at += step {
		for i := range queues {
			queues[i].advance(s(i, at), slots[fleet.PoolName(fmt.Sprint("p", i))])
		}
		r.spare += slots["spare"] / perWorker * float64(step) / float64(length)
		for id, due := range arrivals {
			if at >= due {
				v = applied(t, v, func(v fleet.View) ([]fleet.Item, error) { return budget.Reboot(v, id) })
				v = applied(t, v, func(v fleet.View) ([]fleet.Item, error) { return budget.Activate(v, id, "") })
				delete(arrivals, id)
				slots = present(v)
			}
		}
		if p == nil || at%time.Second != 0 {
			continue
		}
		for _, move := range m.Decide(v, loads(queues), time.Unix(0, 0).Add(at)) {
			v = applied(t, v, func(v fleet.View) ([]fleet.Item, error) { return budget.Move(v, move.ID, move.Target) })
			arrivals[move.ID] = at + moveTime
			slots = present(v)
			r.moves++
		}
	}
	total := 0.0
	for _, q := range queues {
		r.late += q.late
		r.refused += q.refused
		total += q.total
	}
	r.late, r.refused = 100*r.late/total, 100*r.refused/total
	return r
}

func loads(queues []queue) []Demand {
	var l []Demand
	for i, q := range queues {
		l = append(l, Demand{Pool: fleet.PoolName(fmt.Sprint("p", i)), Running: int(q.running), Waiting: int(q.waiting)})
	}
	return l
}

// present returns the slots of the pools' active instances.
func present(v fleet.View) map[fleet.PoolName]float64 {
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

func applied(t *testing.T, v fleet.View, s budget.Step) fleet.View {
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

// everyChange moves as soon as utilisation passes a threshold.
var everyChange = Policy{High: 0.9, Aim: 0.75, Low: 0.6}

// Guards against a policy that moves instances for surges that are over before an instance arrives, does nothing for
// lasting demand, or keeps what it lent. Its log holds the figures of docs/note-spare.md.
func TestPolicies(t *testing.T) {
	scenarios := []struct {
		name   string
		demand scenario
	}{
		{"surges of 8 s", surges(8*time.Second, 0.4*perPool*perWorker)},
		{"surges of 30 s", surges(30*time.Second, 0.4*perPool*perWorker)},
		{"surges of 120 s", surges(120*time.Second, 0.4*perPool*perWorker)},
		{"lasting shift", shift},
	}
	for _, s := range scenarios {
		never, every, held := trial(t, s.demand, nil), trial(t, s.demand, &everyChange), trial(t, s.demand, &Default)
		for name, r := range map[string]result{"never": never, "every change": every, "hysteresis": held} {
			t.Logf("%-16s %-13s moves %4d, spare pool %5.2f instances, late %6.2f %%, refused %6.2f %%", s.name, name, r.moves, r.spare, r.late, r.refused)
		}
		if held.moves > every.moves {
			t.Errorf("%s: hysteresis made %d moves, more than the %d on every change", s.name, held.moves, every.moves)
		}
		if held.late+held.refused > never.late+never.refused {
			t.Errorf("%s: hysteresis made more work late or refused than no moves: %.2f and %.2f percent", s.name,
				held.late+held.refused, never.late+never.refused)
		}
	}
}

// Guards against a lent instance that never returns and one that returns while it is needed.
func TestLendAndReturn(t *testing.T) {
	v, m := site(), NewMover(Default)
	now := time.Unix(0, 0)
	moves := func(running int, d time.Duration) []Move {
		var all []Move
		for end := now.Add(d); now.Before(end); now = now.Add(time.Second) {
			for _, move := range m.Decide(v, []Demand{{Pool: "p0", Running: running}}, now) {
				all = append(all, move)
				v = applied(t, v, func(v fleet.View) ([]fleet.Item, error) { return budget.Move(v, move.ID, move.Target) })
				v = applied(t, v, func(v fleet.View) ([]fleet.Item, error) { return budget.Reboot(v, move.ID) })
				v = applied(t, v, func(v fleet.View) ([]fleet.Item, error) { return budget.Activate(v, move.ID, "") })
			}
		}
		return all
	}
	if got := moves(40, time.Hour); len(got) != 0 {
		t.Errorf("moves %v at half load", got)
	}
	// 120 slots are 90 percent of 134, for which 7 instances are missing, and 75 percent of 160, which takes 10.
	lent := moves(120, time.Hour)
	if len(lent) < 7 || len(lent) > 10 {
		t.Errorf("%d moves for lasting demand, want 7 to 10", len(lent))
	}
	if got := moves(120, time.Hour); len(got) != 0 {
		t.Errorf("moves %v under the same demand", got)
	}
	m = NewMover(Default) // another entry instance takes over
	if got := moves(10, 2*time.Hour); len(got) != len(lent) || len(v.Pool("spare")) != perPool {
		t.Errorf("%d moves and %d spare instances after the demand fell, want %d and %d", len(got), len(v.Pool("spare")), len(lent), perPool)
	}
}

// keeper stands for the view's keeper.
type keeper struct {
	view  fleet.View
	stale error
	edits int
}

func (k *keeper) View() fleet.View { return k.view }
func (k *keeper) Fresh() error     { return k.stale }
func (k *keeper) Edit(_ context.Context, _ string, change func(fleet.View) ([]fleet.Item, error)) (uint64, error) {
	items, err := change(k.view)
	if err == nil && len(items) > 0 {
		k.edits++
		k.view, err = budget.Apply(k.view, items)
	}
	return 0, err
}

// Guards against moves on an old view or unknown demand and against moving what an operator has taken meanwhile.
func TestPlanner(t *testing.T) {
	k := &keeper{view: site(), stale: errors.New("stale")}
	load, loadErr := 200, errors.New("no answer")
	p := New(Options{Views: k, Leads: func() bool { return true }, Policy: everyChange,
		Demands: func(context.Context) ([]Demand, error) { return []Demand{{Pool: "p0", Running: load}}, loadErr }})
	p.pass(t.Context())
	k.stale = nil
	p.pass(t.Context())
	if k.edits != 0 {
		t.Errorf("%d edits on a stale view or unknown demand", k.edits)
	}
	loadErr = nil
	p.pass(t.Context())
	if k.edits != 1 {
		t.Errorf("%d edits, want 1", k.edits)
	}
	held := applied(t, site(), func(v fleet.View) ([]fleet.Item, error) { return budget.Drain(v, "spare-00") })
	items, err := budget.Batch(held, steps([]Move{{"spare-00", "p0"}, {"spare-01", "p0"}}, nil)...)
	if after, _ := budget.Apply(held, items); err != nil || memberOf(after, "spare-00").Target != "" || memberOf(after, "spare-01").Target != "p0" {
		t.Errorf("items %v, error %v; want the held instance untouched and the other one moved", items, err)
	}
}

func memberOf(v fleet.View, id fleet.InstanceID) fleet.PoolMember {
	p, _ := v.PoolOf(id)
	m, _ := v.PoolMember(p, id)
	return m
}
