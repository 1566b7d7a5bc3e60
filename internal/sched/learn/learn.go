// Package learn estimates run times and sizes from observed values, because declared ones are often far off.
package learn

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowCount and windowLength let estimates follow a change within a minute.
	windowCount  = 6
	windowLength = 10 * time.Second
	// minWindowSamples is the least number of values in a window before the next one begins, so that the values of rare
	// work are kept for longer than a minute.
	minWindowSamples = 20
	// significantDigits is the decimal precision of a histogram; with one digit it takes about 2 KB.
	significantDigits = 1
	// quantileTTL is how long computed quantiles are reused, because merging the windows takes some microseconds.
	quantileTTL = 250 * time.Millisecond
)

// Distribution is a distribution of recent non-negative values; it is not safe for concurrent use.
type Distribution struct {
	histogram     *hdrhistogram.WindowedHistogram
	highest       int64
	windowStart   time.Time
	windowSamples int
	total         int
	computedAt    time.Time
	dirty         bool
	median        int64
	percentile95  int64
}

// NewDistribution returns an empty distribution of values up to a highest one.
func NewDistribution(highest int64) *Distribution {
	return &Distribution{
		histogram: hdrhistogram.NewWindowed(windowCount, 1, highest, significantDigits), highest: highest,
	}
}

// Observe records a value; values outside the range from 1 to the highest value count as the nearest end.
func (d *Distribution) Observe(now time.Time, value int64) {
	if d.windowStart.IsZero() {
		d.windowStart = now
	}
	if now.Sub(d.windowStart) >= windowLength && d.windowSamples >= minWindowSamples {
		d.histogram.Rotate()
		d.windowStart, d.windowSamples = now, 0
	}
	// Recording can't fail, because the value is within the range.
	_ = d.histogram.Current.RecordValue(min(max(value, 1), d.highest))
	d.windowSamples++
	d.total++
	d.dirty = true
}

// Total returns the number of values observed so far.
func (d *Distribution) Total() int { return d.total }

// Quantiles returns the median and the 95th percentile, which may be up to quantileTTL old; 0 if nothing was observed.
func (d *Distribution) Quantiles(now time.Time) (typical, high int64) {
	if d.dirty && (d.computedAt.IsZero() || now.Sub(d.computedAt) >= quantileTTL) {
		m := d.histogram.Merge()
		d.median, d.percentile95 = m.ValueAtQuantile(50), m.ValueAtQuantile(95)
		d.dirty, d.computedAt = false, now
	}
	return d.median, d.percentile95
}

// runTimeUnit is the resolution of run times. Shorter ones than runTimeUnit count as runTimeUnit, longer ones than
// maxRunTime as maxRunTime.
const (
	runTimeUnit = 100 * time.Microsecond
	maxRunTime  = time.Hour
)

// Durations is a distribution of recent run times; it is not safe for concurrent use.
type Durations struct{ distribution *Distribution }

// NewDurations returns an empty distribution of run times.
func NewDurations() Durations { return Durations{NewDistribution(int64(maxRunTime / runTimeUnit))} }

// Observe records a run time.
func (d Durations) Observe(now time.Time, ran time.Duration) {
	d.distribution.Observe(now, int64(ran/runTimeUnit))
}

// Total returns the number of run times observed so far.
func (d Durations) Total() int { return d.distribution.Total() }

// Quantiles returns the median and the 95th percentile; 0 if nothing was observed.
func (d Durations) Quantiles(now time.Time) (typical, high time.Duration) {
	t, h := d.distribution.Quantiles(now)
	return time.Duration(t) * runTimeUnit, time.Duration(h) * runTimeUnit
}

// Rate is an exponentially decaying rate of events; the zero value is ready to use.
type Rate struct {
	updatedAt time.Time
	count     float64
	weight    float64 // observed seconds, decayed like the count
}

// rateHalfLife is the age at which an event has half its weight.
const rateHalfLife = 5 * time.Second

// Add records events.
func (r *Rate) Add(now time.Time, n int) {
	r.decay(now)
	r.count += float64(n)
}

// PerSecond returns the rate; 0 during about the first tenth of a half-life.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.decay(now)
	if r.weight < rateHalfLife.Seconds()/10 {
		return 0
	}
	return r.count / r.weight
}

func (r *Rate) decay(now time.Time) {
	if r.updatedAt.IsZero() {
		r.updatedAt = now
		return
	}
	elapsed := now.Sub(r.updatedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-elapsed.Seconds() / rateHalfLife.Seconds())
	r.count *= factor
	r.weight = r.weight*factor + (1-factor)*rateHalfLife.Seconds()/math.Ln2
	r.updatedAt = now
}
