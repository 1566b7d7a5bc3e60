// Package waves limits the rate of the maintenance of many machines: empty machines go as fast as the cap allows, and
// busy ones only as fast as it takes to complete the wave in time. While machines are scarce, empty ones go as busy
// ones. The cap bounds the machines that are down; others are drained meanwhile, so that they can follow. Slow machines,
// whose long-running tasks leave in turns, are drained early enough for that.
package waves

import (
	"cmp"
	"math"
	"time"
)

const (
	// reservedShare is the share of a wave's time that is reserved for delays.
	reservedShare = 0.3
	// DefaultDrainTime is the mean time until a machine that gets no new tasks is empty, as long as none has been observed.
	DefaultDrainTime = 2 * time.Second
)

// Kind says what runs on a machine.
type Kind int

// The kinds.
const (
	// Empty machines run nothing.
	Empty Kind = iota
	// Slow machines run long-running tasks, of which disruption budgets let few leave at a time.
	Slow
	// Busy machines run finite tasks only.
	Busy
)

// Progress is the progress of a wave.
type Progress struct {
	// Pending is the number of machines whose maintenance has not started, InProgress the number of those that are in
	// maintenance or being drained for it, Draining the number of the latter.
	Pending, InProgress, Draining int
	// Cap bounds the machines in maintenance. Those that are being drained are as many at most.
	Cap int
	// Elapsed is the time since the wave started, Within the time in which it must complete.
	Elapsed, Within time.Duration
	// Maintenance is how long the maintenance of one machine takes, DrainTime how long it takes until a busy one is empty;
	// 0 means DefaultDrainTime.
	Maintenance, DrainTime time.Duration
	// SlowPending is the number of slow machines among those pending, SlowDraining among those being drained. VacateTime is
	// how long it takes until all their long-running tasks have left, if they may as soon as the budgets allow.
	SlowPending, SlowDraining int
	VacateTime                time.Duration
	// Scarce means that some pool has less CPU than it needs.
	Scarce bool
}

// remaining returns the time that is left, less what is reserved for delays.
func (p Progress) remaining() time.Duration {
	return time.Duration(float64(p.Within)*(1-reservedShare)) - p.Elapsed
}

// Late reports whether only the time that is reserved for delays is left.
func (p Progress) Late() bool { return p.remaining() <= 0 }

// RequiredParallelism returns how many machines must be in progress at once so that the wave completes in time: at most
// as many as may be in maintenance and being drained. It is that if the remaining time is too short for one more machine.
func (p Progress) RequiredParallelism() int {
	most := 2 * p.Cap
	remaining := p.remaining()
	perMachine := p.Maintenance + cmp.Or(p.DrainTime, DefaultDrainTime)
	if remaining <= perMachine {
		return most
	}
	rounds := float64(remaining) / float64(perMachine)
	return min(most, int(math.Ceil(float64(p.Pending+p.InProgress)/rounds)))
}

// requiredSlow returns how many slow machines must be drained at once: a part that grows to all of them by the time at
// which their long-running tasks must begin to leave.
func (p Progress) requiredSlow() int {
	slow := p.SlowPending + p.SlowDraining
	takes := p.Maintenance + p.VacateTime
	if remaining := p.remaining(); remaining > takes {
		return int(math.Ceil(float64(slow) * float64(takes) / float64(remaining)))
	}
	return slow
}

// Allows reports whether one more machine of a kind may be taken for its maintenance now. Empty machines are limited only
// by the cap, unless machines are scarce; others are drained first.
func (p Progress) Allows(k Kind) bool {
	if k == Empty && p.InProgress-p.Draining >= p.Cap || k != Empty && p.Draining >= p.Cap {
		return false
	}
	return k == Empty && !p.Scarce || k == Slow && p.SlowDraining < p.requiredSlow() || p.InProgress < p.RequiredParallelism()
}

// Take returns the progress with one more machine of a kind taken.
func (p Progress) Take(k Kind) Progress {
	p.Pending--
	p.InProgress++
	if k != Empty {
		p.Draining++
	}
	if k == Slow {
		p.SlowPending--
		p.SlowDraining++
	}
	return p
}
