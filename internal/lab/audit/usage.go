package audit

import (
	"fmt"

	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// heldTask is a task that is reserved or running on an instance.
type heldTask struct {
	team    fleet.TeamName
	pool    fleet.PoolName
	slots   int
	running bool
}

// usage tracks the tasks that every instance holds and the slots that every team runs, event by event.
type usage struct {
	held    map[fleet.InstanceID]map[fleet.TaskID]heldTask
	running map[fleet.TeamName]int
}

func newUsage() *usage {
	return &usage{held: map[fleet.InstanceID]map[fleet.TaskID]heldTask{}, running: map[fleet.TeamName]int{}}
}

func (u *usage) apply(r record.Journal) {
	switch r.Event {
	case record.Reserved, record.Started:
		u.release(r.Instance, r.Task)
		u.add(r)
	case record.Ended, record.Stopped, record.Expired, record.Fenced:
		u.release(r.Instance, r.Task)
	case record.Booted, record.Died, record.Down:
		for id := range u.held[r.Instance] {
			u.release(r.Instance, id)
		}
	}
}

func (u *usage) add(r record.Journal) {
	if u.held[r.Instance] == nil {
		u.held[r.Instance] = map[fleet.TaskID]heldTask{}
	}
	h := heldTask{team: r.Team, pool: r.Pool, slots: r.Slots, running: r.Event == record.Started}
	u.held[r.Instance][r.Task] = h
	if h.running {
		u.running[h.team] += h.slots
	}
}

func (u *usage) release(i fleet.InstanceID, id fleet.TaskID) {
	h, ok := u.held[i][id]
	if ok && h.running {
		u.running[h.team] -= h.slots
	}
	delete(u.held[i], id)
}

func (u *usage) taskOfOtherPool(r record.Journal) (fleet.TaskID, fleet.PoolName, bool) {
	for id, h := range u.held[r.Instance] {
		if h.pool != r.Pool {
			return id, h.pool, true
		}
	}
	return "", "", false
}

// overCeiling finds starts after which a team runs more slots than any ceiling that may be in force allows.
func (t trial) overCeiling() []Finding {
	u := newUsage()
	ceilings := map[fleet.TeamName][]record.Edit{}
	for _, e := range t.edits {
		if e.record.Kind == record.EditCeiling {
			ceilings[e.record.Team] = append(ceilings[e.record.Team], e.record)
		}
	}
	var f []Finding
	for _, j := range t.journal {
		u.apply(j.record)
		if j.record.Event != record.Started {
			continue
		}
		team := j.record.Team
		limit, ok := ceilingAt(ceilings[team], j.record.Time)
		if ok && u.running[team] > limit {
			f = append(f, journalFinding(OverCeiling, j,
				fmt.Sprintf("team %s runs %d slots with a ceiling of %d", team, u.running[team], limit)))
		}
	}
	return f
}

// ceilingAt returns the highest ceiling that may be in force: a new ceiling counts from its request on, and the
// previous one until Grace after the new one was accepted.
func ceilingAt(edits []record.Edit, t record.Stamp) (int, bool) {
	limit, ok := 0, false
	for i, e := range edits {
		if e.RequestedAt() > t || i+1 < len(edits) && t > edits[i+1].Time.Add(Grace) {
			continue
		}
		limit, ok = max(limit, e.Count), true
	}
	return limit, ok
}

// twoPools finds events after which an instance holds tasks that were reserved for different pools.
func (t trial) twoPools() []Finding {
	u := newUsage()
	var f []Finding
	for _, j := range t.journal {
		r := j.record
		u.apply(r)
		if r.Event != record.Reserved && r.Event != record.Started {
			continue
		}
		if id, pool, ok := u.taskOfOtherPool(r); ok {
			f = append(f, journalFinding(TwoPools, j,
				fmt.Sprintf("instance %s holds task %s for pool %s and task %s for pool %s",
					r.Instance, r.Task, r.Pool, id, pool)))
		}
	}
	return f
}
