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
	// minTenure is how long a leader stays at least. It bounds the changes of the leader when all instances become slow
	// in turn, and covers the load of a takeover.
	minTenure = 3 * time.Second
	// noticeTime is how long after this process became slow a peer's heartbeat must have come to count. A peer that became
	// slow at the same time has noticed by then.
	noticeTime = 200 * time.Millisecond
)

// handoverLoop releases leadership when a peer is better suited as leader, for example because this process has become
// slow. Such a leader would confirm the leader record in time and serve nobody.
func (s *session) handoverLoop(ctx context.Context) {
	began := time.Now()
	suitedUntil := began
	pace.After(ctx, handoverCheckInterval, func(context.Context) {
		own := s.service.electionDelay()
		if own < handoverMargin {
			suitedUntil = time.Now()
			return
		}
		peer, delay, ok := s.service.mostSuitablePeer(suitedUntil.Add(noticeTime))
		if !ok || delay+handoverMargin > own || time.Since(began) < minTenure || s.leadership.Lost() {
			return
		}
		s.log.Warn("leader: another instance is better suited to lead, releasing leadership", zap.String("peer", peer),
			zap.Duration("own", own), zap.Duration("delay", delay))
		s.stepDown(ctx)
	})
}

func (s *Service) electionDelay() time.Duration {
	if s.ElectionDelay == nil {
		return 0
	}
	return s.ElectionDelay()
}

// mostSuitablePeer returns the peer with the shortest election delay among those with a recent heartbeat that came after
// a time, and that delay; false without any.
func (s *Service) mostSuitablePeer(after time.Time) (string, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best string
	var shortest time.Duration
	for name, h := range s.heartbeats {
		if h.at.After(after) && time.Since(h.at) <= heartbeatMaxAge && (best == "" || h.electionDelay < shortest) {
			best, shortest = name, h.electionDelay
		}
	}
	return best, shortest, best != ""
}
