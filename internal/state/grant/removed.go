package grant

import (
	"slices"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
)

// reclaimStagger is the time between the attempts of successive members to reclaim a removed holder's grants, so that
// they don't all commit at once.
const reclaimStagger = 500 * time.Millisecond

// removedTTL is how long a removed holder is tracked after its removal is known as accepted; by then its grants have
// been reclaimed.
const removedTTL = time.Minute

// removedHolder tracks a holder, an entry instance with slots in a record, that is not a member until its grants may be
// reclaimed.
type removedHolder struct {
	// recordMissing is set once the store has no member record of the holder. Identifiers are never reused,
	// so a holder without a member record has been removed.
	recordMissing bool
	// revision is a revision of the view at or after the removal; 0 until one is read after recordMissing is set.
	revision uint64
	// acceptedAt is when the removal became known as accepted; zero until then.
	acceptedAt time.Time
}

// updateRemoved updates the tracked removed holders from the items that the store returned.
func (m *Manager) updateRemoved(r storedItems) {
	head, err := decode[struct{ Revision uint64 }](r, view.HeadKey)
	if err != nil {
		return
	}
	for id, d := range m.removed {
		_, present := r[view.MemberKey(id)]
		switch {
		case present, !d.acceptedAt.IsZero() && time.Since(d.acceptedAt) > removedTTL:
			delete(m.removed, id)
		case !d.recordMissing:
			d.recordMissing = true
		case d.revision == 0:
			d.revision = head.Revision
		}
		if d.revision > 0 && d.acceptedAt.IsZero() && m.views.MajorityRevision() >= d.revision {
			d.acceptedAt = time.Now()
		}
	}
}

// reclaimableHolders returns the holders of a record whose removal delay has passed, with the stagger of this entry
// instance. It also starts to track those that are not members in this view.
func (m *Manager) reclaimableHolders(
	r record, members []fleet.EntryID, self fleet.EntryID, now time.Time,
) []fleet.EntryID {
	delay := RemovalDelay + reclaimStagger*time.Duration(slices.Index(members, self))
	var reclaimable []fleet.EntryID
	m.removedMu.Lock()
	defer m.removedMu.Unlock()
	for _, h := range r.Holdings {
		if slices.Contains(members, h.Entry) {
			continue
		}
		d := m.removed[h.Entry]
		if d == nil {
			m.removed[h.Entry] = &removedHolder{}
		} else if !d.acceptedAt.IsZero() && now.Sub(d.acceptedAt) >= delay {
			reclaimable = append(reclaimable, h.Entry)
		}
	}
	return reclaimable
}
