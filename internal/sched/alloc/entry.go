package alloc

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// task is one running task that an entry reports.
type task struct {
	entry  *entry
	worker fleet.InstanceID
	team   *team
	slots  int
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
	tasks    int
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
	for _, o := range q.Occupied {
		t, ok := p.tasks[o.Task]
		if ok && t.entry == e && t.worker == o.Worker && t.slots == o.Slots {
			t.seen = q.Sequence
			continue
		}
		if ok {
			p.end(o.Task, t)
		}
		t = &task{entry: e, worker: o.Worker, team: p.team(o.Team), slots: o.Slots, seen: q.Sequence}
		p.begin(o.Task, t)
	}
	if e.tasks == len(q.Occupied) {
		return
	}
	for id, t := range p.tasks {
		if t.entry == e && t.seen != q.Sequence {
			p.end(id, t)
		}
	}
}

func (p *pool) begin(id fleet.TaskID, t *task) {
	p.tasks[id] = t
	t.entry.tasks++
	t.team.claim.Held += t.slots
	p.use(t.worker, t.slots)
	if w, ok := p.workers[t.worker]; ok {
		if s, ok := w.leftover[id]; ok {
			delete(w.leftover, id)
			p.picker.Use(w.Node, -s)
		}
	}
}

func (p *pool) end(id fleet.TaskID, t *task) {
	delete(p.tasks, id)
	t.entry.tasks--
	t.team.claim.Held -= t.slots
	p.use(t.worker, -t.slots)
	p.released.add(id)
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
	m.team.claim.Held -= m.Slots
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
	for i, t := range p.tasks {
		if t.entry == e {
			p.end(i, t)
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
