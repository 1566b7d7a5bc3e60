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
	// minInterval is the least time between polls that arrivals and completions request.
	minInterval = 2 * time.Millisecond
	// pollTimeout bounds one poll, so that an unresponsive connection costs a third of coordinatorTimeout.
	pollTimeout = 200 * time.Millisecond
	// activeDuration is how long a pool is still polled after its last work.
	activeDuration = 10 * time.Second
)

// Source is the entry's own work.
type Source interface {
	// Snapshot returns demand, occupied slots, unused permits, and the outcomes since the last call.
	Snapshot(p fleet.PoolName) peer.PollRequest
	// Permit passes on a permit; its TTL counts from this call.
	Permit(p peer.Permit)
}

// Poller polls the coordinator at the member's address.
type Poller interface {
	Poll(ctx context.Context, m fleet.Member, q peer.PollRequest) (peer.PollReply, error)
}

// PeerPoller polls coordinators with the peer protocol.
type PeerPoller struct {
	Client *peer.Client
}

// Poll calls the member's coordinator.
func (p PeerPoller) Poll(ctx context.Context, m fleet.Member, q peer.PollRequest) (peer.PollReply, error) {
	return peer.Call(ctx, p.Client, m.Address, peer.MethodPoll, q)
}

// Agent polls the coordinators of the pools in use and passes their permits to the source; it is safe for concurrent
// use.
type Agent struct {
	self   fleet.EntryID
	views  Viewer
	source Source
	local  *Coordinator
	remote Poller

	mu    sync.Mutex
	loops map[fleet.PoolName]*pollLoop
	start chan *pollLoop
}

// NewAgent returns the agent of an entry; local is the entry's own coordinator.
func NewAgent(self fleet.EntryID, views Viewer, source Source, local *Coordinator, remote Poller) *Agent {
	return &Agent{
		self: self, views: views, source: source, local: local, remote: remote,
		loops: map[fleet.PoolName]*pollLoop{}, start: make(chan *pollLoop, 1),
	}
}

// Run polls until the context ends.
func (a *Agent) Run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	for {
		for _, l := range a.takeUnstarted() {
			loops.Go(func() { l.run(ctx) })
		}
		select {
		case <-ctx.Done():
			return
		case <-a.start:
		}
	}
}

// RequestPoll brings the next poll of a pool forward, after a change of its demand or a completion.
func (a *Agent) RequestPoll(p fleet.PoolName) {
	l := a.loop(p)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Estimate returns the coordinator's latest estimate for a queue.
func (a *Agent) Estimate(p fleet.PoolName, q fleet.QueueName) (peer.Estimate, bool) {
	return a.loop(p).estimate(q)
}

// Estimates returns the coordinator's latest estimates for the pool's queues.
func (a *Agent) Estimates(p fleet.PoolName) []peer.Estimate { return a.loop(p).allEstimates() }

// ZoneSteps returns the steps that the availability zones of a pool have reached in their return to service.
func (a *Agent) ZoneSteps(p fleet.PoolName) []peer.ZoneStep { return a.loop(p).zoneSteps() }

func (a *Agent) loop(p fleet.PoolName) *pollLoop {
	a.mu.Lock()
	defer a.mu.Unlock()
	l, ok := a.loops[p]
	if !ok {
		l = newPollLoop(a, p)
		a.loops[p] = l
		select {
		case a.start <- l:
		default:
		}
	}
	return l
}

func (a *Agent) takeUnstarted() []*pollLoop {
	a.mu.Lock()
	defer a.mu.Unlock()
	var ls []*pollLoop
	for _, l := range a.loops {
		if !l.started {
			l.started = true
			ls = append(ls, l)
		}
	}
	return ls
}
