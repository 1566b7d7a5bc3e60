package alloc

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// loop polls the coordinator of one pool.
type loop struct {
	agent   *Agent
	pool    fleet.PoolName
	poke    chan struct{}
	started bool // guarded by Agent.mu
	route   *route
	warming sync.WaitGroup

	mu        sync.Mutex
	sequence  uint64
	steps     []peer.ZoneStep
	estimates []peer.Estimate
}

func newLoop(a *Agent, p fleet.PoolName) *loop {
	return &loop{agent: a, pool: p, poke: make(chan struct{}, 1), route: newRoute()}
}

func (l *loop) run(ctx context.Context) {
	defer l.warming.Wait()
	active := time.Now()
	for ctx.Err() == nil {
		from := time.Now()
		q := l.picture()
		busy := len(q.Demand) > 0
		if busy || len(q.Occupied) > 0 || len(q.Unused) > 0 {
			active = from
		}
		l.poll(ctx, q)
		l.wait(ctx, from, l.interval(busy, active))
	}
}

// interval returns the time between polls; 0 means that the pool is not in use.
func (l *loop) interval(busy bool, active time.Time) time.Duration {
	switch {
	case busy:
		return busyInterval
	case time.Since(active) < inUse:
		return idleInterval
	}
	return 0
}

// wait returns after the interval or when poked, but not before minInterval has passed since the last poll.
func (l *loop) wait(ctx context.Context, from time.Time, interval time.Duration) {
	var next <-chan time.Time
	if interval > 0 {
		t := time.NewTimer(interval - time.Since(from))
		defer t.Stop()
		next = t.C
	}
	select {
	case <-ctx.Done():
		return
	case <-next:
		return
	case <-l.poke:
	}
	if rest := minInterval - time.Since(from); rest > 0 {
		t := time.NewTimer(rest)
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

func (l *loop) picture() peer.PollRequest {
	q := l.agent.source.Snapshot(l.pool)
	l.complete(&q)
	return q
}

// complete fills in what the agent knows.
func (l *loop) complete(q *peer.PollRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	q.From, q.Pool, q.Sequence, q.Steps = l.agent.self, l.pool, l.sequence, l.steps
}

// poll asks the present coordinator and hands out the permits of its reply. The outcomes of a failed poll are
// dropped: the coordinator may have counted them, and what it learns from them is advisory.
func (l *loop) poll(ctx context.Context, q peer.PollRequest) {
	ranked := Rank(l.agent.views.View().Members(), l.pool)
	m, ok := l.route.choose(ranked, time.Now())
	if !ok {
		m = fleet.Member{ID: l.agent.self} // no member is registered yet
	}
	for _, r := range l.route.retries(ranked, m, time.Now()) {
		l.warming.Go(func() { l.warm(ctx, r, q) })
	}
	sent := time.Now()
	reply, err := l.call(ctx, m, q)
	if err != nil {
		l.route.failed(m.ID, sent)
		return
	}
	l.route.replied(m.ID)
	l.keep(reply)
	for _, p := range reply.Permits {
		l.agent.source.Permit(p)
	}
}

// warm polls a skipped coordinator of higher rank without demand: it shows whether the coordinator is back and
// tells it what runs before it gives out permits.
func (l *loop) warm(ctx context.Context, m fleet.Member, q peer.PollRequest) {
	q.Demand, q.Outcomes, q.Unused = nil, nil, nil
	l.complete(&q)
	sent := time.Now()
	if _, err := l.call(ctx, m, q); err != nil {
		l.route.failed(m.ID, sent)
		return
	}
	l.route.replied(m.ID)
}

func (l *loop) call(ctx context.Context, m fleet.Member, q peer.PollRequest) (peer.PollReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if m.ID == l.agent.self {
		return l.agent.local.Poll(ctx, q)
	}
	return l.agent.remote.Poll(ctx, m, q)
}

func (l *loop) keep(r peer.PollReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.steps = r.Steps
	if len(r.Estimates) > 0 {
		l.estimates = r.Estimates
	}
}

func (l *loop) estimate(q fleet.QueueName) (peer.Estimate, bool) {
	for _, e := range l.known() {
		if e.Queue == q {
			return e, true
		}
	}
	return peer.Estimate{}, false
}

func (l *loop) known() []peer.Estimate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.estimates)
}

func (l *loop) echo() []peer.ZoneStep {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.steps)
}
