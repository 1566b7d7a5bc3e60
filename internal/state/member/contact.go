package member

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
)

// contact holds the observations of this entry instance about another one.
type contact struct {
	// lastReply is when the latest probe that got a reply was sent, or when the contact was created.
	lastReply time.Time
	// unresponsiveSince and unlistedSince are when the failure to reply and the absence from the roster were first
	// observed; zero while the member replies or is listed.
	unresponsiveSince time.Time
	unlistedSince     time.Time
	// replaced is set when a later incarnation replies at the member's address.
	replaced bool
	probing  bool
}

// Alive reports whether a member replied recently. A member that was never probed counts as alive, an entry instance
// that is not a member does not.
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
	return c == nil || c.isAlive(time.Now())
}

func (c *contact) isAlive(now time.Time) bool {
	return !c.replaced && (c.unresponsiveSince.IsZero() || now.Sub(c.lastReply) < aliveTimeout)
}

// ProcessExited reports whether a member's process has exited: for exitedTimeout, nothing has replied at its address
// and the roster has not listed it. It is false for a replaced member, whose successor replies and acknowledges in its
// place. It takes no lock of the view, because view.Replica calls it with its own lock held.
func (r *Registrar) ProcessExited(id fleet.EntryID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.contacts[id]
	return c != nil && c.isExited(time.Now())
}

func (c *contact) isExited(now time.Time) bool {
	return c.isUnresponsive(exitedTimeout, now) && c.isUnlisted(exitedTimeout, now)
}

func (c *contact) isUnresponsive(d time.Duration, now time.Time) bool {
	return !c.unresponsiveSince.IsZero() && now.Sub(c.unresponsiveSince) >= d
}

func (c *contact) isUnlisted(d time.Duration, now time.Time) bool {
	return !c.unlistedSince.IsZero() && now.Sub(c.unlistedSince) >= d
}

// isRemovable reports whether a member may be removed by an entry instance that has been in contact with a majority
// since majoritySince; zero means that it is not. Unresponsiveness before that time doesn't count: this instance may
// have been the unreachable one.
func (c *contact) isRemovable(majoritySince, now time.Time) bool {
	if majoritySince.IsZero() {
		return false
	}
	if c.replaced {
		return true
	}
	unreachableFor := min(now.Sub(c.unresponsiveSince), now.Sub(majoritySince))
	return !c.unresponsiveSince.IsZero() &&
		(unreachableFor >= lostTimeout || unreachableFor >= unlistedTimeout && !c.unlistedSince.IsZero())
}

// probe probes every other member that has no probe in progress and deletes the contacts of former members.
func (r *Registrar) probe(ctx context.Context) {
	v, self := r.views.View(), r.Self().ID
	members := v.Members()
	for _, m := range r.dueProbes(members, self, time.Now()) {
		go r.probeMember(ctx, m, v.Revision())
	}
}

// dueProbes returns the members to probe now. It also discards durations measured across a pause, replaces the contacts
// by those of the members and updates majoritySince.
func (r *Registrar) dueProbes(members []fleet.Member, self fleet.EntryID, now time.Time) []fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	paused := !r.lastProbe.IsZero() && now.Sub(r.lastProbe) > pauseThreshold
	r.lastProbe = now
	kept := make(map[fleet.EntryID]*contact, len(members))
	var due []fleet.Member
	for _, m := range members {
		if m.ID == self {
			continue
		}
		c := r.contacts[m.ID]
		if c == nil {
			c = &contact{lastReply: now}
		}
		if paused {
			c.unresponsiveSince, c.unlistedSince = time.Time{}, time.Time{}
		}
		kept[m.ID] = c
		if !c.probing {
			c.probing = true
			due = append(due, m)
		}
	}
	r.contacts = kept
	if reachable := r.countReachable(members, now); paused || reachable <= len(members)/2 {
		r.majoritySince = time.Time{}
	} else if r.majoritySince.IsZero() {
		r.majoritySince = now
	}
	return due
}

// countReachable counts this entry instance, the members that reply, and those that were replaced or whose process has
// exited; the caller holds mu.
func (r *Registrar) countReachable(members []fleet.Member, now time.Time) int {
	n := 0
	for _, m := range members {
		c := r.contacts[m.ID]
		if m.ID == r.Self().ID || c != nil && (c.isAlive(now) || c.replaced || c.isExited(now)) {
			n++
		}
	}
	return n
}

func (r *Registrar) probeMember(ctx context.Context, m fleet.Member, revision uint64) {
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
	case err != nil && c.unresponsiveSince.IsZero():
		c.unresponsiveSince = sent
	case err != nil:
	case from != m.ID:
		c.replaced = true
	default:
		c.lastReply, c.unresponsiveSince = sent, time.Time{}
	}
}

// readRoster records which members the platform no longer lists.
func (r *Registrar) readRoster(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	listings, err := r.roster.List(ctx)
	if err != nil {
		r.log.Warn("member: could not read the roster; no member counts as unlisted", zap.Error(err))
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
			c.unlistedSince = time.Time{}
		case c.unlistedSince.IsZero():
			c.unlistedSince = time.Now()
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
	id, ok := r.findLost(r.views.View().Members(), time.Now())
	if !ok {
		return
	}
	if err := r.removeAsMember(ctx, id); err != nil {
		r.log.Warn("member: could not remove a lost entry instance; retrying", zap.String("id", string(id)), zap.Error(err))
		waitJitter(ctx)
		return
	}
	r.log.Info("member: removed a lost entry instance", zap.String("id", string(id)))
}

func (r *Registrar) findLost(members []fleet.Member, now time.Time) (fleet.EntryID, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range members {
		if c := r.contacts[m.ID]; c != nil && c.isRemovable(r.majoritySince, now) {
			return m.ID, true
		}
	}
	return "", false
}
