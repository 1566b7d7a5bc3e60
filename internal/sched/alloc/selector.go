package alloc

import (
	"maps"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

const (
	// coordinatorTimeout is how long polls of a coordinator may fail before the next in rank is polled instead.
	coordinatorTimeout = 600 * time.Millisecond
	// minBackoff is the time until the first retry of a skipped coordinator; it doubles up to maxBackoff.
	minBackoff = time.Second
	maxBackoff = 10 * time.Second
)

// coordinatorStatus is the availability of one coordinator as seen by this entry.
type coordinatorStatus struct {
	unresponsiveSince time.Time // first failed poll since the last reply; zero if the last poll got a reply
	skipped           bool
	retryAt           time.Time
	backoff           time.Duration
}

// coordinatorSelector chooses the coordinator of a pool; it is safe for concurrent use.
type coordinatorSelector struct {
	mu       sync.Mutex
	statuses map[fleet.EntryID]*coordinatorStatus
}

func newCoordinatorSelector() *coordinatorSelector {
	return &coordinatorSelector{statuses: map[fleet.EntryID]*coordinatorStatus{}}
}

// choose returns the highest-ranked coordinator that is not skipped, or the highest-ranked one if all are.
func (s *coordinatorSelector) choose(ranked []fleet.Member, now time.Time) (fleet.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeNonMembers(ranked)
	for _, m := range ranked {
		c := s.status(m.ID)
		if !c.skipped && !c.unresponsiveSince.IsZero() && now.Sub(c.unresponsiveSince) >= coordinatorTimeout {
			c.skip(now)
		}
		if !c.skipped {
			return m, true
		}
	}
	if len(ranked) == 0 {
		return fleet.Member{}, false
	}
	return ranked[0], true
}

// dueRetries returns the skipped coordinators above the chosen one whose retry is due and sets their next retry.
func (s *coordinatorSelector) dueRetries(ranked []fleet.Member, chosen fleet.Member, now time.Time) []fleet.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []fleet.Member
	for _, m := range ranked {
		if m.ID == chosen.ID {
			break
		}
		if c := s.status(m.ID); c.skipped && !now.Before(c.retryAt) {
			c.backoff = min(2*c.backoff, maxBackoff)
			c.retryAt = now.Add(c.backoff)
			due = append(due, m)
		}
	}
	return due
}

func (s *coordinatorSelector) handleReply(id fleet.EntryID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[id] = &coordinatorStatus{}
}

// handleFailure records a failed poll by the time at which it was sent.
func (s *coordinatorSelector) handleFailure(id fleet.EntryID, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.status(id); c.unresponsiveSince.IsZero() {
		c.unresponsiveSince = sent
	}
}

func (s *coordinatorSelector) status(id fleet.EntryID) *coordinatorStatus {
	c, ok := s.statuses[id]
	if !ok {
		c = &coordinatorStatus{}
		s.statuses[id] = c
	}
	return c
}

// removeNonMembers deletes the status of coordinators that are no longer members.
func (s *coordinatorSelector) removeNonMembers(ranked []fleet.Member) {
	if len(s.statuses) <= len(ranked) {
		return
	}
	present := make(map[fleet.EntryID]bool, len(ranked))
	for _, m := range ranked {
		present[m.ID] = true
	}
	maps.DeleteFunc(s.statuses, func(id fleet.EntryID, _ *coordinatorStatus) bool { return !present[id] })
}

func (c *coordinatorStatus) skip(now time.Time) {
	c.skipped, c.backoff, c.retryAt = true, minBackoff, now.Add(minBackoff)
}
