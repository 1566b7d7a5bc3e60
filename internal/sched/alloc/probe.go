package alloc

import (
	"slices"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
)

// releasedFor is how long an ended task is remembered, so that a probe sent before its end doesn't count it.
const releasedFor = 2 * probeInterval

// recent remembers ids for one to two periods.
type recent struct {
	now, before map[fleet.TaskID]bool
	turned      time.Time
}

func (r *recent) add(id fleet.TaskID) {
	if r.now == nil {
		r.now = map[fleet.TaskID]bool{}
	}
	r.now[id] = true
}

func (r *recent) has(id fleet.TaskID) bool { return r.now[id] || r.before[id] }

func (r *recent) turn(now time.Time) {
	if now.Sub(r.turned) > releasedFor {
		r.before, r.now, r.turned = r.now, nil, now
	}
}

// due returns the workers to probe at a tick, each worker once per probe interval.
func (p *pool) due(v fleet.View, tick int) []*node {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.follow(v, now)
	p.expire(now)
	p.released.turn(now)
	if tick%(probeTicks/2) == 0 {
		p.advance(now)
	}
	var due []*node
	for i := tick; i < len(p.order); i += probeTicks {
		if w := p.order[i]; !w.probing {
			w.probing = true
			due = append(due, w)
		}
	}
	return due
}

// untried returns workers that were not probed yet.
func (p *pool) untried(v fleet.View) []*node {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.follow(v, time.Now())
	var due []*node
	for _, w := range p.order {
		if !w.tried && !w.probing && len(due) < freshProbes {
			w.probing = true
			due = append(due, w)
		}
	}
	return due
}

// probed takes in a worker's reply to a probe.
func (p *pool) probed(w *node, r worker.Report, err error, now time.Time) {
	w.probing, w.tried = false, true
	if p.workers[w.ID] != w {
		return // left the pool meanwhile
	}
	ok := err == nil && r.Instance == w.ID // another instance may have got the address
	w.contact.Probed(ok)
	if !ok {
		p.limit(w)
		return
	}
	first := !w.reported || w.boot != r.Boot
	w.reported, w.leaving, w.boot = true, r.Leaving, r.Boot
	p.picker.Connections(w.Node, r.Connections)
	p.settle(w, r, now)
	p.leftovers(w, r, first)
	p.limit(w)
}

// settle ends the tasks of silent entries that their worker no longer runs, so that the slots of a lost entry need
// not wait for the longest lease.
func (p *pool) settle(w *node, r worker.Report, now time.Time) {
	for _, e := range p.entries {
		if now.Sub(e.polled) <= silence {
			continue
		}
		for _, t := range e.tasks {
			if t.worker == w.ID && !t.gone && !runs(r, t.id) {
				p.end(t)
			}
		}
	}
}

func runs(r worker.Report, id fleet.TaskID) bool {
	return slices.ContainsFunc(r.Tasks, func(s worker.StatusOfOwner) bool { return s.Task == id && !s.State.Ended() })
}

// leftovers finds running tasks that no entry reports. A task counts once two reports in a row name it, because
// one report may be older than the poll that will name the task; at the first report everything counts.
func (p *pool) leftovers(w *node, r worker.Report, first bool) {
	known := 0
	unclaimed := map[fleet.TaskID]bool{}
	for _, t := range r.Tasks {
		if t.State.Ended() {
			continue
		}
		if k, ok := p.tasks[t.Task]; ok {
			known += k.slots
		} else if !p.released.has(t.Task) {
			unclaimed[t.Task] = true
		}
	}
	slots := max(r.Used-known, len(unclaimed))
	found := map[fleet.TaskID]int{}
	used := 0
	for id := range unclaimed {
		if first || w.unclaimed[id] {
			// A report does not tell a task's slots: unexplained ones are divided evenly.
			found[id] = max(slots/len(unclaimed), 1)
			used += found[id]
		}
	}
	before := 0
	for _, s := range w.leftover {
		before += s
	}
	w.leftover, w.unclaimed = found, unclaimed
	if used != before {
		p.picker.Use(w.Node, used-before)
	}
}
