// Package waves limits the rate of the maintenance of many machines: empty machines go as fast as the cap allows, and
// busy ones only as fast as it takes to complete the wave in time. While machines are scarce, empty ones go as busy
// ones.
package waves

import (
	"math"
	"time"
)

const (
	// reservedShare is the share of a wave's time that is reserved for delays.
	reservedShare = 0.3
	// meanDrainTime is the mean time until a machine that gets no new tasks is empty.
	meanDrainTime = 2 * time.Second
)

// Progress is the progress of a wave.
type Progress struct {
	// Pending is the number of machines whose maintenance has not started, InProgress the number of those that are in
	// maintenance or being drained for it.
	Pending, InProgress int
	// Cap bounds InProgress.
	Cap int
	// Elapsed is the time since the wave started, Within the time in which it must complete.
	Elapsed, Within time.Duration
	// Maintenance is how long the maintenance of one machine takes.
	Maintenance time.Duration
	// Scarce means that some pool has less CPU than it needs.
	Scarce bool
}

// RequiredParallelism returns how many machines must be in progress at once so that the wave completes in time, at most
// Cap. It is Cap if the remaining time is too short for one more machine.
func (p Progress) RequiredParallelism() int {
	remaining := time.Duration(float64(p.Within)*(1-reservedShare)) - p.Elapsed
	perMachine := p.Maintenance + meanDrainTime
	if remaining <= perMachine {
		return p.Cap
	}
	rounds := float64(remaining) / float64(perMachine)
	return min(p.Cap, int(math.Ceil(float64(p.Pending+p.InProgress)/rounds)))
}

// Allows reports whether the maintenance of one more machine may start now. Empty machines are limited only by the cap,
// unless machines are scarce.
func (p Progress) Allows(empty bool) bool {
	if empty && !p.Scarce {
		return p.InProgress < p.Cap
	}
	return p.InProgress < p.RequiredParallelism()
}
