package relay

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// OrderStream is the stream of orders and reports as the leader sees it.
type OrderStream interface {
	Send(peer.RelayOrders) error
	Receive() (peer.RelayReport, error)
	Close() error
}

// Options are the dependencies of a Pool.
type Options struct {
	// Open opens a stream to the relay at an address.
	Open        func(ctx context.Context, address string) (OrderStream, error)
	Term, Fence int64
	// Authority returns for how long the leader may still send orders.
	Authority func() time.Duration
	// Deliver is called with the results of orders.
	Deliver  func([]Result)
	Registry metrics.Registry
	Log      *zap.Logger
}

// Pool sends the leader's orders through relays. It is safe for concurrent use.
type Pool struct {
	options Options
	lost    metrics.Counter

	mu    sync.Mutex
	links map[string]*link
	loops sync.WaitGroup
}

// NewPool returns a pool without relays.
func NewPool(o Options) *Pool {
	return &Pool{options: o, links: map[string]*link{}, lost: metrics.GetOrRegisterCounter("relay_orders_lost", o.Registry)}
}

// SetRelays replaces the relays, whose addresses are given by name. The connection to a relay that is no longer one, or
// has another address, is closed after the outcomes of its orders are known or lost.
func (p *Pool) SetRelays(ctx context.Context, addresses map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, l := range p.links {
		if addresses[name] != l.address {
			delete(p.links, name)
			l.retire()
		}
	}
	for name, address := range addresses {
		if p.links[name] == nil {
			l := newLink(p, name, address)
			p.links[name] = l
			p.loops.Go(func() { l.run(ctx) })
		}
	}
}

// Send sends orders through a relay and reports whether it takes them; if not, nothing was sent.
func (p *Pool) Send(relay string, orders []Order) bool {
	p.mu.Lock()
	l := p.links[relay]
	p.mu.Unlock()
	return l != nil && l.send(orders)
}

// State is the state of a relay.
type State struct {
	Address string
	// Up means that it takes orders.
	Up bool
	// FailedAt is when its connection last failed, zero if it has not.
	FailedAt time.Time
	// Outstanding counts the orders without an outcome.
	Outstanding int
}

// States returns the state of each relay by name.
func (p *Pool) States() map[string]State {
	p.mu.Lock()
	defer p.mu.Unlock()
	states := make(map[string]State, len(p.links))
	for name, l := range p.links {
		states[name] = l.state()
	}
	return states
}

// Wait waits until all connections have ended, which they do with the context of SetRelays.
func (p *Pool) Wait() { p.loops.Wait() }

// flushInterval returns the least time between two batches to a relay: the more relays there are, the more orders one
// batch holds, so that the number of messages stays bounded.
func (p *Pool) flushInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(minFlushInterval, time.Duration(len(p.links))*flushPerRelay)
}
