package cycle

import "time"

const (
	// rateWindow is the time over which the arriving work is measured. Over 200 ms, the gaps between the jobs of a small
	// pool would count as the end of a burst.
	rateWindow = 400 * time.Millisecond
	// minBurstRate is the arriving work below which no burst starts, in thousandths of a core.
	minBurstRate = 32000
	// minBurstShare is the share of all pools' arriving work that a pool has when its burst starts: pools take turns.
	minBurstShare = 0.4
	// minHighestShare is the share of the highest arriving work of any pool that a burst reaches. Between bursts a pool
	// has an eightieth of its height, but single jobs make a multiple of that.
	minHighestShare = 0.1
	// minHeightShare is the share of its height, known from earlier bursts, that a burst reaches when it starts, and below
	// which it ends.
	minHeightShare = 0.25
	// minLastShare is the share of a burst's mean that arrives until its end. At half, an interval without demand would
	// count as part of the burst.
	minLastShare = 0.6
)

// point is the total work that has arrived until a moment.
type point struct {
	at      time.Time
	arrived float64
}

// rateSince returns the mean arriving work since an earlier point, in thousandths of a core.
func (x point) rateSince(earlier point) float64 {
	elapsed := x.at.Sub(earlier.at).Seconds()
	if elapsed <= 0 {
		return 0
	}
	return max(x.arrived-earlier.arrived, 0) / elapsed
}

// watch follows the bursts of one pool.
type watch struct {
	// samples are those of the last rateWindow.
	samples  []point
	bursting bool
	// resumed means that the burst began before a takeover, so that it can't be measured; restored means that the next
	// one that is detected may be such a burst.
	resumed, restored bool
	start             point
	peak              float64
	// use is the highest CPU in use until the end of each riseStep after the start.
	use [riseSteps]float64
	// last is the last point at which more than minLastShare of the burst's mean arrived: the end is detected later.
	last point
}

// add adds a sample and returns the arriving work of the last rateWindow.
func (w *watch) add(x point) float64 {
	if n := len(w.samples); n > 0 && !x.at.After(w.samples[n-1].at) {
		return 0
	}
	w.samples = append(w.samples, x)
	for len(w.samples) > 2 && x.at.Sub(w.samples[1].at) >= rateWindow {
		w.samples = w.samples[1:]
	}
	return x.rateSince(w.samples[0])
}

// begin starts a burst at the first of the last samples with a high rate.
func (w *watch) begin(rate float64) {
	i := len(w.samples) - 1
	for i > 0 && w.samples[i].rateSince(w.samples[i-1]) >= minHeightShare*rate {
		i--
	}
	w.bursting, w.start, w.last, w.peak = true, w.samples[i], w.samples[len(w.samples)-1], 0
	w.use = [riseSteps]float64{}
}

// observeUse keeps the CPU in use during the rise of a burst.
func (w *watch) observeUse(now time.Time, inUse float64) {
	if !w.bursting {
		return
	}
	for i := int(now.Sub(w.start.at) / riseStep); i < riseSteps; i++ {
		w.use[i] = max(w.use[i], inUse)
	}
}

// rise returns the CPU in use during the rise as shares of a height, each at least that of the step before.
func (w *watch) rise(height float64) [riseSteps]float64 {
	var r [riseSteps]float64
	for i, use := range w.use {
		r[i] = min(use/max(height, 1), 1)
	}
	return r
}

// follow measures the burst and reports whether it has ended.
func (w *watch) follow(rate float64) bool {
	x := w.samples[len(w.samples)-1]
	w.peak = max(w.peak, rate)
	height := w.last.rateSince(w.start)
	if rate > minLastShare*height {
		w.last = x
	}
	w.bursting = x.at.Sub(w.start.at) < rateWindow || rate >= minHeightShare*height
	return !w.bursting
}

// burst returns the length of the burst that has ended and the mean of the work that arrived in it.
func (w *watch) burst() (length time.Duration, mean float64) {
	return w.last.at.Sub(w.start.at), w.last.rateSince(w.start)
}
