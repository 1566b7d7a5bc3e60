package shift

import (
	"math"
	"time"
)

const (
	// fastTimeConstant and slowTimeConstant are the time constants of the two moving averages whose comparison
	// detects bursts. That with midTimeConstant shows, beside the fast one, how quickly demand rises.
	fastTimeConstant = 700 * time.Millisecond
	midTimeConstant  = 1500 * time.Millisecond
	slowTimeConstant = 15 * time.Second
	// burstStartRatio and burstEndRatio are the multiples of the slow average at which a burst starts and ends.
	burstStartRatio = 2
	burstEndRatio   = 0.8
	// minBurstRate is the demand below which no burst starts, in thousandths of a core; below half of it a burst ends.
	minBurstRate = 32000
	// maxForecastRatio bounds a forecast, as a multiple of the present demand: a sudden step looks like a steep rise.
	maxForecastRatio = 2
)

// trend is the demand history of a pool.
type trend struct {
	observedAt time.Time
	// arrivedWork is the total at observedAt, in core-milliseconds.
	arrivedWork float64
	// fastRate, midRate and slowRate are moving averages of the arriving work, in thousandths of a core.
	fastRate, midRate, slowRate float64
	bursting                    bool
	// burstEndedAt is when a burst last ended, also while another one lasts; zero if none has ended.
	burstEndedAt time.Time
}

// observe updates the averages with the total work that has arrived and detects the start and end of bursts.
func (t *trend) observe(now time.Time, arrivedWork float64) {
	if t.observedAt.IsZero() {
		t.observedAt, t.arrivedWork = now, arrivedWork
		return
	}
	elapsed := now.Sub(t.observedAt)
	if elapsed <= 0 {
		return
	}
	rate := max(arrivedWork-t.arrivedWork, 0) / elapsed.Seconds()
	t.observedAt, t.arrivedWork = now, arrivedWork
	follow := func(average *float64, timeConstant time.Duration) {
		*average += (1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())) * (rate - *average)
	}
	follow(&t.fastRate, fastTimeConstant)
	follow(&t.midRate, midTimeConstant)
	follow(&t.slowRate, slowTimeConstant)
	switch {
	case !t.bursting && t.fastRate > max(burstStartRatio*t.slowRate, minBurstRate):
		t.bursting = true
	case t.bursting && t.fastRate < max(burstEndRatio*t.slowRate, minBurstRate/2):
		t.bursting, t.burstEndedAt = false, now
	}
}

// forecast returns the work that will arrive after a lead time, in thousandths of a core. While demand rises in a
// burst, it continues the rise from the present, of which the fast average is late by its time constant.
func (t *trend) forecast(lead time.Duration) float64 {
	rise := (t.fastRate - t.midRate) / (midTimeConstant - fastTimeConstant).Seconds()
	if !t.bursting || rise <= 0 {
		return t.fastRate
	}
	return min(t.fastRate+rise*(fastTimeConstant+lead).Seconds(), maxForecastRatio*t.fastRate)
}
