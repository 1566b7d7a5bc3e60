package budget_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plan/budget"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
)

// apply applies items like the store's table: they replace the membership of their pools.
func apply(t interface{ Fatal(...any) }, v fleet.View, items []fleet.Item) fleet.View {
	after, err := budget.Apply(v, items)
	if err != nil {
		t.Fatal(err)
	}
	return after.WithRevision(v.Revision() + 1)
}

func fleetOf(pools, perPool, zones, minAvailable int) fleet.View {
	d := fleet.Document{Pools: map[fleet.PoolName]fleet.PoolSection{}, Zones: map[fleet.AvailabilityZone]fleet.ZoneSection{}}
	var v fleet.View
	for p := range pools {
		name := fleet.PoolName(fmt.Sprintf("p%d", p))
		d.Pools[name] = fleet.PoolSection{Min: minAvailable}
		var members []fleet.PoolMember
		for i := range perPool {
			zone := fleet.AvailabilityZone(fmt.Sprintf("z%d", i%zones))
			members = append(members, fleet.PoolMember{ID: fleet.InstanceID(fmt.Sprintf("w%d-%d", p, i)), Zone: zone,
				State: fleet.InstanceActive, Slots: 8})
		}
		v = v.WithPool(name, members)
	}
	return v.WithDocument(d)
}

func show(v fleet.View) string {
	var b strings.Builder
	for _, p := range v.PoolNames() {
		fmt.Fprintf(&b, "%s: available %d min %d\n", p, budget.Available(v, p), v.Document().Pools[p].Min)
		for _, m := range v.Pool(p) {
			if m.State != fleet.InstanceActive || m.Version != "" || m.Target != "" {
				fmt.Fprintf(&b, "  %s %s target=%q version=%q\n", m.ID, m.State, m.Target, m.Version)
			}
		}
	}
	return b.String()
}

// TestChanges guards against changes that violate a budget, lose an instance between pools or leave an inconsistent
// state.
func TestChanges(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var v fleet.View
		datadriven.RunTest(t, path, func(t *testing.T, c *datadriven.TestData) string {
			if c.Cmd == "fleet" {
				var pools, instances, zones, minAvailable int
				c.ScanArgs(t, "pools", &pools)
				c.ScanArgs(t, "instances", &instances)
				c.ScanArgs(t, "zones", &zones)
				c.ScanArgs(t, "min", &minAvailable)
				v = fleetOf(pools, instances, zones, minAvailable)
				return show(v)
			}
			if c.Cmd == "spare" {
				d := v.Document()
				d.Pools[fleet.PoolName(c.CmdArgs[0].Key)] = fleet.PoolSection{Spare: true}
				return ""
			}
			if c.Cmd == "zone" {
				return zone(c, &v)
			}
			items, err := command(c, v)
			if err != nil {
				return err.Error() + "\n"
			}
			v = apply(t, v, items)
			return show(v)
		})
	})
}

func zone(c *datadriven.TestData, v *fleet.View) string {
	name, state := c.CmdArgs[0].Key, fleet.ZoneState(c.CmdArgs[1].Key)
	d := v.Document()
	d.Zones = map[fleet.AvailabilityZone]fleet.ZoneSection{fleet.AvailabilityZone(name): {State: state}}
	if findings := budget.CheckZone(*v, fleet.Section{Name: "zone/" + name}, d); len(findings) > 0 {
		return fmt.Sprintln(findings)
	}
	*v = v.WithZone(fleet.AvailabilityZone(name), fleet.ZoneStatus{State: state})
	return show(*v)
}

func command(c *datadriven.TestData, v fleet.View) ([]fleet.Item, error) {
	id := fleet.InstanceID(c.CmdArgs[0].Key)
	var failed []fleet.InstanceID
	argument := ""
	for _, a := range c.CmdArgs[1:] {
		if a.Key != "failed" {
			argument = a.Key
			continue
		}
		for _, f := range a.Vals {
			failed = append(failed, fleet.InstanceID(f))
		}
	}
	switch c.Cmd {
	case "drain":
		return budget.Drain(v, id, failed...)
	case "renew":
		return budget.DrainForReboot(v, id, failed...)
	case "move":
		return budget.Move(v, id, fleet.PoolName(argument), failed...)
	case "undrain":
		return budget.Undrain(v, id)
	case "reboot":
		return budget.Reboot(v, id)
	case "activate":
		return budget.Activate(v, id, argument)
	case "leave":
		return budget.RemoveMissing(v, id), nil
	case "depart":
		return budget.DrainLeaving(v, []roster.Listing{{ID: id, State: roster.Leaving}}), nil
	case "join":
		return budget.AddListed(v, []roster.Listing{
			{ID: id, Kind: roster.Worker, State: roster.Live, Zone: "z0", Slots: 8}}), nil
	}
	return nil, fmt.Errorf("unknown command %q", c.Cmd)
}

