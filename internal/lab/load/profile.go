package load

import (
	"math/rand/v2"
	"time"
)

// Multiples of a queue's mean rate: five times during a surge, a twentieth between surges.
const (
	surgeFactor  = 5.0
	troughFactor = 0.05
)

// surgeFraction is the fraction of a cycle during which a queue surges, so that the mean over a cycle is 1.
const surgeFraction = (1 - troughFactor) / (surgeFactor - troughFactor)

// Profile describes the rate of one queue over time.
type Profile struct {
	// Rate is the mean number of requests per second.
	Rate float64
	// Surge is the duration of a surge; 0 means a constant rate.
	Surge time.Duration
	// Turn is the index of this queue among Turns queues whose surges are evenly distributed over a cycle.
	Turn, Turns int
}

// At returns the rate at a time since the start, in requests per second.
func (p Profile) At(t time.Duration) float64 {
	if p.Surge <= 0 {
		return p.Rate
	}
	cycle := time.Duration(float64(p.Surge) / surgeFraction)
	offset := cycle * time.Duration(p.Turn) / time.Duration(max(p.Turns, 1))
	if (t-offset%cycle+cycle)%cycle < p.Surge {
		return p.Rate * surgeFactor
	}
	return p.Rate * troughFactor
}

// Arrivals returns the times of Poisson arrivals within a duration, by thinning arrivals at the peak rate.
func (p Profile) Arrivals(length time.Duration, r *rand.Rand) []time.Duration {
	peak := p.Rate
	if p.Surge > 0 {
		peak *= surgeFactor
	}
	if peak <= 0 {
		return nil
	}
	var times []time.Duration
	for t := time.Duration(0); ; {
		t += time.Duration(r.ExpFloat64() / peak * float64(time.Second))
		if t >= length {
			return times
		}
		if r.Float64()*peak < p.At(t) {
			times = append(times, t)
		}
	}
}
