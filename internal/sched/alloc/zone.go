package alloc

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/sched/ramp"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// zone is one availability zone of the pool.
type zone struct {
	name    fleet.AvailabilityZone
	machine *ramp.StateMachine
	sight   ramp.ZoneObservation
	tried   int // workers with a finished probe
}

func (p *pool) zone(name fleet.AvailabilityZone, v fleet.View, now time.Time) *zone {
	z, ok := p.zones[name]
	if !ok {
		z = &zone{name: name, machine: ramp.New(now, v.Zone(name))}
		p.zones[name] = z
		p.picker.LimitZone(name, z.machine.Percent())
	}
	return z
}

// zonesChanged reports whether the state of one of the pool's zones is not that of the last view.
func (p *pool) zonesChanged(v fleet.View) bool {
	for name := range p.zones {
		if v.Zone(name) != p.view.Zone(name) {
			return true
		}
	}
	return false
}

func (p *pool) followZones(v fleet.View, now time.Time) {
	for _, z := range p.zones {
		z.machine.Follow(now, v.Zone(z.name))
		p.picker.LimitZone(z.name, z.machine.Percent())
	}
}

// advance moves zones and quarantined workers on.
func (p *pool) advance(now time.Time) {
	for _, id := range p.health.Advance(now) {
		if w, ok := p.workers[id]; ok {
			p.limit(w)
		}
	}
	alone := p.look()
	for _, z := range p.zones {
		if z.tried < z.sight.Workers {
			continue // a new coordinator has not probed every worker yet
		}
		z.sight.OnlyZone = alone
		z.machine.Tick(now, z.sight)
		p.picker.LimitZone(z.name, z.machine.Percent())
	}
}

// look counts what is seen of each zone and reports whether none is in service.
func (p *pool) look() bool {
	alone := true
	for _, z := range p.zones {
		z.sight, z.tried = ramp.ZoneObservation{}, 0
		alone = alone && z.machine.State() != ramp.InService
	}
	for _, w := range p.order {
		z := w.zone
		z.sight.Workers++
		z.sight.Leftover += len(w.leftover)
		z.sight.Running += w.Used()
		if w.tried {
			z.tried++
		}
		if w.contact.Responds() {
			z.sight.Responding++
			if w.contact.Proven() {
				z.sight.Proven++
			}
		}
	}
	return alone
}

// resume takes over the steps that entries saw last.
func (p *pool) resume(steps []peer.ZoneStep, now time.Time) {
	for _, s := range steps {
		if z, ok := p.zones[s.Zone]; ok {
			z.machine.Resume(now, s.Generation, s.Step)
			p.picker.LimitZone(z.name, z.machine.Percent())
		}
	}
}

// steps returns how far each zone has come, for the entries to echo; zones that were never out are left away.
func (p *pool) steps() []peer.ZoneStep {
	var out []peer.ZoneStep
	for _, z := range p.zones {
		m := z.machine
		if m.Generation() > 0 || m.State() != ramp.InService {
			out = append(out, peer.ZoneStep{Zone: z.name, Generation: m.Generation(), Step: m.Step()})
		}
	}
	return out
}
