package grant

import (
	"sync/atomic"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// account is this entry instance's grant of one team. Acquire and Release touch only its atomics; the
// fields below them belong to the goroutine of the rounds.
type account struct {
	team    fleet.TeamName
	section string
	// slots packs the limit (high half) and the used slots, so that both change together. The limit never
	// exceeds the count in the record; used may exceed the limit after the limit was lowered.
	slots atomic.Uint64
	// verified is the version of the team's section under which the record's total was seen within the
	// ceiling. At another version nothing starts: the ceiling may have been lowered in between.
	verified atomic.Uint64
	wanted   atomic.Int64
	unit     atomic.Int64
	due      atomic.Bool
	counted  atomic.Int64 // the count in the record as last known, for Held

	known   bool      // the record has been read since registration
	joined  bool      // the part of the ceiling was held, or waited for long enough
	asked   time.Time // when the record was first read
	want    int       // the want in the record
	seen    uint64    // the version of the team's section at the last round
	next    time.Time // earliest next reading for a new reason
	poll    time.Time // earliest next reading without one
	starved time.Time
	// unknown is the record's version under which a commit had no known outcome. The commit may still
	// arrive while the record is at this version.
	unknown   uint64
	uncertain bool
}

func pack(limit, used int) uint64 { return uint64(uint32(limit))<<32 | uint64(uint32(used)) }

func unpack(v uint64) (limit, used int) { return int(uint32(v >> 32)), int(uint32(v)) }

func (a *account) load() (limit, used int) { return unpack(a.slots.Load()) }

// acquire takes slots within the limit.
func (a *account) acquire(slots int) bool {
	for {
		v := a.slots.Load()
		limit, used := unpack(v)
		if used+slots > limit {
			return false
		}
		if a.slots.CompareAndSwap(v, pack(limit, used+slots)) {
			return true
		}
	}
}

func (a *account) release(slots int) {
	for {
		v := a.slots.Load()
		limit, used := unpack(v)
		if a.slots.CompareAndSwap(v, pack(limit, max(0, used-slots))) {
			return
		}
	}
}

// setLimit sets the limit and returns the used slots at that moment.
func (a *account) setLimit(limit int) int {
	for {
		v := a.slots.Load()
		_, used := unpack(v)
		if a.slots.CompareAndSwap(v, pack(limit, used)) {
			return used
		}
	}
}

// lowerLimit lowers the limit to at most a number and returns the used slots at that moment.
func (a *account) lowerLimit(most int) int {
	for {
		v := a.slots.Load()
		limit, used := unpack(v)
		if a.slots.CompareAndSwap(v, pack(min(limit, most), used)) {
			return used
		}
	}
}

// isJoining reports whether the entry instance still waits for its part of the ceiling after its registration. It
// ends after joinTime: where the ceiling is contested, units held without demand would be idle.
func (a *account) isJoining(held, part int, now time.Time) bool {
	if a.asked.IsZero() {
		a.asked = now
	}
	if held >= part || now.Sub(a.asked) >= joinTime {
		a.joined = true
	}
	return !a.joined
}
