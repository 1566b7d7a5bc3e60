package grant

import (
	"cmp"
	"slices"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// holding is one entry instance's part of a team's ceiling, in slots.
type holding struct {
	Entry fleet.EntryID `json:"entry"`
	Held  int           `json:"held"`
	// Want is how many slots the entry could use in all; 0 unless that is more than it holds.
	Want int `json:"want,omitempty"`
	// Unit is the size of the largest task that waits for a grant, in slots.
	Unit int `json:"unit,omitempty"`
}

// record is the item grant/<team>.
type record struct {
	Holdings []holding `json:"holdings"`
	// Turn rotates who comes first in the division of a contested ceiling. An entry that waits with
	// nothing advances it, so that a ceiling smaller than the number of entries goes round.
	Turn int `json:"turn,omitempty"`
}

func (r record) total() int {
	n := 0
	for _, h := range r.Holdings {
		n += h.Held
	}
	return n
}

func (r record) of(id fleet.EntryID) holding {
	for _, h := range r.Holdings {
		if h.Entry == id {
			return h
		}
	}
	return holding{Entry: id}
}

// with returns the record with one holding replaced; empty holdings are dropped.
func (r record) with(h holding) record {
	holdings := slices.DeleteFunc(slices.Clone(r.Holdings), func(o holding) bool { return o.Entry == h.Entry })
	if h.Held > 0 || h.Want > 0 {
		holdings = append(holdings, h)
	}
	slices.SortFunc(holdings, func(a, b holding) int { return cmp.Compare(a.Entry, b.Entry) })
	r.Holdings = holdings
	return r
}

func (r record) without(ids []fleet.EntryID) record {
	r.Holdings = slices.DeleteFunc(slices.Clone(r.Holdings), func(h holding) bool { return slices.Contains(ids, h.Entry) })
	return r
}

// situation is what one entry instance knows of a team when it decides about its grant.
type situation struct {
	self    fleet.EntryID
	members []fleet.EntryID // sorted, with self
	ceiling int
	record  record
	used    int  // slots of tasks that hold a unit
	wanted  int  // slots that waiting work could use beyond used
	unit    int  // size of the largest waiting task
	joining bool // has not held its part of the ceiling yet
	leaving bool
}

// plan returns the grant that the entry instance should have, whether or not running tasks allow it at
// once, and the want it should record.
func plan(s situation) (target, want int) {
	if s.leaving {
		return 0, 0
	}
	held := s.record.of(s.self).Held
	free := s.ceiling - s.record.total()
	need := min(s.used+s.wanted, s.ceiling)
	if s.joining {
		// Idle holders then return a part of what they took when there were fewer members, so that the loss
		// of one entry instance does not withhold the whole ceiling for the settle time.
		need = max(need, s.ceiling/len(s.members))
	}
	entitled := entitlements(s, min(need+reserve(s), s.ceiling))
	due := shortage(s, entitled)
	mine := entitled[slices.Index(s.members, s.self)]
	if free < 0 {
		// The ceiling was lowered. The division depends only on the record, so that the parts that
		// the entries compute independently fit together.
		return min(held, lowered(s)), 0
	}
	target = raise(s, held, free, need)
	if due > 0 && target > max(held, mine) {
		target = max(held, mine)
	}
	if due -= free; target > mine && due > 0 {
		target = min(target, max(mine, held-due))
	}
	if need > target {
		want = need
	}
	return target, want
}

func raise(s situation, held, free, need int) int {
	wish := held
	if need > held {
		wish = need
		if !s.joining {
			wish += reserve(s)
		}
	}
	return min(wish, held+free)
}

// reserve is what an idle holder keeps beyond its use. A ceiling too small for every entry to keep one has none.
func reserve(s situation) int {
	if s.ceiling >= 2*len(s.members) {
		return 1
	}
	return 0
}

// shortage returns what the other members want and are entitled to beyond what they hold.
func shortage(s situation, entitled []int) int {
	n := 0
	for i, id := range s.members {
		if h := s.record.of(id); id != s.self && h.Want > h.Held {
			n += max(0, entitled[i]-h.Held)
		}
	}
	return n
}

// entitlements divides the ceiling between the members by what they want, or hold if they want no more.
// This entry's own demand is what it needs now, so that it returns what is idle.
func entitlements(s situation, need int) []int {
	claims := make([]claim, len(s.members))
	for i, id := range s.members {
		h := s.record.of(id)
		claims[i] = claim{demand: max(h.Held, h.Want), unit: max(1, h.Unit)}
		if id == s.self {
			claims[i] = claim{demand: need, unit: max(1, s.unit)}
		}
	}
	return divide(s.pot(), s.record.Turn, claims)
}

func lowered(s situation) int {
	claims := make([]claim, len(s.members))
	for i, id := range s.members {
		claims[i] = claim{demand: s.record.of(id).Held, unit: 1}
	}
	return divide(s.pot(), s.record.Turn, claims)[slices.Index(s.members, s.self)]
}

// pot is the ceiling less what removed entries still hold.
func (s situation) pot() int {
	pot := s.ceiling
	for _, h := range s.record.Holdings {
		if !slices.Contains(s.members, h.Entry) {
			pot -= h.Held
		}
	}
	return max(0, pot)
}

type claim struct{ demand, unit int }

// divide gives the claims parts of a pot in proportion to their demands, one unit at a time, first to the claim that
// has the turn. Equal parts would leave the entries with little demand without a queue, and units that they hold idle
// until they have moved.
func divide(pot, turn int, claims []claim) []int {
	parts := make([]int, len(claims))
	for {
		best := -1
		for n := range claims {
			i := (n + turn) % len(claims)
			step := claims[i].step(parts[i])
			if step <= 0 || step > pot {
				continue
			}
			if best < 0 || parts[i]*claims[best].demand < parts[best]*claims[i].demand {
				best = i
			}
		}
		if best < 0 {
			return parts
		}
		step := claims[best].step(parts[best])
		parts[best] += step
		pot -= step
	}
}

// step returns what the claim gets next beyond its part.
func (c claim) step(part int) int { return min(c.unit, c.demand-part) }