// pendingChange is a change that an operator or planner prepares on a view and commits later.
type pendingChange struct {
	base    uint64
	planned bool
	failed  []fleet.InstanceID
	items   []fleet.Item
	// zone is the zone that the change toggles between in and out of service instead of changing items, or "".
	zone fleet.AvailabilityZone
}

// TestRaces guards against races: several operators and planners prepare changes on views that may be stale when they
// commit. A commit succeeds only on the revision it is based on, as the table's condition on the head requires.
func TestRaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := fleetOf(3, rapid.IntRange(1, 6).Draw(t, "instances"), 2, rapid.IntRange(0, 4).Draw(t, "min"))
		changes := make([]pendingChange, 4)
		failed := map[fleet.InstanceID]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			a := &changes[rapid.IntRange(0, 3).Draw(t, "actor")]
			if a.items == nil && a.zone == "" {
				*a = prepare(t, v, failed)
				continue
			}
			if a.base == v.Revision() {
				after := apply(t, v, a.items)
				if a.zone != "" {
					after = after.WithZone(a.zone, toggled(v, a.zone))
				}
				checkBudgets(t, v, after, *a)
				v = after
			}
			*a = pendingChange{}
			checkMembership(t, v)
		}
	})
}

func prepare(t *rapid.T, v fleet.View, failed map[fleet.InstanceID]bool) pendingChange {
	var all []fleet.InstanceID
	for _, p := range v.PoolNames() {
		for _, m := range v.Pool(p) {
			all = append(all, m.ID)
		}
	}
	id := fleet.InstanceID(fmt.Sprintf("new-%d", rapid.IntRange(0, 5).Draw(t, "new")))
	if len(all) > 0 {
		id = rapid.SampledFrom(all).Draw(t, "instance")
	}
	target := fleet.PoolName(fmt.Sprintf("p%d", rapid.IntRange(0, 3).Draw(t, "target")))
	var unreachable []fleet.InstanceID
	for f := range failed {
		unreachable = append(unreachable, f)
	}
	slices.Sort(unreachable)
	a := pendingChange{base: v.Revision(), planned: true, failed: unreachable}
	var err error
	switch rapid.SampledFrom([]string{"drain", "renew", "move", "undrain", "reboot", "activate", "join", "leave", "fail", "zone"}).Draw(t, "change") {
	case "drain":
		a.items, err = budget.Drain(v, id, unreachable...)
	case "renew":
		a.items, err = budget.DrainForReboot(v, id, unreachable...)
	case "move":
		a.items, err = budget.Move(v, id, target, unreachable...)
	case "undrain":
		a.items, err = budget.Undrain(v, id)
	case "reboot":
		a.items, err = budget.Reboot(v, id)
	case "activate":
		a.items, err = budget.Activate(v, id, "v2")
	case "join":
		fresh := fleet.InstanceID(fmt.Sprintf("new-%d", rapid.IntRange(0, 5).Draw(t, "new")))
		a.items = budget.AddListed(v, []roster.Listing{
			{ID: fresh, Kind: roster.Worker, State: roster.Live, Zone: "z0", Slots: 8}})
	case "leave":
		a.planned = false
		a.items = budget.RemoveMissing(v, id)
	case "zone":
		a.zone = rapid.SampledFrom([]fleet.AvailabilityZone{"z0", "z1"}).Draw(t, "zone")
		d := v.Document()
		d.Zones = map[fleet.AvailabilityZone]fleet.ZoneSection{a.zone: {State: toggled(v, a.zone).State}}
		if len(budget.CheckZone(v, fleet.Section{Name: "zone/" + string(a.zone)}, d, unreachable...)) > 0 {
			return pendingChange{}
		}
	case "fail":
		// Changes prepared before the failure don't include it; later ones do.
		failed[id] = !failed[id]
		if !failed[id] {
			delete(failed, id)
		}
		return pendingChange{}
	}
	if err != nil {
		return pendingChange{}
	}
	return a
}

