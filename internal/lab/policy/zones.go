package policy

import (
	"fmt"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/sched/learn"
	"github.com/yuccahaven/yuccahaven/internal/sched/ramp"
	"github.com/yuccahaven/yuccahaven/internal/sched/share"
)

const (
	zoneWorkers   = 12
	zoneCount     = 3
	changedZone   = fleet.AvailabilityZone("z2")
	zoneOutAt     = 60 * time.Second
	zoneInAt      = 120 * time.Second
	zoneRunLength = 200 * time.Second
	// badDuration is how long a returned zone fails or runs slowly under load.
	badDuration = 15 * time.Second
	// warmUpWork is the work in slot-seconds after which a cold worker is warm; until then its tasks take coldFactor
	// times as long.
	warmUpWork = 30
	coldFactor = 4
	// coldCacheFactor scales the slowdown of tasks with the zone's load while its shared caches are cold.
	coldCacheFactor = 8
)

// zoneTeams load two of the three zones beyond their capacity, and all three to 73 %.
var zoneTeams = []team{
	{weight: 2, run: 200 * time.Millisecond, load: 25, timeout: 10 * time.Second},
	{weight: 1, run: time.Second, load: 25, timeout: 10 * time.Second},
	{weight: 1, run: 3 * time.Second, load: 20, timeout: 10 * time.Second},
}

// longTaskTeams have the same load in tasks so long that few of them end within a step of the ramp.
var longTaskTeams = []team{
	{weight: 2, run: 4 * time.Second, load: 25, timeout: 40 * time.Second},
	{weight: 1, run: 6 * time.Second, load: 25, timeout: 40 * time.Second},
	{weight: 1, run: 10 * time.Second, load: 20, timeout: 40 * time.Second},
}

// zoneChange is one way to take a zone out of service and return it.
type zoneChange struct {
	name string
	// states are the operators' changes; without any the zone stays in service.
	states []stateChange
	ramp   bool
}

type stateChange struct {
	at    time.Duration
	state fleet.ZoneState
}

var outAndIn = []stateChange{{zoneOutAt, fleet.ZoneOut}, {zoneInAt, fleet.ZoneIn}}

var repeatedOutAndIn = []stateChange{{zoneOutAt, fleet.ZoneOut}, {zoneInAt, fleet.ZoneIn},
	{zoneInAt + 3*time.Second, fleet.ZoneOut}, {zoneInAt + 5*time.Second, fleet.ZoneIn},
	{zoneInAt + 9*time.Second, fleet.ZoneOut}, {zoneInAt + 10*time.Second, fleet.ZoneIn}}

var zoneChanges = []zoneChange{
	{"no move", nil, false},
	{"never returned", outAndIn[:1], false},
	{"all at once", outAndIn, false},
	{"ramp (product)", outAndIn, true},
	{"impatient operator, all at once", repeatedOutAndIn, false},
	{"impatient operator, ramp (product)", repeatedOutAndIn, true},
}

// returnConditions are the conditions of the zone's workers after the return.
var returnConditions = []string{"ready", "cold", "cold under load", "failing", "failing late"}

// zoneResult counts tasks from zoneOutAt on.
type zoneResult struct{ done, failed, late float64 }

// measureZones measures the work completed from zoneOutAt until 80 s after the return.
func measureZones(o options) []table {
	const title = "Zone return: %s completed in time from departure to 80 s after the return, thousands (failed or late)"
	return []table{
		zoneTable(o, fmt.Sprintf(title, "tasks"), zoneTeams),
		zoneTable(o, fmt.Sprintf(title, "tasks of 4 to 10 s"), longTaskTeams),
	}
}

