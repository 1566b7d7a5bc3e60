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
}

// Load returns the present work. Slots count as running from the permit on, since they hold a ceiling unit.
func (r *Runner) Load() Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := Load{Waiting: maps.Clone(r.waiting), Running: map[fleet.TeamName]int{}, Zones: map[fleet.AvailabilityZone]int{}}
	for _, a := range r.attempts {
		l.Running[a.task.team] += a.slots
		if z, started := a.startedIn(); started {
			l.Zones[z]++
		}
	}
	return l
}
