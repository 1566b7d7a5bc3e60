package alloc

import "time"

// maxCordonedPercent caps the workers of a pool that are cordoned for large tasks; one may always be.
const maxCordonedPercent = 10

// cordon keeps new tasks away from a worker until a team's large task fits on it. Without it small tasks would take
// every slot as it becomes free, and a large task would never start in a full pool.
type cordon struct {
	worker *poolWorker
	slots  int
	since  time.Time
}

// cordonTimeout bounds how long a worker stays cordoned before another one is tried, because its running tasks may
// take hours.
const cordonTimeout = 30 * time.Second

// placeTask returns a worker for a team's task: the one cordoned for the team if a task at least as large as the one it
// is cordoned for fits on it, else the picker's choice. If none has enough free slots it returns nil and may cordon a
// worker for a task of several slots.
func (p *pool) placeTask(t *team, slots int, now time.Time) *poolWorker {
	if c := t.cordon; c != nil && slots >= c.slots && p.picker.Fits(c.worker.Node, slots) {
		p.uncordon(t)
		return c.worker
	}
	if n := p.picker.Pick(slots); n != nil {
		return p.workers[n.ID]
	}
	if slots > 1 && t.cordon == nil && p.cordons < max(len(p.workerOrder)*maxCordonedPercent/100, 1) {
		if n := p.picker.Cordon(slots); n != nil {
			t.cordon = &cordon{worker: p.workers[n.ID], slots: slots, since: now}
			p.cordons++
		}
	}
	return nil
}

// expireCordons ends cordons that the demand no longer needs, that have timed out, or whose worker has left the pool
// or may not run the task.
func (p *pool) expireCordons(now time.Time) {
	if p.cordons == 0 {
		return
	}
	for _, t := range p.teams {
		c := t.cordon
		if c == nil {
			continue
		}
		removed := p.workers[c.worker.ID] != c.worker
		if removed || now.Sub(c.since) > cordonTimeout || t.claim.Urgent+t.claim.Normal < c.slots ||
			!p.picker.Allows(c.worker.Node, c.slots) {
			p.uncordon(t)
		}
	}
}

func (p *pool) uncordon(t *team) {
	if w := t.cordon.worker; p.workers[w.ID] == w {
		p.picker.Uncordon(w.Node)
	}
	t.cordon = nil
	p.cordons--
}

// cordonFits reports whether a task fits on the worker cordoned for it.
func (p *pool) cordonFits() bool {
	if p.cordons == 0 {
		return false
	}
	for _, t := range p.teams {
		if c := t.cordon; c != nil && p.picker.Fits(c.worker.Node, c.slots) {
			return true
		}
	}
	return false
}
