package alloc

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/sched/learn"
	"github.com/yuccahaven/yuccahaven/internal/sched/ramp"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// estimatesInterval is the least time between two sets of estimates sent to an entry.
const estimatesInterval = 200 * time.Millisecond

// queueStats are the observed run times of one queue.
type queueStats struct {
	name     fleet.QueueName
	team     *team
	runTimes learn.Durations
}

// observeOutcomes updates workers, queues and zones from the outcomes that an entry reports.
func (p *pool) observeOutcomes(outcomes []peer.Outcome, now time.Time) {
	for _, o := range outcomes {
		w, ok := p.workers[o.Worker]
		if !ok {
			continue
		}
		switch o.Kind {
		case peer.OutcomeRefused, peer.OutcomeUnreachable:
			w.reachability.Block()
			p.updateLimit(w)
		default:
			p.observeTaskEnd(w, o, now)
		}
	}
}

// observeTaskEnd updates the queue's run times and the health of the worker and its availability zone from an ended
// task.
func (p *pool) observeTaskEnd(w *poolWorker, o peer.Outcome, now time.Time) {
	q := p.queue(o)
	failed := o.Kind == peer.OutcomeFailed
	typical, _ := q.runTimes.Quantiles(now)
	q.team.typicalRunTime = typical
	slowness := 0.0
	if typical > 0 && o.Ran > 0 {
		slowness = float64(o.Ran) / float64(typical)
	}
	inService := w.zone.stateMachine.State() == ramp.InService
	for _, z := range p.zones {
		if z == w.zone || inService {
			z.stateMachine.Observe(z == w.zone, failed, slowness)
		}
	}
	if !failed && inService {
		q.runTimes.Observe(now, o.Ran) // slow runs in a cold zone must not shift the typical run time
	}
	if p.health.Observe(now, o) {
		p.updateLimit(w)
	}
}

func (p *pool) queue(o peer.Outcome) *queueStats {
	q, ok := p.queues[o.Queue]
	if !ok {
		q = &queueStats{name: o.Queue, team: p.team(o.Team), runTimes: learn.NewDurations()}
		p.queues[o.Queue] = q
	}
	return q
}

// estimates returns the estimates for the queues with ended tasks of every team that has had demand at the entry, nil
// before the next interval.
func (p *pool) estimates(e *entry, now time.Time) []peer.Estimate {
	if now.Sub(e.estimatesSentAt) < estimatesInterval {
		return nil
	}
	e.estimatesSentAt = now
	var out []peer.Estimate
	for _, q := range p.queues {
		if _, ok := e.demands[q.team]; !ok {
			continue
		}
		s := peer.Estimate{Queue: q.name, Wait: q.team.expectedWait(now)}
		s.Typical, s.High = q.runTimes.Quantiles(now)
		out = append(out, s)
	}
	return out
}

// expectedWait returns the expected wait of a task that arrives now: the team's waiting slots divided by its start
// rate, or the longest wait so far if that rate is unknown.
func (t *team) expectedWait(now time.Time) time.Duration {
	waiting := t.claim.Urgent + t.claim.Normal
	if waiting == 0 {
		return 0
	}
	if r := t.startRate.PerSecond(now); r > 0 {
		return time.Duration(float64(waiting) / r * float64(time.Second))
	}
	longest := time.Duration(0)
	for _, d := range t.demands {
		if d.urgent+d.normal > 0 {
			longest = max(longest, now.Sub(d.oldest))
		}
	}
	return longest
}
