package alloc

import (
	"slices"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// task is one running task that an entry reports.
type task struct {
	id           fleet.TaskID
	entry        *entry
	worker       fleet.InstanceID
	team         *team
	slots        int
	urgent       bool
	ended        bool
	lastReported uint64 // sequence of the last poll that contains the task
}

// permit is an outstanding permit; it is pending until the next poll of its entry collects it.
type permit struct {
	peer.Permit
	entry   *entry
	team    *team
	since   time.Time // when it was issued or, if it is no longer pending, collected
	pending bool
	ended   bool
}

// demand is the slots that one entry could start for one team, without those covered by its permits.
type demand struct {
	entry  *entry
	team   *team
	urgent int
	normal int
	sizes  []peer.Size // of the waiting tasks; empty if each takes defaultTaskSlots
	oldest time.Time   // arrival of the oldest waiting task
}

// entry is the state of one entry as of its last poll.
type entry struct {
	id              fleet.EntryID
	sequence        uint64
	lastPoll        time.Time
	tasks           []*task // in the order of the last poll
	demands         map[*team]*demand
	permits         map[string]*permit
	pending         []*permit // in order of issue
	estimatesSentAt time.Time
}

func (p *pool) entry(id fleet.EntryID) *entry {
	e, ok := p.entries[id]
	if !ok {
		e = &entry{id: id, demands: map[*team]*demand{}, permits: map[string]*permit{}}
		p.entries[id] = e
	}
	return e
}

// updateEntry replaces an entry's state by the snapshot in its poll.
func (p *pool) updateEntry(e *entry, q peer.PollRequest, now time.Time) {
	e.sequence, e.lastPoll = q.Sequence, now
	p.updateTasks(e, q)
	p.updatePermits(e, q.Unused)
	p.updateDemand(e, q.Demand, now)
}

func (p *pool) updateTasks(e *entry, q peer.PollRequest) {
	before := e.tasks
	e.tasks = make([]*task, 0, len(q.Occupied))
	next := 0
	for _, o := range q.Occupied {
		t := p.findTask(before, &next, o.Task)
		if t != nil && (t.entry != e || t.worker != o.Worker || t.slots != o.Slots) {
			p.endTask(t)
			t = nil
		}
		if t == nil {
			t = p.addTask(e, o)
		}
		t.lastReported = q.Sequence
		e.tasks = append(e.tasks, t)
	}
	for _, t := range before {
		if t.lastReported != q.Sequence && !t.ended {
			p.endTask(t)
		}
	}
}

// findTask returns the task with an id, nil if there is none. Entries usually report their tasks in the same order
// each time, which avoids most look-ups in the map of all the pool's tasks.
func (p *pool) findTask(before []*task, next *int, id fleet.TaskID) *task {
	for i := *next; i < min(*next+2, len(before)); i++ {
		if before[i].id == id && !before[i].ended {
			*next = i + 1
			return before[i]
		}
	}
	return p.tasks[id]
}

func (p *pool) addTask(e *entry, o peer.Occupied) *task {
	t := &task{id: o.Task, entry: e, worker: o.Worker, team: p.team(o.Team), slots: o.Slots, urgent: o.Urgent}
	p.tasks[t.id] = t
	t.team.claim.AddAllocated(t.slots, t.urgent)
	p.addUsage(t.worker, t.slots)
	if w, ok := p.workers[t.worker]; ok {
		if s, ok := w.orphaned[t.id]; ok {
			delete(w.orphaned, t.id)
			p.picker.AddUsage(w.Node, -s)
		}
	}
	return t
}

func (p *pool) endTask(t *task) {
	t.ended = true
	delete(p.tasks, t.id)
	t.team.claim.AddAllocated(-t.slots, t.urgent)
	p.addUsage(t.worker, -t.slots)
	p.endedTasks.add(t.id)
}

// updatePermits ends the collected permits that the entry has used or let expire.
func (p *pool) updatePermits(e *entry, unused []string) {
	keep := make(map[string]bool, len(unused))
	for _, id := range unused {
		keep[id] = true
	}
	for id, m := range e.permits {
		if !m.pending && !keep[id] {
			p.endPermit(m)
		}
	}
}

// endPermit deletes a permit and frees its slots.
func (p *pool) endPermit(m *permit) {
	if m.ended {
		return
	}
	m.ended = true
	delete(p.permits, m.ID)
	delete(m.entry.permits, m.ID)
	m.team.claim.AddAllocated(-m.Slots, m.Urgent)
	p.addUsage(m.Worker, -m.Slots)
}

func (p *pool) updateDemand(e *entry, ds []peer.Demand, now time.Time) {
	for _, d := range e.demands {
		p.addToClaim(d, -1)
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
		if d, ok := e.demands[m.team]; ok && !m.pending {
			d.subtractTask(m.Slots, m.Urgent)
		}
	}
	e.pending = slices.DeleteFunc(e.pending, func(m *permit) bool { return m.ended })
	for _, m := range e.pending {
		// A pending permit without matching demand at its entry ends, so that other entries can use its slots.
		if d, ok := e.demands[m.team]; ok && d.urgent+d.normal >= m.Slots {
			d.subtractTask(m.Slots, m.Urgent)
		} else {
			p.endPermit(m)
		}
	}
	for _, d := range e.demands {
		p.addToClaim(d, 1)
	}
}

// addToClaim adds a demand to its team's claim with sign 1 and subtracts it with sign -1.
func (p *pool) addToClaim(d *demand, sign int) {
	d.team.claim.Urgent += sign * d.urgent
	d.team.claim.Normal += sign * d.normal
}

// subtractTask reduces the demand by one task. Slots beyond the demand of the task's urgency are taken from the other.
func (d *demand) subtractTask(slots int, urgent bool) {
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

// nextTaskSlots returns the slots of the next task of an urgency, 0 if none can start.
func (d *demand) nextTaskSlots(urgent bool) int {
	left := d.normal
	if urgent {
		left = d.urgent
	}
	if len(d.sizes) == 0 {
		return min(d.team.defaultTaskSlots, left)
	}
	for _, s := range d.sizes {
		if s.Urgent == urgent && s.Tasks > 0 && s.Slots <= left {
			return s.Slots
		}
	}
	return 0
}

// expire ends expired permits, the demand of unresponsive entries, and entries whose leases have expired.
func (p *pool) expire(now time.Time) {
	for _, m := range p.permits {
		limit := PermitTTL + permitMargin
		if m.pending {
			limit = pendingPermitTTL
		}
		if now.Sub(m.since) > limit {
			p.endPermit(m)
		}
	}
	for id, e := range p.entries {
		sincePoll := now.Sub(e.lastPoll)
		if e.lastPoll.IsZero() || sincePoll <= entryTimeout {
			continue
		}
		for _, d := range e.demands {
			p.addToClaim(d, -1)
			d.urgent, d.normal, d.sizes = 0, 0, nil
		}
		if sincePoll > entryTaskTTL {
			p.removeEntry(id, e)
		}
	}
}

// removeEntry deletes an entry and ends its tasks, whose leases have expired.
func (p *pool) removeEntry(id fleet.EntryID, e *entry) {
	for _, t := range e.tasks {
		if !t.ended {
			p.endTask(t)
		}
	}
	for t := range e.demands {
		t.demands = withoutEntry(t.demands, e)
	}
	delete(p.entries, id)
}

func withoutEntry(ds []*demand, e *entry) []*demand {
	var kept []*demand
	for _, d := range ds {
		if d.entry != e {
			kept = append(kept, d)
		}
	}
	return kept
}
