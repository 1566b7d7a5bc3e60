package leader

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/pace"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	// peersMaxAge is how long the authority to send commands lasts after the last time at which all peers are known to
	// have known of no later term.
	peersMaxAge = 2 * time.Second
	// memberMaxAge is how long an instance counts as a peer after its last heartbeat.
	memberMaxAge = time.Minute
	// heartbeatInterval is the time between two heartbeats of a peer while there are at most manyPeers; with more it is
	// longer in proportion, so that the leader gets as many in all.
	heartbeatInterval = 400 * time.Millisecond
	manyPeers         = 50
	// heartbeatMaxAge is how long what a heartbeat tells of a peer counts, in intervals: one may be lost.
	heartbeatMaxAge = 3
	// echoMaxAge is how long an echoed stamp proves that a peer knows the leader, in intervals; it is the older by the time
	// between two heartbeats.
	echoMaxAge = 4
	// askPeersAfter is the age of the store's last confirmation from which the leader asks its peers for the latest term
	// that they know, if their heartbeats come too seldom to confirm its authority.
	askPeersAfter = 600 * time.Millisecond
	// askTimeout bounds such a call.
	askTimeout = 350 * time.Millisecond
	// maxAsked is the number of peers asked at the same time.
	maxAsked = 32
)

// interval returns the time between two heartbeats of a peer; mu must be held.
func (s *Service) interval() time.Duration {
	return max(heartbeatInterval, time.Duration(len(s.heartbeats))*heartbeatInterval/manyPeers)
}

// heartbeat is what is known of a peer from its heartbeats.
type heartbeat struct {
	// at is when the last heartbeat arrived, which may be long after it was sent.
	at            time.Time
	address       string
	electionDelay time.Duration
	zone          string
	// relays means that the peer relays orders, readsRowLog that it reads log rows when it takes over.
	relays, readsRowLog bool
	// succession means that the peer takes over as a designated successor.
	succession bool
	// confirmedAt is the latest time after which the peer is known to have known of no later term than confirmedTerm,
	// a term of this process: the stamp that it echoed.
	confirmedAt   time.Time
	confirmedTerm int64
	// echoedAt is the last stamp of confirmedTerm that it echoed, so that it has received the reply with that.
	echoedAt time.Time
}

// HandleHeartbeat records the heartbeat of a peer and answers whether this process is the leader; a later term in the
// heartbeat ends its leadership. A heartbeat without a sender is this process's own and is not recorded.
func (s *Service) HandleHeartbeat(q peer.HeartbeatRequest) peer.HeartbeatReply {
	now := time.Now()
	s.mu.Lock()
	l := s.leadership
	h := s.heartbeats[q.From]
	h.at, h.address, h.electionDelay = now, q.Address, q.ElectionDelay
	h.zone, h.relays, h.readsRowLog, h.succession = q.Zone, q.Relays, q.ReadsRowLog, q.Succession
	if at := s.epoch.Add(q.Echo); l != nil && q.Echo > 0 && q.EchoTerm == l.Term() && q.Term <= l.Term() &&
		at.After(h.confirmedAt) && !at.After(now) {
		h.confirmedAt, h.confirmedTerm = at, q.EchoTerm
	}
	if at := s.epoch.Add(q.Echo); l != nil && q.EchoTerm == l.Term() && at.After(h.echoedAt) && !at.After(now) {
		h.echoedAt = at
	}
	if q.From != "" {
		s.heartbeats[q.From] = h
	}
	interval, ended, loading := s.interval(), s.endedTerm >= q.Term, s.session == nil
	recorded := s.unrecordedSince.IsZero() && !loading
	successors, witnesses := s.designatedFor(q.From, now)
	s.mu.Unlock()
	if l == nil {
		return peer.HeartbeatReply{Ended: ended}
	}
	if q.Term > l.Term() {
		s.Log.Warn("leader: heartbeat with a later term received, leadership is lost", zap.Int64("term", q.Term),
			zap.String("peer", q.From))
		l.MarkLost()
		return peer.HeartbeatReply{}
	}
	return peer.HeartbeatReply{IsLeader: !l.Lost(), Ended: l.Lost(), Term: l.Term(), SinceConfirmed: l.SinceConfirmed(),
		StoreRefusedFor: l.StoreRefusedFor(), Stamp: now.Sub(s.epoch), Interval: interval, Loading: loading,
		Successors: successors, Witnesses: witnesses, Recorded: recorded}
}

