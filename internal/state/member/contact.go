package member

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
)

// contact is what this entry instance observed of another one.
type contact struct {
	heard time.Time
	// failing and unlisted are when the present silence and absence from the roster were first observed; zero if not now.
	failing  time.Time
	unlisted time.Time
	// replaced means that a later incarnation answers at the member's address.
	replaced bool
	probing  bool
}

// Alive reports whether a member answered lately. A member that was never asked counts as alive.
func (r *Registrar) Alive(id fleet.EntryID) bool {
	if id == r.Self().ID {
		return true
	}
	if _, ok := r.views.View().Member(id); !ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.contacts[id]
	return c == nil || c.alive(time.Now())
}

func (c *contact) alive(now time.Time) bool {
	return !c.replaced && (c.failing.IsZero() || now.Sub(c.heard) < aliveFor)
}

// ProcessExited reports whether a member's process has ended by all signs: nothing answers at its address and the
// platform doesn't list it. A replaced member isn't gone: its successor answers and acknowledges in its place.
// ProcessExited takes no lock of the view.
func (r *Registrar) ProcessExited(id fleet.EntryID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.contacts[id]
	return c != nil && c.ended(time.Now())
}

func (c *contact) ended(now time.Time) bool {
	return c.silent(endedAfter, now) && c.absent(endedAfter, now)
}

func (c *contact) silent(d time.Duration, now time.Time) bool {
	return !c.failing.IsZero() && now.Sub(c.failing) >= d
}

func (c *contact) absent(d time.Duration, now time.Time) bool {
	return !c.unlisted.IsZero() && now.Sub(c.unlisted) >= d
}

// removable reports whether a member may be removed by an entry instance that has been in contact with a
// majority since a moment. Silence before that moment doesn't count: this instance may have been the lost one.
func (c *contact) removable(majority, now time.Time) bool {
	if majority.IsZero() {
		return false
	}
	if c.replaced {
		return true
	}
	lasted := min(now.Sub(c.failing), now.Sub(majority))
	return !c.failing.IsZero() && (lasted >= lostAfter || lasted >= goneAfter && !c.unlisted.IsZero())
}

// probe asks every other member once and forgets those that are no longer members.
func (r *Registrar) probe(ctx context.Context) {
	v, self := r.views.View(), r.Self().ID
	members := v.Members()
	for _, m := range r.due(members, self, time.Now()) {
		go r.ask(ctx, m, v.Revision())
	}
}

// due returns the members to be asked now.
func (r *Registrar) due(members []fleet.Member, self fleet.EntryID, now time.Time) []fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	paused := !r.lastTick.IsZero() && now.Sub(r.lastTick) > pausedAfter
	r.lastTick = now
	kept := make(map[fleet.EntryID]*contact, len(members))
	var due []fleet.Member
	for _, m := range members {
		if m.ID == self {
			continue
		}
		c := r.contacts[m.ID]
		if c == nil {
			c = &contact{heard: now}
		}
		if paused {
			c.failing, c.unlisted = time.Time{}, time.Time{}
		}
		kept[m.ID] = c
		if !c.probing {
			c.probing = true
			due = append(due, m)
		}
	}
	r.contacts = kept
	if reached := r.reached(members, now); paused || reached <= len(members)/2 {
		r.majority = time.Time{}
	} else if r.majority.IsZero() {
		r.majority = now
	}
	return due
}

// reached counts this entry instance, the members that answer, and those that ended; the caller holds mu.
func (r *Registrar) reached(members []fleet.Member, now time.Time) int {
	n := 0
	for _, m := range members {
		c := r.contacts[m.ID]
		if m.ID == r.Self().ID || c != nil && (c.alive(now) || c.replaced || c.ended(now)) {
			n++
		}
	}
	return n
}

func (r *Registrar) ask(ctx context.Context, m fleet.Member, revision uint64) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sent := time.Now()
	from, _, err := r.views.QueryMember(ctx, m, revision)
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.contacts[m.ID]
	if c == nil {
		return
	}
	c.probing = false
	switch {
	case err != nil && c.failing.IsZero():
		c.failing = sent
	case err != nil:
	case from != m.ID:
		c.replaced = true
	default:
		c.heard, c.failing = sent, time.Time{}
	}
}

// readRoster notes which members the platform no longer lists.
func (r *Registrar) readRoster(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	listings, err := r.roster.List(ctx)
	if err != nil {
		r.log.Warn("member: roster unavailable", zap.Error(err))
	}
	listed := map[string]bool{}
	for _, l := range listings {
		listed[string(l.ID)] = l.Kind == roster.Entry
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, c := range r.contacts {
		switch {
		case err != nil || listed[entryName(id)]:
			c.unlisted = time.Time{}
		case c.unlisted.IsZero():
			c.unlisted = time.Now()
		}
	}
}

func entryName(id fleet.EntryID) string {
	if i := strings.LastIndexByte(string(id), '.'); i >= 0 {
		return string(id[:i])
	}
	return string(id)
}

// removeLost removes the first member that is lost, if this entry instance is in contact with a majority.
func (r *Registrar) removeLost(ctx context.Context) {
	if r.leaving.Load() || !r.Registered() {
		return
	}
	id, ok := r.lost(r.views.View().Members(), time.Now())
	if !ok {
		return
	}
	if err := r.removeAsMember(ctx, id); err != nil {
		r.log.Warn("member: removal failed", zap.String("id", string(id)), zap.Error(err))
		pause(ctx)
		return
	}
	r.log.Info("member: removed a lost entry instance", zap.String("id", string(id)))
}

func (r *Registrar) lost(members []fleet.Member, now time.Time) (fleet.EntryID, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range members {
		if c := r.contacts[m.ID]; c != nil && c.removable(r.majority, now) {
			return m.ID, true
		}
	}
	return "", false
}
