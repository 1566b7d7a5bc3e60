package audit

import (
	"fmt"
	"maps"
	"slices"

	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// member is an instance as the edits describe it.
type member struct {
	pool   fleet.PoolName
	zone   fleet.AvailabilityZone
	status fleet.InstanceState
}

// capacity follows the availability of every pool, edit by edit.
type capacity struct {
	members map[fleet.InstanceID]member
	out     map[fleet.AvailabilityZone]bool
	budgets map[fleet.PoolName]int
	lost    map[fleet.InstanceID][]window
}

// underBudget finds planned changes that took an available instance from a pool and left it under its budget.
func (t trial) underBudget() []Finding {
	c := capacity{
		members: map[fleet.InstanceID]member{}, out: map[fleet.AvailabilityZone]bool{},
		budgets: map[fleet.PoolName]int{}, lost: t.losses(),
	}
	var f []Finding
	for _, e := range t.edits {
		at := e.record.Asked()
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

func (c capacity) apply(e record.Edit) {
	switch e.Kind {
	case record.EditZone:
		c.out[e.Zone] = e.State == fleet.ZoneOut
	case record.EditBudget:
		c.budgets[e.Pool] = e.Count
	case record.EditPool:
		if e.Pool == "" {
			delete(c.members, e.Instance)
			return
		}
		m := member{pool: e.Pool, zone: e.Zone, status: e.Status}
		if m.zone == "" {
			m.zone = c.members[e.Instance].zone
		}
		c.members[e.Instance] = m
	}
}

func (c capacity) available(at record.Stamp) map[fleet.PoolName]int {
	n := map[fleet.PoolName]int{}
	for id, m := range c.members {
		if _, lost := within(c.lost[id], at); !lost && m.status == fleet.InstanceActive && !c.out[m.zone] {
			n[m.pool]++
		}
	}
	return n
}

// losses returns when each instance was lost without a plan. A loss counts from Grace on,
// since a planner can't know of it at once.
func (t trial) losses() map[fleet.InstanceID][]window {
	lost := map[fleet.InstanceID][]window{}
	for _, j := range t.journal {
		list := lost[j.record.Instance]
		open := len(list) > 0 && list[len(list)-1].to == 0
		switch {
		case j.record.Event == record.Died && !open:
			list = append(list, window{from: j.record.Time.Add(Grace)})
		case j.record.Event == record.Booted && open:
			list[len(list)-1].to = j.record.Time
		}
		lost[j.record.Instance] = list
	}
	return lost
}
