package load

import (
	"math/rand/v2"
	"time"
)

// A queue's load in multiples of its mean: five times during a surge, a twentieth between surges.
const (
	surgeFactor  = 5.0
	troughFactor = 0.05
)

// surgePart is the part of a cycle that a surge takes, so that the mean over a cycle is 1.
const surgePart = (1 - troughFactor) / (surgeFactor - troughFactor)

// Profile is the load of one queue over time.
type Profile struct {
	// Rate is the mean, in requests a second.
	Rate float64
	// Surge is the length of a surge; 0 is an even load.
	Surge time.Duration
	// Turn is this queue's turn among Turns queues, whose surges follow each other evenly.
	Turn, Turns int
}

// At returns the rate at a time after the beginning, in requests a second.
func (p Profile) At(t time.Duration) float64 {
	if p.Surge <= 0 {
		return p.Rate
	}
	cycle := time.Duration(float64(p.Surge) / surgePart)
	offset := cycle * time.Duration(p.Turn) / time.Duration(max(p.Turns, 1))
	if (t-offset%cycle+cycle)%cycle < p.Surge {
		return p.Rate * surgeFactor
	}
	return p.Rate * troughFactor
}

// Arrivals returns the times of Poisson arrivals within a length, by thinning those at the highest rate.
func (p Profile) Arrivals(length time.Duration, r *rand.Rand) []time.Duration {
	highest := p.Rate
	if p.Surge > 0 {
		highest *= surgeFactor
	}
	if highest <= 0 {
		return nil
	}
	var times []time.Duration
	for t := time.Duration(0); ; {
		t += time.Duration(r.ExpFloat64() / highest * float64(time.Second))
		if t >= length {
			return times
		}
		if r.Float64()*highest < p.At(t) {
			times = append(times, t)
		}
	}
}
