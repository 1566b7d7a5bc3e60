package place

import (
	"fmt"
	"testing"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// TestSpread guards against placing tasks on one zone, rack or worker while others have more free slots.
func TestSpread(t *testing.T) {
	p := NewPicker(DefaultMaxConnections)
	for i := range 24 {
		w := Worker{ID: fleet.InstanceID(fmt.Sprint("w", i)), Zone: fleet.AvailabilityZone(fmt.Sprint("z", i%3)),
			Rack: fmt.Sprint("r", i/6), Slots: 8}
		p.SetLimit(p.Add(w), 8)
	}
	zones, racks, workers := map[fleet.AvailabilityZone]int{}, map[string]int{}, map[fleet.InstanceID]int{}
	for range 96 {
		n := p.Pick(1)
		p.AddUsage(n, 1)
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

// TestLimits guards against placing tasks on excluded workers, beyond a zone's limit, or where they do not fit.
func TestLimits(t *testing.T) {
	p := NewPicker(2)
	a := p.Add(Worker{ID: "a", Zone: "z1", Rack: "r", Slots: 8})
	b := p.Add(Worker{ID: "b", Zone: "z2", Rack: "r", Slots: 8})
	if p.Pick(1) != nil {
		t.Fatal("placed on a worker without a limit")
	}
	p.SetLimit(a, 8)
	p.SetLimit(b, 8)
	p.SetZoneLimit("z2", 25)
	p.AddUsage(a, 6)
	if n := p.Pick(3); n != nil {
		t.Fatalf("placed 3 slots on %s beyond its zone's limit", n.ID)
	}
	if n := p.Pick(2); n == nil {
		t.Fatal("2 slots were not placed although they fit in both zones")
	}
	p.SetConnections(a, 2)
	if n := p.Pick(2); n != b {
		t.Fatal("a worker without a free connection was chosen")
	}
	p.AddUsage(b, 2)
	if p.Pick(1) != nil {
		t.Fatal("placed beyond the zone's limit")
	}
	p.SetZoneLimit("z2", 100)
	p.SetConnections(a, 0)
	h := p.Cordon(8)
	if h != b || p.Fits(h, 8) || !p.Fits(h, 6) {
		t.Fatal("the freest worker must stay cordoned until the task fits on it")
	}
	if n := p.Pick(1); n != a {
		t.Fatal("a cordoned worker got another task")
	}
	p.Uncordon(h)
	p.Remove(a)
	if n := p.Pick(1); n != b || p.Free() != 6 {
		t.Fatal("slots were lost with the removal of a worker or the end of a cordon")
	}
}

// TestDefer guards against tasks for a suspect worker that fit on others, and against slots lost by deferring it.
func TestDefer(t *testing.T) {
	p := NewPicker(DefaultMaxConnections)
	a := p.Add(Worker{ID: "a", Zone: "z1", Rack: "r", Slots: 8})
	b := p.Add(Worker{ID: "b", Zone: "z2", Rack: "r", Slots: 8})
	p.SetLimit(a, 8)
	p.SetLimit(b, 8)
	p.SetDeferred(a, true)
	for i := range 16 {
		n := p.Pick(1)
		if n == nil || (n == a) != (i >= 8) {
			t.Fatalf("task %d: placed on the deferred worker too early or nowhere", i)
		}
		p.AddUsage(n, 1)
	}
	if p.Pick(1) != nil || p.Free() != 0 {
		t.Error("placed a task although all slots are in use")
	}
	p.AddUsage(a, -8)
	p.SetZoneLimit("z1", 0)
	if p.Pick(1) != nil {
		t.Error("a deferred worker got a task in a zone out of service")
	}
	p.SetZoneLimit("z1", 100)
	p.SetDeferred(a, false)
	if n := p.Pick(8); n != a || p.Free() != 8 {
		t.Error("slots were lost when the worker was no longer deferred")
	}
}

// TestFit guards against queueing tasks that are larger than every worker of the pool.
func TestFit(t *testing.T) {
	v := fleet.View{}.WithRevision(1).WithPool("p", []fleet.PoolMember{{ID: "a", Slots: 8}})
	var f Fit
	if !f.Fits(v, "p", 8) || f.Fits(v, "p", 9) || !f.Fits(v, "empty", 9) {
		t.Error("a task fits only if the largest worker has enough slots, or if there is no worker")
	}
	if v = v.WithRevision(2).WithPool("p", []fleet.PoolMember{{ID: "b", Slots: 16}}); !f.Fits(v, "p", 9) {
		t.Error("the largest worker was not updated with a new view")
	}
}
