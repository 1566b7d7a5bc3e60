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
	zoneWorkers = 12
	zoneCount   = 3
	moving      = fleet.AvailabilityZone("z2")
	departure   = 60 * time.Second
	comeback    = 120 * time.Second
	zoneEnd     = 200 * time.Second
	// badTime is how long a zone that is failing or cold after its return stays so.
	badTime = 15 * time.Second
	// warmWork is the work in slot-seconds after which a cold worker is warm; coldFactor slows its tasks until then.
	warmWork   = 30
	coldFactor = 4
	// herdFactor slows tasks in proportion to the zone's load while shared caches are cold.
	herdFactor = 8
)

// movers load two of three zones beyond capacity, and three of three at 73 %.
var movers = []team{
	{weight: 2, run: 200 * time.Millisecond, load: 25, timeout: 10 * time.Second},
	{weight: 1, run: time.Second, load: 25, timeout: 10 * time.Second},
	{weight: 1, run: 3 * time.Second, load: 20, timeout: 10 * time.Second},
}

// longMovers are the same load in tasks so long that few end within a step.
var longMovers = []team{
	{weight: 2, run: 4 * time.Second, load: 25, timeout: 40 * time.Second},
	{weight: 1, run: 6 * time.Second, load: 25, timeout: 40 * time.Second},
	{weight: 1, run: 10 * time.Second, load: 20, timeout: 40 * time.Second},
}

// move is one way to take a zone out and return it.
type move struct {
	name string
	// states are the operators' changes; none means that the zone stays.
	states []change
	ramp   bool
}

type change struct {
	at    time.Duration
	state fleet.ZoneState
}

var once = []change{{departure, fleet.ZoneOut}, {comeback, fleet.ZoneIn}}

var impatient = []change{{departure, fleet.ZoneOut}, {comeback, fleet.ZoneIn}, {comeback + 3*time.Second, fleet.ZoneOut},
	{comeback + 5*time.Second, fleet.ZoneIn}, {comeback + 9*time.Second, fleet.ZoneOut},
	{comeback + 10*time.Second, fleet.ZoneIn}}

var moves = []move{
	{"no move", nil, false},
	{"never returned", once[:1], false},
	{"all at once", once, false},
	{"ramp (product)", once, true},
	{"impatient operator, all at once", impatient, false},
	{"impatient operator, ramp (product)", impatient, true},
}

// conditions are the states in which the zone's workers may be after the return.
var conditions = []string{"ready", "cold", "cold under load", "failing", "failing late"}

// score counts tasks from the departure on.
type score struct{ done, failed, late float64 }

// zones measures the work completed from a departure until well after the return.
func zones(o options) []table {
	const title = "Zone return: %s completed in time from departure to 80 s after the return, thousands (failed or late)"
	return []table{
		zoneTable(o, fmt.Sprintf(title, "tasks"), movers),
		zoneTable(o, fmt.Sprintf(title, "tasks of 4 to 10 s"), longMovers),
	}
}

