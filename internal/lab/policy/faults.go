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
	faultBegin = 30 * time.Second
	faultEnd   = 150 * time.Second
)

// steady are three teams at 60 % of a pool of ten workers.
var steady = []team{
	{weight: 1, run: 200 * time.Millisecond, load: 16},
	{weight: 1, run: time.Second, load: 16},
	{weight: 1, run: 4 * time.Second, load: 16},
}

// judge decides how many slots a worker may use.
type judge interface {
	Observe(now time.Time, o peer.Outcome) bool
	Advance(now time.Time) []fleet.InstanceID
	Limit(id fleet.InstanceID, slots int) int
	State(id fleet.InstanceID) health.State
}

// simple quarantines for 10 s a worker of whose latest 16 tasks half failed; it knows no queues and no cap.
type simple struct {
	latest map[fleet.InstanceID][]bool
	until  map[fleet.InstanceID]time.Time
}

// Observe takes in an outcome.
func (s *simple) Observe(now time.Time, o peer.Outcome) bool {
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
	s.until[o.Worker] = now.Add(10 * time.Second)
	delete(s.latest, o.Worker)
	return true
}

// Advance ends quarantines.
func (s *simple) Advance(now time.Time) []fleet.InstanceID {
	var out []fleet.InstanceID
	for id, at := range s.until {
		if !now.Before(at) {
			delete(s.until, id)
			out = append(out, id)
		}
	}
	return out
}

// Limit returns the slots of a worker that is not in quarantine.
func (s *simple) Limit(id fleet.InstanceID, slots int) int {
	if _, ok := s.until[id]; ok {
		return 0
	}
	return slots
}

// State says that no worker is a last choice.
func (s *simple) State(fleet.InstanceID) health.State { return health.Healthy }

// fault is what goes wrong: a number of workers fail every task at a twentieth of its run time, or every task of
// one team fails everywhere.
type fault struct {
	name    string
	workers int
	queue   bool
}

var faultKinds = []fault{
	{"1 of 10 workers fails all", 1, false}, {"2 of 10 workers fail all", 2, false}, {"3 of 10 workers fail all", 3, false},
	{"one queue fails everywhere", 0, true}, {"one queue and 1 worker", 1, true},
}

// damage is what a fault did: tasks failed that were sound, and the most good workers excluded at once.
type damage struct{ failed, total, excluded float64 }

// faults measures failed tasks with and without quarantine.
func faults(o options) []table {
	t := table{
		Title: "Quarantine: tasks failed by faulty workers in 2 minutes, percent (good workers excluded at once, worst seed)",
		Head:  []string{"fault", "no quarantine", "half of 16 failed", "likelihood (product)"},
	}
	for _, f := range faultKinds {
		row := []string{f.name}
		for _, build := range []func() judge{
			func() judge { return nil },
			func() judge {
				return &simple{latest: map[fleet.InstanceID][]bool{}, until: map[fleet.InstanceID]time.Time{}}
			},
			func() judge {
				w := health.NewMonitor()
				w.Resize(poolWorkers, health.DefaultPercent)
				return w
			},
		} {
			var sum damage
			for _, d := range parallel(o, func(seed uint64) damage { return faultRun(f, build(), seed) }) {
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

func faultRun(f fault, j judge, seed uint64) damage {
	s := newSim(seed, steady, poolWorkers, 2, share.NewBalance())
	var d damage
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
		d.total++
		if faulty(t.worker) {
			d.failed++
			return t.run / 20, true
		}
		return t.run, f.queue && t.team == 1
	}
	if j != nil {
		s.hooks.ended = func(t *task) {
			kind := peer.OutcomeDone
			if t.failed {
				kind = peer.OutcomeFailed
			}
			q := fleet.QueueName(fmt.Sprint("q", t.team))
			if j.Observe(s.clock(), peer.Outcome{Worker: t.worker.ID, Queue: q, Kind: kind}) {
				s.picker.Limit(t.worker, j.Limit(t.worker.ID, workerSlots))
				s.picker.Defer(t.worker, j.State(t.worker.ID) == health.Suspect)
			}
		}
		s.hooks.tick = func() {
			j.Advance(s.clock())
			good := 0.0
			for _, n := range s.nodes {
				l := j.Limit(n.ID, workerSlots)
				s.picker.Limit(n, l)
				s.picker.Defer(n, j.State(n.ID) == health.Suspect)
				if l == 0 && !faulty(n) {
					good++
				}
			}
			d.excluded = max(d.excluded, good)
		}
	}
	s.run(faultEnd)
	return d
}
