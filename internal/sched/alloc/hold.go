package alloc

import "time"

// holdPercent caps the workers of a pool that are kept for large tasks.
const holdPercent = 10

// hold is a worker that is kept until a team's large task fits on it. Without it small tasks would take every
// slot as it becomes free, and a large task would never start in a full pool.
type hold struct {
	worker *node
	slots  int
	since  time.Time
}

// holdLimit is how long a worker is kept before another one is tried: its tasks may run for hours.
const holdLimit = 30 * time.Second

// place returns the worker for a team's task, nil if none has room now.
func (p *pool) place(t *team, slots int, now time.Time) *node {
	if h := t.hold; h != nil && slots >= h.slots && p.picker.Fits(h.worker.Node, slots) {
		p.unhold(t)
		return h.worker
	}
	if n := p.picker.Pick(slots); n != nil {
		return p.workers[n.ID]
	}
	if slots > 1 && t.hold == nil && p.holds < max(len(p.order)*holdPercent/100, 1) {
		if n := p.picker.Hold(slots); n != nil {
			t.hold = &hold{worker: p.workers[n.ID], slots: slots, since: now}
			p.holds++
		}
	}
	return nil
}

// review ends holds that are no longer wanted, last too long, or are on a worker that gets no work.
func (p *pool) review(now time.Time) {
	if p.holds == 0 {
		return
	}
	for _, t := range p.teams {
		h := t.hold
		if h == nil {
			continue
		}
		gone := p.workers[h.worker.ID] != h.worker
		if gone || now.Sub(h.since) > holdLimit || t.claim.Urgent+t.claim.Normal < h.slots ||
			!p.picker.Allows(h.worker.Node, h.slots) {
			p.unhold(t)
		}
	}
}

func (p *pool) unhold(t *team) {
	if w := t.hold.worker; p.workers[w.ID] == w {
		p.picker.Unhold(w.Node)
	}
	t.hold = nil
	p.holds--
}

// ready reports whether a held worker has room for its task.
func (p *pool) ready() bool {
	if p.holds == 0 {
		return false
	}
	for _, t := range p.teams {
		if h := t.hold; h != nil && p.picker.Fits(h.worker.Node, h.slots) {
			return true
		}
	}
	return false
}
