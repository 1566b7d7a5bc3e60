// Package policy measures the scheduling policies against plain baselines in a small simulation with fixed seeds.
package policy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/sched/place"
	"github.com/yuccahaven/yuccahaven/internal/sched/share"
)

const (
	// tick is the resolution of the simulation; every entry polls once in pollTicks ticks, one after the other.
	tick      = 5 * time.Millisecond
	pollTicks = 4
	entries   = 6
	// workerSlots is the number of slots of a worker today.
	workerSlots = 8
)

// entryWeights make the callers uneven: half of a team's work arrives at one entry.
var entryWeights = [entries]float64{0.5, 0.2, 0.1, 0.1, 0.05, 0.05}

// epoch is the simulation's start on the clock of the policies.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// team is the work of one team.
type team struct {
	weight int
	// run is the mean run time, load the mean work in slots.
	run    time.Duration
	load   float64
	urgent float64 // part of the tasks
	// timeout is the time from arrival to deadline; 0 means none.
	timeout time.Duration
}

// task is one simulated task.
type task struct {
	team     int
	entry    int
	urgent   bool
	run      time.Duration
	arrived  time.Duration
	started  time.Duration
	ends     time.Duration
	deadline time.Duration
	failed   bool
	retries  int
	worker   *place.Node
}

// fifo is a queue of tasks.
type fifo struct {
	tasks []*task
	head  int
}

func (f *fifo) len() int { return len(f.tasks) - f.head }

func (f *fifo) push(t *task) { f.tasks = append(f.tasks, t) }

func (f *fifo) pop() *task {
	t := f.tasks[f.head]
	f.tasks[f.head] = nil
	f.head++
	if f.head > 1024 && f.head*2 > len(f.tasks) {
		f.tasks, f.head = append([]*task(nil), f.tasks[f.head:]...), 0
	}
	return t
}

// running is a heap of tasks by their end.
type running []*task

func (r running) Len() int           { return len(r) }
func (r running) Less(i, j int) bool { return r[i].ends < r[j].ends }
func (r running) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *running) Push(x any)        { *r = append(*r, x.(*task)) }
func (r *running) Pop() any {
	old := *r
	t := old[len(old)-1]
	*r = old[:len(old)-1]
	return t
}

// hooks are the parts in which the measurements differ; nil hooks do nothing.
type hooks struct {
	factor  func(team int, now time.Duration) float64 // of the mean load
	admit   func(t *task) bool
	execute func(t *task) (ran time.Duration, failed bool)
	ended   func(t *task)
	started func(t *task)
	tick    func()
	// picks replaces the sharer's order, for baselines; pops replaces the queues, and a nil task ends the round.
	picks func(now time.Time, claims []*share.Claim) (*share.Claim, bool)
	pops  func(team int, urgent bool, polling int) *task
}

// sim is one pool with its entries.
type sim struct {
	hooks
	now     time.Duration
	rng     *rand.Rand
	teams   []team
	picker  *place.Picker
	nodes   []*place.Node
	sharer  *share.Sharer
	claims  []*share.Claim
	mean    []time.Duration // learned run time per team
	waiting [][2][entries]fifo
	queued  []fifo // per team, with the hook pops
	running running
	credit  []float64 // arrivals not yet made
}

func newSim(seed uint64, teams []team, workers, zones int, p share.Policy) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), teams: teams, picker: place.NewPicker(place.DefaultConnections),
		sharer: share.NewSharer(p), waiting: make([][2][entries]fifo, len(teams)),
		queued: make([]fifo, len(teams)),
		mean:   make([]time.Duration, len(teams)), credit: make([]float64, len(teams)),
	}
	for i := range workers {
		n := s.picker.Add(place.Worker{
			ID: fleet.InstanceID(fmt.Sprint("w", i)), Zone: zoneName(i % zones), Rack: fmt.Sprint("r", i/4), Slots: workerSlots,
		})
		s.picker.Limit(n, workerSlots)
		s.nodes = append(s.nodes, n)
	}
	for i, t := range teams {
		s.claims = append(s.claims, &share.Claim{Team: teamName(i), Weight: t.weight})
		s.mean[i] = time.Second // declared run times say nothing
	}
	return s
}

func zoneName(i int) fleet.AvailabilityZone { return fleet.AvailabilityZone(fmt.Sprint("z", i)) }

func teamName(i int) fleet.TeamName { return fleet.TeamName(fmt.Sprint("t", i)) }

func (s *sim) clock() time.Time { return epoch.Add(s.now) }

