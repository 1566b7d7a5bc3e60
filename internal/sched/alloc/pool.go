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

// node is a worker of the pool as the coordinator knows it.
type node struct {
	*place.Node
	zone      *zone
	contact   health.Contact
	address   string
	startable bool
	leaving   bool
	tried     bool // a probe has ended
	reported  bool // a probe was answered
	probing   bool
	boot      string
	// leftover are running tasks that no entry reports, with their slots; unclaimed are those of the last report.
	leftover  map[fleet.TaskID]int
	unclaimed map[fleet.TaskID]bool
}

// team is one team's claim with its demand per entry.
type team struct {
	claim   share.Claim
	unit    int // largest declared size of the team's queues
	demands []*demand
	starts  learn.Rate    // slots
	typical time.Duration // run time of its latest tasks
	hold    *hold
}

// pool is the allocation state of one pool.
type pool struct {
	name   fleet.PoolName
	serial uint64
	prefix string

	mu       sync.Mutex
	polled   time.Time
	known    bool       // the first view was applied
	view     fleet.View // the last view applied
	document fleet.Document
	picker   *place.Picker
	sharer   *share.Sharer
	workers  map[fleet.InstanceID]*node
	order    []*node
	teams    map[fleet.TeamName]*team
	claims   []*share.Claim
	entries  map[fleet.EntryID]*entry
	permits  map[string]*permit

	tasks    map[fleet.TaskID]*task
	released recent
	health   *health.Monitor
	zones    map[fleet.AvailabilityZone]*zone
	queues   map[fleet.QueueName]*queue
	holds    int
}

func newPool(c *Coordinator, name fleet.PoolName, now time.Time) *pool {
	return &pool{
		name: name, prefix: permitPrefix(c.self, name, now), polled: now,
		picker: place.NewPicker(c.connections), sharer: share.NewSharer(c.policy()),
		workers: map[fleet.InstanceID]*node{}, teams: map[fleet.TeamName]*team{},
		entries: map[fleet.EntryID]*entry{}, permits: map[string]*permit{}, tasks: map[fleet.TaskID]*task{},
		health: health.NewMonitor(), zones: map[fleet.AvailabilityZone]*zone{}, queues: map[fleet.QueueName]*queue{},
	}
}

func (p *pool) idle(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.polled) > idlePool
}

// follow applies a new view: workers, their states, and the teams' weights.
func (p *pool) follow(v fleet.View, now time.Time) {
	if p.known && v.Revision() == p.view.Revision() {
		return
	}
	if !p.known || !v.SamePool(p.view, p.name) || p.zonesChanged(v) {
		p.followWorkers(v, now)
	}
	p.known, p.view = true, v
	p.document = v.Document()
	p.health.Resize(len(p.order), p.document.Pools[p.name].Quarantine)
	for _, t := range p.teams {
		p.weigh(t)
	}
}

func (p *pool) followWorkers(v fleet.View, now time.Time) {
	present := map[fleet.InstanceID]bool{}
	for _, m := range v.Pool(p.name) {
		present[m.ID] = true
		w, ok := p.workers[m.ID]
		if ok && (w.Slots != m.Slots || w.Zone != m.Zone || w.Rack != m.Rack) {
			p.remove(w)
			ok = false
		}
		if !ok {
			w = &node{Node: p.picker.Add(place.Worker{ID: m.ID, Zone: m.Zone, Rack: m.Rack, Slots: m.Slots})}
			w.zone = p.zone(m.Zone, v, now)
			p.workers[m.ID] = w
			p.order = append(p.order, w)
			p.adopt(w)
		}
		w.address, w.startable = m.Address, v.Startable(p.name, m.ID)
		p.limit(w)
	}
	for id, w := range p.workers {
		if !present[id] {
			p.remove(w)
		}
	}
	p.followZones(v, now)
}

// adopt counts the tasks and permits that the coordinator already knows on a worker that joined the view later.
func (p *pool) adopt(w *node) {
	for _, t := range p.tasks {
		if t.worker == w.ID {
			p.picker.Use(w.Node, t.slots)
		}
	}
	for _, m := range p.permits {
		if m.Worker == w.ID {
			p.picker.Use(w.Node, m.Slots)
		}
	}
}

func (p *pool) remove(w *node) {
	p.picker.Remove(w.Node)
	p.health.Remove(w.ID)
	delete(p.workers, w.ID)
	for i, o := range p.order {
		if o == w {
			p.order = append(p.order[:i], p.order[i+1:]...)
			break
		}
	}
}

// limit sets how many slots of a worker may be given out.
func (p *pool) limit(w *node) {
	slots := 0
	if w.startable && !w.leaving && w.contact.Usable() {
		slots = p.health.Limit(w.ID, w.Slots)
	}
	p.picker.Limit(w.Node, slots)
	p.picker.Defer(w.Node, p.health.State(w.ID) == health.Suspect)
}

func (p *pool) team(name fleet.TeamName) *team {
	t, ok := p.teams[name]
	if !ok {
		t = &team{claim: share.Claim{Team: name}}
		p.weigh(t)
		p.teams[name] = t
		p.claims = append(p.claims, &t.claim)
	}
	return t
}

func (p *pool) weigh(t *team) {
	t.claim.Weight = p.document.Teams[t.claim.Team].Share
	t.unit = 1
	for _, q := range p.document.Queues {
		if q.Team == t.claim.Team && q.Pool == p.name {
			t.unit = max(t.unit, q.Slots)
		}
	}
}

// use changes the slots in use of a worker that may have left the pool.
func (p *pool) use(id fleet.InstanceID, slots int) {
	if w, ok := p.workers[id]; ok {
		p.picker.Use(w.Node, slots)
	}
}
