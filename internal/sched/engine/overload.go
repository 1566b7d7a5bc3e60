package engine

import (
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/fair"
)

const (
	// minWeight is the smallest weight of a customer; smaller ones, and unknown customers, count as it. Config weights are
	// rounded down to multiples of it.
	minWeight = 0.001
	// contentionInterval is the longest time between two tests of a pool with waiting work, also while nothing fits.
	contentionInterval = 100 * time.Millisecond
	// contentionMaxAge is how old a test may be for refusals, contentionLogInterval the time between two log lines of a pool.
	contentionMaxAge      = time.Second
	contentionLogInterval = time.Second
	// loadMaxAge is the age from which the work of a pool is added up again for refusals.
	loadMaxAge = 50 * time.Millisecond
)

// Arrival is a machine that is on its way to a pool.
type Arrival struct {
	At       time.Time
	Capacity work.Need
}

// poolShares is what is kept of the division of a pool, with buffers that are used again in each pass.
type poolShares struct {
	division fair.Division
	items    []fair.Item
	arranged []rankedStep
	// dividedAt is the time of the last test for contention, loggedAt that of the last log line.
	dividedAt, loggedAt time.Time
	load                fair.Load
	loadAt              time.Time
	arriving            []Arrival
	rates               fair.Rates
	// reserved are the workers that are kept free for large steps.
	reserved []*worker
}

// applyShares moves the steps beyond their customers' shares back in a sorted list.
func (sc *Scheduler) applyShares(p *pool, list []rankedStep, now time.Time) []rankedStep {
	h := &p.shares
	h.items = h.items[:0]
	for i := range list {
		e := &list[i]
		s := e.state
		h.items = append(h.items, fair.Item{Priority: e.rank.priority, Class: e.rank.class, Customer: s.job.owner.index,
			Need: s.need.Times(s.waiting), RunTime: sc.estimateWaiting(s).Seconds(), Slack: e.rank.slack.Seconds(),
			Deadline: s.job.deadline.Sub(now).Seconds()})
	}
	customers := sc.fairCustomers()
	marked, across := false, false
	if sc.options.Contention {
		h.dividedAt = now
		if h.division.Detect(sc.finiteCapacity(p, now), h.items, customers) {
			marked = h.division.Divide(h.items, customers, sc.runsOf(p, now, false), now)
			sc.logContention(p, now)
		}
		across = marked
	}
	if !marked {
		marked = h.division.MarkSurplus(sc.allCapacity(p, now), h.items, customers, p.longestEstimate.Seconds(), sc.runsOf(p, now, true))
	}
	if !marked {
		return list
	}
	for i := range list {
		list[i].rank.overShare = h.items[i].Beyond
	}
	h.arranged = fair.Arrange(list, h.arranged, across, func(e *rankedStep) fair.Place {
		return fair.Place{Priority: e.rank.priority, Class: e.rank.class, Beyond: e.rank.overShare}
	})
	return h.arranged
}

// testDue reports whether a pool is to be tested for contention although nothing can be placed.
func (sc *Scheduler) testDue(p *pool, now time.Time) bool {
	return sc.options.Contention && now.Sub(p.shares.dividedAt) >= contentionInterval
}

// fairCustomers returns the customers by their indexes.
func (sc *Scheduler) fairCustomers() []fair.Customer {
	sc.fairBuffer = sc.fairBuffer[:0]
	for _, c := range sc.customerList {
		o := sc.config.Customers[c.name]
		sc.fairBuffer = append(sc.fairBuffer, fair.Customer{Weight: int(o.Weight / minWeight), Cap: o.Cap})
	}
	return sc.fairBuffer
}

// allCapacity returns what finite tasks may use in a pool, also on cordoned workers, and what they use on all its workers.
func (sc *Scheduler) allCapacity(p *pool, now time.Time) (c fair.Capacity) {
	for _, w := range sc.index.byPool[p.name] {
		if sc.usable(w, now) {
			c.Total = c.Total.Plus(w.Capacity).Minus(w.longRunning)
		}
		c.Used = c.Used.Plus(w.reserved).Minus(w.longRunning)
	}
	c.Total = c.Total.Max(work.Need{})
	return c
}

// finiteCapacity returns what finite tasks may use, and use, on the workers of a pool that stay in it.
func (sc *Scheduler) finiteCapacity(p *pool, now time.Time) (c fair.Capacity) {
	for _, w := range sc.index.byPool[p.name] {
		if sc.usable(w, now) && !w.cordoned {
			c.Total = c.Total.Plus(w.Capacity).Minus(w.longRunning)
			c.Used = c.Used.Plus(w.reserved).Minus(w.longRunning)
		}
	}
	return c
}

// runsOf returns the running finite tasks of a pool, those on cordoned workers if asked for.
func (sc *Scheduler) runsOf(p *pool, now time.Time, cordoned bool) fair.Runs {
	return func(f func(fair.Run)) {
		for _, w := range sc.index.byPool[p.name] {
			if !sc.usable(w, now) || w.cordoned && !cordoned {
				continue
			}
			for i := range w.finiteRuns {
				r := &w.finiteRuns[i]
				f(fair.Run{Customer: r.customer, Need: r.need, Remaining: r.expected.Remaining(now.Sub(r.run.startedAt)).Seconds()})
			}
		}
	}
}

