package policy

import (
	"container/heap"
	"fmt"
	"math"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/sched/admit"
	"github.com/yuccahaven/yuccahaven/internal/sched/share"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	overloadEnd = 3 * time.Minute
	// queueLimit caps a queue's waiting tasks per entry.
	queueLimit = 2000
)

// overloaded returns teams whose load is a multiple of the pool; timeouts are drawn from 2 to 20 s.
func overloaded(factor float64) []team {
	ts := append([]team(nil), steady...)
	for i := range ts {
		ts[i].load = factor * poolSlots / float64(len(ts))
	}
	return ts
}

// line is a way to keep waiting tasks.
type line interface {
	push(t *task) bool
	pop(team int) *task // nil if none waits
	learn(typical []time.Duration)
}

// byDeadline keeps a team's tasks in the order of their deadlines.
type byDeadline []*task

func (b byDeadline) Len() int           { return len(b) }
func (b byDeadline) Less(i, j int) bool { return b[i].deadline < b[j].deadline }
func (b byDeadline) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }
func (b *byDeadline) Push(x any)        { *b = append(*b, x.(*task)) }
func (b *byDeadline) Pop() any {
	old := *b
	t := old[len(old)-1]
	*b = old[:len(old)-1]
	return t
}

// deadlines is the line of one entry in the order of deadlines.
type deadlines [][]*task

func (d deadlines) push(t *task) bool {
	b := byDeadline(d[t.team])
	if len(b) >= queueLimit {
		return false
	}
	heap.Push(&b, t)
	d[t.team] = b
	return true
}

func (d deadlines) pop(team int) *task {
	b := byDeadline(d[team])
	if len(b) == 0 {
		return nil
	}
	t := heap.Pop(&b).(*task)
	d[team] = b
	return t
}

func (d deadlines) learn([]time.Duration) {}

// admitted is the line of one entry as the product keeps it.
type admitted struct{ q *admit.Queue[*task] }

func (a admitted) push(t *task) bool {
	_, err := a.q.Push(admit.Job{
		Team: teamName(t.team), Queue: queueName(t.team), Deadline: epoch.Add(t.deadline), Limit: queueLimit,
	}, t)
	return err == nil
}

func (a admitted) pop(team int) *task {
	k, ok := a.q.Pop(teamName(team), 1)
	if !ok {
		return nil
	}
	return k.Value
}

func (a admitted) learn(typical []time.Duration) {
	var es []peer.Estimate
	for i, d := range typical {
		es = append(es, peer.Estimate{Queue: queueName(i), Typical: time.Duration(float64(d) * math.Ln2)})
	}
	a.q.Learn(es)
}

func queueName(i int) fleet.QueueName { return fleet.QueueName(fmt.Sprint("q", i)) }

var lines = []struct {
	name  string
	build func(s *sim) line
}{
	{"arrival order", func(s *sim) line {
		return admitted{admit.NewQueue[*task](admit.WithClock(s.clock), admit.WithoutEarlyRefusal())}
	}},
	{"earliest deadline first", func(s *sim) line { return make(deadlines, len(s.teams)) }},
	{"arrival order, early refusal (product)", func(s *sim) line {
		return admitted{admit.NewQueue[*task](admit.WithClock(s.clock))}
	}},
}

// tally counts what became of the tasks and the slot-seconds that were spent in vain.
type tally struct{ done, refused, expired, late, wasted, spent float64 }

// overload measures goodput with and without early refusal.
func overload(o options) []table {
	t := table{
		Title: "Admission: tasks completed by their deadline, percent (told late that they fail; slot time wasted, percent)",
		Head:  []string{"queue", "load 1.2", "load 2", "load 4"},
	}
	for _, l := range lines {
		row := []string{l.name}
		for _, factor := range []float64{1.2, 2, 4} {
			var n tally
			for _, r := range parallel(o, func(seed uint64) tally { return overloadRun(l.build, factor, seed) }) {
				n.done += r.done
				n.refused += r.refused
				n.expired += r.expired
				n.late += r.late
				n.wasted += r.wasted
				n.spent += r.spent
			}
			total := n.done + n.refused + n.expired + n.late
			row = append(row, fmt.Sprintf("%.1f (%.1f; %.1f)", 100*n.done/total, 100*(n.expired+n.late)/total,
				100*n.wasted/n.spent))
		}
		t.Rows = append(t.Rows, row)
	}
	return []table{t, retries(o)}
}

