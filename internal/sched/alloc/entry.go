package alloc

import (
	"slices"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// task is one running task that an entry reports.
type task struct {
	id     fleet.TaskID
	entry  *entry
	worker fleet.InstanceID
	team   *team
	slots  int
	urgent bool
	gone   bool
	seen   uint64 // sequence of the poll that last named it
}

// permit is an outstanding permit; promised ones have not been collected by their entry yet.
type permit struct {
	peer.Permit
	entry    *entry
	team     *team
	from     time.Time
	promised bool
	gone     bool
}

// demand is what one entry could start for one team, in slots, less the permits it already has.
type demand struct {
	entry  *entry
	team   *team
	urgent int
	normal int
	sizes  []peer.Size
	oldest time.Time
}

// entry is one entry instance's state as of its last poll.
type entry struct {
	id       fleet.EntryID
	sequence uint64
	polled   time.Time
	tasks    []*task // in the order of the last poll
	demands  map[*team]*demand
	permits  map[string]*permit
	promised []*permit // in order of promise
	informed time.Time // when estimates were last sent
}

func (p *pool) entry(id fleet.EntryID) *entry {
	e, ok := p.entries[id]
	if !ok {
		e = &entry{id: id, demands: map[*team]*demand{}, permits: map[string]*permit{}}
		p.entries[id] = e
	}
	return e
}

// absorb replaces an entry's state by its new picture.
func (p *pool) absorb(e *entry, q peer.PollRequest, now time.Time) {
	e.sequence, e.polled = q.Sequence, now
	p.absorbTasks(e, q)
	p.absorbPermits(e, q.Unused)
	p.absorbDemand(e, q.Demand, now)
}

func (p *pool) absorbTasks(e *entry, q peer.PollRequest) {
	before := e.tasks
	e.tasks = make([]*task, 0, len(q.Occupied))
	next := 0
	for _, o := range q.Occupied {
		t := p.find(before, &next, o.Task)
		if t != nil && (t.entry != e || t.worker != o.Worker || t.slots != o.Slots) {
			p.end(t)
			t = nil
		}
		if t == nil {
			t = p.begin(e, o)
		}
		t.seen = q.Sequence
		e.tasks = append(e.tasks, t)
	}
	for _, t := range before {
		if t.seen != q.Sequence && !t.gone {
			p.end(t)
		}
	}
}

// find returns the task of an id, nil if there is none. Entries tend to report their tasks in the same order
// each time, which saves most look-ups in a map that holds all the pool's tasks.
func (p *pool) find(before []*task, next *int, id fleet.TaskID) *task {
	for i := *next; i < min(*next+2, len(before)); i++ {
		if before[i].id == id && !before[i].gone {
			*next = i + 1
			return before[i]
		}
	}
	return p.tasks[id]
}

func (p *pool) begin(e *entry, o peer.Occupied) *task {
	t := &task{id: o.Task, entry: e, worker: o.Worker, team: p.team(o.Team), slots: o.Slots, urgent: o.Urgent}
	p.tasks[t.id] = t
	t.team.claim.Hold(t.slots, t.urgent)
	p.use(t.worker, t.slots)
	if w, ok := p.workers[t.worker]; ok {
		if s, ok := w.leftover[t.id]; ok {
			delete(w.leftover, t.id)
			p.picker.Use(w.Node, -s)
		}
	}
	return t
}

func (p *pool) end(t *task) {
	t.gone = true
	delete(p.tasks, t.id)
	t.team.claim.Hold(-t.slots, t.urgent)
	p.use(t.worker, -t.slots)
	p.released.add(t.id)
}

// absorbPermits ends the collected permits that the entry no longer has: used or expired.
func (p *pool) absorbPermits(e *entry, unused []string) {
	keep := make(map[string]bool, len(unused))
	for _, id := range unused {
		keep[id] = true
	}
	for id, m := range e.permits {
		if !m.promised && !keep[id] {
			p.revoke(m)
		}
	}
}

// revoke ends a permit and frees its slots.
func (p *pool) revoke(m *permit) {
	if m.gone {
		return
	}
	m.gone = true
	delete(p.permits, m.ID)
	delete(m.entry.permits, m.ID)
	m.team.claim.Hold(-m.Slots, m.Urgent)
	p.use(m.Worker, -m.Slots)
}

func (p *pool) absorbDemand(e *entry, ds []peer.Demand, now time.Time) {
	for _, d := range e.demands {
		p.claim(d, -1)
		d.urgent, d.normal, d.sizes = 0, 0, nil
	}
	for _, q := range ds {
		t := p.team(q.Team)
		d, ok := e.demands[t]
		if !ok {
			d = &demand{entry: e, team: t}
			e.demands[t] = d
			t.demands = append(t.demands, d)
		}
		usable := min(q.Usable, q.Waiting)
		d.urgent = min(q.Urgent, usable)
		d.normal = usable - d.urgent
		d.sizes = append(d.sizes[:0], q.Sizes...)
		d.oldest = now.Add(-q.Oldest)
	}
	for _, m := range e.permits {
		if d, ok := e.demands[m.team]; ok && !m.promised {
			d.take(m.Slots, m.Urgent)
		}
	}
	e.promised = slices.DeleteFunc(e.promised, func(m *permit) bool { return m.gone })
	for _, m := range e.promised {
		// A promise that the entry no longer has work for goes back to the others.
		if d, ok := e.demands[m.team]; ok && d.urgent+d.normal >= m.Slots {
			d.take(m.Slots, m.Urgent)
		} else {
			p.revoke(m)
		}
	}
	for _, d := range e.demands {
		p.claim(d, 1)
	}
}

// claim adds a demand to its team's claim or, with -1, takes it out.
func (p *pool) claim(d *demand, sign int) {
	d.team.claim.Urgent += sign * d.urgent
	d.team.claim.Normal += sign * d.normal
}

// take reduces the demand by one task; slots of the other urgency are used up once the own ones are.
func (d *demand) take(slots int, urgent bool) {
	own, other := &d.normal, &d.urgent
	if urgent {
		own, other = other, own
	}
	n := min(slots, *own)
	*own -= n
	*other -= min(slots-n, *other)
	for i := range d.sizes {
		if s := &d.sizes[i]; s.Slots == slots && s.Urgent == urgent && s.Tasks > 0 {
			s.Tasks--
			return
		}
	}
}

// size returns the slots of the next task of an urgency, 0 if there is none that could start.
func (d *demand) size(urgent bool) int {
	left := d.normal
	if urgent {
		left = d.urgent
	}
	if len(d.sizes) == 0 {
		return min(d.team.unit, left)
	}
	for _, s := range d.sizes {
		if s.Urgent == urgent && s.Tasks > 0 && s.Slots <= left {
			return s.Slots
		}
	}
	return 0
}

// expire ends what silent entries no longer hold.
func (p *pool) expire(now time.Time) {
	for _, m := range p.permits {
		limit := PermitTTL + permitGrace
		if m.promised {
			limit = promiseTTL
		}
		if now.Sub(m.from) > limit {
			p.revoke(m)
		}
	}
	for id, e := range p.entries {
		quiet := now.Sub(e.polled)
		if e.polled.IsZero() || quiet <= silence {
			continue
		}
		for _, d := range e.demands {
			p.claim(d, -1)
			d.urgent, d.normal, d.sizes = 0, 0, nil
		}
		if quiet > leaseEnd {
			p.forget(id, e)
		}
	}
}

// forget drops an entry whose tasks have run out their leases.
func (p *pool) forget(id fleet.EntryID, e *entry) {
	for _, t := range e.tasks {
		if !t.gone {
			p.end(t)
		}
	}
	for t := range e.demands {
		t.demands = without(t.demands, e)
	}
	delete(p.entries, id)
}

func without(ds []*demand, e *entry) []*demand {
	var kept []*demand
	for _, d := range ds {
		if d.entry != e {
			kept = append(kept, d)
		}
	}
	return kept
}
