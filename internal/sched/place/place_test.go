package place

import (
	"fmt"
	"testing"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// TestSpread guards against loading one zone, rack or worker while others are free.
func TestSpread(t *testing.T) {
	p := NewPicker(DefaultConnections)
	for i := range 24 {
		w := Worker{ID: fleet.InstanceID(fmt.Sprint("w", i)), Zone: fleet.AvailabilityZone(fmt.Sprint("z", i%3)),
			Rack: fmt.Sprint("r", i/6), Slots: 8}
		p.Limit(p.Add(w), 8)
	}
	zones, racks, workers := map[fleet.AvailabilityZone]int{}, map[string]int{}, map[fleet.InstanceID]int{}
	for range 96 {
		n := p.Pick(1)
		p.Use(n, 1)
		zones[n.Zone]++
		racks[string(n.Zone)+n.Rack]++
		workers[n.ID]++
	}
	for z, n := range zones {
		if n != 32 {
			t.Errorf("zone %s has %d tasks, want 32", z, n)
		}
	}
	for r, n := range racks {
		if n != 8 {
			t.Errorf("rack %s has %d tasks, want 8", r, n)
		}
	}
	for w, n := range workers {
		if n != 4 {
			t.Errorf("worker %s has %d tasks, want 4", w, n)
		}
	}
}

// TestLimits guards against placing on excluded workers, beyond a zone's share, or where the task does not fit.
func TestLimits(t *testing.T) {
	p := NewPicker(2)
	a := p.Add(Worker{ID: "a", Zone: "z1", Rack: "r", Slots: 8})
	b := p.Add(Worker{ID: "b", Zone: "z2", Rack: "r", Slots: 8})
	if p.Pick(1) != nil {
		t.Fatal("placed on a worker that was never admitted")
	}
	p.Limit(a, 8)
	p.Limit(b, 8)
	p.LimitZone("z2", 25)
	p.Use(a, 6)
	if n := p.Pick(3); n != nil {
		t.Fatalf("placed 3 slots on %s beyond its zone's share", n.ID)
	}
	if n := p.Pick(2); n == nil {
		t.Fatal("2 slots fit in both zones")
	}
	p.Connections(a, 2)
	if n := p.Pick(2); n != b {
		t.Fatal("a worker without connections was chosen")
	}
	p.Use(b, 2)
	if p.Pick(1) != nil {
		t.Fatal("placed beyond the zone's share")
	}
	p.LimitZone("z2", 100)
	p.Connections(a, 0)
	h := p.Hold(8)
	if h != b || p.Fits(h, 8) || !p.Fits(h, 6) {
		t.Fatal("the freest worker must be held until its tasks have ended")
	}
	if n := p.Pick(1); n != a {
		t.Fatal("a held worker got other work")
	}
	p.Unhold(h)
	p.Remove(a)
	if n := p.Pick(1); n != b || p.Free() != 6 {
		t.Fatal("removal or the end of a hold lost slots")
	}
}

// TestDefer guards against work for a suspect worker while others have room, and against slots lost by it.
func TestDefer(t *testing.T) {
	p := NewPicker(DefaultConnections)
	a := p.Add(Worker{ID: "a", Zone: "z1", Rack: "r", Slots: 8})
	b := p.Add(Worker{ID: "b", Zone: "z2", Rack: "r", Slots: 8})
	p.Limit(a, 8)
	p.Limit(b, 8)
	p.Defer(a, true)
	for i := range 16 {
		n := p.Pick(1)
		if n == nil || (n == a) != (i >= 8) {
			t.Fatalf("task %d was placed wrongly", i)
		}
		p.Use(n, 1)
	}
	if p.Pick(1) != nil || p.Free() != 0 {
		t.Error("placed beyond the slots")
	}
	p.Use(a, -8)
	p.LimitZone("z1", 0)
	if p.Pick(1) != nil {
		t.Error("a deferred worker got work in a zone out of service")
	}
	p.LimitZone("z1", 100)
	p.Defer(a, false)
	if n := p.Pick(8); n != a || p.Free() != 8 {
		t.Error("slots were lost when the worker was no longer deferred")
	}
}

// TestFit guards against queueing tasks that no worker of the pool can ever run.
func TestFit(t *testing.T) {
	v := fleet.View{}.WithRevision(1).WithPool("p", []fleet.PoolMember{{ID: "a", Slots: 8}})
	var f Fit
	if !f.Fits(v, "p", 8) || f.Fits(v, "p", 9) || !f.Fits(v, "empty", 9) {
		t.Error("a task fits if the largest worker could run it")
	}
	if v = v.WithRevision(2).WithPool("p", []fleet.PoolMember{{ID: "b", Slots: 16}}); !f.Fits(v, "p", 9) {
		t.Error("a new view must replace what is known of the old one")
	}
}