// toggled returns the opposite service state of a zone.
func toggled(v fleet.View, z fleet.AvailabilityZone) fleet.ZoneStatus {
	if v.Zone(z).State == fleet.ZoneOut {
		return fleet.ZoneStatus{State: fleet.ZoneIn}
	}
	return fleet.ZoneStatus{State: fleet.ZoneOut}
}

// checkBudgets checks availability with the failures known to the author of the change, because no change can take
// later failures into account.
func checkBudgets(t *rapid.T, before, after fleet.View, a pendingChange) {
	if !a.planned {
		return
	}
	for _, p := range after.PoolNames() {
		was, is := budget.Available(before, p, a.failed...), budget.Available(after, p, a.failed...)
		if is < was && is < after.Document().Pools[p].Min {
			t.Fatalf("planned work took pool %s from %d to %d, min %d, failed %v", p, was, is, after.Document().Pools[p].Min, a.failed)
		}
	}
}

func checkMembership(t *rapid.T, v fleet.View) {
	seen := map[fleet.InstanceID]fleet.PoolName{}
	for _, p := range v.PoolNames() {
		for _, m := range v.Pool(p) {
			if other, ok := seen[m.ID]; ok {
				t.Fatalf("instance %s is in %s and %s", m.ID, other, p)
			}
			seen[m.ID] = p
			if m.State == fleet.InstanceRebooting && m.Target == "" {
				t.Fatalf("instance %s is rebooting without a target pool", m.ID)
			}
		}
	}
}

// TestAddListedSpreads guards against a bootstrap that puts every instance in one pool or leaves a pool without
// instances in some zone.
func TestAddListedSpreads(t *testing.T) {
	v := fleetOf(5, 0, 1, 8)
	v.Document().Pools["p4"] = fleet.PoolSection{Spare: true}
	var listings []roster.Listing
	for i := range 50 {
		listings = append(listings, roster.Listing{ID: fleet.InstanceID(fmt.Sprintf("w%02d", i)), Kind: roster.Worker,
			State: roster.Live, Zone: fleet.AvailabilityZone(fmt.Sprintf("z%d", i%4)), Slots: 8})
	}
	v = apply(t, v, budget.AddListed(v, listings))
	for _, p := range v.PoolNames() {
		zones := map[fleet.AvailabilityZone]int{}
		for _, m := range v.Pool(p) {
			zones[m.Zone]++
		}
		if n := len(v.Pool(p)); n != 10 || len(zones) != 4 {
			t.Errorf("pool %s has %d instances in zones %v, want 10 in 4 zones", p, n, zones)
		}
	}
	if items := budget.AddListed(v, listings); len(items) != 0 {
		t.Errorf("adding the same list again changes %v", items)
	}
	missing := budget.Missing(v, listings[1:], "w00", "w01", "other")
	if !slices.Equal(missing, []fleet.InstanceID{"w00"}) {
		t.Errorf("missing %v, want only w00: w01 is listed and other is no member", missing)
	}
}

// TestBatch guards against a batch whose steps ignore each other's use of the budget, and against a batch that fails
// because one step is rejected.
func TestBatch(t *testing.T) {
	v := fleetOf(1, 4, 2, 2)
	step := func(id fleet.InstanceID) budget.Step {
		return func(v fleet.View) ([]fleet.Item, error) { return budget.DrainForReboot(v, id) }
	}
	items, err := budget.Batch(v, step("w0-0"), step("nobody"), step("w0-1"), step("w0-2"))
	if err != nil || len(items) != 1 {
		t.Fatalf("%d items, error %v, want one item for the one pool", len(items), err)
	}
	if n := budget.Available(apply(t, v, items), "p0"); n != 2 {
		t.Errorf("%d available, want the min of 2", n)
	}
	if _, err := budget.Batch(v, step("nobody")); err == nil {
		t.Error("a batch in which every step is rejected returns no error")
	}
}
