package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/share"
)

// minShareHorizon is the least period over which shares are computed, which applies if all waiting work is late: about
// one task's run time.
const minShareHorizon = time.Second

// minWeight is the smallest weight of a customer; smaller ones, and unknown customers, count as it. Config weights are
// rounded down to multiples of it.
const minWeight = 0.001

// markOverShare marks, in a sorted list, the steps of customers whose running work and waiting work of earlier steps
// use up their weighted share of what the pool can do until the latest deadline of the listed jobs. Jobs that are
// already late count too, long-running tasks don't. While the pool can do everything in time or only one customer has
// work, no step is marked: customers may exceed their shares, and the order by latest start serves all. It reports
// whether any step is marked.
func (sc *Scheduler) markOverShare(p *pool, list []rankedStep, now time.Time) (marked bool) {
	claimed := claims{}
	total, horizon := 0.0, minShareHorizon
	// The waiting work of each step in the list, and the claim that it belongs to.
	waiting, claimOf := make([]float64, len(list)), make([]*share.Claim, len(list))
	for i, e := range list {
		if e.rank.class != classLongRunning {
			waiting[i], claimOf[i] = sc.waitingWork(e.state), claimed.forCustomerOf(e.state.job, sc.config)
			total += waiting[i]
			horizon = max(horizon, e.state.job.deadline.Sub(now))
			claimOf[i].Normal += int(waiting[i])
		}
	}
	if len(claimed) < 2 || total+sc.mostRemaining(p) <= sc.finiteCPU(p, now)*horizon.Seconds() {
		// The customers of running tasks don't change the order of the waiting steps of a single one.
		return false
	}
	finiteCPU := 0.0 // what finite tasks may use, in thousandths of a core
	for _, w := range sc.workers {
		if w.Pool != p.name || !sc.usable(w, now) {
			continue
		}
		finiteCPU += float64(w.Capacity.CPU)
		for _, r := range w.runs {
			if r.stepState == nil || r.stepState.spec.LongRunning {
				finiteCPU -= float64(r.need.CPU)
				continue
			}
			remaining := float64(r.need.CPU) *
				max(sc.estimate(r.stepState.job.Queue, *r.stepState.spec)-now.Sub(r.startedAt), 0).Seconds()
			total += remaining
			claimed.forCustomerOf(r.stepState.job, sc.config).Allocated += int(remaining)
		}
	}
	capacity := max(finiteCPU, 0) * horizon.Seconds()
	if total <= capacity || len(claimed) < 2 {
		return false
	}
	share.Divide(slices.SortedFunc(maps.Values(claimed), func(x, y *share.Claim) int {
		return cmp.Compare(x.Team, y.Team)
	}), capacity)
	for i, c := range claimOf {
		if c != nil {
			list[i].rank.overShare = float64(c.Allocated) >= c.Due()
			marked = marked || list[i].rank.overShare
			c.Allocated += int(waiting[i])
		}
	}
	return marked
}

// finiteCPU returns what finite tasks may use in a pool, in thousandths of a core.
func (sc *Scheduler) finiteCPU(p *pool, now time.Time) float64 {
	var cpu int64
	for _, w := range sc.index.byPool[p.name] {
		if sc.usable(w, now) {
			cpu += w.Capacity.CPU - w.longRunningCPU
		}
	}
	return max(float64(cpu), 0)
}

// mostRemaining returns a bound on the remaining work of a pool's running finite tasks, in core-milliseconds.
func (sc *Scheduler) mostRemaining(p *pool) float64 {
	var cpu int64
	for _, w := range sc.index.byPool[p.name] {
		cpu += w.reserved.CPU - w.longRunningCPU
	}
	return float64(cpu) * p.longestEstimate.Seconds()
}

// claims are the running and waiting work of a pool's customers, in core-milliseconds.
type claims map[string]*share.Claim

// forCustomerOf returns the claim of a job's customer.
func (c claims) forCustomerOf(j *job, config *work.Config) *share.Claim {
	claim, ok := c[j.Customer]
	if !ok {
		claim = &share.Claim{Team: fleet.TeamName(j.Customer), Weight: int(config.Customers[j.Customer].Weight / minWeight)}
		c[j.Customer] = claim
	}
	return claim
}

// waitingWork estimates the work of a step's waiting tasks, in core-milliseconds.
func (sc *Scheduler) waitingWork(s *stepState) float64 {
	return float64(s.spec.Reserved().CPU*int64(s.waiting)) * sc.estimate(s.job.Queue, *s.spec).Seconds()
}
