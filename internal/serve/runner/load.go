package runner

import (
	"maps"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Load is the work at this entry instance.
type Load struct {
	// Waiting and Running are slots by team.
	Waiting map[fleet.TeamName]int
	Running map[fleet.TeamName]int
	// Zones counts started tasks by the availability zone of their workers.
	Zones map[fleet.AvailabilityZone]int
	// Pools is the demand by pool.
	Pools map[fleet.PoolName]Demand
}

// Demand is the use of a pool in slots. Waiting excludes work beyond the free ceiling grants, because additional
// workers would not start it.
type Demand struct {
	Running, Waiting int
}

// Load returns the current work. Slots count as running from the permit on, because they hold ceiling units.
func (r *Runner) Load() Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := Load{Waiting: maps.Clone(r.waiting), Running: map[fleet.TeamName]int{}, Zones: map[fleet.AvailabilityZone]int{},
		Pools: map[fleet.PoolName]Demand{}}
	for name, p := range r.pools {
		for _, d := range p.queue.Demand(r.options.Grants.Free) {
			l.Pools[name] = l.Pools[name].plus(0, min(d.Waiting, d.Usable))
		}
	}
	for _, a := range r.attempts {
		l.Running[a.task.team] += a.slots
		l.Pools[a.pool] = l.Pools[a.pool].plus(a.slots, 0)
		if z, started := a.startedZone(); started {
			l.Zones[z]++
		}
	}
	return l
}

func (d Demand) plus(running, waiting int) Demand {
	return Demand{Running: d.Running + running, Waiting: d.Waiting + waiting}
}