func overloadRun(build func(*sim) line, factor float64, seed uint64) tally {
	s := newSim(seed, overloaded(factor), poolWorkers, 2, share.NewBalance())
	var n tally
	count := func(x *float64, by float64) {
		if s.now >= warmUp {
			*x += by
		}
	}
	var ls [entries]line
	for e := range ls {
		ls[e] = build(s)
	}
	s.hooks.admit = func(t *task) bool {
		t.deadline = t.arrived + 2*time.Second + time.Duration(s.rng.Float64()*float64(18*time.Second))
		if !ls[t.entry].push(t) {
			count(&n.refused, 1)
			return false
		}
		return true
	}
	s.hooks.pops = func(team int, _ bool, polling int) *task {
		for i := range entries {
			for t := ls[(polling+i)%entries].pop(team); t != nil; t = ls[(polling+i)%entries].pop(team) {
				if t.deadline > s.now {
					return t
				}
				count(&n.expired, 1)
			}
		}
		return nil
	}
	s.hooks.execute = func(t *task) (time.Duration, bool) {
		// A task is stopped at its deadline.
		return min(t.run, t.deadline-s.now), t.run > t.deadline-s.now
	}
	s.hooks.ended = func(t *task) {
		spent := (t.ends - t.started).Seconds()
		count(&n.spent, spent)
		if t.failed {
			count(&n.late, 1)
			count(&n.wasted, spent)
		} else {
			count(&n.done, 1)
		}
	}
	s.hooks.tick = func() {
		if s.now%(200*time.Millisecond) == 0 {
			for _, l := range ls {
				l.learn(s.mean)
			}
		}
	}
	s.run(overloadEnd)
	return n
}

// retries measures a minute in which most tasks fail everywhere and are retried, with and without a budget.
func retries(o options) table {
	t := table{
		Title: "Retry budget: a minute in which 70 % of tasks fail everywhere, up to five attempts, load 0.7",
		Head:  []string{"retries", "attempts per task in that minute", "wait p99 in that minute, s", "wait p99 in the next minute, s"},
	}
	for _, budget := range []bool{false, true} {
		var attempts float64
		var during, after []float64
		for _, r := range parallel(o, func(seed uint64) retried { return retryRun(budget, seed) }) {
			attempts += r.attempts / r.tasks / float64(o.seeds)
			during, after = append(during, r.during...), append(after, r.after...)
		}
		name := "without a budget"
		if budget {
			name = fmt.Sprintf("budget of %d %% of starts (product)", admit.DefaultRetries)
		}
		t.Rows = append(t.Rows, []string{name, fmt.Sprintf("%.2f", attempts),
			fmt.Sprintf("%.2f", quantile(during, 0.99)), fmt.Sprintf("%.2f", quantile(after, 0.99))})
	}
	return t
}

type retried struct {
	tasks, attempts float64
	during, after   []float64
}

func retryRun(limited bool, seed uint64) retried {
	const begin, end, last = time.Minute, 2 * time.Minute, 3 * time.Minute
	s := newSim(seed, overloaded(0.7), poolWorkers, 2, share.NewBalance())
	var budgets [entries]*admit.Budget
	for e := range budgets {
		budgets[e] = admit.NewBudget(admit.DefaultRetries)
	}
	var r retried
	s.hooks.started = func(t *task) {
		if t.retries == 0 {
			budgets[t.entry].Started()
		}
		waited := (t.started - t.arrived).Seconds()
		switch {
		case t.arrived >= begin && t.arrived < end:
			r.attempts++
			if t.retries == 0 {
				r.tasks++
			}
			r.during = append(r.during, waited)
		case t.arrived >= end:
			r.after = append(r.after, waited)
		}
	}
	s.hooks.execute = func(t *task) (time.Duration, bool) {
		return t.run, s.now >= begin && s.now < end && s.rng.Float64() < 0.7
	}
	s.hooks.ended = func(t *task) {
		if !t.failed || t.retries >= 4 || limited && !budgets[t.entry].Retry() {
			return
		}
		again := *t
		again.retries, again.arrived = t.retries+1, s.now
		s.submit(&again)
	}
	s.run(last)
	return r
}
