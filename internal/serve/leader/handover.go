package leader

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/pace"
)

const (
	// handoverCheckInterval is the time between two checks for a peer that is better suited as leader.
	handoverCheckInterval = 100 * time.Millisecond
	// handoverMargin is by how much a peer's election delay must be shorter than that of the leader. A change of the
	// leader takes about as long.
	handoverMargin = 500 * time.Millisecond
)

// handoverLoop reports when a peer becomes better suited as leader.
func (s *session) handoverLoop(ctx context.Context) {
	reported := false
	pace.After(ctx, handoverCheckInterval, func(context.Context) {
		own := s.service.electionDelay()
		peer, delay, ok := s.service.mostSuitablePeer()
		better := ok && delay+handoverMargin <= own
		if better && !reported {
			s.log.Warn("leader: another instance is better suited to lead", zap.String("peer", peer),
				zap.Duration("own", own), zap.Duration("delay", delay))
		}
		reported = better
	})
}

func (s *Service) electionDelay() time.Duration {
	if s.ElectionDelay == nil {
		return 0
	}
	return s.ElectionDelay()
}

// mostSuitablePeer returns the peer with the shortest election delay among those with a recent heartbeat, and that
// delay; false without any.
func (s *Service) mostSuitablePeer() (string, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best string
	var shortest time.Duration
	for name, h := range s.heartbeats {
		if time.Since(h.at) <= heartbeatMaxAge && (best == "" || h.electionDelay < shortest) {
			best, shortest = name, h.electionDelay
		}
	}
	return best, shortest, best != ""
}
