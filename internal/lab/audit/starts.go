package audit

import (
	"fmt"

	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// doubled finds non-idempotent requests at their second start. A request counts as non-idempotent if its caller
// or the worker says so, so that a lost mark does not hide a second run.
func (t trial) doubled() []Finding {
	once := map[request]bool{}
	for _, c := range t.calls {
		if c.record.Once {
			once[requestOfCall(c.record)] = true
		}
	}
	first := map[request]placed[record.Journal]{}
	reported := map[request]bool{}
	var f []Finding
	for _, j := range t.journal {
		q := requestOfStart(j.record)
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
			f = append(f, found(Doubled, j, fmt.Sprintf("task %s of key %q started at %s after %s at %s (journal record %d)",
				j.record.Task, j.record.Key, j.record.Instance, before.record.Task, before.record.Instance, before.number)))
		}
	}
	return f
}

// window is a time during which nothing may start.
type window struct {
	from, to record.Stamp
}

func (w window) holds(t record.Stamp) bool { return t > w.from && (w.to == 0 || t < w.to) }

// lateStarts finds starts in a zone out of service or on a leaving instance.
func (t trial) lateStarts() []Finding {
	zones := map[fleet.AvailabilityZone][]window{}
	instances := map[fleet.InstanceID][]window{}
	for _, e := range t.edits {
		switch e.record.Kind {
		case record.EditZone:
			zones[e.record.Zone] = extend(zones[e.record.Zone], e.record)
		case record.EditLeaving:
			instances[e.record.Instance] = extend(instances[e.record.Instance], e.record)
		}
	}
	var f []Finding
	for _, j := range t.journal {
		if j.record.Event != record.Started {
			continue
		}
		if w, ok := within(zones[j.record.Zone], j.record.Time); ok {
			f = append(f, found(LateStart, j, fmt.Sprintf("task %s started at %s %s after the bound for zone %s",
				j.record.Task, j.record.Instance, j.record.Time.Sub(w.from), j.record.Zone)))
		} else if w, ok := within(instances[j.record.Instance], j.record.Time); ok {
			f = append(f, found(LateStart, j, fmt.Sprintf("task %s started %s after the bound for leaving instance %s",
				j.record.Task, j.record.Time.Sub(w.from), j.record.Instance)))
		}
	}
	return f
}

// extend closes the open window at a return and opens one Grace after a departure.
func extend(list []window, e record.Edit) []window {
	open := len(list) > 0 && list[len(list)-1].to == 0
	switch {
	case e.State == fleet.ZoneIn && open:
		list[len(list)-1].to = max(e.Asked(), 1)
	case e.State != fleet.ZoneIn && !open:
		list = append(list, window{from: e.Time.Add(Grace)})
	}
	return list
}

func within(list []window, t record.Stamp) (window, bool) {
	for _, w := range list {
		if w.holds(t) {
			return w, true
		}
	}
	return window{}, false
}
