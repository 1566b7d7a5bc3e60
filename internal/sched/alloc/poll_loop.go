package alloc

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// pollLoop polls the coordinator of one pool and passes the permits of its replies to the entry.
type pollLoop struct {
	agent        *Agent
	pool         fleet.PoolName
	wake         chan struct{}
	started      bool // guarded by Agent.mu
	selector     *coordinatorSelector
	skippedPolls sync.WaitGroup

	mu        sync.Mutex
	sequence  uint64
	steps     []peer.ZoneStep
	estimates []peer.Estimate
}

func newPollLoop(a *Agent, p fleet.PoolName) *pollLoop {
	return &pollLoop{agent: a, pool: p, wake: make(chan struct{}, 1), selector: newCoordinatorSelector()}
}

func (l *pollLoop) run(ctx context.Context) {
	defer l.skippedPolls.Wait()
	lastActive := time.Now()
	for ctx.Err() == nil {
		from := time.Now()
		q := l.snapshot()
		busy := len(q.Demand) > 0
		if busy || len(q.Occupied) > 0 || len(q.Unused) > 0 {
			lastActive = from
		}
		l.poll(ctx, q)
		l.wait(ctx, from, l.interval(busy, lastActive))
	}
}

// interval returns the time until the next poll; 0 means none until the loop is woken.
func (l *pollLoop) interval(busy bool, lastActive time.Time) time.Duration {
	switch {
	case busy:
		return busyInterval
	case time.Since(lastActive) < activeDuration:
		return idleInterval
	}
	return 0
}

// wait returns when the interval since the start of the last poll has passed, or at a wake, but then not before
// minInterval has passed; an interval of 0 means that it waits for a wake only.
func (l *pollLoop) wait(ctx context.Context, from time.Time, interval time.Duration) {
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
	case <-l.wake:
	}
	if remaining := minInterval - time.Since(from); remaining > 0 {
		t := time.NewTimer(remaining)
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

func (l *pollLoop) snapshot() peer.PollRequest {
	q := l.agent.source.Snapshot(l.pool)
	l.fillIn(&q)
	return q
}

// fillIn sets the fields that the source does not know: sender, pool, sequence and zone steps.
func (l *pollLoop) fillIn(q *peer.PollRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	q.From, q.Pool, q.Sequence, q.Steps = l.agent.self, l.pool, l.sequence, l.steps
}

// poll polls the current coordinator and passes on the permits of its reply. The outcomes in a failed poll are not
// sent again: the coordinator may have counted them, and its estimates are only advisory.
func (l *pollLoop) poll(ctx context.Context, q peer.PollRequest) {
	ranked := Rank(l.agent.views.View().Members(), l.pool)
	m, ok := l.selector.choose(ranked, time.Now())
	if !ok {
		m = fleet.Member{ID: l.agent.self} // no member is registered yet
	}
	for _, r := range l.selector.dueRetries(ranked, m, time.Now()) {
		l.skippedPolls.Go(func() { l.pollSkipped(ctx, r, q) })
	}
	sent := time.Now()
	reply, err := l.call(ctx, m, q)
	if err != nil {
		l.selector.handleFailure(m.ID, sent)
		return
	}
	l.selector.handleReply(m.ID)
	l.storeReply(reply)
	for _, p := range reply.Permits {
		l.agent.source.Permit(p)
	}
}

// pollSkipped polls a skipped coordinator of higher rank without demand. A reply shows that the coordinator is back,
// and the poll reports the running tasks to it before it issues permits.
func (l *pollLoop) pollSkipped(ctx context.Context, m fleet.Member, q peer.PollRequest) {
	q.Demand, q.Outcomes, q.Unused = nil, nil, nil
	l.fillIn(&q)
	sent := time.Now()
	if _, err := l.call(ctx, m, q); err != nil {
		l.selector.handleFailure(m.ID, sent)
		return
	}
	l.selector.handleReply(m.ID)
}

func (l *pollLoop) call(ctx context.Context, m fleet.Member, q peer.PollRequest) (peer.PollReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if m.ID == l.agent.self {
		return l.agent.local.Poll(ctx, q)
	}
	return l.agent.remote.Poll(ctx, m, q)
}

func (l *pollLoop) storeReply(r peer.PollReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.steps = r.Steps
	if len(r.Estimates) > 0 {
		l.estimates = r.Estimates
	}
}

func (l *pollLoop) estimate(q fleet.QueueName) (peer.Estimate, bool) {
	for _, e := range l.allEstimates() {
		if e.Queue == q {
			return e, true
		}
	}
	return peer.Estimate{}, false
}

func (l *pollLoop) allEstimates() []peer.Estimate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.estimates)
}

func (l *pollLoop) zoneSteps() []peer.ZoneStep {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.steps)
}
