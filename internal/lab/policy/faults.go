package policy

import (
	"fmt"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/sched/health"
	"github.com/yuccahaven/yuccahaven/internal/sched/place"
	"github.com/yuccahaven/yuccahaven/internal/sched/share"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	faultBegin     = 30 * time.Second
	faultRunLength = 150 * time.Second
)

// steadyTeams load a pool of ten workers to 60 %.
var steadyTeams = []team{
	{weight: 1, run: 200 * time.Millisecond, load: 16},
	{weight: 1, run: time.Second, load: 16},
	{weight: 1, run: 4 * time.Second, load: 16},
}

// workerMonitor limits the slots of each worker by its task outcomes.
type workerMonitor interface {
	Observe(now time.Time, o peer.Outcome) bool
	Advance(now time.Time) []fleet.InstanceID
	Limit(id fleet.InstanceID, slots int) int
	State(id fleet.InstanceID) health.State
}

// failureCount quarantines a worker for 10 s when half of its latest 16 tasks failed; it does not tell queues apart and
// has no cap on quarantined workers.
type failureCount struct {
	latest           map[fleet.InstanceID][]bool
	quarantinedUntil map[fleet.InstanceID]time.Time
}

// Observe records an outcome and reports whether it starts a quarantine.
func (s *failureCount) Observe(now time.Time, o peer.Outcome) bool {
	l := append(s.latest[o.Worker], o.Kind == peer.OutcomeFailed)
	l = l[max(len(l)-16, 0):]
	s.latest[o.Worker] = l
	failed := 0
	for _, f := range l {
		if f {
			failed++
		}
	}
	if len(l) < 16 || failed < 8 {
		return false
	}
	s.quarantinedUntil[o.Worker] = now.Add(10 * time.Second)
	delete(s.latest, o.Worker)
	return true
}

// Advance ends the quarantines that have expired and returns their workers.
func (s *failureCount) Advance(now time.Time) []fleet.InstanceID {
	var out []fleet.InstanceID
	for id, at := range s.quarantinedUntil {
		if !now.Before(at) {
			delete(s.quarantinedUntil, id)
			out = append(out, id)
		}
	}
	return out
}

// Limit returns all slots of a worker, or none while it is in quarantine.
func (s *failureCount) Limit(id fleet.InstanceID, slots int) int {
	if _, ok := s.quarantinedUntil[id]; ok {
		return 0
	}
	return slots
}

// State returns Healthy for every worker, so that none is deferred.
func (s *failureCount) State(fleet.InstanceID) health.State { return health.Healthy }

// faultCase is an injected fault: a number of workers fail every task after a twentieth of its run time, or every task
// of one team fails on all workers.
type faultCase struct {
	name    string
	workers int
	queue   bool
}

var faultCases = []faultCase{
	{"1 of 10 workers fails all", 1, false}, {"2 of 10 workers fail all", 2, false}, {"3 of 10 workers fail all", 3, false},
	{"one queue fails everywhere", 0, true}, {"one queue and 1 worker", 1, true},
}

// faultImpact is the effect of a fault: sound tasks that failed, all tasks, and the largest number of good workers
// excluded at once.
type faultImpact struct{ failed, total, excluded float64 }

// measureFaults measures the tasks that fail with and without quarantine.
func measureFaults(o options) []table {
	t := table{
		Title: "Quarantine: tasks failed by faulty workers in 2 minutes, percent (good workers excluded at once, worst seed)",
		Head:  []string{"fault", "no quarantine", "half of 16 failed", "likelihood (product)"},
	}
	for _, f := range faultCases {
		row := []string{f.name}
		for _, newMonitor := range []func() workerMonitor{
			func() workerMonitor { return nil },
			func() workerMonitor {
				return &failureCount{latest: map[fleet.InstanceID][]bool{}, quarantinedUntil: map[fleet.InstanceID]time.Time{}}
			},
			func() workerMonitor {
				w := health.NewMonitor()
				w.Resize(poolWorkers, health.DefaultPercent)
				return w
			},
		} {
			var sum faultImpact
			for _, d := range runSeeds(o, func(seed uint64) faultImpact { return faultRun(f, newMonitor(), seed) }) {
				sum.failed += d.failed
				sum.total += d.total
				sum.excluded = max(sum.excluded, d.excluded)
			}
			row = append(row, fmt.Sprintf("%.2f (%.0f)", 100*sum.failed/sum.total, sum.excluded))
		}
		t.Rows = append(t.Rows, row)
	}
	return []table{t}
}

func faultRun(f faultCase, m workerMonitor, seed uint64) faultImpact {
	s := newSim(seed, steadyTeams, poolWorkers, 2, share.NewBalance())
	var impact faultImpact
	faulty := func(n *place.Node) bool {
		for _, b := range s.nodes[:f.workers] {
			if b == n {
				return true
			}
		}
		return false
	}
	s.hooks.execute = func(t *task) (time.Duration, bool) {
		if s.now < faultBegin {
			return t.run, false
		}
		impact.total++
		if faulty(t.worker) {
			impact.failed++
			return t.run / 20, true
		}
		return t.run, f.queue && t.team == 1
	}
	if m != nil {
		s.hooks.ended = func(t *task) {
			kind := peer.OutcomeDone
			if t.failed {
				kind = peer.OutcomeFailed
			}
			q := fleet.QueueName(fmt.Sprint("q", t.team))
			if m.Observe(s.clock(), peer.Outcome{Worker: t.worker.ID, Queue: q, Kind: kind}) {
				s.picker.SetLimit(t.worker, m.Limit(t.worker.ID, workerSlots))
				s.picker.SetDeferred(t.worker, m.State(t.worker.ID) == health.Suspect)
			}
		}
		s.hooks.tick = func() {
			m.Advance(s.clock())
			good := 0.0
			for _, n := range s.nodes {
				l := m.Limit(n.ID, workerSlots)
				s.picker.SetLimit(n, l)
				s.picker.SetDeferred(n, m.State(n.ID) == health.Suspect)
				if l == 0 && !faulty(n) {
					good++
				}
			}
			impact.excluded = max(impact.excluded, good)
		}
	}
	s.run(faultRunLength)
	return impact
}
