package audit

import (
	"fmt"
	"maps"
	"slices"

	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// poolMember is an instance in a pool, as the edits describe it.
type poolMember struct {
	pool   fleet.PoolName
	zone   fleet.AvailabilityZone
	status fleet.InstanceState
}

// poolCapacity tracks the available instances of every pool, edit by edit.
type poolCapacity struct {
	members  map[fleet.InstanceID]poolMember
	zonesOut map[fleet.AvailabilityZone]bool
	budgets  map[fleet.PoolName]int
	losses   map[fleet.InstanceID][]interval
}

// underBudget finds planned changes that reduce a pool's available instances and leave it under its budget.
func (t trial) underBudget() []Finding {
	c := poolCapacity{
		members: map[fleet.InstanceID]poolMember{}, zonesOut: map[fleet.AvailabilityZone]bool{},
		budgets: map[fleet.PoolName]int{}, losses: t.unplannedLosses(),
	}
	var f []Finding
	for _, e := range t.edits {
		at := e.record.RequestedAt()
		before := c.available(at)
		c.apply(e.record)
		after := c.available(at)
		for _, p := range slices.Sorted(maps.Keys(before)) {
			if after[p] < before[p] && after[p] < c.budgets[p] {
				f = append(f, Finding{
					Check: UnderBudget, Source: InEdits, Record: e.number, Time: e.record.Time,
					Detail: fmt.Sprintf("pool %s has %d available instances with a budget of %d", p, after[p], c.budgets[p]),
				})
			}
		}
	}
	return f
}

func (c poolCapacity) apply(e record.Edit) {
	switch e.Kind {
	case record.EditZone:
		c.zonesOut[e.Zone] = e.State == fleet.ZoneOut
	case record.EditBudget:
		c.budgets[e.Pool] = e.Count
	case record.EditPool:
		if e.Pool == "" {
			delete(c.members, e.Instance)
			return
		}
		m := poolMember{pool: e.Pool, zone: e.Zone, status: e.Status}
		if m.zone == "" {
			m.zone = c.members[e.Instance].zone
		}
		c.members[e.Instance] = m
	}
}

func (c poolCapacity) available(at record.Stamp) map[fleet.PoolName]int {
	n := map[fleet.PoolName]int{}
	for id, m := range c.members {
		if _, lost := findInterval(c.losses[id], at); !lost && m.status == fleet.InstanceActive && !c.zonesOut[m.zone] {
			n[m.pool]++
		}
	}
	return n
}

// unplannedLosses returns the intervals in which each instance was lost without a plan. A loss counts only after Grace,
// since a planner can't know of it at once.
func (t trial) unplannedLosses() map[fleet.InstanceID][]interval {
	lost := map[fleet.InstanceID][]interval{}
	for _, j := range t.journal {
		list := lost[j.record.Instance]
		open := len(list) > 0 && list[len(list)-1].to == 0
		switch {
		case j.record.Event == record.Died && !open:
			list = append(list, interval{from: j.record.Time.Add(Grace)})
		case j.record.Event == record.Booted && open:
			list[len(list)-1].to = j.record.Time
		}
		lost[j.record.Instance] = list
	}
	return lost
}
