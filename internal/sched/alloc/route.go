package alloc

import (
	"maps"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

const (
	// silentAfter is how long a coordinator may be silent before the next in rank is polled instead.
	silentAfter = 600 * time.Millisecond
	// A skipped coordinator is retried after minBackoff, which doubles up to maxBackoff.
	minBackoff = time.Second
	maxBackoff = 10 * time.Second
)

// contact is what an entry knows of one coordinator.
type contact struct {
	silentFrom time.Time // first failed poll since the last reply; zero if it replied last
	skipped    bool
	retryAt    time.Time
	backoff    time.Duration
}

// route chooses the coordinator of a pool; it is safe for concurrent use.
type route struct {
	mu       sync.Mutex
	contacts map[fleet.EntryID]*contact
}

func newRoute() *route { return &route{contacts: map[fleet.EntryID]*contact{}} }

// choose returns the first in rank that is not skipped, or the first of all if every one is.
func (r *route) choose(ranked []fleet.Member, now time.Time) (fleet.Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(ranked)
	for _, m := range ranked {
		c := r.contact(m.ID)
		if !c.skipped && !c.silentFrom.IsZero() && now.Sub(c.silentFrom) >= silentAfter {
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

// retries returns the skipped coordinators ranked above the chosen one whose next retry is due.
func (r *route) retries(ranked []fleet.Member, chosen fleet.Member, now time.Time) []fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []fleet.Member
	for _, m := range ranked {
		if m.ID == chosen.ID {
			break
		}
		if c := r.contact(m.ID); c.skipped && !now.Before(c.retryAt) {
			c.backoff = min(2*c.backoff, maxBackoff)
			c.retryAt = now.Add(c.backoff)
			due = append(due, m)
		}
	}
	return due
}

func (r *route) replied(id fleet.EntryID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.contacts[id] = &contact{}
}

// failed records a poll without a reply that was sent at a time.
func (r *route) failed(id fleet.EntryID, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.contact(id); c.silentFrom.IsZero() {
		c.silentFrom = sent
	}
}

func (r *route) contact(id fleet.EntryID) *contact {
	c, ok := r.contacts[id]
	if !ok {
		c = &contact{}
		r.contacts[id] = c
	}
	return c
}

// forget drops contacts that are no longer members.
func (r *route) forget(ranked []fleet.Member) {
	if len(r.contacts) <= len(ranked) {
		return
	}
	present := make(map[fleet.EntryID]bool, len(ranked))
	for _, m := range ranked {
		present[m.ID] = true
	}
	maps.DeleteFunc(r.contacts, func(id fleet.EntryID, _ *contact) bool { return !present[id] })
}

func (c *contact) skip(now time.Time) {
	c.skipped, c.backoff, c.retryAt = true, minBackoff, now.Add(minBackoff)
}
