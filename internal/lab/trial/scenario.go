package trial

import (
	"fmt"
	"slices"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/demo"
	"github.com/yuccahaven/yuccahaven/internal/lab/load"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// taskTimeout is the timeout of tasks: longer than a run, so that no request is refused because of its deadline, even
// under overload.
const taskTimeout = 2 * time.Minute

// scenario describes a deployment and its load.
type scenario struct {
	name      string
	customers []demo.Customer
	// skewed sends half of each team's requests to one entry instance, which differs from team to team.
	skewed bool
	// urgentShare is the fraction of requests that are urgent; onceShare is that of keyed non-idempotent requests.
	urgentShare, onceShare float64
	surge                  time.Duration
	// movesZone takes an availability zone out of service and back; withoutRamp replaces the ramp of its return by a
	// single step.
	movesZone, withoutRamp bool
	// keepsSpares prevents the spare pool from lending workers.
	keepsSpares bool
}

// Names of the scenarios.
const (
	scenarioFull            = "full"
	scenarioCeiling         = "ceiling"
	scenarioZoneStays       = "zone-stays"
	scenarioZoneMoves       = "zone-moves"
	scenarioZoneMovesAtOnce = "zone-moves-at-once"
	scenarioLight           = "light"
	scenarioSurges          = "surges"
)

func scenarios() []scenario {
	zoneCustomers := customersAtLoad(0.95, 800)
	return []scenario{
		{name: scenarioFull, customers: overloadedCustomers(), skewed: true, urgentShare: 0.05, keepsSpares: true},
		{name: scenarioCeiling, customers: ceilingCustomers(), skewed: true, keepsSpares: true},
		{name: scenarioZoneStays, customers: zoneCustomers, onceShare: 0.3},
		{name: scenarioZoneMoves, customers: zoneCustomers, onceShare: 0.3, movesZone: true},
		{name: scenarioZoneMovesAtOnce, customers: zoneCustomers, onceShare: 0.3, movesZone: true, withoutRamp: true},
		{name: scenarioLight, customers: customersAtLoad(0.05, 200), onceShare: 0.3, keepsSpares: true},
		{name: scenarioSurges, customers: surgingCustomers(), surge: 2 * time.Second, skewed: true, keepsSpares: true},
	}
}

func selectScenarios(names []string) ([]scenario, error) {
	all := scenarios()
	for _, n := range names {
		if !slices.ContainsFunc(all, func(s scenario) bool { return s.name == n }) {
			return nil, fmt.Errorf("trial: unknown scenario %q", n)
		}
	}
	return slices.DeleteFunc(all, func(s scenario) bool { return len(names) > 0 && !slices.Contains(names, s.name) }), nil
}

const poolSlots = 10 * slotsPerWorker

// overloadedCustomers returns three teams in each of two pools that together offer 1.4 times the pool's slots, so that
// every team always has work waiting. The other two pools are idle, since five pools under full load need more
// processors than the test machine has.
func overloadedCustomers() []demo.Customer {
	list := []demo.Customer{
		{Name: "harbour", Pool: "pool-1", Share: 4}, {Name: "bakery", Pool: "pool-1", Share: 2},
		{Name: "mill", Pool: "pool-1", Share: 1}, {Name: "quarry", Pool: "pool-2", Share: 4},
		{Name: "forge", Pool: "pool-2", Share: 2}, {Name: "dairy", Pool: "pool-2", Share: 1},
	}
	for i, c := range list {
		list[i].Ceiling, list[i].Run, list[i].Timeout = poolSlots, 800, taskTimeout
		// Tasks run for 0.8 s, and the shares of a pool's teams add up to 7.
		list[i].Rate = 1.4 * poolSlots / 0.8 * float64(c.Share) / 7
	}
	return withIdleCustomers(list)
}

// ceilingCustomers returns teams that offer 1.5 times what their ceilings allow, in pools with free slots.
func ceilingCustomers() []demo.Customer {
	list := []demo.Customer{
		{Name: "harbour", Pool: "pool-1", Ceiling: 60}, {Name: "quarry", Pool: "pool-2", Ceiling: 24},
		{Name: "bakery", Pool: "pool-3", Ceiling: 24}, {Name: "mill", Pool: "pool-3", Ceiling: 12},
		{Name: "forge", Pool: "pool-4", Ceiling: 6}, {Name: "dairy", Pool: "pool-4", Ceiling: 36},
	}
	for i, c := range list {
		list[i].Share, list[i].Run, list[i].Timeout = 1, 800, taskTimeout
		list[i].Rate = 1.5 * float64(c.Ceiling) / 0.8 // Tasks run for 0.8 s.
	}
	return list
}

// customersAtLoad returns customers that use a fraction of four pools with tasks of runMillis; two of the pools have a
// single large customer each.
func customersAtLoad(utilization float64, runMillis int64) []demo.Customer {
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
		list[i].Ceiling, list[i].Run, list[i].Timeout = poolSlots, runMillis, taskTimeout
		list[i].Rate = utilization * poolSlots / teams[string(c.Pool)] * 1000 / float64(runMillis)
	}
	return list
}

// surgingCustomers returns customers that surge in turn beyond their ceilings, which are below the slots of their
// pools.
func surgingCustomers() []demo.Customer {
	list := customersAtLoad(0.25, 400)
	for i := range list {
		list[i].Ceiling = 48
		list[i].Rate = 40
	}
	return list
}

// withIdleCustomers adds a customer without load to each pool that would have none, so that every pool has its usual
// size.
func withIdleCustomers(list []demo.Customer) []demo.Customer {
	for _, p := range []string{"3", "4"} {
		list = append(list, demo.Customer{
			Name: "idle-" + p, Pool: fleet.PoolName("pool-" + p), Share: 1, Ceiling: 6, Run: 1, Timeout: taskTimeout,
		})
	}
	return list
}

func (c scenario) loadTeams(d *demo.Deployment) []load.Team {
	teams := d.Load()
	for i := range teams {
		t := &teams[i]
		t.Async, t.Once, t.Urgent = 0, c.onceShare, c.urgentShare
		if c.skewed {
			t.Endpoints = skewEndpoints(d.URLs(), i)
		}
	}
	return teams
}

// skewEndpoints returns a list in which one endpoint receives half of the requests and the others share the rest
// equally.
func skewEndpoints(urls []string, favored int) []string {
	var list []string
	for i, u := range urls {
		if i != favored%len(urls) {
			list = append(list, urls[favored%len(urls)], u)
		}
	}
	return list
}
