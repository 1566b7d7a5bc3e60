package alloc

import (
	"context"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	// busyInterval is the time between polls while work waits, idleInterval otherwise.
	busyInterval = 20 * time.Millisecond
	idleInterval = 200 * time.Millisecond
	// minInterval is the least time between polls when arrivals and completions ask for them.
	minInterval = 2 * time.Millisecond
	// pollTimeout bounds one poll, so that an unresponsive connection costs a third of silentAfter.
	pollTimeout = 200 * time.Millisecond
	// inUse is how long a pool is polled after its last work.
	inUse = 10 * time.Second
)

// Source is the entry's picture of its own work.
type Source interface {
	// Snapshot returns demand, occupied, unused, and the outcomes since the last call.
	Snapshot(p fleet.PoolName) peer.PollRequest
	// Permit hands out a permit; its TTL counts from this call.
	Permit(p peer.Permit)
}

// Poller polls the coordinator at the member's address.
type Poller interface {
	Poll(ctx context.Context, m fleet.Member, q peer.PollRequest) (peer.PollReply, error)
}

// PeerPoller polls over the inner protocol.
type PeerPoller struct {
	Client *peer.Client
}

// Poll calls the member's coordinator.
func (p PeerPoller) Poll(ctx context.Context, m fleet.Member, q peer.PollRequest) (peer.PollReply, error) {
	return peer.Call(ctx, p.Client, m.Address, peer.MethodPoll, q)
}

// Agent polls the coordinators of the pools in use and hands out their permits; it is safe for concurrent use.
type Agent struct {
	self   fleet.EntryID
	views  Viewer
	source Source
	local  *Coordinator
	remote Poller

	mu    sync.Mutex
	loops map[fleet.PoolName]*loop
	start chan *loop
}

// NewAgent returns the agent of an entry; local is the entry's own coordinator.
func NewAgent(self fleet.EntryID, views Viewer, source Source, local *Coordinator, remote Poller) *Agent {
	return &Agent{
		self: self, views: views, source: source, local: local, remote: remote,
		loops: map[fleet.PoolName]*loop{}, start: make(chan *loop, 1),
	}
}

// Run polls until the context ends.
func (a *Agent) Run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	for {
		for _, l := range a.unstarted() {
			loops.Go(func() { l.run(ctx) })
		}
		select {
		case <-ctx.Done():
			return
		case <-a.start:
		}
	}
}

// RequestPoll tells the agent that a pool's demand or completions changed: poll now.
func (a *Agent) RequestPoll(p fleet.PoolName) {
	l := a.loop(p)
	select {
	case l.poke <- struct{}{}:
	default:
	}
}

// Estimate returns what the pool's coordinator has learned about a queue.
func (a *Agent) Estimate(p fleet.PoolName, q fleet.QueueName) (peer.Estimate, bool) {
	return a.loop(p).estimate(q)
}

// Estimates returns what the pool's coordinator has learned about its queues.
func (a *Agent) Estimates(p fleet.PoolName) []peer.Estimate { return a.loop(p).known() }

// Steps returns how far the availability zones of a pool have come in their return.
func (a *Agent) Steps(p fleet.PoolName) []peer.ZoneStep { return a.loop(p).echo() }

func (a *Agent) loop(p fleet.PoolName) *loop {
	a.mu.Lock()
	defer a.mu.Unlock()
	l, ok := a.loops[p]
	if !ok {
		l = newLoop(a, p)
		a.loops[p] = l
		select {
		case a.start <- l:
		default:
		}
	}
	return l
}

func (a *Agent) unstarted() []*loop {
	a.mu.Lock()
	defer a.mu.Unlock()
	var ls []*loop
	for _, l := range a.loops {
		if !l.started {
			l.started = true
			ls = append(ls, l)
		}
	}
	return ls
}
