package audit

import (
	"fmt"

	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// doubled finds non-idempotent requests that started twice. A request counts as non-idempotent if its caller or a
// worker says so, so that a mark missing in one of them does not hide a second run.
func (t trial) doubled() []Finding {
	once := map[request]bool{}
	for _, c := range t.calls {
		if c.record.Once {
			once[requestForCall(c.record)] = true
		}
	}
	first := map[request]numbered[record.Journal]{}
	reported := map[request]bool{}
	var f []Finding
	for _, j := range t.journal {
		q := requestForStart(j.record)
		if j.record.Event != record.Started || !(j.record.Once || once[q]) {
			continue
		}
		before, again := first[q]
		if !again {
			first[q] = j
			continue
		}
		if !reported[q] {
			reported[q] = true
			f = append(f, journalFinding(Doubled, j,
				fmt.Sprintf("task %s of key %q started at %s after %s at %s (journal record %d)",
					j.record.Task, j.record.Key, j.record.Instance,
					before.record.Task, before.record.Instance, before.number)))
		}
	}
	return f
}

// interval is a period of time; to is 0 while it has no end.
type interval struct {
	from, to record.Stamp
}

func (i interval) contains(t record.Stamp) bool { return t > i.from && (i.to == 0 || t < i.to) }

// lateStarts finds starts in a zone that is out of service or on a leaving instance.
func (t trial) lateStarts() []Finding {
	zones := map[fleet.AvailabilityZone][]interval{}
	instances := map[fleet.InstanceID][]interval{}
	for _, e := range t.edits {
		switch e.record.Kind {
		case record.EditZone:
			zones[e.record.Zone] = updateIntervals(zones[e.record.Zone], e.record)
		case record.EditLeaving:
			instances[e.record.Instance] = updateIntervals(instances[e.record.Instance], e.record)
		}
	}
	var f []Finding
	for _, j := range t.journal {
		if j.record.Event != record.Started {
			continue
		}
		if i, ok := findInterval(zones[j.record.Zone], j.record.Time); ok {
			f = append(f, journalFinding(LateStart, j, fmt.Sprintf("task %s started at %s %s after the bound for zone %s",
				j.record.Task, j.record.Instance, j.record.Time.Sub(i.from), j.record.Zone)))
		} else if i, ok := findInterval(instances[j.record.Instance], j.record.Time); ok {
			f = append(f, journalFinding(LateStart, j, fmt.Sprintf("task %s started %s after the bound for leaving instance %s",
				j.record.Task, j.record.Time.Sub(i.from), j.record.Instance)))
		}
	}
	return f
}

// updateIntervals opens an interval Grace after a departure was accepted and closes it when the return is requested.
func updateIntervals(list []interval, e record.Edit) []interval {
	open := len(list) > 0 && list[len(list)-1].to == 0
	switch {
	case e.State == fleet.ZoneIn && open:
		// An end of 0 would mean that the interval has none.
		list[len(list)-1].to = max(e.RequestedAt(), 1)
	case e.State != fleet.ZoneIn && !open:
		list = append(list, interval{from: e.Time.Add(Grace)})
	}
	return list
}

func findInterval(list []interval, t record.Stamp) (interval, bool) {
	for _, i := range list {
		if i.contains(t) {
			return i, true
		}
	}
	return interval{}, false
}
