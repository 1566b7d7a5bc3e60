package trial

import (
	"fmt"
	"slices"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/demo"
	"github.com/yuccahaven/yuccahaven/internal/lab/load"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// patience is the timeout of tasks: longer than a run, so that no overload is refused because of its deadline.
const patience = 2 * time.Minute

// scenario is a deployment and its load.
type scenario struct {
	name      string
	customers []demo.Customer
	// uneven sends half of each team's requests to one entry instance, another one for each team.
	uneven bool
	// urgent is the part of requests that are urgent, once that of keyed non-idempotent ones.
	urgent, once float64
	surge        time.Duration
	// moves takes a zone out and back; atOnce replaces the ramp of its return by a single step.
	moves, atOnce bool
	// fixed keeps every spare worker in its pool.
	fixed bool
}

// Names of the scenarios.
const (
	full    = "full"
	ceiling = "ceiling"
	stay    = "zone-stays"
	ramped  = "zone-moves"
	atOnce  = "zone-moves-at-once"
	light   = "light"
	surges  = "surges"
)

func scenarios() []scenario {
	moving := customersAt(0.95, 800)
	return []scenario{
		{name: full, customers: fullCustomers(), uneven: true, urgent: 0.05, fixed: true},
		{name: ceiling, customers: ceilingCustomers(), uneven: true, fixed: true},
		{name: stay, customers: moving, once: 0.3},
		{name: ramped, customers: moving, once: 0.3, moves: true},
		{name: atOnce, customers: moving, once: 0.3, moves: true, atOnce: true},
		{name: light, customers: customersAt(0.05, 200), once: 0.3, fixed: true},
		{name: surges, customers: surgeCustomers(), surge: 2 * time.Second, uneven: true, fixed: true},
	}
}

func choose(names []string) ([]scenario, error) {
	all := scenarios()
	for _, n := range names {
		if !slices.ContainsFunc(all, func(s scenario) bool { return s.name == n }) {
			return nil, fmt.Errorf("trial: unknown scenario %q", n)
		}
	}
	return slices.DeleteFunc(all, func(s scenario) bool { return len(names) > 0 && !slices.Contains(names, s.name) }), nil
}

const poolSlots = 10 * slotsPerWorker

// fullCustomers overload two pools, three teams in each, by 1.4; every team always has work waiting. The other two
// pools are idle, since five pools under full load need more processors than the test machine has.
func fullCustomers() []demo.Customer {
	list := []demo.Customer{
		{Name: "harbour", Pool: "pool-1", Share: 4}, {Name: "bakery", Pool: "pool-1", Share: 2}, {Name: "mill", Pool: "pool-1", Share: 1},
		{Name: "quarry", Pool: "pool-2", Share: 4}, {Name: "forge", Pool: "pool-2", Share: 2}, {Name: "dairy", Pool: "pool-2", Share: 1},
	}
	for i, c := range list {
		list[i].Ceiling, list[i].Run, list[i].Timeout = poolSlots, 800, patience
		list[i].Rate = 1.4 * poolSlots / 0.8 * float64(c.Share) / 7
	}
	return withPools(list)
}

// ceilingCustomers offer one and a half times what their ceilings allow, in pools that have room.
func ceilingCustomers() []demo.Customer {
	list := []demo.Customer{
		{Name: "harbour", Pool: "pool-1", Ceiling: 60}, {Name: "quarry", Pool: "pool-2", Ceiling: 24},
		{Name: "bakery", Pool: "pool-3", Ceiling: 24}, {Name: "mill", Pool: "pool-3", Ceiling: 12},
		{Name: "forge", Pool: "pool-4", Ceiling: 6}, {Name: "dairy", Pool: "pool-4", Ceiling: 36},
	}
	for i, c := range list {
		list[i].Share, list[i].Run, list[i].Timeout = 1, 800, patience
		list[i].Rate = 1.5 * float64(c.Ceiling) / 0.8
	}
	return list
}

// customersAt fill a part of four pools, two of them with a large customer each.
func customersAt(part float64, run int64) []demo.Customer {
	list := []demo.Customer{
		{Name: "harbour", Pool: "pool-1", Share: 4}, {Name: "quarry", Pool: "pool-2", Share: 4},
		{Name: "bakery", Pool: "pool-3", Share: 2}, {Name: "mill", Pool: "pool-3", Share: 1},
		{Name: "forge", Pool: "pool-4", Share: 1}, {Name: "dairy", Pool: "pool-4", Share: 1},
	}
	teams := map[string]float64{}
	for _, c := range list {
		teams[string(c.Pool)]++
	}
	for i, c := range list {
		list[i].Ceiling, list[i].Run, list[i].Timeout = poolSlots, run, patience
		list[i].Rate = part * poolSlots / teams[string(c.Pool)] * 1000 / float64(run)
	}
	return list
}

// surgeCustomers surge in turn beyond their ceilings, which are below the slots of their pools.
func surgeCustomers() []demo.Customer {
	list := customersAt(0.25, 400)
	for i := range list {
		list[i].Ceiling = 48
		list[i].Rate = 40
	}
	return list
}

// withPools adds a customer without load to each pool that would have none, so that the pools have the usual size.
func withPools(list []demo.Customer) []demo.Customer {
	for _, p := range []string{"3", "4"} {
		list = append(list, demo.Customer{Name: "idle-" + p, Pool: fleet.PoolName("pool-" + p), Share: 1, Ceiling: 6, Run: 1, Timeout: patience})
	}
	return list
}

func (c scenario) teams(d *demo.Deployment) []load.Team {
	teams := d.Load()
	for i := range teams {
		t := &teams[i]
		t.Async, t.Once, t.Urgent = 0, c.once, c.urgent
		if c.uneven {
			t.Endpoints = unevenly(d.URLs(), i)
		}
	}
	return teams
}

// unevenly lists endpoints so that one gets half of the requests and the others equal parts of the rest.
func unevenly(urls []string, first int) []string {
	var list []string
	for i, u := range urls {
		if i != first%len(urls) {
			list = append(list, urls[first%len(urls)], u)
		}
	}
	return list
}
