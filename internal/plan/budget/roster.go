package budget

import (
	"cmp"
	"maps"
	"slices"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
)

// AddListed assigns listed live workers without a pool to pools, first to those below their min, and updates the
// address, zone, rack and slots of those in a pool. Instances of a zone are spread over the pools, so that the loss of
// a zone costs every pool the same. It returns no items if nothing changes.
func AddListed(v fleet.View, listings []roster.Listing) []fleet.Item {
	c := newChange(v)
	for _, l := range listings {
		if l.Kind != roster.Worker || l.State != roster.Live {
			continue
		}
		if p, ok := c.poolOf(l.ID); ok {
			c.updateFromListing(p, l)
			continue
		}
		if p, ok := c.poolForNew(l.Zone); ok {
			c.update(p, fleet.PoolMember{ID: l.ID, Address: l.Address, Zone: l.Zone, Rack: l.Rack, Slots: l.Slots,
				State: fleet.InstanceActive})
		}
	}
	return c.items()
}

// DrainLeaving drains the active workers that the roster lists as leaving, until Undrain. No budget is checked, because
// the platform takes them in any case; they count against the budgets of planned work.
func DrainLeaving(v fleet.View, listings []roster.Listing) []fleet.Item {
	c := newChange(v)
	for _, l := range listings {
		p, ok := c.poolOf(l.ID)
		if !ok || l.State != roster.Leaving {
			continue
		}
		if m := c.pools[p][l.ID]; m.State == fleet.InstanceActive {
			m.State, m.Target = fleet.InstanceDraining, ""
			c.update(p, m)
		}
	}
	return c.items()
}

// RemoveMissing removes instances that are missing: absent from the roster and, because the roster lags, unreachable
// as well.
func RemoveMissing(v fleet.View, missing ...fleet.InstanceID) []fleet.Item {
	c := newChange(v)
	for _, id := range missing {
		if p, ok := c.poolOf(id); ok {
			delete(c.pools[p], id)
			c.changed[p] = true
		}
	}
	return c.items()
}

// Missing returns the members that are absent from the roster and unreachable, sorted.
func Missing(v fleet.View, listings []roster.Listing, unreachable ...fleet.InstanceID) []fleet.InstanceID {
	listed := map[fleet.InstanceID]bool{}
	for _, l := range listings {
		listed[l.ID] = true
	}
	var missing []fleet.InstanceID
	for _, id := range unreachable {
		if _, ok := v.PoolOf(id); ok && !listed[id] {
			missing = append(missing, id)
		}
	}
	slices.Sort(missing)
	return slices.Compact(missing)
}

// change is a mutable copy of the pools that tracks which of them differ from the view.
type change struct {
	view    fleet.View
	pools   map[fleet.PoolName]map[fleet.InstanceID]fleet.PoolMember
	index   map[fleet.InstanceID]fleet.PoolName
	changed map[fleet.PoolName]bool
	// counts holds the number of members by pool and zone; the zone "" stands for all zones.
	counts map[poolZone]int
}

type poolZone struct {
	pool fleet.PoolName
	zone fleet.AvailabilityZone
}

func newChange(v fleet.View) *change {
	c := &change{view: v, pools: map[fleet.PoolName]map[fleet.InstanceID]fleet.PoolMember{},
		index: map[fleet.InstanceID]fleet.PoolName{}, changed: map[fleet.PoolName]bool{},
		counts: map[poolZone]int{}}
	for _, p := range v.PoolNames() {
		c.pools[p] = map[fleet.InstanceID]fleet.PoolMember{}
		for _, m := range v.Pool(p) {
			c.put(p, m)
		}
	}
	return c
}

func (c *change) poolOf(id fleet.InstanceID) (fleet.PoolName, bool) {
	p, ok := c.index[id]
	return p, ok
}

func (c *change) update(p fleet.PoolName, m fleet.PoolMember) {
	c.put(p, m)
	c.changed[p] = true
}

func (c *change) put(p fleet.PoolName, m fleet.PoolMember) {
	if _, ok := c.pools[p][m.ID]; !ok {
		c.counts[poolZone{p, m.Zone}]++
		c.counts[poolZone{p, ""}]++
	}
	c.pools[p][m.ID] = m
	c.index[m.ID] = p
}

// updateFromListing updates a member that was replaced by another instance with the same identifier.
func (c *change) updateFromListing(p fleet.PoolName, l roster.Listing) {
	m := c.pools[p][l.ID]
	if m.Address == l.Address && m.Zone == l.Zone && m.Rack == l.Rack && m.Slots == l.Slots {
		return
	}
	m.Address, m.Zone, m.Rack, m.Slots = l.Address, l.Zone, l.Rack, l.Slots
	c.update(p, m)
}

// poolForNew returns the pool of the document that a new instance of a zone joins. Pools below their min come first,
// then those with the fewest members of the zone, then those furthest below their min, then those with the fewest
// members, then the first by name.
func (c *change) poolForNew(z fleet.AvailabilityZone) (fleet.PoolName, bool) {
	pools := slices.Sorted(maps.Keys(c.view.Document().Pools))
	if len(pools) == 0 {
		return "", false
	}
	return slices.MinFunc(pools, func(a, b fleet.PoolName) int {
		return cmp.Or(cmp.Compare(min(c.shortfall(b), 1), min(c.shortfall(a), 1)),
			cmp.Compare(c.counts[poolZone{a, z}], c.counts[poolZone{b, z}]),
			cmp.Compare(c.shortfall(b), c.shortfall(a)),
			cmp.Compare(c.counts[poolZone{a, ""}], c.counts[poolZone{b, ""}]))
	}), true
}

// shortfall returns how many members a pool lacks to reach its min.
func (c *change) shortfall(p fleet.PoolName) int {
	return max(0, c.view.Document().Pools[p].Min-c.counts[poolZone{p, ""}])
}

func (c *change) items() []fleet.Item {
	var items []fleet.Item
	for _, p := range slices.Sorted(maps.Keys(c.changed)) {
		items = append(items, poolItem(p, slices.Collect(maps.Values(c.pools[p]))))
	}
	return items
}