// run simulates a length of time.
func (s *sim) run(length time.Duration) {
	for i := 0; s.now < length; i++ {
		s.now += tick
		s.arrive()
		s.finish()
		for e := range entries {
			if (i+e)%pollTicks == 0 {
				s.allocate(e)
			}
		}
		if s.hooks.tick != nil {
			s.hooks.tick()
		}
	}
}

func (s *sim) arrive() {
	for i, t := range s.teams {
		f := 1.0
		if s.factor != nil {
			f = s.factor(i, s.now)
		}
		mean := f * t.load * tick.Seconds() / t.run.Seconds()
		for s.credit[i] += s.poisson(mean); s.credit[i] >= 1; s.credit[i]-- {
			s.submit(&task{
				team: i, entry: s.entry(i), urgent: s.rng.Float64() < t.urgent,
				run: time.Duration(s.rng.ExpFloat64() * float64(t.run)), arrived: s.now,
				deadline: s.now + t.timeout,
			})
		}
	}
}

func (s *sim) submit(t *task) {
	if s.admit != nil && !s.admit(t) {
		return
	}
	u := 0
	if t.urgent {
		u = 1
	}
	if s.pops == nil {
		s.waiting[t.team][u][t.entry].push(t)
	} else {
		s.queued[t.team].push(t)
	}
	if t.urgent {
		s.claims[t.team].Urgent++
	} else {
		s.claims[t.team].Normal++
	}
}

// entry draws the entry that a team's caller reaches; each team prefers another one.
func (s *sim) entry(team int) int {
	x := s.rng.Float64()
	for e, w := range entryWeights {
		if x -= w; x < 0 {
			return (team + e) % entries
		}
	}
	return team % entries
}

// poisson draws a number of arrivals by counting exponential gaps.
func (s *sim) poisson(mean float64) float64 {
	n := 0.0
	for x := s.rng.ExpFloat64(); x < mean; x += s.rng.ExpFloat64() {
		n++
	}
	return n
}

func (s *sim) finish() {
	for len(s.running) > 0 && s.running[0].ends <= s.now {
		t := heap.Pop(&s.running).(*task)
		s.picker.Use(t.worker, -1)
		s.claims[t.team].Hold(-1, t.urgent)
		s.mean[t.team] += (t.ends - t.started - s.mean[t.team]) / 16
		if s.ended != nil {
			s.ended(t)
		}
	}
}

// allocate gives out the free slots at an entry's poll. A slot for another entry is used from that entry's next
// poll on.
func (s *sim) allocate(polling int) {
	next := s.sharer.Next
	if s.picks != nil {
		next = s.picks
	}
	if s.picker.Free() == 0 {
		return
	}
	s.sharer.Round(s.claims, s.picker.Free())
	for s.picker.Free() > 0 {
		c, urgent := next(s.clock(), s.claims)
		if c == nil {
			return
		}
		n := s.picker.Pick(1)
		if n == nil {
			return
		}
		i := s.index(c)
		s.sharer.Charge(s.clock(), c, urgent, 1, s.mean[i])
		if t := s.take(i, urgent, polling); t != nil {
			s.start(t, n, polling)
		} else {
			c.Hold(-1, urgent)
		}
	}
}

func (s *sim) index(c *share.Claim) int {
	for i, o := range s.claims {
		if o == c {
			return i
		}
	}
	return -1
}

// take returns the team's oldest task, preferring the polling entry as the coordinator does.
func (s *sim) take(team int, urgent bool, polling int) *task {
	if s.pops != nil {
		return s.pops(team, urgent, polling)
	}
	u := 0
	if urgent {
		u = 1
	}
	best := -1
	var longest time.Duration
	for e := range entries {
		f := &s.waiting[team][u][e]
		if f.len() == 0 {
			continue
		}
		waited := s.now - f.tasks[f.head].arrived
		if e == polling {
			waited += 50 * time.Millisecond
		}
		if best < 0 || waited > longest {
			best, longest = e, waited
		}
	}
	return s.waiting[team][u][best].pop()
}

func (s *sim) start(t *task, n *place.Node, polling int) {
	s.picker.Use(n, 1)
	t.worker, t.started = n, s.now
	if t.entry != polling {
		t.started += time.Duration((t.entry-polling+entries)%pollTicks) * tick
	}
	ran, failed := t.run, false
	if s.execute != nil {
		ran, failed = s.execute(t)
	}
	t.ends, t.failed = t.started+max(ran, time.Millisecond), failed
	if s.started != nil {
		s.started(t)
	}
	heap.Push(&s.running, t)
}
