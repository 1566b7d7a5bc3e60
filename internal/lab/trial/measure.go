package trial

import (
	"math"
	"slices"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/demo"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

func (r *RunReport) measure(t trace) {
	switch t.scenario.name {
	case full:
		r.Pools = t.pools()
		r.Urgent = t.waits(true)
	case ceiling:
		r.Ceilings = t.ceilings()
	case surges:
		r.Waits = t.waits(false)
		r.Lag = t.lags()
	case light:
		r.Overhead = t.overhead()
	default:
		r.Completed = t.completed()
	}
}

// pools measures the pools that are kept full.
func (t trace) pools() []PoolReport {
	var list []PoolReport
	for _, p := range []fleet.PoolName{"pool-1", "pool-2"} {
		r := PoolReport{Pool: p}
		for _, w := range []time.Duration{time.Second, 10 * time.Second, 30 * time.Second} {
			if w > t.to().Sub(t.from()) {
				w = t.to().Sub(t.from())
			}
			mean, worst := t.misplaced(p, w)
			r.Windows = append(r.Windows, Window{Seconds: w.Seconds(), Mean: mean, Worst: worst})
		}
		used, starts := 0.0, 0
		for _, s := range t.tasks {
			if s.pool == p {
				used += s.overlap(t.from(), t.to())
				if s.start >= t.from() && s.start < t.to() {
					starts++
				}
			}
		}
		// Ten or eleven workers are in a pool; its slots are the most that ran at once.
		slots := 0
		for _, c := range counts(t.changes(p)) {
			slots = max(slots, c.count)
		}
		total := float64(slots) * t.to().Sub(t.from()).Seconds()
		r.Slots, r.Used, r.Gap = slots, 100*used/total, 1000*(total-used)/float64(max(starts, 1))
		for _, c := range t.members(p) {
			part, due := t.usage(c, t.from(), t.to())/used, float64(c.Share)/float64(t.weights(p))
			r.Teams = append(r.Teams, TeamShare{Team: fleet.TeamName(c.Name), Due: 100 * due, Got: 100 * part})
		}
		list = append(list, r)
	}
	return list
}

func (t trace) changes(p fleet.PoolName) []step {
	var changes []step
	for _, s := range t.tasks {
		if s.pool == p {
			changes = append(changes, step{s.start, s.slots}, step{s.end, -s.slots})
		}
	}
	return changes
}

func (t trace) members(p fleet.PoolName) []demo.Customer {
	return slices.DeleteFunc(slices.Clone(t.scenario.customers), func(c demo.Customer) bool { return c.Pool != p })
}

func (t trace) weights(p fleet.PoolName) int {
	n := 0
	for _, c := range t.members(p) {
		n += c.Share
	}
	return n
}

func (t trace) usage(c demo.Customer, from, to record.Stamp) float64 {
	sum := 0.0
	for _, s := range t.tasks {
		if s.team == fleet.TeamName(c.Name) {
			sum += s.overlap(from, to)
		}
	}
	return sum
}

// misplaced returns the percentage of used slot time that went to another team than due, mean and worst of the windows.
func (t trace) misplaced(p fleet.PoolName, window time.Duration) (mean, worst float64) {
	n := 0
	for from := t.from(); from.Add(window) <= t.to(); from = from.Add(window) {
		sum, over := 0.0, 0.0
		for _, c := range t.members(p) {
			sum += t.usage(c, from, from.Add(window))
		}
		for _, c := range t.members(p) {
			over += max(0, t.usage(c, from, from.Add(window))-sum*float64(c.Share)/float64(t.weights(p)))
		}
		part := 100 * over / max(sum, math.SmallestNonzeroFloat64)
		mean, worst = mean+part, max(worst, part)
		n++
	}
	return mean / float64(max(n, 1)), worst
}

func (t trace) ceilings() []CeilingReport {
	var list []CeilingReport
	for _, c := range t.scenario.customers {
		r := CeilingReport{Team: fleet.TeamName(c.Name), Ceiling: c.Ceiling}
		r.Used = 100 * t.usage(c, t.from(), t.to()) / float64(c.Ceiling) / t.to().Sub(t.from()).Seconds()
		starts := 0
		for _, s := range t.tasks {
			if s.team == r.Team && s.start >= t.from() && s.start < t.to() {
				starts++
			}
		}
		for _, s := range running(t.tasks, r.Team) {
			r.Peak = max(r.Peak, s.count)
		}
		r.Gap = (1 - r.Used/100) * float64(c.Ceiling) * t.to().Sub(t.from()).Seconds() * 1000 / float64(max(starts, 1))
		list = append(list, r)
	}
	return list
}

// completed counts the tasks that ended from the zone's departure to the end of the run.
func (t trace) completed() int {
	n, from := 0, t.begin.Add(time.Duration(leavesAt*float64(t.length)))
	for _, s := range t.tasks {
		if s.done && s.end >= from && s.end < t.to() {
			n++
		}
	}
	return n
}

// waits returns the times from submission to start; urgent requests are recognised by their keys.
func (t trace) waits(urgentOnly bool) Quantiles {
	started := map[string]record.Stamp{}
	for _, s := range t.tasks {
		if _, ok := started[s.key]; !ok {
			started[s.key] = s.start
		}
	}
	var list []time.Duration
	for _, c := range t.calls {
		if c.Event != record.Submitted || urgentOnly && !c.Urgent || c.Time < t.from() {
			continue
		}
		at, ok := started[c.Key]
		if !ok {
			at = t.to() // still waiting: its wait is at least this long
		}
		list = append(list, at.Sub(c.Time))
	}
	return quantiles(list)
}

// overhead returns the times from submission to answer less the task's run time.
func (t trace) overhead() Quantiles {
	ran := map[string]time.Duration{}
	for _, s := range t.tasks {
		if s.done {
			ran[s.key] = s.end.Sub(s.start)
		}
	}
	sent := map[string]record.Stamp{}
	var list []time.Duration
	for _, c := range t.calls {
		switch c.Event {
		case record.Submitted:
			sent[c.Key] = c.Time
		case record.Answered:
			if sent[c.Key] >= t.from() {
				list = append(list, c.Time.Sub(sent[c.Key])-ran[c.Key])
			}
		}
	}
	return quantiles(list)
}

// near is the part of a ceiling whose use counts as having followed a surge.
const near = 0.9

// lags returns, for each surge, the time from when nine tenths of a ceiling were requested to when they ran, or to
// when no longer so much was requested.
func (t trace) lags() Quantiles {
	var list []time.Duration
	for _, c := range t.scenario.customers {
		level := int(math.Ceil(near * float64(c.Ceiling)))
		ran := rises(running(t.tasks, fleet.TeamName(c.Name)), level, t.to())
		for _, asked := range rises(requested(t.calls, fleet.TeamName(c.Name)), level, t.to()) {
			until := asked.to
			for _, r := range ran {
				if r.from >= asked.from && r.from < until {
					until = r.from
				}
			}
			list = append(list, until.Sub(asked.from))
		}
	}
	return quantiles(list)
}

// period is a time during which a count was at a level.
type period struct{ from, to record.Stamp }

// rises returns when a count reached a level after having been below half of it, and when it first fell below the
// level again, or the end.
func rises(steps []step, level int, end record.Stamp) []period {
	var list []period
	low, high := true, false
	for _, s := range steps {
		switch {
		case low && s.count >= level:
			list = append(list, period{s.time, end})
			low, high = false, true
		case high && s.count < level:
			list[len(list)-1].to = min(s.time, end)
			high = false
		}
		low = low || 2*s.count < level
	}
	return list
}

func quantiles(list []time.Duration) Quantiles {
	slices.Sort(list)
	if len(list) == 0 {
		return Quantiles{}
	}
	at := func(q float64) float64 { return list[int(q*float64(len(list)-1))].Seconds() * 1000 }
	return Quantiles{Count: len(list), P50: at(0.5), P99: at(0.99), Max: at(1)}
}