// HeardRecently reports whether the heartbeats of a peer prove that it knew the leader recently.
func (s *Service) HeardRecently(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmedSince(name, time.Now().Add(-echoMaxAge*s.interval()))
}

// confirmedSince reports whether a peer is known to have known of no later term than that of this process after a point
// in time. The time at which a heartbeat arrives does not show that, because the network may have held it up.
func (s *Service) confirmedSince(name string, t time.Time) bool {
	h, ok := s.heartbeats[name]
	return ok && s.leadership != nil && h.confirmedTerm == s.leadership.Term() && !h.confirmedAt.Before(t)
}

// peersConfirm reports whether all peers are known to have known of no later term within peersMaxAge.
func (s *Service) peersConfirm() bool { return time.Since(s.peersConfirmedAt()) <= peersMaxAge }

// peersConfirmedAt returns the latest time after which every peer is known to have known of no later term. A majority
// would not do: a minority that the store serves can elect a later leader. Without peers it returns the zero time,
// because a process that is cut off would confirm itself.
func (s *Service) peersConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var earliest time.Time
	first := true
	for name, h := range s.heartbeats {
		if now.Sub(h.at) > memberMaxAge {
			delete(s.heartbeats, name)
			continue
		}
		if !s.confirmedSince(name, time.Time{}) {
			return time.Time{}
		}
		if first || h.confirmedAt.Before(earliest) {
			first, earliest = false, h.confirmedAt
		}
	}
	return earliest
}

// unconfirmedPeers returns the names of up to a number of peers that are not known to have known of no later term within
// peersMaxAge, in order.
func (s *Service) unconfirmedPeers(limit int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var names []string
	for name, h := range s.heartbeats {
		if now.Sub(h.at) <= memberMaxAge && !s.confirmedSince(name, now.Add(-peersMaxAge)) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), limit)]
}

// peersReadRowLog reports whether every peer reads log rows when it takes over. A peer of an earlier build would lose what is
// in them.
func (s *Service) peersReadRowLog() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.heartbeats {
		if !h.readsRowLog && time.Since(h.at) <= memberMaxAge {
			return false
		}
	}
	return true
}

// askPeers asks the peers for the latest term that they know, while their heartbeats come too seldom to confirm authority
// without the store. A peer that knows of no later term when it answers knew of none when it was asked.
func (s *Service) askPeers(ctx context.Context, l *elect.Leadership) {
	s.mu.Lock()
	addresses := make(map[string]string, len(s.heartbeats))
	for name, h := range s.heartbeats {
		addresses[name] = h.address
	}
	seldom := s.interval() > heartbeatInterval
	s.mu.Unlock()
	if !seldom || s.AskForTerm == nil {
		return
	}
	places := make(chan struct{}, maxAsked)
	var calls sync.WaitGroup
	for name, address := range addresses {
		places <- struct{}{}
		calls.Go(func() {
			defer func() { <-places }()
			s.askPeer(ctx, l, name, address)
		})
	}
	calls.Wait()
}

func (s *Service) askPeer(ctx context.Context, l *elect.Leadership, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := time.Now()
	term, err := s.AskForTerm(ctx, address)
	switch {
	case err != nil:
		return
	case term > l.Term():
		s.Log.Warn("leader: a peer knows of a later term, leadership is lost", zap.Int64("term", term),
			zap.String("peer", name))
		l.MarkLost()
		return
	case term != l.Term():
		// A peer of an earlier build does not say what it knows.
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.heartbeats[name]; ok && s.leadership == l && (h.confirmedTerm != term || asked.After(h.confirmedAt)) {
		h.confirmedAt, h.confirmedTerm, h.at = asked, term, time.Now()
		s.heartbeats[name] = h
	}
}

// askLoop asks the peers while the store is late.
func (s *session) askLoop(ctx context.Context) {
	pace.After(ctx, heartbeatInterval, func(ctx context.Context) {
		if s.leadership.SinceConfirmed() >= askPeersAfter && !s.leadership.Lost() {
			s.service.askPeers(ctx, s.leadership)
		}
	})
}
