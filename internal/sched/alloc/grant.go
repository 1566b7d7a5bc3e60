package alloc

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// nearer is how much longer another entry's task must have waited to be served before a task of the polling
// entry, which can start at once.
const nearer = 50 * time.Millisecond

// allocate gives out free slots in the order of the sharing policy. Slots for other entries than the polling one
// are promised and collected with their next polls.
func (p *pool) allocate(now time.Time, polling *entry) {
	p.review(now)
	if p.picker.Free() == 0 && !p.ready() {
		return
	}
	p.sharer.Round(p.claims, p.picker.Free())
	for p.picker.Free() > 0 || p.ready() {
		c, urgent := p.sharer.Next(now, p.claims)
		if c == nil {
			return
		}
		t := p.teams[c.Team]
		d := t.choose(polling, urgent, now)
		if d == nil {
			c.Skip = true // what waits is larger than what may start
			continue
		}
		slots := d.size(urgent)
		n := p.place(t, slots, now)
		if n == nil && slots == 1 && !p.ready() {
			return // nothing else fits either
		}
		if n == nil {
			c.Skip = true
			continue
		}
		p.grant(d, n.ID, slots, urgent, now)
	}
}

func (p *pool) grant(d *demand, id fleet.InstanceID, slots int, urgent bool, now time.Time) {
	p.serial++
	m := &permit{
		Permit: peer.Permit{
			ID: p.prefix + strconv.FormatUint(p.serial, 36), Pool: p.name, Team: d.team.claim.Team,
			Worker: id, Slots: slots, Urgent: urgent, TTL: PermitTTL,
		},
		entry: d.entry, team: d.team, from: now, promised: true,
	}
	p.sharer.Charge(now, &d.team.claim, urgent, slots, d.team.typical)
	d.team.starts.Add(now, slots)
	d.take(slots, urgent)
	p.use(id, slots)
	p.permits[m.ID] = m
	d.entry.permits[m.ID] = m
	d.entry.promised = append(d.entry.promised, m)
}

// choose returns the entry's demand to serve: the longest wait first, with a preference for the polling entry.
func (t *team) choose(polling *entry, urgent bool, now time.Time) *demand {
	var best *demand
	var longest time.Duration
	for _, d := range t.demands {
		if d.size(urgent) == 0 {
			continue
		}
		waited := now.Sub(d.oldest)
		if d.entry == polling {
			waited += nearer
		}
		if best == nil || waited > longest {
			best, longest = d, waited
		}
	}
	return best
}

// collect returns the permits promised to an entry.
func (p *pool) collect(e *entry, now time.Time) []peer.Permit {
	var out []peer.Permit
	for _, m := range e.promised {
		if m.gone {
			continue
		}
		m.promised, m.from = false, now
		out = append(out, m.Permit)
	}
	e.promised = nil
	return out
}

// permitPrefix makes permit ids unique between coordinators and between restarts of a pool's state.
func permitPrefix(self fleet.EntryID, name fleet.PoolName, now time.Time) string {
	h := xxhash.Sum64String(string(self) + "/" + string(name) + "/" + strconv.FormatInt(now.UnixNano(), 36))
	return strconv.FormatUint(h, 36) + "-"
}