func zoneTable(o options, title string, load []team) table {
	t := table{Title: title, Head: append([]string{"move"}, conditions...)}
	for _, m := range moves {
		row := []string{m.name}
		for _, c := range conditions {
			var sum score
			for _, s := range parallel(o, func(seed uint64) score { return zoneRun(m, c, load, seed) }) {
				sum.done += s.done / float64(o.seeds) / 1000
				sum.failed += (s.failed + s.late) / float64(o.seeds) / 1000
			}
			row = append(row, fmt.Sprintf("%.3f (%.3f)", sum.done, sum.failed))
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

// zoneSim is a pool with one moving zone.
type zoneSim struct {
	*sim
	move      move
	condition string
	machine   *ramp.StateMachine
	in        bool
	returned  time.Duration
	work      map[string]float64 // slot-seconds done since the return, by worker
	typical   []learn.Durations
	score     score
}

func zoneRun(m move, condition string, load []team, seed uint64) score {
	z := &zoneSim{
		sim: newSim(seed, load, zoneWorkers, zoneCount, share.NewBalance()), move: m, condition: condition,
		machine: ramp.New(epoch, fleet.ZoneStatus{State: fleet.ZoneIn}), in: true, work: map[string]float64{},
	}
	for range load {
		z.typical = append(z.typical, learn.NewDurations())
	}
	z.hooks.tick, z.hooks.execute, z.hooks.ended, z.hooks.pops = z.advance, z.perform, z.end, z.pop
	z.run(zoneEnd)
	return z.score
}

// pop drops tasks whose deadline has passed.
func (z *zoneSim) pop(team int, _ bool, _ int) *task {
	f := &z.queued[team]
	for f.len() > 0 {
		if t := f.pop(); t.deadline > z.now {
			return t
		}
		z.count(&z.score.late)
	}
	return nil
}

func (z *zoneSim) count(n *float64) {
	if z.now >= departure {
		*n++
	}
}

func (z *zoneSim) advance() {
	for i, c := range z.move.states {
		if c.at == z.now {
			z.machine.Follow(z.clock(), fleet.ZoneStatus{State: c.state, Generation: uint64(i + 1)})
			z.in = c.state == fleet.ZoneIn
			z.returned, z.work = z.now, map[string]float64{}
		}
	}
	percent := 0
	switch {
	case z.move.ramp:
		if z.now%(500*time.Millisecond) == 0 {
			z.machine.Tick(z.clock(), z.sight())
		}
		percent = z.machine.Percent()
	case z.in:
		percent = 100
	}
	z.picker.LimitZone(moving, percent)
}

func (z *zoneSim) sight() ramp.ZoneObservation {
	// The workers answer probes all the time: the operators took the zone out, it was not lost.
	const workers = zoneWorkers / zoneCount
	return ramp.ZoneObservation{Workers: workers, Responding: workers, Proven: workers, Running: z.used(moving)}
}

// used returns the slots in use in a zone.
func (z *zoneSim) used(name fleet.AvailabilityZone) int {
	used := 0
	for _, n := range z.nodes {
		if n.Zone == name {
			used += n.Used()
		}
	}
	return used
}

// perform executes a task under the condition of its worker.
func (z *zoneSim) perform(t *task) (time.Duration, bool) {
	if t.worker.Zone != moving || len(z.move.states) == 0 || z.now < comeback {
		return t.run, false
	}
	switch z.condition {
	case "cold":
		if w := z.work[string(t.worker.ID)]; w < warmWork {
			z.work[string(t.worker.ID)] = w + t.run.Seconds()*coldFactor
			return t.run * coldFactor, false
		}
	case "cold under load":
		if z.now < z.returned+badTime {
			load := float64(z.used(moving)) / (zoneWorkers / zoneCount * workerSlots)
			return time.Duration(float64(t.run) * (1 + herdFactor*load)), false
		}
	case "failing":
		if z.now < comeback+badTime {
			return t.run / 10, z.rng.Float64() < 0.8
		}
	case "failing late":
		if z.now < comeback+badTime {
			return t.run, z.rng.Float64() < 0.8
		}
	}
	return t.run, false
}

func (z *zoneSim) end(t *task) {
	ran := t.ends - t.started
	typical, _ := z.typical[t.team].Quantiles(z.clock())
	slowness := 0.0
	if typical > 0 {
		slowness = float64(ran) / float64(typical)
	}
	z.machine.Observe(t.worker.Zone == moving, t.failed, slowness)
	if t.worker.Zone != moving && !t.failed {
		z.typical[t.team].Observe(z.clock(), ran)
	}
	switch {
	case t.failed:
		z.count(&z.score.failed)
	case t.ends > t.deadline:
		z.count(&z.score.late)
	default:
		z.count(&z.score.done)
	}
}
