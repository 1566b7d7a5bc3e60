// Package waves paces the maintenance of many machines: fast where it costs nothing, and otherwise as slowly as the time
// for all of them allows.
package waves

import (
	"math"
	"time"
)

const (
	// reserve is the part of a wave's time that is left for what does not go as planned.
	reserve = 0.3
	// emptying is how long it takes on average until a machine that gets nothing new is empty.
	emptying = 2 * time.Second
)

// Progress is how far a wave has come.
type Progress struct {
	// Pending counts the machines whose maintenance has not been begun, InProgress those that are away or being emptied
	// for it.
	Pending, InProgress int
	// Cap bounds InProgress.
	Cap int
	// Elapsed of Within have passed.
	Elapsed, Within time.Duration
	// Maintenance is how long one machine is away.
	Maintenance time.Duration
	// Scarce means that pools have fewer machines than they need.
	Scarce bool
}

// RequiredParallelism returns how many machines are to be down at once so that all are done in time.
func (p Progress) RequiredParallelism() int {
	rest := time.Duration(float64(p.Within)*(1-reserve)) - p.Elapsed
	each := p.Maintenance + emptying
	if rest <= each {
		return p.Cap
	}
	rounds := float64(rest) / float64(each)
	return min(p.Cap, int(math.Ceil(float64(p.Pending+p.InProgress)/rounds)))
}

// Allows reports whether one more machine may be taken now. Machines that run nothing are taken up to the cap, unless
// machines are scarce.
func (p Progress) Allows(empty bool) bool {
	if empty && !p.Scarce {
		return p.InProgress < p.Cap
	}
	return p.InProgress < p.RequiredParallelism()
}