// logContention logs the state of a contended pool once per contentionLogInterval.
func (sc *Scheduler) logContention(p *pool, now time.Time) {
	if now.Sub(p.shares.loggedAt) < contentionLogInterval {
		return
	}
	p.shares.loggedAt = now
	r := p.shares.division.Report()
	beyond := make([]string, 0, len(r.Beyond))
	for _, i := range r.Beyond {
		beyond = append(beyond, sc.customerList[i].name)
	}
	sc.log.Info("engine: pool is contended", zap.String("pool", p.name), zap.String("scarce", r.Scarce),
		zap.Float64("capacity", r.Capacity), zap.Float64("running", r.Running), zap.Float64("waiting", r.Waiting),
		zap.Duration("firstMiss", r.Horizon), zap.Strings("beyondShare", beyond))
}

// ContendedPools returns the number of pools that are contended.
func (sc *Scheduler) ContendedPools() (n int) {
	now := time.Now()
	for _, p := range sc.pools {
		if sc.isContended(p, now) {
			n++
		}
	}
	return n
}

func (sc *Scheduler) isContended(p *pool, now time.Time) bool {
	return len(p.ready) > 0 && p.shares.division.Contended() && now.Sub(p.shares.dividedAt) <= contentionMaxAge
}

// SetArriving sets the machines that are on their way to each pool, ordered by time.
func (sc *Scheduler) SetArriving(arriving map[string][]Arrival) {
	for _, p := range sc.pools {
		p.shares.arriving = arriving[p.name]
	}
}

// Admit decides whether a contended pool can do a job that is not accepted yet, and counts it if so. Long-running, scheduled and
// best-effort jobs are not refused, nor any job while the pool's workers are not all known.
func (sc *Scheduler) Admit(j work.Job) fair.Verdict {
	q, ok := sc.config.Queue(j.Queue)
	if !ok || !sc.options.Contention || !sc.knowsWorkers || j.Repeats != 0 {
		return fair.Verdict{}
	}
	p, now, customer := sc.pool(q.Pool), time.Now(), sc.customer(j.Customer).index
	if !sc.isContended(p, now) || sc.inheritsIn(q.Pool) {
		return fair.Verdict{}
	}
	chain, allowed := sc.criticalPath(&j), sc.Describe(j).Allowed
	overrun := sc.probableOverrun(j.Queue, sc.expectOn("", &j, &j.Steps[0]).Spread(), chain, allowed-chain)
	n := fair.Job{ID: j.ID, Customer: customer, Chain: chain.Seconds(), Allowed: allowed.Seconds(), Overrun: overrun.Seconds()}
	for _, s := range j.Steps {
		if s.LongRunning || s.BestEffort {
			return fair.Verdict{}
		}
	}
	n.Work = sc.workOf(j)
	if now.Sub(p.shares.loadAt) >= loadMaxAge || n.Customer >= len(p.shares.load.Work) {
		sc.addUpLoad(p, now)
	}
	v := p.shares.load.Admit(n)
	if v.Refused {
		sc.countRefused(j, now)
	} else {
		p.shares.load.Accept(n)
	}
	v.Pool = p.name
	return v
}

// workOf returns the finite work of a job.
func (sc *Scheduler) workOf(j work.Job) (w fair.Work) {
	for _, s := range j.Steps {
		if !s.LongRunning && !s.BestEffort {
			w.Add(s.Need.Times(s.Count), sc.estimateFor(&j, &s).Seconds())
		}
	}
	return w
}

// inheritsIn reports whether a worker of a pool has not reported its run lists since the takeover.
func (sc *Scheduler) inheritsIn(pool string) bool {
	for _, w := range sc.inherited {
		if w.Pool == pool {
			return true
		}
	}
	return false
}

// addUpLoad adds up the work of a pool that somebody waits for. Workers count that have just arrived and are not usable yet.
func (sc *Scheduler) addUpLoad(p *pool, now time.Time) {
	l := &p.shares.load
	l.Contended, l.Capacity, l.Free, l.Work, l.Arriving = sc.isContended(p, now), work.Need{}, work.Need{}, l.Work[:0], l.Arriving[:0]
	for i, c := range sc.fairCustomers() {
		l.Work = append(l.Work, fair.Work{Customer: c, Beyond: p.shares.division.MayReturn(i, now),
			Arriving: p.shares.rates.Of(i, now)})
	}
	for _, a := range p.shares.arriving {
		l.Arriving = append(l.Arriving, fair.Arrival{After: fair.Seconds(a.At.Sub(now)), Capacity: a.Capacity})
	}
	for _, w := range sc.index.byPool[p.name] {
		if w.listed && !w.ended && !sc.isClosed(w) && !w.cordoned && !w.Leaving && w.responsive() && !sc.evacuated[w.Zone] {
			l.Capacity = l.Capacity.Plus(w.Capacity).Minus(w.longRunning)
			l.Free = l.Free.Plus(w.free().Max(work.Need{}))
		}
	}
	sc.runsOf(p, now, false)(func(r fair.Run) { l.Work[r.Customer].AddRunning(r.Need, max(r.Remaining, 0)) })
	for _, j := range sc.unfinished {
		if sc.poolOf(j) != p.name || sc.hasExpired(j, now) {
			continue
		}
		for _, s := range j.stepStates {
			if !s.spec.LongRunning && !s.spec.BestEffort && !s.due.After(now) {
				l.Work[j.owner.index].Add(s.need.Times(s.waiting), sc.estimateWaiting(s).Seconds())
			}
		}
	}
	p.shares.loadAt = now
}
