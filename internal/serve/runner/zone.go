package runner

import (
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// zoneTracker stores when this instance first saw each availability zone out of service, because clocks of different
// machines are never compared.
type zoneTracker struct {
	mu        sync.Mutex
	evacuated map[fleet.AvailabilityZone]evacuation
}

// evacuation is one period for which a zone is out of service.
type evacuation struct {
	generation uint64
	firstSeen  time.Time
	grace      time.Duration
}

func newZoneTracker() *zoneTracker {
	return &zoneTracker{evacuated: map[fleet.AvailabilityZone]evacuation{}}
}

// observe takes over the states of the zones from a view.
func (t *zoneTracker) observe(v fleet.View, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for z, section := range v.Document().Zones {
		status := v.Zone(z)
		if status.State != fleet.ZoneOut {
			delete(t.evacuated, z)
			continue
		}
		e, ok := t.evacuated[z]
		if !ok || e.generation != status.Generation {
			e = evacuation{generation: status.Generation, firstSeen: now}
		}
		e.grace = section.Grace
		t.evacuated[z] = e
	}
}

// isGraceOver reports whether the grace period of a zone has passed since the start of the evacuation in the view.
// Zones are observed at intervals, so the evacuation observed last may be over, or another one may have begun since.
func (t *zoneTracker) isGraceOver(z fleet.AvailabilityZone, current fleet.ZoneStatus, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.evacuated[z]
	return ok && current.State == fleet.ZoneOut && current.Generation == e.generation && now.Sub(e.firstSeen) >= e.grace
}

// mustEvacuate reports whether a running task must be stopped and continued elsewhere. Non-idempotent tasks finish
// where they are.
func (r *Runner) mustEvacuate(a *attempt) bool {
	return !a.task.job.Once && r.zones.isGraceOver(a.zone, r.options.Views.View().Zone(a.zone), time.Now())
}
