package node

import (
	"context"
	"sync"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/sched/alloc"
	"github.com/yuccahaven/yuccahaven/internal/serve/admin"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// scheduler is the coordinator and the agent of the present incarnation. Both bear the entry's identifier, so a new
// incarnation gets new ones.
type scheduler struct {
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

// restart ends the parts of the previous incarnation and runs those of the next until the context ends.
func (s *scheduler) restart(ctx context.Context, self fleet.EntryID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stop != nil {
		s.stop()
	}
	ctx, s.stop = context.WithCancel(ctx)
	s.coordinator = alloc.NewCoordinator(self, s.views, s.prober)
	s.agent = alloc.NewAgent(self, s.views, s.source, s.coordinator, alloc.PeerPoller{Client: s.peers})
	coordinator, agent := s.coordinator, s.agent
	s.running.Go(func() { coordinator.Run(ctx) })
	s.running.Go(func() { agent.Run(ctx) })
}

// current returns the present parts, nil before the first restart.
func (s *scheduler) current() (*alloc.Coordinator, *alloc.Agent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coordinator, s.agent
}

// RequestPoll implements runner.Coordinators.
func (s *scheduler) RequestPoll(p fleet.PoolName) {
	if _, a := s.current(); a != nil {
		a.RequestPoll(p)
	}
}

// Estimates implements runner.Coordinators.
func (s *scheduler) Estimates(p fleet.PoolName) []peer.Estimate {
	if _, a := s.current(); a != nil {
		return a.Estimates(p)
	}
	return nil
}

func (s *scheduler) poll(ctx context.Context, q peer.PollRequest) (peer.PollReply, error) {
	c, _ := s.current()
	if c == nil {
		return peer.PollReply{}, errStarting
	}
	return c.Poll(ctx, q)
}

// returns tells how far availability zones have come back, in the words of the operators' interface.
func (s *scheduler) returns(v fleet.View) []admin.ZoneReturn {
	_, a := s.current()
	if a == nil {
		return nil
	}
	var all []admin.ZoneReturn
	for _, p := range v.PoolNames() {
		for _, step := range a.Steps(p) {
			all = append(all, admin.ReturnOf(p, step))
		}
	}
	return all
}
