package trial

import (
	"cmp"
	"slices"

	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// never ends the tasks that still run at the end of a journal.
const never = record.Stamp(1<<63 - 1)

// span is one run of a task at a worker.
type span struct {
	key        string
	team       fleet.TeamName
	pool       fleet.PoolName
	slots      int
	start, end record.Stamp
	done       bool
}

// spans pairs the starts of a journal with the ends of their tasks.
func spans(journal []record.Journal) []span {
	type place struct {
		instance fleet.InstanceID
		task     fleet.TaskID
	}
	open := map[place]int{}
	var list []span
	for _, j := range journal {
		at := place{j.Instance, j.Task}
		switch j.Event {
		case record.Started:
			open[at] = len(list)
			list = append(list, span{key: j.Key, team: j.Team, pool: j.Pool, slots: j.Slots, start: j.Time, end: never})
		case record.Ended, record.Stopped, record.Lapsed:
			if i, ok := open[at]; ok {
				list[i].end, list[i].done = j.Time, j.Event == record.Ended
				delete(open, at)
			}
		}
	}
	return list
}

// overlap returns the slot time in seconds that a task used between two times.
func (s span) overlap(from, to record.Stamp) float64 {
	return float64(s.slots) * max(0, min(s.end, to).Sub(max(s.start, from)).Seconds())
}

// step is a change of a count.
type step struct {
	time  record.Stamp
	count int
}

// counts returns the running count after every change, in order of time.
func counts(changes []step) []step {
	// An end goes before a start at the same time, so that a slot that is passed on does not count twice.
	slices.SortStableFunc(changes, func(a, b step) int { return cmp.Or(cmp.Compare(a.time, b.time), cmp.Compare(a.count, b.count)) })
	n := 0
	for i := range changes {
		n += changes[i].count
		changes[i].count = n
	}
	return changes
}

// running returns how many slots a team ran over time.
func running(tasks []span, team fleet.TeamName) []step {
	var changes []step
	for _, s := range tasks {
		if s.team == team {
			changes = append(changes, step{s.start, s.slots}, step{s.end, -s.slots})
		}
	}
	return counts(changes)
}

// requested returns how many of a team's requests were submitted and unanswered over time.
func requested(calls []record.Call, team fleet.TeamName) []step {
	var changes []step
	for _, c := range calls {
		switch {
		case c.Team != team || c.Event == record.Accepted:
		case c.Event == record.Submitted:
			changes = append(changes, step{c.Time, 1})
		default:
			changes = append(changes, step{c.Time, -1})
		}
	}
	return counts(changes)
}
