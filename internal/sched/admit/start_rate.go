package admit

import "time"

const (
	// rateWindow is the least time over which the start rate is measured.
	rateWindow = time.Second
	// rateGain is the weight of the latest window in the estimate.
	rateGain = 0.5
	// rateTTL is how long an estimate is used after the last start; later the coordinator's estimate is used instead.
	rateTTL = 10 * time.Second
)

// startRate estimates how many slots of a team's waiting work start per second; time without waiting work is left out.
type startRate struct {
	windowStart time.Time // zero if no work waited after the last start
	lastStart   time.Time
	slots       int     // started since windowStart
	estimate    float64 // slots per second, 0 if unknown
}

// observe records a start and the slots of work that still wait after it.
func (r *startRate) observe(now time.Time, slots, left int) {
	if now.Sub(r.lastStart) > rateTTL {
		r.estimate = 0
	}
	r.lastStart = now
	if left == 0 || r.windowStart.IsZero() {
		r.windowStart, r.slots = now, 0
		if left == 0 {
			r.windowStart = time.Time{}
		}
		return
	}
	r.slots += slots
	span := now.Sub(r.windowStart)
	if span < rateWindow {
		return
	}
	measured := float64(r.slots) / span.Seconds()
	if r.estimate == 0 {
		r.estimate = measured
	}
	r.estimate += rateGain * (measured - r.estimate)
	r.windowStart, r.slots = now, 0
}

// perSecond returns the rate in slots per second, 0 if unknown. It falls while nothing starts, so that a stalled
// pool is detected, but only if work still waited after the last start.
func (r *startRate) perSecond(now time.Time) float64 {
	if r.estimate == 0 || now.Sub(r.lastStart) > rateTTL {
		return 0
	}
	if r.windowStart.IsZero() {
		return r.estimate
	}
	if span := now.Sub(r.windowStart); span > rateWindow {
		return min(r.estimate, float64(r.slots+1)/span.Seconds())
	}
	return r.estimate
}
