package node

import (
	"context"
	"sync"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/sched/alloc"
	"github.com/yuccahaven/yuccahaven/internal/serve/admin"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// allocator holds the coordinator and the agent of the current incarnation. Both are built with its ID, so each
// incarnation gets new ones.
type allocator struct {
	views  alloc.Viewer
	prober alloc.Prober
	source alloc.Source
	peers  *peer.Client

	mu          sync.Mutex
	coordinator *alloc.Coordinator
	agent       *alloc.Agent
	stop        context.CancelFunc
	running     sync.WaitGroup
}

// restart stops the coordinator and agent of the previous incarnation and runs new ones until the context ends.
func (a *allocator) restart(ctx context.Context, self fleet.EntryID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stop != nil {
		a.stop()
	}
	ctx, a.stop = context.WithCancel(ctx)
	a.coordinator = alloc.NewCoordinator(self, a.views, a.prober)
	a.agent = alloc.NewAgent(self, a.views, a.source, a.coordinator, alloc.PeerPoller{Client: a.peers})
	coordinator, agent := a.coordinator, a.agent
	a.running.Go(func() { coordinator.Run(ctx) })
	a.running.Go(func() { agent.Run(ctx) })
}

// current returns the coordinator and agent of the current incarnation, or nil before the first restart.
func (a *allocator) current() (*alloc.Coordinator, *alloc.Agent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.coordinator, a.agent
}

// RequestPoll implements runner.Coordinators.
func (a *allocator) RequestPoll(p fleet.PoolName) {
	if _, agent := a.current(); agent != nil {
		agent.RequestPoll(p)
	}
}

// Estimates implements runner.Coordinators.
func (a *allocator) Estimates(p fleet.PoolName) []peer.Estimate {
	if _, agent := a.current(); agent != nil {
		return agent.Estimates(p)
	}
	return nil
}

func (a *allocator) handlePoll(ctx context.Context, q peer.PollRequest) (peer.PollReply, error) {
	c, _ := a.current()
	if c == nil {
		return peer.PollReply{}, errStarting
	}
	return c.Poll(ctx, q)
}

// zoneReturns returns how far availability zones have come back into service in each pool, for the admin status.
func (a *allocator) zoneReturns(v fleet.View) []admin.ZoneReturn {
	_, agent := a.current()
	if agent == nil {
		return nil
	}
	var all []admin.ZoneReturn
	for _, p := range v.PoolNames() {
		for _, step := range agent.ZoneSteps(p) {
			all = append(all, admin.NewZoneReturn(p, step))
		}
	}
	return all
}
