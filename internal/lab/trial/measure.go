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
	case scenarioFull:
		r.Pools = t.poolReports()
		r.Urgent = t.waitTimes(true)
	case scenarioCeiling:
		r.Ceilings = t.ceilingReports()
	case scenarioSurges:
		r.Waits = t.waitTimes(false)
		r.Lag = t.surgeLags()
	case scenarioLight:
		r.Overhead = t.overhead()
	default:
		r.Completed = t.completedTasks()
	}
}

// poolReports measures the pools that the scenario overloads.
func (t trace) poolReports() []PoolReport {
	var list []PoolReport
	for _, p := range []fleet.PoolName{"pool-1", "pool-2"} {
		r := PoolReport{Pool: p}
		for _, w := range []time.Duration{time.Second, 10 * time.Second, 30 * time.Second} {
			if w > t.to().Sub(t.from()) {
				w = t.to().Sub(t.from())
			}
			mean, worst := t.misallocated(p, w)
			r.Windows = append(r.Windows, Window{Seconds: w.Seconds(), Mean: mean, Worst: worst})
		}
		used, starts := 0.0, 0
		for _, s := range t.tasks {
			if s.pool == p {
				used += s.slotSeconds(t.from(), t.to())
				if s.start >= t.from() && s.start < t.to() {
					starts++
				}
			}
		}
		// A pool has ten or eleven workers, so its size is taken as the largest number of slots that ran at once.
		slots := 0
		for _, c := range cumulate(t.slotChanges(p)) {
			slots = max(slots, c.count)
		}
		total := float64(slots) * t.to().Sub(t.from()).Seconds()
		r.Slots, r.Used, r.IdleGap = slots, 100*used/total, 1000*(total-used)/float64(max(starts, 1))
		for _, c := range t.poolCustomers(p) {
			received, entitled := t.teamSlotSeconds(c, t.from(), t.to())/used, float64(c.Share)/float64(t.totalShares(p))
			r.Teams = append(r.Teams, TeamShare{
				Team: fleet.TeamName(c.Name), Entitled: 100 * entitled, Received: 100 * received,
			})
		}
		list = append(list, r)
	}
	return list
}

func (t trace) slotChanges(p fleet.PoolName) []point {
	var changes []point
	for _, s := range t.tasks {
		if s.pool == p {
			changes = append(changes, point{s.start, s.slots}, point{s.end, -s.slots})
		}
	}
	return changes
}

func (t trace) poolCustomers(p fleet.PoolName) []demo.Customer {
	return slices.DeleteFunc(slices.Clone(t.scenario.customers), func(c demo.Customer) bool { return c.Pool != p })
}

func (t trace) totalShares(p fleet.PoolName) int {
	n := 0
	for _, c := range t.poolCustomers(p) {
		n += c.Share
	}
	return n
}

func (t trace) teamSlotSeconds(c demo.Customer, from, to record.Stamp) float64 {
	sum := 0.0
	for _, s := range t.tasks {
		if s.team == fleet.TeamName(c.Name) {
			sum += s.slotSeconds(from, to)
		}
	}
	return sum
}

// misallocated returns the percentage of used slot time that went to teams beyond their shares, as the mean and the
// worst of all windows.
func (t trace) misallocated(p fleet.PoolName, window time.Duration) (mean, worst float64) {
	n := 0
	for from := t.from(); from.Add(window) <= t.to(); from = from.Add(window) {
		sum, excess := 0.0, 0.0
		for _, c := range t.poolCustomers(p) {
			sum += t.teamSlotSeconds(c, from, from.Add(window))
		}
		for _, c := range t.poolCustomers(p) {
			excess += max(0, t.teamSlotSeconds(c, from, from.Add(window))-sum*float64(c.Share)/float64(t.totalShares(p)))
		}
		percent := 100 * excess / max(sum, math.SmallestNonzeroFloat64)
		mean, worst = mean+percent, max(worst, percent)
		n++
	}
	return mean / float64(max(n, 1)), worst
}

func (t trace) ceilingReports() []CeilingReport {
	var list []CeilingReport
	for _, c := range t.scenario.customers {
		r := CeilingReport{Team: fleet.TeamName(c.Name), Ceiling: c.Ceiling}
		r.Used = 100 * t.teamSlotSeconds(c, t.from(), t.to()) / float64(c.Ceiling) / t.to().Sub(t.from()).Seconds()
		starts := 0
		for _, s := range t.tasks {
			if s.team == r.Team && s.start >= t.from() && s.start < t.to() {
				starts++
			}
		}
		for _, s := range slotsInUse(t.tasks, r.Team) {
			r.Peak = max(r.Peak, s.count)
		}
		r.IdleGap = (1 - r.Used/100) * float64(c.Ceiling) * t.to().Sub(t.from()).Seconds() * 1000 / float64(max(starts, 1))
		list = append(list, r)
	}
	return list
}

// completedTasks counts the tasks that ran to their end between the zone's departure and the end of the run.
func (t trace) completedTasks() int {
	n, departure := 0, t.startedAt.Add(time.Duration(departureFraction*float64(t.length)))
	for _, s := range t.tasks {
		if s.completed && s.end >= departure && s.end < t.to() {
			n++
		}
	}
	return n
}

// waitTimes returns the times from submission to first start, matched by key.
func (t trace) waitTimes(urgentOnly bool) Quantiles {
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
			at = t.to() // Not started: the wait is at least this long.
		}
		list = append(list, at.Sub(c.Time))
	}
	return quantiles(list)
}

// overhead returns the times from submission to answer minus the task's run time.
func (t trace) overhead() Quantiles {
	runTimes := map[string]time.Duration{}
	for _, s := range t.tasks {
		if s.completed {
			runTimes[s.key] = s.end.Sub(s.start)
		}
	}
	submitted := map[string]record.Stamp{}
	var list []time.Duration
	for _, c := range t.calls {
		switch c.Event {
		case record.Submitted:
			submitted[c.Key] = c.Time
		case record.Answered:
			if submitted[c.Key] >= t.from() {
				list = append(list, c.Time.Sub(submitted[c.Key])-runTimes[c.Key])
			}
		}
	}
	return quantiles(list)
}

// followedShare is the fraction of a ceiling that must run for the grants to count as having followed a surge.
const followedShare = 0.9

// surgeLags returns, for each surge, the time from when nine tenths of a ceiling are requested until they run, or
// until fewer are requested again.
func (t trace) surgeLags() Quantiles {
	var list []time.Duration
	for _, c := range t.scenario.customers {
		level := int(math.Ceil(followedShare * float64(c.Ceiling)))
		used := crossings(slotsInUse(t.tasks, fleet.TeamName(c.Name)), level, t.to())
		for _, demand := range crossings(pendingRequests(t.calls, fleet.TeamName(c.Name)), level, t.to()) {
			until := demand.to
			for _, r := range used {
				if r.from >= demand.from && r.from < until {
					until = r.from
				}
			}
			list = append(list, until.Sub(demand.from))
		}
	}
	return quantiles(list)
}

// period is an interval in which a count was at or above a level.
type period struct{ from, to record.Stamp }

// crossings returns the periods that begin when a count reaches a level after having been below half of it, and that
// end when it first falls below the level again, or at end.
func crossings(points []point, level int, end record.Stamp) []period {
	var list []period
	armed, above := true, false
	for _, s := range points {
		switch {
		case armed && s.count >= level:
			list = append(list, period{s.time, end})
			armed, above = false, true
		case above && s.count < level:
			list[len(list)-1].to = min(s.time, end)
			above = false
		}
		armed = armed || 2*s.count < level
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
