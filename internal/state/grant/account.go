package grant

import (
	"sync/atomic"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// account is this entry instance's grant for one team. Acquire and Release use only its atomic fields; the
// fields below them are used only by the reconcile loop.
type account struct {
	team    fleet.TeamName
	section string
	// slots packs the limit (high half) and the used slots, so that both change atomically. The limit never
	// exceeds the held count in the record; used may exceed the limit after the limit is lowered.
	slots atomic.Uint64
	// verifiedVersion is the version of the team's section for which the record's total was read as within the
	// ceiling. At any other version nothing is acquired, because the ceiling may have been lowered in between.
	verifiedVersion atomic.Uint64
	waiting         atomic.Int64 // slots that waiting work could use beyond those in use
	unit            atomic.Int64 // size of the largest task that Acquire refused while work waits, in slots
	due             atomic.Bool  // the next pass is to read the record
	recorded        atomic.Int64 // last known held count in the record, for Held

	known          bool      // the record was read after the registration
	joined         bool      // the equal part of the ceiling was held, or joinTimeout has passed
	firstRead      time.Time // when the record was first read
	recordedWant   int       // the want in the record
	sectionVersion uint64    // the version of the team's section at the last pass
	nextRead       time.Time // earliest next read for a new reason
	nextPoll       time.Time // earliest next read without a new reason
	starvedSince   time.Time // since when this entry instance wants a grant and has none
	// unknownVersion is the record's version at a commit of unknown outcome. That commit may still take effect
	// while the record is at this version.
	unknownVersion uint64
	outcomeUnknown bool
}

func pack(limit, used int) uint64 { return uint64(uint32(limit))<<32 | uint64(uint32(used)) }

func unpack(v uint64) (limit, used int) { return int(uint32(v >> 32)), int(uint32(v)) }

func (a *account) load() (limit, used int) { return unpack(a.slots.Load()) }

// acquire takes slots if the limit allows it.
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

// setLimit sets the limit and returns the slots in use at that moment.
func (a *account) setLimit(limit int) int {
	for {
		v := a.slots.Load()
		_, used := unpack(v)
		if a.slots.CompareAndSwap(v, pack(limit, used)) {
			return used
		}
	}
}

// lowerLimit lowers the limit to at most bound and returns the slots in use at that moment.
func (a *account) lowerLimit(bound int) int {
	for {
		v := a.slots.Load()
		limit, used := unpack(v)
		if a.slots.CompareAndSwap(v, pack(min(limit, bound), used)) {
			return used
		}
	}
}

// isJoining reports whether the entry instance still waits for its equal part of the ceiling after its registration,
// and sets joined when the wait ends. It ends at the latest joinTimeout after the first read, because slots held
// without demand are idle where the ceiling is contested.
func (a *account) isJoining(held, part int, now time.Time) bool {
	if a.firstRead.IsZero() {
		a.firstRead = now
	}
	if held >= part || now.Sub(a.firstRead) >= joinTimeout {
		a.joined = true
	}
	return !a.joined
}
