package leader

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/plan/detect"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// designateInterval is the time between two designations, so that not every heartbeat sorts all peers.
const designateInterval = detect.HeartbeatInterval

// designation is the last designation of successors and witnesses.
type designation struct {
	at                    time.Time
	successors, witnesses []peer.Peer
	// names are those of the successors, for the log.
	names string
}

// designatedFor returns the designated successors for the reply to a peer's heartbeat, and the witnesses if the peer is a
// successor; none with Succession off or while this process does not lead. mu must be held.
func (s *Service) designatedFor(name string, now time.Time) (successors, witnesses []peer.Peer) {
	if !s.Succession || s.leadership == nil {
		return nil, nil
	}
	d := &s.designated
	if now.Sub(d.at) >= designateInterval {
		s.designate(now)
	}
	if slices.ContainsFunc(d.successors, func(p peer.Peer) bool { return p.Name == name }) {
		return d.successors, d.witnesses
	}
	return d.successors, nil
}

// designate designates among the peers that have sent a heartbeat recently and take part; mu must be held.
func (s *Service) designate(now time.Time) {
	var candidates []detect.Candidate
	for name, h := range s.heartbeats {
		if h.succession && h.address != "" && now.Sub(h.at) <= heartbeatMaxAge*s.interval() {
			candidates = append(candidates, detect.Candidate{Name: name, Address: h.address, Zone: h.zone,
				ElectionDelay: h.electionDelay})
		}
	}
	successors, witnesses := detect.Designate(s.Zone, candidates)
	d := designation{at: now, successors: toPeers(successors), witnesses: toPeers(witnesses)}
	var names []string
	for _, p := range d.successors {
		names = append(names, p.Name)
	}
	if d.names = strings.Join(names, ","); d.names != s.designated.names {
		s.Log.Info("leader: successors designated", zap.String("successors", d.names), zap.Int("witnesses", len(d.witnesses)),
			zap.Int("candidates", len(candidates)))
	}
	s.designated = d
}

func toPeers(list []detect.Candidate) []peer.Peer {
	var peers []peer.Peer
	for _, c := range list {
		peers = append(peers, peer.Peer{Name: c.Name, Address: c.Address})
	}
	return peers
}
