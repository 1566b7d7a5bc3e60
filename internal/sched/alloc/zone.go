package alloc

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/sched/ramp"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// zone is the state of one availability zone in the pool.
type zone struct {
	name         fleet.AvailabilityZone
	stateMachine *ramp.StateMachine
	observation  ramp.ZoneObservation
	probed       int // workers with a completed probe
}

func (p *pool) zone(name fleet.AvailabilityZone, v fleet.View, now time.Time) *zone {
	z, ok := p.zones[name]
	if !ok {
		z = &zone{name: name, stateMachine: ramp.New(now, v.Zone(name))}
		p.zones[name] = z
		p.picker.SetZoneLimit(name, z.stateMachine.Percent())
	}
	return z
}

// zonesChanged reports whether the status of one of the pool's zones differs from the last view.
func (p *pool) zonesChanged(v fleet.View) bool {
	for name := range p.zones {
		if v.Zone(name) != p.view.Zone(name) {
			return true
		}
	}
	return false
}

func (p *pool) applyZones(v fleet.View, now time.Time) {
	for _, z := range p.zones {
		z.stateMachine.ApplyStatus(now, v.Zone(z.name))
		p.picker.SetZoneLimit(z.name, z.stateMachine.Percent())
	}
}

// advanceStates applies time-based state changes of quarantined workers and availability zones.
func (p *pool) advanceStates(now time.Time) {
	for _, id := range p.health.Advance(now) {
		if w, ok := p.workers[id]; ok {
			p.updateLimit(w)
		}
	}
	onlyZone := p.observeZones()
	for _, z := range p.zones {
		if z.probed < z.observation.Workers {
			continue // this coordinator has not probed every worker yet
		}
		z.observation.OnlyZone = onlyZone
		z.stateMachine.Tick(now, z.observation)
		p.picker.SetZoneLimit(z.name, z.stateMachine.Percent())
	}
}

// observeZones refreshes the observation of each zone and reports whether no zone is in service.
func (p *pool) observeZones() bool {
	noneInService := true
	for _, z := range p.zones {
		z.observation, z.probed = ramp.ZoneObservation{}, 0
		noneInService = noneInService && z.stateMachine.State() != ramp.InService
	}
	for _, w := range p.workerOrder {
		z := w.zone
		z.observation.Workers++
		z.observation.Orphaned += len(w.orphaned)
		z.observation.Running += w.Used()
		if w.probed {
			z.probed++
		}
		if w.reachability.Responds() {
			z.observation.Responding++
			if w.reachability.Proven() {
				z.observation.Proven++
			}
		}
	}
	return noneInService
}

// resumeSteps resumes returning zones at the steps that an earlier coordinator reported to the entries.
func (p *pool) resumeSteps(steps []peer.ZoneStep, now time.Time) {
	for _, s := range steps {
		if z, ok := p.zones[s.Zone]; ok {
			z.stateMachine.Resume(now, s.Generation, s.Step)
			p.picker.SetZoneLimit(z.name, z.stateMachine.Percent())
		}
	}
}

// zoneSteps returns the step of each zone that was ever out of service. Entries repeat them in their polls, so that
// a new coordinator can resume them.
func (p *pool) zoneSteps() []peer.ZoneStep {
	var out []peer.ZoneStep
	for _, z := range p.zones {
		m := z.stateMachine
		if m.Generation() > 0 || m.State() != ramp.InService {
			out = append(out, peer.ZoneStep{Zone: z.name, Generation: m.Generation(), Step: m.Step()})
		}
	}
	return out
}
