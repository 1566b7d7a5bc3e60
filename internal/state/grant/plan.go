package grant

import (
	"cmp"
	"errors"
	"slices"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// holding is one entry instance's part of a team's ceiling, in slots.
type holding struct {
	Entry fleet.EntryID `json:"entry"`
	Held  int           `json:"held"`
	// Want is the total number of slots that the entry instance could use, updated only if that changes by a quarter or
	// more, or to or from 0; 0 if its target meets that.
	Want int `json:"want,omitempty"`
	// Unit is the size of the largest task that waits for a grant.
	Unit int `json:"unit,omitempty"`
}

// record is the value of the store item grant/<team>.
type record struct {
	Holdings []holding `json:"holdings"`
	// Turn is the index of the member that comes first in the division of a contested ceiling. An entry instance that
	// waits without any grant advances it, so that a ceiling smaller than the number of members is shared in rotation.
	Turn int `json:"turn,omitempty"`
}

// maxCount bounds the numbers in a record, none of which may be negative.
const maxCount = 1 << 30

// Validate checks a record after decoding.
func (r record) Validate() error {
	valid := r.Turn >= 0 && r.Turn <= maxCount
	for _, h := range r.Holdings {
		valid = valid && min(h.Held, h.Want, h.Unit) >= 0 && max(h.Held, h.Want, h.Unit) <= maxCount
	}
	if !valid {
		return errors.New("grant: record with a negative or too large number")
	}
	return nil
}

func (r record) total() int {
	n := 0
	for _, h := range r.Holdings {
		n += h.Held
	}
	return n
}

func (r record) holdingOf(id fleet.EntryID) holding {
	for _, h := range r.Holdings {
		if h.Entry == id {
			return h
		}
	}
	return holding{Entry: id}
}

// with returns the record with one holding replaced; an empty holding is removed.
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

// teamState is the state of a team on which one entry instance bases the decision about its grant.
type teamState struct {
	self    fleet.EntryID
	members []fleet.EntryID // sorted, includes self
	ceiling int
	record  record
	used    int  // acquired slots
	waiting int  // slots that waiting work could use beyond used
	unit    int  // size of the largest waiting task
	joining bool // has not held its equal part of the ceiling yet
	leaving bool
}

// plan returns the target of the entry instance's grant, which takes effect as far as running tasks allow, and the want
// to record.
func plan(s teamState) (target, want int) {
	if s.leaving {
		return 0, 0
	}
	held := s.record.holdingOf(s.self).Held
	free := s.ceiling - s.record.total()
	need := min(s.used+s.waiting, s.ceiling)
	if s.joining {
		// Idle holders then return a part of what they took when there were fewer members, so that the loss of one
		// entry instance does not withhold the whole ceiling for the removal delay.
		need = max(need, s.ceiling/len(s.members))
	}
	entitled := entitlements(s, min(need+reserve(s), s.ceiling))
	owed := unmetDemand(s, entitled)
	mine := entitled[slices.Index(s.members, s.self)]
	if free < 0 {
		// The ceiling was lowered. The division depends only on the record, so that the parts that the entry
		// instances compute independently are consistent.
		return min(held, loweredTarget(s)), 0
	}
	target = raisedTarget(s, held, free, need)
	// While other members lack slots that they are entitled to, this one doesn't grow beyond its own part, and returns
	// what exceeds its part as far as the free slots don't meet their demand.
	if owed > 0 && target > max(held, mine) {
		target = max(held, mine)
	}
	if owed -= free; target > mine && owed > 0 {
		target = min(target, max(mine, held-owed))
	}
	if need > target {
		want = need
	}
	return target, want
}

func raisedTarget(s teamState, held, free, need int) int {
	target := held
	if need > held {
		target = need
		if !s.joining {
			target += reserve(s)
		}
	}
	return min(target, held+free)
}

// reserve returns how many slots a holder keeps beyond its use; 0 if the ceiling is too small for every member to keep
// one.
func reserve(s teamState) int {
	if s.ceiling >= 2*len(s.members) {
		return 1
	}
	return 0
}

// unmetDemand returns what the other members want and are entitled to beyond what they hold.
func unmetDemand(s teamState, entitled []int) int {
	n := 0
	for i, id := range s.members {
		if h := s.record.holdingOf(id); id != s.self && h.Want > h.Held {
			n += max(0, entitled[i]-h.Held)
		}
	}
	return n
}

// entitlements divides the ceiling between the members by what they want, or by what they hold if they want no more.
// This entry instance's own demand is its present need, so that it returns idle slots.
func entitlements(s teamState, need int) []int {
	demands := make([]demand, len(s.members))
	for i, id := range s.members {
		h := s.record.holdingOf(id)
		demands[i] = demand{slots: max(h.Held, h.Want), unit: max(1, h.Unit)}
		if id == s.self {
			demands[i] = demand{slots: need, unit: max(1, s.unit)}
		}
	}
	return divide(s.divisibleSlots(), s.record.Turn, demands)
}

func loweredTarget(s teamState) int {
	demands := make([]demand, len(s.members))
	for i, id := range s.members {
		demands[i] = demand{slots: s.record.holdingOf(id).Held, unit: 1}
	}
	return divide(s.divisibleSlots(), s.record.Turn, demands)[slices.Index(s.members, s.self)]
}

// divisibleSlots returns the ceiling less what removed entry instances still hold.
func (s teamState) divisibleSlots() int {
	slots := s.ceiling
	for _, h := range s.record.Holdings {
		if !slices.Contains(s.members, h.Entry) {
			slots -= h.Held
		}
	}
	return max(0, slots)
}

type demand struct{ slots, unit int }

// divide returns the parts of the slots in proportion to the demands, assigned one unit at a time, starting with the
// demand at index turn. With equal parts, entry instances with little demand would have no queue, and the units that
// they hold would be idle until they are reassigned.
func divide(slots, turn int, demands []demand) []int {
	parts := make([]int, len(demands))
	for {
		best := -1
		for n := range demands {
			i := (n + turn) % len(demands)
			next := demands[i].increment(parts[i])
			if next <= 0 || next > slots {
				continue
			}
			if best < 0 || parts[i]*demands[best].slots < parts[best]*demands[i].slots {
				best = i
			}
		}
		if best < 0 {
			return parts
		}
		next := demands[best].increment(parts[best])
		parts[best] += next
		slots -= next
	}
}

// increment returns the number of slots to assign next beyond the demand's part.
func (d demand) increment(part int) int { return min(d.unit, d.slots-part) }
