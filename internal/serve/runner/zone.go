package runner

import (
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// zoneClock remembers when this instance first saw each availability zone out of service, because clocks of
// different machines are never compared.
type zoneClock struct {
	mu  sync.Mutex
	out map[fleet.AvailabilityZone]departure
}

type departure struct {
	generation uint64
	seen       time.Time
	grace      time.Duration
}

func newZoneClock() *zoneClock { return &zoneClock{out: map[fleet.AvailabilityZone]departure{}} }

// note takes over the zones' states of a view.
func (c *zoneClock) note(v fleet.View, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for z, section := range v.Document().Zones {
		status := v.Zone(z)
		if status.State != fleet.ZoneOut {
			delete(c.out, z)
			continue
		}
		d, ok := c.out[z]
		if !ok || d.generation != status.Generation {
			d = departure{generation: status.Generation, seen: now}
		}
		d.grace = section.Grace
		c.out[z] = d
	}
}

// isOver reports whether the grace of a zone has passed since the departure that the view shows. The departures are
// noted now and then, so the one noted may belong to a zone that has returned or left again meanwhile.
func (c *zoneClock) isOver(z fleet.AvailabilityZone, present fleet.ZoneStatus, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.out[z]
	return ok && present.State == fleet.ZoneOut && present.Generation == d.generation && now.Sub(d.seen) >= d.grace
}

// mustEvacuate reports whether a running task is to be stopped and continued elsewhere. Non-idempotent tasks finish
// where they are.
func (r *Runner) mustEvacuate(a *attempt) bool {
	return !a.task.job.Once && r.zones.isOver(a.zone, r.parts.Views.View().Zone(a.zone), time.Now())
}
