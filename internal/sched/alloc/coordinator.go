// Package alloc allocates the slots of pools: the coordinator's allocator and the entry's poll loop.
package alloc

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
	"github.com/yuccahaven/yuccahaven/internal/sched/place"
	"github.com/yuccahaven/yuccahaven/internal/sched/share"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	// PermitTTL is how long an entry may use a permit after it received it.
	PermitTTL = 500 * time.Millisecond
	// permitGrace is added to PermitTTL at the coordinator, for a reply that took long to arrive.
	permitGrace = 500 * time.Millisecond
	// promiseTTL is how long slots are kept for an entry that has not collected its permits. Entries with waiting
	// work poll every 20 ms, so one that needs five times as long is stalled.
	promiseTTL = 100 * time.Millisecond
	// silence is how long an entry may not poll before its waiting work is no longer counted.
	silence = time.Second
	// leaseEnd is when the tasks of an entry that stopped polling have ended: 1.25 times the task lease of 10 s.
	leaseEnd = 12500 * time.Millisecond
	// idlePool is how long a pool without polls keeps its state and is probed.
	idlePool = 10 * time.Second
	// probeInterval is the time between two probes of a worker; probeTimeout bounds each.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// probeTicks divides a probe interval, so that the probes of a large pool are spread over it.
	probeTicks = 10
	// freshPools and freshProbes bound the probes that are sent at once when the first poll for a pool arrives, so
	// that work for an idle pool need not wait for a whole probe interval.
	freshPools  = 16
	freshProbes = 200
)

// Viewer returns the current view.
type Viewer interface {
	View() fleet.View
}

// Prober asks a worker for its own status; the adapter of the platform's workers implements it.
type Prober interface {
	Report(ctx context.Context, address string) (worker.Report, error)
}

// Coordinator allocates the slots of the pools that entries poll it for; it is safe for concurrent use.
type Coordinator struct {
	self        fleet.EntryID
	views       Viewer
	prober      Prober
	connections int
	policy      func() share.Policy

	mu    sync.Mutex
	pools map[fleet.PoolName]*pool
	fresh chan *pool // pools to probe at once
}

// CoordinatorOption changes a Coordinator.
type CoordinatorOption func(*Coordinator)

// WithConnections sets how many connections a worker accepts; 64 by default.
func WithConnections(n int) CoordinatorOption { return func(c *Coordinator) { c.connections = n } }

// WithPolicy replaces the sharing policy, for measurements.
func WithPolicy(p func() share.Policy) CoordinatorOption {
	return func(c *Coordinator) { c.policy = p }
}

// NewCoordinator returns the coordinator at an entry.
func NewCoordinator(self fleet.EntryID, views Viewer, prober Prober, options ...CoordinatorOption) *Coordinator {
	c := &Coordinator{
		self: self, views: views, prober: prober, connections: place.DefaultConnections,
		policy: func() share.Policy { return share.NewBalance() },
		pools:  map[fleet.PoolName]*pool{}, fresh: make(chan *pool, freshPools),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Poll takes an entry's full picture of a pool and returns permits for its waiting work.
func (c *Coordinator) Poll(_ context.Context, q peer.PollRequest) (peer.PollReply, error) {
	if err := q.Validate(); err != nil {
		return peer.PollReply{}, fmt.Errorf("alloc: %w", err)
	}
	now := time.Now()
	p := c.pool(q.Pool, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.polled = now
	p.follow(c.views.View(), now)
	reply := peer.PollReply{Coordinator: c.self, Sequence: q.Sequence}
	e := p.entry(q.From)
	p.observe(q.Outcomes, now)
	if q.Sequence <= e.sequence {
		return reply, nil // overtaken by a later poll of the same entry
	}
	p.resume(q.Steps, now)
	p.expire(now)
	p.absorb(e, q, now)
	p.allocate(now, e)
	reply.Permits = p.collect(e, now)
	reply.Steps = p.steps()
	reply.Estimates = p.estimates(e, now)
	return reply, nil
}

// Run probes the workers of the pools in use until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	t := time.NewTicker(probeInterval / probeTicks)
	defer t.Stop()
	var probes sync.WaitGroup
	defer probes.Wait()
	send := func(p *pool, due []*node) {
		for _, w := range due {
			probes.Go(func() { c.probe(ctx, p, w) })
		}
	}
	for i := 0; ; {
		select {
		case <-ctx.Done():
			return
		case p := <-c.fresh:
			send(p, p.untried(c.views.View()))
		case <-t.C:
			for _, p := range c.active(time.Now()) {
				send(p, p.due(c.views.View(), i%probeTicks))
			}
			i++
		}
	}
}

func (c *Coordinator) probe(ctx context.Context, p *pool, w *node) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r, err := c.prober.Report(ctx, w.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probed(w, r, err, time.Now())
}

func (c *Coordinator) pool(name fleet.PoolName, now time.Time) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[name]
	if !ok {
		p = newPool(c, name, now)
		c.pools[name] = p
		select {
		case c.fresh <- p:
		default: // the next ticks probe it
		}
	}
	return p
}

// active returns the pools that entries poll for and forgets the others.
func (c *Coordinator) active(now time.Time) []*pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ps []*pool
	for name, p := range c.pools {
		if p.idle(now) {
			delete(c.pools, name)
			continue
		}
		ps = append(ps, p)
	}
	return ps
}
