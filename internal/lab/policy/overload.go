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
	overloadRunLength = 3 * time.Minute
	// queueLimit bounds a queue's waiting tasks per entry instance.
	queueLimit = 2000
)

// teamsAtLoad returns teams whose total load is the pool's slots times a factor.
func teamsAtLoad(factor float64) []team {
	teams := append([]team(nil), steadyTeams...)
	for i := range teams {
		teams[i].load = factor * poolSlots / float64(len(teams))
	}
	return teams
}

// taskQueue holds the waiting tasks of one entry instance.
type taskQueue interface {
	push(t *task) bool
	pop(team int) *task // nil if no task waits
	// setMeanTimes sets the mean run times by team, from which a queue may estimate waits.
	setMeanTimes(mean []time.Duration)
}

// deadlineHeap is a heap of one team's tasks by deadline.
type deadlineHeap []*task

func (b deadlineHeap) Len() int           { return len(b) }
func (b deadlineHeap) Less(i, j int) bool { return b[i].deadline < b[j].deadline }
func (b deadlineHeap) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }
func (b *deadlineHeap) Push(x any)        { *b = append(*b, x.(*task)) }
func (b *deadlineHeap) Pop() any {
	old := *b
	t := old[len(old)-1]
	*b = old[:len(old)-1]
	return t
}

// deadlineQueue is the taskQueue of one entry instance in the order of deadlines, with a deadlineHeap per team.
type deadlineQueue [][]*task

func (d deadlineQueue) push(t *task) bool {
	b := deadlineHeap(d[t.team])
	if len(b) >= queueLimit {
		return false
	}
	heap.Push(&b, t)
	d[t.team] = b
	return true
}

func (d deadlineQueue) pop(team int) *task {
	b := deadlineHeap(d[team])
	if len(b) == 0 {
		return nil
	}
	t := heap.Pop(&b).(*task)
	d[team] = b
	return t
}

func (d deadlineQueue) setMeanTimes([]time.Duration) {}

// productQueue is the taskQueue of one entry instance as in the product.
type productQueue struct{ q *admit.Queue[*task] }

func (a productQueue) push(t *task) bool {
	_, err := a.q.Push(admit.Job{
		Team: teamName(t.team), Queue: queueName(t.team), Deadline: simulationStart.Add(t.deadline), Limit: queueLimit,
	}, t)
	return err == nil
}

func (a productQueue) pop(team int) *task {
	k, ok := a.q.Pop(teamName(team), 1)
	if !ok {
		return nil
	}
	return k.Value
}

func (a productQueue) setMeanTimes(mean []time.Duration) {
	var es []peer.Estimate
	for i, d := range mean {
		// A typical time is a median, which is ln 2 of the mean for the exponential run times of the simulation.
		es = append(es, peer.Estimate{Queue: queueName(i), Typical: time.Duration(float64(d) * math.Ln2)})
	}
	a.q.SetEstimates(es)
}

func queueName(i int) fleet.QueueName { return fleet.QueueName(fmt.Sprint("q", i)) }

var taskQueues = []struct {
	name  string
	build func(s *sim) taskQueue
}{
	{"arrival order", func(s *sim) taskQueue {
		return productQueue{admit.NewQueue[*task](admit.WithClock(s.clock), admit.WithoutEarlyRefusal())}
	}},
	{"earliest deadline first", func(s *sim) taskQueue { return make(deadlineQueue, len(s.teams)) }},
	{"arrival order, early refusal (product)", func(s *sim) taskQueue {
		return productQueue{admit.NewQueue[*task](admit.WithClock(s.clock))}
	}},
}

// taskCounts counts tasks by outcome, and the slot-seconds that were spent and wasted. Expired tasks reached their
// deadline while they waited, late ones while they ran.
type taskCounts struct{ done, refused, expired, late, wasted, spent float64 }

// measureOverload measures goodput with and without early refusal, and retries with and without a budget.
func measureOverload(o options) []table {
	t := table{
		Title: "Admission: tasks completed by their deadline, percent (told late that they fail; slot time wasted, percent)",
		Head:  []string{"queue", "load 1.2", "load 2", "load 4"},
	}
	for _, q := range taskQueues {
		row := []string{q.name}
		for _, factor := range []float64{1.2, 2, 4} {
			var n taskCounts
			for _, r := range runSeeds(o, func(seed uint64) taskCounts { return overloadRun(q.build, factor, seed) }) {
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
	return []table{t, measureRetries(o)}
}

func overloadRun(build func(*sim) taskQueue, factor float64, seed uint64) taskCounts {
	s := newSim(seed, teamsAtLoad(factor), poolWorkers, 2, share.NewBalance())
	var n taskCounts
	count := func(x *float64, by float64) {
		if s.now >= warmUp {
			*x += by
		}
	}
	var queues [entryCount]taskQueue
	for e := range queues {
		queues[e] = build(s)
	}
	s.hooks.admit = func(t *task) bool {
		// Timeouts are drawn from 2 to 20 s.
		t.deadline = t.arrived + 2*time.Second + time.Duration(s.rng.Float64()*float64(18*time.Second))
		if !queues[t.entry].push(t) {
			count(&n.refused, 1)
			return false
		}
		return true
	}
	s.hooks.nextTask = func(team int, _ bool, polling int) *task {
		for i := range entryCount {
			for t := queues[(polling+i)%entryCount].pop(team); t != nil; t = queues[(polling+i)%entryCount].pop(team) {
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
			for _, q := range queues {
				q.setMeanTimes(s.mean)
			}
		}
	}
	s.run(overloadRunLength)
	return n
}

// measureRetries measures a minute in which most tasks fail on all workers and are retried, with and without a budget.
func measureRetries(o options) table {
	t := table{
		Title: "Retry budget: a minute in which 70 % of tasks fail everywhere, up to five attempts, load 0.7",
		Head:  []string{"retries", "attempts per task in that minute", "wait p99 in that minute, s", "wait p99 in the next minute, s"},
	}
	for _, budget := range []bool{false, true} {
		var attempts float64
		var during, after []float64
		for _, r := range runSeeds(o, func(seed uint64) retryResult { return retryRun(budget, seed) }) {
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

type retryResult struct {
	tasks, attempts float64
	during, after   []float64
}

func retryRun(limited bool, seed uint64) retryResult {
	const begin, end, last = time.Minute, 2 * time.Minute, 3 * time.Minute
	s := newSim(seed, teamsAtLoad(0.7), poolWorkers, 2, share.NewBalance())
	var budgets [entryCount]*admit.Budget
	for e := range budgets {
		budgets[e] = admit.NewBudget(admit.DefaultRetries)
	}
	var r retryResult
	s.hooks.started = func(t *task) {
		if t.retries == 0 {
			budgets[t.entry].ObserveStart()
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
		if !t.failed || t.retries >= 4 || limited && !budgets[t.entry].TakeRetry() {
			return
		}
		retry := *t
		retry.retries, retry.arrived = t.retries+1, s.now
		s.submit(&retry)
	}
	s.run(last)
	return r
}
