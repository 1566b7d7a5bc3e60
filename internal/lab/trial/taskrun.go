package trial

import (
	"cmp"
	"slices"

	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// noEnd is the end time of tasks that still run at the end of a journal.
const noEnd = record.Stamp(1<<63 - 1)

// taskRun is one run of a task on a worker.
type taskRun struct {
	key        string
	team       fleet.TeamName
	pool       fleet.PoolName
	slots      int
	start, end record.Stamp
	completed  bool
}

// taskRuns pairs the starts in a journal with the ends of their tasks.
func taskRuns(journal []record.Journal) []taskRun {
	type runKey struct {
		instance fleet.InstanceID
		task     fleet.TaskID
	}
	running := map[runKey]int{}
	var list []taskRun
	for _, j := range journal {
		id := runKey{j.Instance, j.Task}
		switch j.Event {
		case record.Started:
			running[id] = len(list)
			list = append(list, taskRun{key: j.Key, team: j.Team, pool: j.Pool, slots: j.Slots, start: j.Time, end: noEnd})
		case record.Ended, record.Stopped, record.Expired:
			if i, ok := running[id]; ok {
				list[i].end, list[i].completed = j.Time, j.Event == record.Ended
				delete(running, id)
			}
		}
	}
	return list
}

// slotSeconds returns the slot time that a task used between two times.
func (s taskRun) slotSeconds(from, to record.Stamp) float64 {
	return float64(s.slots) * max(0, min(s.end, to).Sub(max(s.start, from)).Seconds())
}

// point is a change of a count at a time, or the count from that time on.
type point struct {
	time  record.Stamp
	count int
}

// cumulate turns changes into the count after each of them, in order of time.
func cumulate(changes []point) []point {
	// An end sorts before a start at the same time, so that a reused slot does not count twice.
	slices.SortStableFunc(changes, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.time, b.time), cmp.Compare(a.count, b.count))
	})
	n := 0
	for i := range changes {
		n += changes[i].count
		changes[i].count = n
	}
	return changes
}

// slotsInUse returns the number of slots that a team used over time.
func slotsInUse(tasks []taskRun, team fleet.TeamName) []point {
	var changes []point
	for _, s := range tasks {
		if s.team == team {
			changes = append(changes, point{s.start, s.slots}, point{s.end, -s.slots})
		}
	}
	return cumulate(changes)
}

// pendingRequests returns the number of a team's requests that were submitted and not yet answered over time.
func pendingRequests(calls []record.Call, team fleet.TeamName) []point {
	var changes []point
	for _, c := range calls {
		switch {
		case c.Team != team || c.Event == record.Accepted:
		case c.Event == record.Submitted:
			changes = append(changes, point{c.Time, 1})
		default:
			changes = append(changes, point{c.Time, -1})
		}
	}
	return cumulate(changes)
}
