package alloc

import (
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/sched/health"
	"github.com/yuccahaven/yuccahaven/internal/sched/learn"
	"github.com/yuccahaven/yuccahaven/internal/sched/place"
	"github.com/yuccahaven/yuccahaven/internal/sched/share"
)

// poolWorker is the coordinator's state of one worker of the pool.
type poolWorker struct {
	*place.Node
	zone         *zone
	reachability health.Reachability
	address      string
	startable    bool // the view allows new tasks on it
	leaving      bool // as it last reported
	probed       bool // a probe has completed, with or without a reply
	reported     bool // a probe got a reply
	probing      bool
	boot         string // as last reported; differs after a restart
	// orphaned holds the slots of running tasks that no entry reports. unreported are the tasks of the worker's last
	// report that no entry reports; they become orphaned with the next report.
	orphaned   map[fleet.TaskID]int
	unreported map[fleet.TaskID]bool
}

// team is a team's claim on the pool and its demand at each entry.
type team struct {
	claim            share.Claim
	defaultTaskSlots int // largest declared slots of the team's queues in the pool, at least 1
	demands          []*demand
	startRate        learn.Rate    // slots per second
	typicalRunTime   time.Duration // median of the queue whose task ended last
	cordon           *cordon
}

// pool is the allocation state of one pool. Its methods require mu to be held, except isIdle, dueProbes and unprobed,
// which lock it.
type pool struct {
	name         fleet.PoolName
	permitSerial uint64
	permitPrefix string

	mu          sync.Mutex
	lastPoll    time.Time
	hasView     bool       // a view was applied
	view        fleet.View // last view applied
	document    fleet.Document
	picker      *place.Picker
	sharer      *share.Sharer
	workers     map[fleet.InstanceID]*poolWorker
	workerOrder []*poolWorker
	teams       map[fleet.TeamName]*team
	claims      []*share.Claim
	entries     map[fleet.EntryID]*entry
	permits     map[string]*permit

	tasks      map[fleet.TaskID]*task
	endedTasks recentTasks
	health     *health.Monitor
	zones      map[fleet.AvailabilityZone]*zone
	queues     map[fleet.QueueName]*queueStats
	cordons    int
}

func newPool(c *Coordinator, name fleet.PoolName, now time.Time) *pool {
	return &pool{
		name: name, permitPrefix: newPermitPrefix(c.self, name, now), lastPoll: now,
		picker: place.NewPicker(c.maxConnections), sharer: share.NewSharer(c.policy()),
		workers: map[fleet.InstanceID]*poolWorker{}, teams: map[fleet.TeamName]*team{},
		entries: map[fleet.EntryID]*entry{}, permits: map[string]*permit{}, tasks: map[fleet.TaskID]*task{},
		health: health.NewMonitor(), zones: map[fleet.AvailabilityZone]*zone{},
		queues: map[fleet.QueueName]*queueStats{},
	}
}

func (p *pool) isIdle(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.lastPoll) > poolIdleTimeout
}

// applyView updates workers, availability zones, health settings, team weights and default task sizes to a view.
func (p *pool) applyView(v fleet.View, now time.Time) {
	if p.hasView && v.Revision() == p.view.Revision() {
		return
	}
	if !p.hasView || !v.SamePool(p.view, p.name) || p.zonesChanged(v) {
		p.applyWorkers(v, now)
	}
	p.hasView, p.view = true, v
	p.document = v.Document()
	p.health.Resize(len(p.workerOrder), p.document.Pools[p.name].Quarantine)
	for _, t := range p.teams {
		p.updateTeam(t)
	}
}

func (p *pool) applyWorkers(v fleet.View, now time.Time) {
	present := map[fleet.InstanceID]bool{}
	for _, m := range v.Pool(p.name) {
		present[m.ID] = true
		w, ok := p.workers[m.ID]
		if ok && (w.Slots != m.Slots || w.Zone != m.Zone || w.Rack != m.Rack) {
			p.removeWorker(w)
			ok = false
		}
		if !ok {
			w = &poolWorker{Node: p.picker.Add(place.Worker{ID: m.ID, Zone: m.Zone, Rack: m.Rack, Slots: m.Slots})}
			w.zone = p.zone(m.Zone, v, now)
			p.workers[m.ID] = w
			p.workerOrder = append(p.workerOrder, w)
			p.restoreUsage(w)
		}
		w.address, w.startable = m.Address, v.Startable(p.name, m.ID)
		p.updateLimit(w)
	}
	for id, w := range p.workers {
		if !present[id] {
			p.removeWorker(w)
		}
	}
	p.applyZones(v, now)
}

// restoreUsage counts the slots of known tasks and permits on a worker that enters the view after them.
func (p *pool) restoreUsage(w *poolWorker) {
	for _, t := range p.tasks {
		if t.worker == w.ID {
			p.picker.AddUsage(w.Node, t.slots)
		}
	}
	for _, m := range p.permits {
		if m.Worker == w.ID {
			p.picker.AddUsage(w.Node, m.Slots)
		}
	}
}

func (p *pool) removeWorker(w *poolWorker) {
	p.picker.Remove(w.Node)
	p.health.Remove(w.ID)
	delete(p.workers, w.ID)
	for i, o := range p.workerOrder {
		if o == w {
			p.workerOrder = append(p.workerOrder[:i], p.workerOrder[i+1:]...)
			break
		}
	}
}

// updateLimit sets how many slots of a worker may be in use.
func (p *pool) updateLimit(w *poolWorker) {
	slots := 0
	if w.startable && !w.leaving && w.reachability.Usable() {
		slots = p.health.Limit(w.ID, w.Slots)
	}
	p.picker.SetLimit(w.Node, slots)
	p.picker.SetDeferred(w.Node, p.health.State(w.ID) == health.Suspect)
}

func (p *pool) team(name fleet.TeamName) *team {
	t, ok := p.teams[name]
	if !ok {
		t = &team{claim: share.Claim{Team: name}}
		p.updateTeam(t)
		p.teams[name] = t
		p.claims = append(p.claims, &t.claim)
	}
	return t
}

func (p *pool) updateTeam(t *team) {
	t.claim.Weight = p.document.Teams[t.claim.Team].Share
	t.defaultTaskSlots = 1
	for _, q := range p.document.Queues {
		if q.Team == t.claim.Team && q.Pool == p.name {
			t.defaultTaskSlots = max(t.defaultTaskSlots, q.Slots)
		}
	}
}

// addUsage changes the slots in use of a worker; workers that have left the pool are ignored.
func (p *pool) addUsage(id fleet.InstanceID, slots int) {
	if w, ok := p.workers[id]; ok {
		p.picker.AddUsage(w.Node, slots)
	}
}
