package alloc

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// pollingEntryBonus is added to the wait of the polling entry's tasks when entries are compared, because its tasks
// can start at once.
const pollingEntryBonus = 50 * time.Millisecond

// allocate issues permits for free slots in the order of the sharing policy. Permits for entries other than the
// polling one stay pending until the next poll of their entry.
func (p *pool) allocate(now time.Time, polling *entry) {
	p.expireCordons(now)
	if p.picker.Free() == 0 && !p.cordonFits() {
		return
	}
	p.sharer.BeginRound(p.claims, p.picker.Free())
	for p.picker.Free() > 0 || p.cordonFits() {
		c, urgent := p.sharer.Next(now, p.claims)
		if c == nil {
			return
		}
		t := p.teams[c.Team]
		d := t.chooseDemand(polling, urgent, now)
		if d == nil {
			c.Skip = true // the waiting tasks need more slots than may start
			continue
		}
		slots := d.nextTaskSlots(urgent)
		n := p.placeTask(t, slots, now)
		if n == nil && slots == 1 && !p.cordonFits() {
			return // one slot fits nowhere, so no other task does
		}
		if n == nil {
			c.Skip = true
			continue
		}
		p.issuePermit(d, n.ID, slots, urgent, now)
	}
}

func (p *pool) issuePermit(d *demand, id fleet.InstanceID, slots int, urgent bool, now time.Time) {
	p.permitSerial++
	m := &permit{
		Permit: peer.Permit{
			ID: p.permitPrefix + strconv.FormatUint(p.permitSerial, 36), Pool: p.name, Team: d.team.claim.Team,
			Worker: id, Slots: slots, Urgent: urgent, TTL: PermitTTL,
		},
		entry: d.entry, team: d.team, since: now, pending: true,
	}
	p.sharer.Charge(now, &d.team.claim, urgent, slots, d.team.typicalRunTime)
	d.team.startRate.Add(now, slots)
	d.subtractTask(slots, urgent)
	p.addUsage(id, slots)
	p.permits[m.ID] = m
	d.entry.permits[m.ID] = m
	d.entry.pending = append(d.entry.pending, m)
}

// chooseDemand returns the demand of the entry whose task has waited longest, with a bonus for the polling entry.
func (t *team) chooseDemand(polling *entry, urgent bool, now time.Time) *demand {
	var best *demand
	var longest time.Duration
	for _, d := range t.demands {
		if d.nextTaskSlots(urgent) == 0 {
			continue
		}
		waited := now.Sub(d.oldest)
		if d.entry == polling {
			waited += pollingEntryBonus
		}
		if best == nil || waited > longest {
			best, longest = d, waited
		}
	}
	return best
}

// collectPermits returns the pending permits of an entry and starts their TTL.
func (p *pool) collectPermits(e *entry, now time.Time) []peer.Permit {
	var out []peer.Permit
	for _, m := range e.pending {
		if m.ended {
			continue
		}
		m.pending, m.since = false, now
		out = append(out, m.Permit)
	}
	e.pending = nil
	return out
}

// newPermitPrefix returns a prefix that keeps permit ids unique between coordinators and between successive states of
// a pool at one coordinator.
func newPermitPrefix(self fleet.EntryID, name fleet.PoolName, now time.Time) string {
	h := xxhash.Sum64String(string(self) + "/" + string(name) + "/" + strconv.FormatInt(now.UnixNano(), 36))
	return strconv.FormatUint(h, 36) + "-"
}
