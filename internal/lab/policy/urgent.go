package policy

import (
	"fmt"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/sched/share"
)

// urgentBound is the time within which urgent work must start.
const urgentBound = 9100 * time.Millisecond

// loud is the team that marks all its work urgent, at three times its load.
const loud = 4

// order is a way to treat urgent work.
type order struct {
	name  string
	picks func(s *sim) func(time.Time, []*share.Claim) (*share.Claim, bool)
}

var orders = []order{
	{"no priority", func(s *sim) func(time.Time, []*share.Claim) (*share.Claim, bool) { return s.byShare }},
	{"urgent strictly first", func(*sim) func(time.Time, []*share.Claim) (*share.Claim, bool) { return strictly }},
	{"three of four grants urgent", func(*sim) func(time.Time, []*share.Claim) (*share.Claim, bool) {
		streak := 0
		return func(_ time.Time, claims []*share.Claim) (*share.Claim, bool) {
			c, urgent := strictly(time.Time{}, claims)
			if n := lowest(claims, func(c *share.Claim) bool { return c.Normal > 0 }); streak >= 3 && n != nil {
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

// strictly serves any urgent work before other work.
func strictly(_ time.Time, claims []*share.Claim) (*share.Claim, bool) {
	if c := lowest(claims, func(c *share.Claim) bool { return c.Urgent > 0 }); c != nil {
		return c, true
	}
	return lowest(claims, func(c *share.Claim) bool { return c.Normal > 0 }), false
}

// byShare serves the team with the lowest occupancy and takes its oldest task, urgent or not.
func (s *sim) byShare(_ time.Time, claims []*share.Claim) (*share.Claim, bool) {
	c := lowest(claims, func(c *share.Claim) bool { return c.Urgent+c.Normal > 0 })
	if c == nil {
		return nil, false
	}
	i := s.index(c)
	return c, c.Urgent > 0 && (c.Normal == 0 || s.oldest(i, 1) < s.oldest(i, 0))
}

// oldest returns the arrival of a team's oldest waiting task.
func (s *sim) oldest(team, urgent int) time.Duration {
	first := s.now
	for e := range entries {
		if f := &s.waiting[team][urgent][e]; f.len() > 0 {
			first = min(first, f.tasks[f.head].arrived)
		}
	}
	return first
}

// waits are waiting times in seconds: of urgent work, of other work, and of the loud team's work.
type waits struct{ urgent, other, loud []float64 }

// urgency measures the waiting of urgent work in an overloaded pool with a team that marks everything urgent.
func urgency(o options) []table {
	t := table{
		Title: fmt.Sprintf("Waiting in an overloaded pool, one team marks all its work urgent, seconds (bound of urgent work %.1f)",
			urgentBound.Seconds()),
		Head: []string{"order", "urgent p99", "urgent max", "other p50", "other p99", "loud team p50"},
	}
	for _, d := range orders {
		var all waits
		for _, w := range parallel(o, func(seed uint64) waits { return urgentRun(d, seed, o.length) }) {
			all.urgent = append(all.urgent, w.urgent...)
			all.other = append(all.other, w.other...)
			all.loud = append(all.loud, w.loud...)
		}
		row := []string{d.name}
		for _, v := range []float64{quantile(all.urgent, 0.99), quantile(all.urgent, 1), quantile(all.other, 0.5),
			quantile(all.other, 0.99), quantile(all.loud, 0.5)} {
			row = append(row, fmt.Sprintf("%.2f", v))
		}
		t.Rows = append(t.Rows, row)
	}
	return []table{t}
}

func urgentRun(d order, seed uint64, length time.Duration) waits {
	teams := append([]team(nil), customers...)
	for i := range teams {
		teams[i].urgent = 0.1
	}
	teams[loud].urgent, teams[loud].load = 1, 3*teams[loud].load
	s := newSim(seed, teams, poolWorkers, 2, share.NewBalance())
	s.factor = surges(seed, len(teams), length)
	if d.picks != nil {
		s.picks = d.picks(s)
	}
	var w waits
	s.hooks.started = func(t *task) {
		waited := (t.started - t.arrived).Seconds()
		switch {
		case t.arrived < warmUp:
		case t.team == loud:
			w.loud = append(w.loud, waited)
		case t.urgent:
			w.urgent = append(w.urgent, waited)
		default:
			w.other = append(w.other, waited)
		}
	}
	s.run(length)
	return w
}
