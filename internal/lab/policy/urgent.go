package policy

import (
	"fmt"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/sched/share"
)

// urgentBound is the design page's bound on the waiting time of urgent work within its team's share.
const urgentBound = 9100 * time.Millisecond

// allUrgentTeam is the index of the team that marks all its work urgent, at three times its usual load.
const allUrgentTeam = 4

// urgencyPolicy decides when urgent work is served.
type urgencyPolicy struct {
	name  string
	build func(s *sim) func(time.Time, []*share.Claim) (*share.Claim, bool)
}

var urgencyPolicies = []urgencyPolicy{
	{"no priority", func(s *sim) func(time.Time, []*share.Claim) (*share.Claim, bool) { return s.nextByOccupancy }},
	{"urgent strictly first", func(*sim) func(time.Time, []*share.Claim) (*share.Claim, bool) { return nextUrgentFirst }},
	{"three of four grants urgent", func(*sim) func(time.Time, []*share.Claim) (*share.Claim, bool) {
		streak := 0
		return func(_ time.Time, claims []*share.Claim) (*share.Claim, bool) {
			c, urgent := nextUrgentFirst(time.Time{}, claims)
			if n := lowestClaim(claims, func(c *share.Claim) bool { return c.Normal > 0 }); streak >= 3 && n != nil {
				c, urgent = n, false
			}
			streak++
			if !urgent {
				streak = 0
			}
			return c, urgent
		}
	}},
	{"urgent first within the share (product)", nil},
}

// nextUrgentFirst serves all urgent work before other work.
func nextUrgentFirst(_ time.Time, claims []*share.Claim) (*share.Claim, bool) {
	if c := lowestClaim(claims, func(c *share.Claim) bool { return c.Urgent > 0 }); c != nil {
		return c, true
	}
	return lowestClaim(claims, func(c *share.Claim) bool { return c.Normal > 0 }), false
}

// nextByOccupancy serves the team with the lowest occupancy and its oldest task, urgent or not.
func (s *sim) nextByOccupancy(_ time.Time, claims []*share.Claim) (*share.Claim, bool) {
	c := lowestClaim(claims, func(c *share.Claim) bool { return c.Urgent+c.Normal > 0 })
	if c == nil {
		return nil, false
	}
	i := s.teamIndex(c)
	return c, c.Urgent > 0 && (c.Normal == 0 || s.oldestArrival(i, 1) < s.oldestArrival(i, 0))
}

// oldestArrival returns the arrival time of a team's oldest waiting task.
func (s *sim) oldestArrival(team, urgent int) time.Duration {
	oldest := s.now
	for e := range entryCount {
		if f := &s.waiting[team][urgent][e]; f.len() > 0 {
			oldest = min(oldest, f.tasks[f.head].arrived)
		}
	}
	return oldest
}

// waits holds waiting times in seconds: of urgent work, of other work, and of the work of allUrgentTeam.
type waits struct{ urgent, other, allUrgent []float64 }

// measureUrgency measures waiting times in an overloaded pool where one team marks all its work urgent.
func measureUrgency(o options) []table {
	t := table{
		Title: fmt.Sprintf("Waiting in an overloaded pool, one team marks all its work urgent, seconds (bound of urgent work %.1f)",
			urgentBound.Seconds()),
		Head: []string{"order", "urgent p99", "urgent max", "other p50", "other p99", "loud team p50"},
	}
	for _, p := range urgencyPolicies {
		var all waits
		for _, w := range runSeeds(o, func(seed uint64) waits { return urgentRun(p, seed, o.length) }) {
			all.urgent = append(all.urgent, w.urgent...)
			all.other = append(all.other, w.other...)
			all.allUrgent = append(all.allUrgent, w.allUrgent...)
		}
		row := []string{p.name}
		for _, v := range []float64{quantile(all.urgent, 0.99), quantile(all.urgent, 1), quantile(all.other, 0.5),
			quantile(all.other, 0.99), quantile(all.allUrgent, 0.5)} {
			row = append(row, fmt.Sprintf("%.2f", v))
		}
		t.Rows = append(t.Rows, row)
	}
	return []table{t}
}

func urgentRun(p urgencyPolicy, seed uint64, length time.Duration) waits {
	teams := append([]team(nil), customers...)
	for i := range teams {
		teams[i].urgent = 0.1
	}
	teams[allUrgentTeam].urgent, teams[allUrgentTeam].load = 1, 3*teams[allUrgentTeam].load
	s := newSim(seed, teams, poolWorkers, 2, share.NewBalance())
	s.factor = surgeFactors(seed, len(teams), length)
	if p.build != nil {
		s.nextClaim = p.build(s)
	}
	var w waits
	s.hooks.started = func(t *task) {
		waited := (t.started - t.arrived).Seconds()
		switch {
		case t.arrived < warmUp:
		case t.team == allUrgentTeam:
			w.allUrgent = append(w.allUrgent, waited)
		case t.urgent:
			w.urgent = append(w.urgent, waited)
		default:
			w.other = append(w.other, waited)
		}
	}
	s.run(length)
	return w
}
