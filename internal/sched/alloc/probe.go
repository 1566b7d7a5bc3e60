package alloc

import (
	"slices"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
)

// endedTaskTTL is how long the id of an ended task is kept, so that the report of a probe sent before the task's end
// does not make it an orphan.
const endedTaskTTL = 2 * probeInterval

// recentTasks is a set of task ids, each kept for one to two times endedTaskTTL.
type recentTasks struct {
	current, previous map[fleet.TaskID]bool
	rotatedAt         time.Time
}

func (r *recentTasks) add(id fleet.TaskID) {
	if r.current == nil {
		r.current = map[fleet.TaskID]bool{}
	}
	r.current[id] = true
}

func (r *recentTasks) has(id fleet.TaskID) bool { return r.current[id] || r.previous[id] }

func (r *recentTasks) rotate(now time.Time) {
	if now.Sub(r.rotatedAt) > endedTaskTTL {
		r.previous, r.current, r.rotatedAt = r.current, nil, now
	}
}

// dueProbes returns the workers to probe at a tick and marks them as being probed; each worker is due once per probe
// interval unless a probe of it is under way. It also applies the view and the changes that depend on time, so that
// they do not wait for a poll.
func (p *pool) dueProbes(v fleet.View, tick int) []*poolWorker {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.applyView(v, now)
	p.expire(now)
	p.endedTasks.rotate(now)
	if tick%(probeTicks/2) == 0 {
		p.advanceStates(now)
	}
	var due []*poolWorker
	for i := tick; i < len(p.workerOrder); i += probeTicks {
		if w := p.workerOrder[i]; !w.probing {
			w.probing = true
			due = append(due, w)
		}
	}
	return due
}

// unprobed returns up to maxNewPoolProbes workers that have not been probed and marks them as being probed.
func (p *pool) unprobed(v fleet.View) []*poolWorker {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyView(v, time.Now())
	var due []*poolWorker
	for _, w := range p.workerOrder {
		if !w.probed && !w.probing && len(due) < maxNewPoolProbes {
			w.probing = true
			due = append(due, w)
		}
	}
	return due
}

// handleProbe updates a worker from the result of a probe.
func (p *pool) handleProbe(w *poolWorker, r worker.Report, err error, now time.Time) {
	w.probing, w.probed = false, true
	if p.workers[w.ID] != w {
		return // the worker left the pool during the probe
	}
	ok := err == nil && r.Instance == w.ID // another instance may have taken over the address
	w.reachability.ObserveProbe(ok)
	if !ok {
		p.updateLimit(w)
		return
	}
	first := !w.reported || w.boot != r.Boot
	w.reported, w.leaving, w.boot = true, r.Leaving, r.Boot
	p.picker.SetConnections(w.Node, r.Connections)
	p.endExitedTasks(w, r, now)
	p.findOrphans(w, r, first)
	p.updateLimit(w)
}

// endExitedTasks ends the tasks of unresponsive entries that the worker no longer runs, so that the slots of a lost
// entry are reusable before its longest lease expires.
func (p *pool) endExitedTasks(w *poolWorker, r worker.Report, now time.Time) {
	for _, e := range p.entries {
		if now.Sub(e.lastPoll) <= entryTimeout {
			continue
		}
		for _, t := range e.tasks {
			if t.worker == w.ID && !t.ended && !isRunning(r, t.id) {
				p.endTask(t)
			}
		}
	}
}

func isRunning(r worker.Report, id fleet.TaskID) bool {
	return slices.ContainsFunc(r.Tasks, func(s worker.ReportedTask) bool { return s.Task == id && !s.State.Ended() })
}

// findOrphans counts the slots of running tasks that no entry reports. A task counts from the second consecutive
// report that contains it, because the first may be older than the poll that will report the task. In the worker's
// first report, and in the first after a restart, every such task counts.
func (p *pool) findOrphans(w *poolWorker, r worker.Report, first bool) {
	knownSlots := 0
	unreported := map[fleet.TaskID]bool{}
	for _, t := range r.Tasks {
		if t.State.Ended() {
			continue
		}
		if k, ok := p.tasks[t.Task]; ok {
			knownSlots += k.slots
		} else if !p.endedTasks.has(t.Task) {
			unreported[t.Task] = true
		}
	}
	slots := max(r.Used-knownSlots, len(unreported))
	orphaned := map[fleet.TaskID]int{}
	used := 0
	for id := range unreported {
		if first || w.unreported[id] {
			// Reports do not contain the slots of each task, so the unaccounted slots are divided evenly.
			orphaned[id] = max(slots/len(unreported), 1)
			used += orphaned[id]
		}
	}
	usedBefore := 0
	for _, s := range w.orphaned {
		usedBefore += s
	}
	w.orphaned, w.unreported = orphaned, unreported
	if used != usedBefore {
		p.picker.AddUsage(w.Node, used-usedBefore)
	}
}
