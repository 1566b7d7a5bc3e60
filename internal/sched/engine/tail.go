package engine

import (
	"time"
)

const (
	// tailPatience is how long a serving run may be over its tail before the tasks that fill beside it are paced.
	tailPatience = 500 * time.Millisecond
	// tailRecovery is how long a serving run must be well under its tail before they are released.
	tailRecovery = 4 * time.Second
	// tailEasy is the share of its tail below which a serving run is well under it.
	tailEasy = 0.6
)

// watchTail notes since when a serving run is over its tail.
func (b *Scheduler) watchTail(r *run) {
	if r.bundle == nil || r.bundle.spec.LatencyObjective == 0 {
		return
	}
	limit := r.bundle.spec.LatencyObjective.Milliseconds()
	now := time.Now()
	switch {
	case r.level > limit:
		if r.over.IsZero() {
			r.over = now
		}
		r.easy = time.Time{}
	case float64(r.level) < tailEasy*float64(limit):
		r.over = time.Time{}
		if r.easy.IsZero() {
			r.easy = now
		}
	default:
		r.over, r.easy = time.Time{}, time.Time{}
	}
}

// paceOrders slows the tasks that fill beside a serving task over its tail, and releases them when it has recovered.
func (b *Scheduler) paceOrders(now time.Time) []Command {
	var orders []Command
	for _, w := range b.workers {
		if !w.silent.IsZero() || len(w.runs) < 2 {
			continue
		}
		harmed, easy := false, true
		for _, r := range w.runs {
			if r.bundle == nil || r.bundle.spec.LatencyObjective == 0 {
				continue
			}
			harmed = harmed || !r.over.IsZero() && now.Sub(r.over) >= tailPatience
			easy = easy && !r.easy.IsZero() && now.Sub(r.easy) >= tailRecovery
		}
		if harmed == easy {
			continue
		}
		for _, r := range w.runs {
			if r.bundle == nil || !r.bundle.spec.BestEffort || r.phase != active || r.pacing || r.stop {
				continue
			}
			want := 100
			if harmed {
				want = 0
			}
			if r.paced != want {
				r.pacing = true
				orders = append(orders, Throttle{Worker: w.ID, Address: w.Address, Run: r.key, Percent: want})
			}
		}
	}
	return orders
}
