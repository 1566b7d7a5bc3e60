package alloc

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/sched/learn"
	"github.com/yuccahaven/yuccahaven/internal/sched/ramp"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// estimatesInterval is the time between two sets of estimates to an entry.
const estimatesInterval = 200 * time.Millisecond

// queue is what was learned of one queue.
type queue struct {
	name fleet.QueueName
	team *team
	ran  learn.Durations
}

// observe takes in the outcomes that entries report.
func (p *pool) observe(outcomes []peer.Outcome, now time.Time) {
	for _, o := range outcomes {
		w, ok := p.workers[o.Worker]
		if !ok {
			continue
		}
		switch o.Kind {
		case peer.OutcomeRefused, peer.OutcomeUnreachable:
			w.contact.Block()
			p.limit(w)
		default:
			p.judge(w, o, now)
		}
	}
}

// judge uses an ended task to learn its queue's run time and to judge its worker and availability zone.
func (p *pool) judge(w *node, o peer.Outcome, now time.Time) {
	q := p.queue(o)
	failed := o.Kind == peer.OutcomeFailed
	typical, _ := q.ran.Quantiles(now)
	q.team.typical = typical
	slowness := 0.0
	if typical > 0 && o.Ran > 0 {
		slowness = float64(o.Ran) / float64(typical)
	}
	serving := w.zone.machine.State() == ramp.InService
	for _, z := range p.zones {
		if z == w.zone || serving {
			z.machine.Observe(z == w.zone, failed, slowness)
		}
	}
	if !failed && serving {
		q.ran.Observe(now, o.Ran) // a cold zone must not shift what counts as typical
	}
	if p.health.Observe(now, o) {
		p.limit(w)
	}
}

func (p *pool) queue(o peer.Outcome) *queue {
	q, ok := p.queues[o.Queue]
	if !ok {
		q = &queue{name: o.Queue, team: p.team(o.Team), ran: learn.NewDurations()}
		p.queues[o.Queue] = q
	}
	return q
}

// estimates returns what was learned of the queues of the teams with work at an entry.
func (p *pool) estimates(e *entry, now time.Time) []peer.Estimate {
	if now.Sub(e.informed) < estimatesInterval {
		return nil
	}
	e.informed = now
	var out []peer.Estimate
	for _, q := range p.queues {
		if _, ok := e.demands[q.team]; !ok {
			continue
		}
		s := peer.Estimate{Queue: q.name, Wait: q.team.wait(now)}
		s.Typical, s.High = q.ran.Quantiles(now)
		out = append(out, s)
	}
	return out
}

// wait returns the expected wait of a task that arrives now: the team's waiting slots over the rate at which they
// start, or the longest wait so far if nothing has started lately.
func (t *team) wait(now time.Time) time.Duration {
	waiting := t.claim.Urgent + t.claim.Normal
	if waiting == 0 {
		return 0
	}
	if r := t.starts.PerSecond(now); r > 0 {
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
