package leader

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/pace"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
)

const (
	// handoverCheckInterval is the time between two checks for a peer that is better suited as leader.
	handoverCheckInterval = 100 * time.Millisecond
	// minTenure is how long a leader stays at least. It bounds the changes of the leader when all instances become slow
	// in turn, and covers the load of a takeover.
	minTenure = 3 * time.Second
	// noticeTime is how long after it became slow a leader offers leadership: a peer that became slow at the same time has
	// noticed by then and declines.
	noticeTime = 150 * time.Millisecond
	// offerTimeout bounds one offer, maxOffers the offers in a check.
	offerTimeout = 200 * time.Millisecond
	maxOffers    = 3
	// maxMachineCallWait bounds the wait for machine calls in progress before an offer, machineCallCheckInterval is the
	// time between two checks of it.
	maxMachineCallWait       = 500 * time.Millisecond
	machineCallCheckInterval = 10 * time.Millisecond
	// leavingElectionDelay is the election delay in the offers of an instance that shuts down, longer than any other.
	leavingElectionDelay = time.Hour
)

// handoverLoop hands over leadership when a peer is better suited as leader, for example because this process has
// become slow. Such a leader would confirm the leader record in time and serve nobody.
func (s *session) handoverLoop(ctx context.Context) {
	began := time.Now()
	suitedUntil := began
	pace.After(ctx, handoverCheckInterval, func(ctx context.Context) {
		own := s.service.electionDelay()
		now := time.Now()
		if own < elect.HandoverMargin {
			suitedUntil = now
		}
		if now.Sub(suitedUntil) < noticeTime || now.Sub(began) < minTenure || s.leadership.Lost() {
			return
		}
		if s.offer(ctx, own) {
			s.stepDown(ctx)
		}
	})
}

// offer offers leadership to the most suitable peers in turn, with this instance's election delay. It reports whether
// one has accepted or may have, since an offer without a reply may have arrived.
func (s *session) offer(ctx context.Context, own time.Duration) bool {
	peers := s.service.suitablePeers(own)
	if s.service.OfferLeadership == nil || len(peers) == 0 {
		return false
	}
	s.setHandingOver(true)
	s.awaitMachineCalls(ctx)
	for _, p := range peers {
		callCtx, cancel := context.WithTimeout(ctx, offerTimeout)
		accepted, err := s.service.OfferLeadership(callCtx, p.address, own)
		cancel()
		s.log.Info("leader: offered leadership to a better suited instance", zap.String("peer", p.name),
			zap.Bool("accepted", accepted), zap.Duration("own", own), zap.Duration("delay", p.electionDelay), zap.Error(err))
		if accepted || err != nil {
			return true
		}
	}
	s.setHandingOver(false)
	return false
}

// awaitMachineCalls waits until no call for a machine operation is in progress, at most maxMachineCallWait: one that
// takes effect later ends the tasks that the next leader has started on the machine meanwhile.
func (s *session) awaitMachineCalls(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxMachineCallWait)
	defer cancel()
	for ctx.Err() == nil {
		s.mu.Lock()
		calls := s.machineCalls
		s.mu.Unlock()
		if calls == 0 {
			return
		}
		select {
		case <-time.After(machineCallCheckInterval):
		case <-ctx.Done():
		}
	}
}

func (s *session) setHandingOver(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handingOver = on
}

func (s *Service) electionDelay() time.Duration {
	if s.ElectionDelay == nil {
		return 0
	}
	return s.ElectionDelay()
}

// candidate is a peer that may take over leadership.
type candidate struct {
	name, address string
	electionDelay time.Duration
}

// suitablePeers returns up to maxOffers peers whose last heartbeat is recent and tells of an election delay shorter
// than another by the margin, the shortest first.
func (s *Service) suitablePeers(own time.Duration) []candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var peers []candidate
	for name, h := range s.heartbeats {
		if h.address != "" && time.Since(h.at) <= heartbeatMaxAge*s.interval() && h.electionDelay+elect.HandoverMargin <= own {
			peers = append(peers, candidate{name, h.address, h.electionDelay})
		}
	}
	slices.SortFunc(peers, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.electionDelay, b.electionDelay), cmp.Compare(a.name, b.name))
	})
	return peers[:min(len(peers), maxOffers)]
}
