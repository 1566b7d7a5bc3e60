// Package policy measures the scheduling policies against simple baselines in a simulation with fixed seeds.
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
	// tickInterval is the resolution of the simulation; each entry instance polls once in pollTicks ticks, in turn.
	tickInterval = 5 * time.Millisecond
	pollTicks    = 4
	entryCount   = 6
	// workerSlots is the number of slots of a worker on the platform.
	workerSlots = 8
)

// entryWeights distribute a team's work unevenly: half of it arrives at one entry instance.
var entryWeights = [entryCount]float64{0.5, 0.2, 0.1, 0.1, 0.05, 0.05}

// simulationStart is the time at which the clock of the policies starts.
var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// team is the workload of one team.
type team struct {
	weight int
	// run is the mean run time, load the mean number of slots in use.
	run    time.Duration
	load   float64
	urgent float64 // fraction of the tasks
	// timeout is the time from arrival to deadline; 0 means no deadline.
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

// running is a heap of tasks by end time.
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

// hooks are the functions in which the measurements differ; nil hooks do nothing.
type hooks struct {
	factor  func(team int, now time.Duration) float64 // multiple of the mean load
	admit   func(t *task) bool
	execute func(t *task) (ran time.Duration, failed bool)
	ended   func(t *task)
	started func(t *task)
	tick    func()
	// nextClaim replaces the sharer's order, for baselines; nextTask replaces the queues, and nil releases the slot.
	nextClaim func(now time.Time, claims []*share.Claim) (*share.Claim, bool)
	nextTask  func(team int, urgent bool, polling int) *task
}

// sim simulates one pool with its entry instances.
type sim struct {
	hooks
	now             time.Duration
	rng             *rand.Rand
	teams           []team
	picker          *place.Picker
	nodes           []*place.Node
	sharer          *share.Sharer
	claims          []*share.Claim
	mean            []time.Duration // moving mean of the run time per team
	waiting         [][2][entryCount]fifo
	queued          []fifo // per team, with the hook nextTask
	running         running
	pendingArrivals []float64 // expected arrivals not yet submitted, per team
}

func newSim(seed uint64, teams []team, workers, zones int, p share.Policy) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), teams: teams, picker: place.NewPicker(place.DefaultMaxConnections),
		sharer: share.NewSharer(p), waiting: make([][2][entryCount]fifo, len(teams)),
		queued: make([]fifo, len(teams)),
		mean:   make([]time.Duration, len(teams)), pendingArrivals: make([]float64, len(teams)),
	}
	for i := range workers {
		n := s.picker.Add(place.Worker{
			ID: fleet.InstanceID(fmt.Sprint("w", i)), Zone: zoneName(i % zones), Rack: fmt.Sprint("r", i/4), Slots: workerSlots,
		})
		s.picker.SetLimit(n, workerSlots)
		s.nodes = append(s.nodes, n)
	}
	for i, t := range teams {
		s.claims = append(s.claims, &share.Claim{Team: teamName(i), Weight: t.weight})
		s.mean[i] = time.Second // declared run times carry no information
	}
	return s
}

func zoneName(i int) fleet.AvailabilityZone { return fleet.AvailabilityZone(fmt.Sprint("z", i)) }

func teamName(i int) fleet.TeamName { return fleet.TeamName(fmt.Sprint("t", i)) }

func (s *sim) clock() time.Time { return simulationStart.Add(s.now) }

// run simulates a duration.
func (s *sim) run(length time.Duration) {
	for i := 0; s.now < length; i++ {
		s.now += tickInterval
		s.arrive()
		s.endTasks()
		for e := range entryCount {
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
		mean := f * t.load * tickInterval.Seconds() / t.run.Seconds()
		for s.pendingArrivals[i] += s.poisson(mean); s.pendingArrivals[i] >= 1; s.pendingArrivals[i]-- {
			s.submit(&task{
				team: i, entry: s.drawEntry(i), urgent: s.rng.Float64() < t.urgent,
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
	if s.nextTask == nil {
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

// drawEntry draws the entry instance at which a task of a team arrives; each team prefers a different one.
func (s *sim) drawEntry(team int) int {
	x := s.rng.Float64()
	for e, w := range entryWeights {
		if x -= w; x < 0 {
			return (team + e) % entryCount
		}
	}
	return team % entryCount
}

// poisson draws a Poisson-distributed number of arrivals by counting exponential intervals.
func (s *sim) poisson(mean float64) float64 {
	n := 0.0
	for x := s.rng.ExpFloat64(); x < mean; x += s.rng.ExpFloat64() {
		n++
	}
	return n
}

func (s *sim) endTasks() {
	for len(s.running) > 0 && s.running[0].ends <= s.now {
		t := heap.Pop(&s.running).(*task)
		s.picker.AddUsage(t.worker, -1)
		s.claims[t.team].AddAllocated(-1, t.urgent)
		s.mean[t.team] += (t.ends - t.started - s.mean[t.team]) / 16
		if s.ended != nil {
			s.ended(t)
		}
	}
}

// allocate grants the free slots when an entry instance polls. A slot that is granted to another entry instance is used
// from the next poll of that instance on.
func (s *sim) allocate(polling int) {
	next := s.sharer.Next
	if s.nextClaim != nil {
		next = s.nextClaim
	}
	if s.picker.Free() == 0 {
		return
	}
	s.sharer.BeginRound(s.claims, s.picker.Free())
	for s.picker.Free() > 0 {
		c, urgent := next(s.clock(), s.claims)
		if c == nil {
			return
		}
		n := s.picker.Pick(1)
		if n == nil {
			return
		}
		i := s.teamIndex(c)
		s.sharer.Charge(s.clock(), c, urgent, 1, s.mean[i])
		if t := s.takeTask(i, urgent, polling); t != nil {
			s.start(t, n, polling)
		} else {
			c.AddAllocated(-1, urgent)
		}
	}
}

func (s *sim) teamIndex(c *share.Claim) int {
	for i, o := range s.claims {
		if o == c {
			return i
		}
	}
	return -1
}

// takeTask returns the team's oldest task and prefers the polling entry instance, as the pool coordinator does.
func (s *sim) takeTask(team int, urgent bool, polling int) *task {
	if s.nextTask != nil {
		return s.nextTask(team, urgent, polling)
	}
	u := 0
	if urgent {
		u = 1
	}
	best := -1
	var longest time.Duration
	for e := range entryCount {
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
	s.picker.AddUsage(n, 1)
	t.worker, t.started = n, s.now
	if t.entry != polling {
		t.started += time.Duration((t.entry-polling+entryCount)%pollTicks) * tickInterval
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