func zoneTable(o options, title string, load []team) table {
	t := table{Title: title, Head: append([]string{"move"}, returnConditions...)}
	for _, m := range zoneChanges {
		row := []string{m.name}
		for _, c := range returnConditions {
			var sum zoneResult
			for _, s := range runSeeds(o, func(seed uint64) zoneResult { return zoneRun(m, c, load, seed) }) {
				sum.done += s.done / float64(o.seeds) / 1000
				sum.failed += (s.failed + s.late) / float64(o.seeds) / 1000
			}
			row = append(row, fmt.Sprintf("%.3f (%.3f)", sum.done, sum.failed))
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

// zoneSim simulates a pool in which one zone is taken out of service and returned.
type zoneSim struct {
	*sim
	change       zoneChange
	condition    string
	stateMachine *ramp.StateMachine
	inService    bool
	changedAt    time.Duration
	workDone     map[string]float64 // slot-seconds since the last change of the zone, by worker
	typical      []learn.Durations
	result       zoneResult
}

func zoneRun(c zoneChange, condition string, load []team, seed uint64) zoneResult {
	z := &zoneSim{
		sim: newSim(seed, load, zoneWorkers, zoneCount, share.NewBalance()), change: c, condition: condition,
		stateMachine: ramp.New(simulationStart, fleet.ZoneStatus{State: fleet.ZoneIn}),
		inService:    true, workDone: map[string]float64{},
	}
	for range load {
		z.typical = append(z.typical, learn.NewDurations())
	}
	z.hooks.tick, z.hooks.execute, z.hooks.ended, z.hooks.nextTask = z.advance, z.executeTask, z.endTask, z.pop
	z.run(zoneRunLength)
	return z.result
}

// pop returns the team's next task and drops those whose deadline has passed.
func (z *zoneSim) pop(team int, _ bool, _ int) *task {
	f := &z.queued[team]
	for f.len() > 0 {
		if t := f.pop(); t.deadline > z.now {
			return t
		}
		z.count(&z.result.late)
	}
	return nil
}

func (z *zoneSim) count(n *float64) {
	if z.now >= zoneOutAt {
		*n++
	}
}

func (z *zoneSim) advance() {
	for i, c := range z.change.states {
		if c.at == z.now {
			z.stateMachine.ApplyStatus(z.clock(), fleet.ZoneStatus{State: c.state, Generation: uint64(i + 1)})
			z.inService = c.state == fleet.ZoneIn
			z.changedAt, z.workDone = z.now, map[string]float64{}
		}
	}
	percent := 0
	switch {
	case z.change.ramp:
		if z.now%(500*time.Millisecond) == 0 {
			z.stateMachine.Tick(z.clock(), z.observation())
		}
		percent = z.stateMachine.Percent()
	case z.inService:
		percent = 100
	}
	z.picker.SetZoneLimit(changedZone, percent)
}

func (z *zoneSim) observation() ramp.ZoneObservation {
	// The workers answer probes at all times, since the zone was taken out by operators and has not failed.
	const workers = zoneWorkers / zoneCount
	return ramp.ZoneObservation{Workers: workers, Responding: workers, Proven: workers, Running: z.usedSlots(changedZone)}
}

// usedSlots returns the number of slots in use in a zone.
func (z *zoneSim) usedSlots(name fleet.AvailabilityZone) int {
	used := 0
	for _, n := range z.nodes {
		if n.Zone == name {
			used += n.Used()
		}
	}
	return used
}

// executeTask returns a task's run time, and whether it fails, under the condition of its worker.
func (z *zoneSim) executeTask(t *task) (time.Duration, bool) {
	if t.worker.Zone != changedZone || len(z.change.states) == 0 || z.now < zoneInAt {
		return t.run, false
	}
	switch z.condition {
	case "cold":
		if w := z.workDone[string(t.worker.ID)]; w < warmUpWork {
			z.workDone[string(t.worker.ID)] = w + t.run.Seconds()*coldFactor
			return t.run * coldFactor, false
		}
	case "cold under load":
		if z.now < z.changedAt+badDuration {
			load := float64(z.usedSlots(changedZone)) / (zoneWorkers / zoneCount * workerSlots)
			return time.Duration(float64(t.run) * (1 + coldCacheFactor*load)), false
		}
	case "failing":
		if z.now < zoneInAt+badDuration {
			return t.run / 10, z.rng.Float64() < 0.8
		}
	case "failing late":
		if z.now < zoneInAt+badDuration {
			return t.run, z.rng.Float64() < 0.8
		}
	}
	return t.run, false
}

func (z *zoneSim) endTask(t *task) {
	ran := t.ends - t.started
	typical, _ := z.typical[t.team].Quantiles(z.clock())
	slowness := 0.0
	if typical > 0 {
		slowness = float64(ran) / float64(typical)
	}
	z.stateMachine.Observe(t.worker.Zone == changedZone, t.failed, slowness)
	if t.worker.Zone != changedZone && !t.failed {
		z.typical[t.team].Observe(z.clock(), ran)
	}
	switch {
	case t.failed:
		z.count(&z.result.failed)
	case t.ends > t.deadline:
		z.count(&z.result.late)
	default:
		z.count(&z.result.done)
	}
}
