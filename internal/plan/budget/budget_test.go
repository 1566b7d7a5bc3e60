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

// apply stands for the table: items of pools replace the membership.
func apply(t interface{ Fatal(...any) }, v fleet.View, items []fleet.Item) fleet.View {
	after, err := budget.Apply(v, items)
	if err != nil {
		t.Fatal(err)
	}
	return after.WithRevision(v.Revision() + 1)
}

func fleetOf(pools, perPool, zones, least int) fleet.View {
	d := fleet.Document{Pools: map[fleet.PoolName]fleet.PoolSection{}, Zones: map[fleet.AvailabilityZone]fleet.ZoneSection{}}
	var v fleet.View
	for p := range pools {
		name := fleet.PoolName(fmt.Sprintf("p%d", p))
		d.Pools[name] = fleet.PoolSection{Min: least}
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

// Guards against changes that break a budget, lose an instance between pools or leave a half-done state.
func TestChanges(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var v fleet.View
		datadriven.RunTest(t, path, func(t *testing.T, c *datadriven.TestData) string {
			if c.Cmd == "fleet" {
				var pools, instances, zones, least int
				c.ScanArgs(t, "pools", &pools)
				c.ScanArgs(t, "instances", &instances)
				c.ScanArgs(t, "zones", &zones)
				c.ScanArgs(t, "min", &least)
				v = fleetOf(pools, instances, zones, least)
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
	if findings := budget.Zone(*v, fleet.Section{Name: "zone/" + name}, d); len(findings) > 0 {
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
		return budget.Leave(v, id), nil
	case "depart":
		return budget.Depart(v, []roster.Listing{{ID: id, State: roster.Leaving}}), nil
	case "join":
		return budget.Join(v, []roster.Listing{{ID: id, Kind: roster.Worker, State: roster.Live, Zone: "z0", Slots: 8}}), nil
	}
	return nil, fmt.Errorf("unknown command %q", c.Cmd)
}

// actor is an operator or planner that prepares a change on a view and commits it later.
type actor struct {
	base    uint64
	planned bool
	failed  []fleet.InstanceID
	items   []fleet.Item
	// zone is set to the other state of service instead, if not empty.
	zone fleet.AvailabilityZone
}

// Guards against races: several operators and planners prepare changes on views that may be old by the time they
// commit; a commit succeeds only on the revision it was based on, as the table's condition on head demands.
func TestRaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := fleetOf(3, rapid.IntRange(1, 6).Draw(t, "instances"), 2, rapid.IntRange(0, 4).Draw(t, "min"))
		actors := make([]actor, 4)
		failed := map[fleet.InstanceID]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			a := &actors[rapid.IntRange(0, 3).Draw(t, "actor")]
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
			*a = actor{}
			checkMembership(t, v)
		}
	})
}

func prepare(t *rapid.T, v fleet.View, failed map[fleet.InstanceID]bool) actor {
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
	var down []fleet.InstanceID
	for f := range failed {
		down = append(down, f)
	}
	slices.Sort(down)
	a := actor{base: v.Revision(), planned: true, failed: down}
	var err error
	switch rapid.SampledFrom([]string{"drain", "renew", "move", "undrain", "reboot", "activate", "join", "leave", "fail", "zone"}).Draw(t, "change") {
	case "drain":
		a.items, err = budget.Drain(v, id, down...)
	case "renew":
		a.items, err = budget.DrainForReboot(v, id, down...)
	case "move":
		a.items, err = budget.Move(v, id, target, down...)
	case "undrain":
		a.items, err = budget.Undrain(v, id)
	case "reboot":
		a.items, err = budget.Reboot(v, id)
	case "activate":
		a.items, err = budget.Activate(v, id, "v2")
	case "join":
		fresh := fleet.InstanceID(fmt.Sprintf("new-%d", rapid.IntRange(0, 5).Draw(t, "new")))
		a.items = budget.Join(v, []roster.Listing{{ID: fresh, Kind: roster.Worker, State: roster.Live, Zone: "z0", Slots: 8}})
	case "leave":
		a.planned = false
		a.items = budget.Leave(v, id)
	case "zone":
		a.zone = rapid.SampledFrom([]fleet.AvailabilityZone{"z0", "z1"}).Draw(t, "zone")
		d := v.Document()
		d.Zones = map[fleet.AvailabilityZone]fleet.ZoneSection{a.zone: {State: toggled(v, a.zone).State}}
		if len(budget.Zone(v, fleet.Section{Name: "zone/" + string(a.zone)}, d, down...)) > 0 {
			return actor{}
		}
	case "fail":
		// Plans made before the failure don't know of it; the later ones do.
		failed[id] = !failed[id]
		if !failed[id] {
			delete(failed, id)
		}
		return actor{}
	}
	if err != nil {
		return actor{}
	}
	return a
}

// toggled returns the other state of service of a zone.
func toggled(v fleet.View, z fleet.AvailabilityZone) fleet.ZoneStatus {
	if v.Zone(z).State == fleet.ZoneOut {
		return fleet.ZoneStatus{State: fleet.ZoneIn}
	}
	return fleet.ZoneStatus{State: fleet.ZoneOut}
}

// checkBudgets compares availability as the author of the change knew it: no plan can foresee a failure.
func checkBudgets(t *rapid.T, before, after fleet.View, a actor) {
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
				t.Fatalf("instance %s reboots towards no pool", m.ID)
			}
		}
	}
}

// Guards against a bootstrap that puts every instance in one pool or leaves a pool without a zone.
func TestJoinSpreads(t *testing.T) {
	v := fleetOf(5, 0, 1, 8)
	v.Document().Pools["p4"] = fleet.PoolSection{Spare: true}
	var listings []roster.Listing
	for i := range 50 {
		listings = append(listings, roster.Listing{ID: fleet.InstanceID(fmt.Sprintf("w%02d", i)), Kind: roster.Worker,
			State: roster.Live, Zone: fleet.AvailabilityZone(fmt.Sprintf("z%d", i%4)), Slots: 8})
	}
	v = apply(t, v, budget.Join(v, listings))
	for _, p := range v.PoolNames() {
		zones := map[fleet.AvailabilityZone]int{}
		for _, m := range v.Pool(p) {
			zones[m.Zone]++
		}
		if n := len(v.Pool(p)); n != 10 || len(zones) != 4 {
			t.Errorf("pool %s has %d instances in zones %v, want 10 in 4 zones", p, n, zones)
		}
	}
	if items := budget.Join(v, listings); len(items) != 0 {
		t.Errorf("joining again changes %v", items)
	}
	gone := budget.Missing(v, listings[1:], "w00", "w01", "other")
	if !slices.Equal(gone, []fleet.InstanceID{"w00"}) {
		t.Errorf("gone %v, want w00 only: w01 is listed and other is no member", gone)
	}
}

// Guards against a batch whose steps overlook each other's use of the budget or that fails as a whole.
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
		t.Error("a batch of refusals has no error")
	}
}
