package admit

import "time"

const (
	// drainWindow is the time over which the rate of starts is measured.
	drainWindow = time.Second
	// drainWeight is the weight of the latest window in the rate.
	drainWeight = 0.5
	// drainForget is how long a rate is believed without a start; after that the coordinator's estimate counts.
	drainForget = 10 * time.Second
)

// drain measures how many slots of a team's waiting work start per second while work waits.
type drain struct {
	from  time.Time
	last  time.Time
	slots int
	known float64
}

// popped records a start that left some slots of work waiting.
func (d *drain) popped(now time.Time, slots, left int) {
	if now.Sub(d.last) > drainForget {
		d.known = 0
	}
	d.last = now
	if left == 0 || d.from.IsZero() {
		d.from, d.slots = now, 0
		if left == 0 {
			d.from = time.Time{}
		}
		return
	}
	d.slots += slots
	span := now.Sub(d.from)
	if span < drainWindow {
		return
	}
	r := float64(d.slots) / span.Seconds()
	if d.known == 0 {
		d.known = r
	}
	d.known += drainWeight * (r - d.known)
	d.from, d.slots = now, 0
}

// rate returns slots per second, 0 if unknown. It falls while nothing starts, so that a stalled pool is noticed.
func (d *drain) rate(now time.Time) float64 {
	if d.known == 0 || now.Sub(d.last) > drainForget {
		return 0
	}
	if d.from.IsZero() {
		return d.known
	}
	if span := now.Sub(d.from); span > drainWindow {
		return min(d.known, float64(d.slots+1)/span.Seconds())
	}
	return d.known
}
