// Package learn estimates run times and sizes from what was observed, because declared ones are far off.
package learn

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windows and windowLength make estimates follow a change within a minute.
	windows      = 6
	windowLength = 10 * time.Second
	// windowSamples is the least number of values of a window that is given up, so that rare work keeps its
	// estimate for longer than a minute.
	windowSamples = 20
	// digits is the precision in significant decimal digits; one digit keeps a histogram at about 2 KB.
	digits = 1
	// refresh is how long quantiles are reused; merging the windows costs some microseconds.
	refresh = 250 * time.Millisecond
)

// Distribution is an ageing distribution of non-negative values; it is not safe for concurrent use.
type Distribution struct {
	histogram *hdrhistogram.WindowedHistogram
	highest   int64
	since     time.Time
	samples   int
	total     int
	read      time.Time
	dirty     bool
	typical   int64
	high      int64
}

// NewDistribution returns an empty distribution of values up to the highest one.
func NewDistribution(highest int64) *Distribution {
	return &Distribution{histogram: hdrhistogram.NewWindowed(windows, 1, highest, digits), highest: highest}
}

// Observe records a value; values outside the range count as its nearest end.
func (d *Distribution) Observe(now time.Time, value int64) {
	if d.since.IsZero() {
		d.since = now
	}
	if now.Sub(d.since) >= windowLength && d.samples >= windowSamples {
		d.histogram.Rotate()
		d.since, d.samples = now, 0
	}
	// The value is within the range, so that recording can't fail.
	_ = d.histogram.Current.RecordValue(min(max(value, 1), d.highest))
	d.samples++
	d.total++
	d.dirty = true
}

// Total returns the number of values observed so far.
func (d *Distribution) Total() int { return d.total }

// Quantiles returns the median and the 95th percentile; 0 if nothing was observed.
func (d *Distribution) Quantiles(now time.Time) (typical, high int64) {
	if d.dirty && (d.read.IsZero() || now.Sub(d.read) >= refresh) {
		m := d.histogram.Merge()
		d.typical, d.high = m.ValueAtQuantile(50), m.ValueAtQuantile(95)
		d.dirty, d.read = false, now
	}
	return d.typical, d.high
}

// unit is the resolution of run times, longest the longest that is told apart.
const (
	unit    = 100 * time.Microsecond
	longest = time.Hour
)

// Durations is an ageing distribution of run times; it is not safe for concurrent use.
type Durations struct{ d *Distribution }

// NewDurations returns an empty distribution of run times.
func NewDurations() Durations { return Durations{NewDistribution(int64(longest / unit))} }

// Observe records a run time.
func (d Durations) Observe(now time.Time, ran time.Duration) { d.d.Observe(now, int64(ran/unit)) }

// Total returns the number of run times observed so far.
func (d Durations) Total() int { return d.d.Total() }

// Quantiles returns the median and the 95th percentile; 0 if nothing was observed.
func (d Durations) Quantiles(now time.Time) (typical, high time.Duration) {
	t, h := d.d.Quantiles(now)
	return time.Duration(t) * unit, time.Duration(h) * unit
}

// Rate is an ageing rate of events; the zero value is ready to use.
type Rate struct {
	from   time.Time
	count  float64
	weight float64 // seconds
}

// rateHalfLife is the age at which an event counts half.
const rateHalfLife = 5 * time.Second

// Add records events.
func (r *Rate) Add(now time.Time, n int) {
	r.age(now)
	r.count += float64(n)
}

// PerSecond returns the rate; 0 until events were seen for a while.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.age(now)
	if r.weight < rateHalfLife.Seconds()/10 {
		return 0
	}
	return r.count / r.weight
}

func (r *Rate) age(now time.Time) {
	if r.from.IsZero() {
		r.from = now
		return
	}
	gone := now.Sub(r.from)
	if gone <= 0 {
		return
	}
	left := math.Exp2(-gone.Seconds() / rateHalfLife.Seconds())
	r.count *= left
	r.weight = r.weight*left + (1-left)*rateHalfLife.Seconds()/math.Ln2
	r.from = now
}
