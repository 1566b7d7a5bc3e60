// Package alloc allocates the slots of pools. Each pool has a coordinator at one entry; every entry polls it with its
// demand and gets permits for slots of workers.
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
	// permitMargin is added to PermitTTL at the coordinator, because a reply may take long to arrive.
	permitMargin = 500 * time.Millisecond
	// pendingPermitTTL is how long a permit waits for the next poll of its entry. Entries with waiting work poll every
	// 20 ms, so one that needs five times as long is stalled.
	pendingPermitTTL = 100 * time.Millisecond
	// entryTimeout is the time since an entry's last poll after which its demand no longer counts.
	entryTimeout = time.Second
	// entryTaskTTL is the time since an entry's last poll after which its tasks have ended: 1.25 times the task lease
	// of 10 s.
	entryTaskTTL = 12500 * time.Millisecond
	// poolIdleTimeout is the time since a pool's last poll after which its state is removed and its probes stop.
	poolIdleTimeout = 10 * time.Second
	// probeInterval is the time between two probes of a worker; probeTimeout bounds each probe.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// probeTicks is the number of ticks per probe interval, over which the probes of a large pool are spread.
	probeTicks = 10
	// When the first poll for a pool arrives its workers are probed at once, so that work for an idle pool does not
	// wait for a whole probe interval. maxNewPools bounds the pools queued for these probes, maxNewPoolProbes the
	// probes of each.
	maxNewPools      = 16
	maxNewPoolProbes = 200
)

// Viewer returns the current view.
type Viewer interface {
	View() fleet.View
}

// Prober requests a worker's status report; the adapter for the platform's workers implements it.
type Prober interface {
	Report(ctx context.Context, address string) (worker.Report, error)
}

// Coordinator allocates the slots of the pools that entries poll it for; it is safe for concurrent use.
type Coordinator struct {
	self           fleet.EntryID
	views          Viewer
	prober         Prober
	maxConnections int
	policy         func() share.Policy

	mu       sync.Mutex
	pools    map[fleet.PoolName]*pool
	newPools chan *pool // pools to probe without delay
}

// CoordinatorOption changes a Coordinator.
type CoordinatorOption func(*Coordinator)

// WithMaxConnections sets how many connections a worker accepts; 64 by default.
func WithMaxConnections(n int) CoordinatorOption {
	return func(c *Coordinator) { c.maxConnections = n }
}

// WithPolicy replaces the sharing policy, for benchmarks of policies.
func WithPolicy(p func() share.Policy) CoordinatorOption {
	return func(c *Coordinator) { c.policy = p }
}

// NewCoordinator returns the coordinator of an entry.
func NewCoordinator(self fleet.EntryID, views Viewer, prober Prober, options ...CoordinatorOption) *Coordinator {
	c := &Coordinator{
		self: self, views: views, prober: prober, maxConnections: place.DefaultMaxConnections,
		policy: func() share.Policy { return share.NewBalance() },
		pools:  map[fleet.PoolName]*pool{}, newPools: make(chan *pool, maxNewPools),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Poll applies an entry's snapshot of a pool and returns permits for its waiting work.
func (c *Coordinator) Poll(_ context.Context, q peer.PollRequest) (peer.PollReply, error) {
	if err := q.Validate(); err != nil {
		return peer.PollReply{}, fmt.Errorf("alloc: %w", err)
	}
	now := time.Now()
	p := c.pool(q.Pool, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastPoll = now
	p.applyView(c.views.View(), now)
	reply := peer.PollReply{Coordinator: c.self, Sequence: q.Sequence}
	e := p.entry(q.From)
	p.observeOutcomes(q.Outcomes, now)
	if q.Sequence <= e.sequence {
		return reply, nil // a later poll of the same entry arrived first
	}
	p.resumeSteps(q.Steps, now)
	p.expire(now)
	p.updateEntry(e, q, now)
	p.allocate(now, e)
	reply.Permits = p.collectPermits(e, now)
	reply.Steps = p.zoneSteps()
	reply.Estimates = p.estimates(e, now)
	return reply, nil
}

// Run probes the workers of the pools in use until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	t := time.NewTicker(probeInterval / probeTicks)
	defer t.Stop()
	var probes sync.WaitGroup
	defer probes.Wait()
	send := func(p *pool, due []*poolWorker) {
		for _, w := range due {
			probes.Go(func() { c.probe(ctx, p, w) })
		}
	}
	for i := 0; ; {
		select {
		case <-ctx.Done():
			return
		case p := <-c.newPools:
			send(p, p.unprobed(c.views.View()))
		case <-t.C:
			for _, p := range c.active(time.Now()) {
				send(p, p.dueProbes(c.views.View(), i%probeTicks))
			}
			i++
		}
	}
}

func (c *Coordinator) probe(ctx context.Context, p *pool, w *poolWorker) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r, err := c.prober.Report(ctx, w.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handleProbe(w, r, err, time.Now())
}

func (c *Coordinator) pool(name fleet.PoolName, now time.Time) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[name]
	if !ok {
		p = newPool(c, name, now)
		c.pools[name] = p
		select {
		case c.newPools <- p:
		default: // its workers are probed with the next ticks
		}
	}
	return p
}

// active returns the pools that entries poll for and removes the others.
func (c *Coordinator) active(now time.Time) []*pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ps []*pool
	for name, p := range c.pools {
		if p.isIdle(now) {
			delete(c.pools, name)
			continue
		}
		ps = append(ps, p)
	}
	return ps
}
