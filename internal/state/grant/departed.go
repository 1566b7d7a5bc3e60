package grant

import (
	"slices"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
)

// rankDelay spreads the return of a removed holder's grants, so that the entries don't all try at once.
const rankDelay = 500 * time.Millisecond

// forgetAfter is how long a removed holder is followed; by then its grants have been returned.
const forgetAfter = time.Minute

// departure follows a holder that is no member until its grants may be returned.
type departure struct {
	// absent is set once the store has no member record of the holder. Identifiers are never used
	// again, so that a holder without a member record has been removed.
	absent bool
	// revision is a revision of the view not below the removal; 0 until one was read after absent was set.
	revision uint64
	// accepted is when the removal was known to be accepted; zero until then.
	accepted time.Time
}

// noteDeparted advances the departures by what the store returned.
func (b *Manager) noteDeparted(r reading) {
	head, err := decode[struct{ Revision uint64 }](r, view.HeadKey)
	if err != nil {
		return
	}
	for id, d := range b.departed {
		_, present := r[view.MemberKey(id)]
		switch {
		case present, !d.accepted.IsZero() && time.Since(d.accepted) > forgetAfter:
			delete(b.departed, id)
		case !d.absent:
			d.absent = true
		case d.revision == 0:
			d.revision = head.Revision
		}
		if d.revision > 0 && d.accepted.IsZero() && b.views.MajorityRevision() >= d.revision {
			d.accepted = time.Now()
		}
	}
}

// settledHolders returns the holders of a record that were removed long enough ago. It also starts to
// follow those that are no members in this view.
func (b *Manager) settledHolders(r record, members []fleet.EntryID, self fleet.EntryID, now time.Time) []fleet.EntryID {
	delay := RemovalDelay + rankDelay*time.Duration(slices.Index(members, self))
	var settled []fleet.EntryID
	b.departing.Lock()
	defer b.departing.Unlock()
	for _, h := range r.Holdings {
		if slices.Contains(members, h.Entry) {
			continue
		}
		d := b.departed[h.Entry]
		if d == nil {
			b.departed[h.Entry] = &departure{}
		} else if !d.accepted.IsZero() && now.Sub(d.accepted) >= delay {
			settled = append(settled, h.Entry)
		}
	}
	return settled
}
