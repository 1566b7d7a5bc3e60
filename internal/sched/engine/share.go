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

// leastHorizon is the time for which shares are worked out when all that waits is late: about one task's run.
const leastHorizon = time.Second

// weightUnit is the smallest weight of a customer that counts; weights of the config are rounded to it.
const weightUnit = 0.001

// markBeyond marks the steps whose customers have more work running and waiting than their share by weight of what the
// pool can do before the last of the steps is due. Jobs that are late already count too. While the pool can do everything
// in time, no step is marked: who needs more than a share may have it, and the order by time serves all.
func (b *Scheduler) markBeyond(p *pool, list []entry, now time.Time) {
	asked := claims{}
	total, horizon := 0.0, leastHorizon
	for _, e := range list {
		if e.r.class != classLasting {
			own := b.effort(e.s)
			total += own
			horizon = max(horizon, e.s.job.deadline.Sub(now))
			asked.of(e.s.job, b.config).Normal += int(own)
		}
	}
	room := 0.0
	for _, w := range b.workers {
		if w.Pool != p.name || !b.usable(w, now) {
			continue
		}
		room += float64(w.Capacity.CPU)
		for _, r := range w.runs {
			if r.bundle == nil || r.bundle.spec.LongRunning {
				room -= float64(r.need.CPU)
				continue
			}
			left := float64(r.need.CPU) * max(b.estimate(r.bundle.job.Queue, *r.bundle.spec)-now.Sub(r.began), 0).Seconds()
			total += left
			asked.of(r.bundle.job, b.config).Held += int(left)
		}
	}
	capacity := max(room, 0) * horizon.Seconds()
	if total <= capacity || len(asked) < 2 {
		return
	}
	share.Divide(slices.SortedFunc(maps.Values(asked), func(x, y *share.Claim) int { return cmp.Compare(x.Team, y.Team) }), capacity)
	for i, e := range list {
		if e.r.class != classLasting {
			c := asked.of(e.s.job, b.config)
			list[i].r.beyond = float64(c.Held) >= c.Due()
			c.Held += int(b.effort(e.s))
		}
	}
}

// claims are what the customers of a pool have running and waiting, in thousandths of core-seconds.
type claims map[string]*share.Claim

// of returns the claim of a job's customer.
func (c claims) of(j *job, config *work.Config) *share.Claim {
	claim, ok := c[j.Customer]
	if !ok {
		claim = &share.Claim{Team: fleet.TeamName(j.Customer), Weight: int(config.Customers[j.Customer].Weight / weightUnit)}
		c[j.Customer] = claim
	}
	return claim
}

// effort estimates what the waiting tasks of a step take, in thousandths of core-seconds.
func (b *Scheduler) effort(s *bundle) float64 {
	return float64(s.spec.Reserved().CPU*int64(s.waiting)) * b.estimate(s.job.Queue, *s.spec).Seconds()
}
