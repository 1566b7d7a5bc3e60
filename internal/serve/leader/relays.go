package leader

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/pace"
	"github.com/yuccahaven/yuccahaven/internal/plan/assign"
	"github.com/yuccahaven/yuccahaven/internal/serve/relay"
)

const (
	// assignInterval is the time between two decisions on relays.
	assignInterval = 200 * time.Millisecond
	// relayRetryTime is how long after its connection has failed an instance is not chosen as a relay.
	relayRetryTime = 3 * time.Second
)

// relayLoop chooses the relays and assigns the workers to them.
func (s *session) relayLoop(ctx context.Context) {
	if s.service.OpenRelay == nil {
		return
	}
	pool := relay.NewPool(relay.Options{Open: s.service.OpenRelay, Term: s.leadership.Term(),
		Fence: s.leadership.FencingToken(), Authority: s.authorityLeft, Deliver: s.handleResults,
		Registry: s.service.Registry, Log: s.log})
	s.relays.Store(pool)
	defer pool.Wait()
	planner := assign.New(s.service.Assign)
	wanted := assign.Assignment{}
	pace.Every(ctx, assignInterval, nil, func(ctx context.Context) {
		states := pool.States()
		wanted = planner.Decide(s.service.relayCandidates(states), s.relayedWorkers(), wanted)
		addresses := map[string]string{}
		for _, r := range planner.Relays() {
			addresses[r.Name] = s.service.peerAddress(r.Name)
		}
		pool.SetRelays(ctx, addresses)
		s.useRelays(wanted, states)
	})
}

// useRelays makes the relays that are up those of their workers.
func (s *session) useRelays(wanted assign.Assignment, states map[string]relay.State) {
	used := assign.Assignment{}
	relays := map[string]int{}
	for w, r := range wanted {
		if states[r].Up {
			used[w] = r
			relays[r]++
		}
	}
	if names := strings.Join(slices.Sorted(maps.Keys(relays)), ","); s.relayOf.Load() == nil || names != s.relayNames {
		s.relayNames = names
		s.log.Info("leader: relays in use", zap.String("relays", names), zap.Int("workers", len(used)),
			zap.Int("direct", len(wanted)-len(used)))
	}
	s.relayOf.Store(&used)
	s.mu.Lock()
	s.scheduler.SetRelays(len(relays))
	s.mu.Unlock()
}

func (s *session) relayedWorkers() []assign.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.scheduler.Workers()
	workers := make([]assign.Worker, 0, len(list))
	for _, w := range list {
		workers = append(workers, assign.Worker{ID: w.ID, Zone: w.Zone})
	}
	return workers
}

// relayCandidates returns the peers that can relay orders: they have sent a heartbeat recently, and their connection has
// not failed shortly before.
func (s *Service) relayCandidates(states map[string]relay.State) []assign.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var list []assign.Instance
	for name, h := range s.heartbeats {
		failed := states[name].FailedAt
		if !h.relays || now.Sub(h.at) > heartbeatMaxAge*s.interval() || !failed.IsZero() && now.Sub(failed) < relayRetryTime && !states[name].Up {
			continue
		}
		list = append(list, assign.Instance{Name: name, Zone: h.zone, Delay: h.electionDelay})
	}
	return list
}

func (s *Service) peerAddress(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heartbeats[name].address
}
