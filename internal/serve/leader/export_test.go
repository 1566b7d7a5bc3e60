package leader

import (
	"testing"

	"github.com/yuccahaven/yuccahaven/internal/plan/cycle"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
)

// The bounds of authority, for tests.
const (
	AuthorityMaxAge = authorityMaxAge
	PeersMaxAge     = peersMaxAge
)

// PeersConfirm exposes peersConfirm to tests.
func (s *Service) PeersConfirm() bool { return s.peersConfirm() }

// UnconfirmedPeers exposes unconfirmedPeers to tests.
func (s *Service) UnconfirmedPeers(limit int) []string { return s.unconfirmedPeers(limit) }

// CycleOf exposes what this process, while it leads, knows of a pool's bursts to tests.
func (s *Service) CycleOf(pool string) cycle.Profile {
	ss := s.current()
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.cycles.model.Profile(pool)
}

// dispatch plans and records starts and returns all commands, as with a store that answers at once.
func dispatch(t *testing.T, sc *engine.Scheduler) []engine.Command {
	t.Helper()
	commands := sc.Commands()
	if _, err := sc.StartWrites(); err != nil {
		t.Fatal(err)
	}
	sc.ConfirmStarts()
	return append(commands, sc.RecordedStarts()...)
}
