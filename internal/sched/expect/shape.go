package expect

import (
	"math"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat"
)

const (
	// ratioUnit is the ratio 1 in the histogram of residuals, maxRatio the largest one that it holds, both in thousandths.
	ratioUnit = 1000
	maxRatio  = 32 * ratioUnit
	// ratioDigits is the decimal precision of the histogram. With one digit a bar is 3 to 6 % wide and a histogram takes 1.7 KB.
	ratioDigits = 1
	// windowSamples is the number of residuals after which the next histogram begins. The last two count, which hold 200
	// residuals on average.
	windowSamples = 133
	// tailShare is the least share of the residuals from which the remaining time of a run is taken. Beyond, it grows in
	// proportion to the elapsed time, since a few samples say nothing about a tail.
	tailShare = 0.05
	// clipDeviations is the number of median deviations beyond which a residual is clipped.
	clipDeviations = 3
	// minDeviation keeps a queue with nearly constant run times from clipping every change.
	minDeviation = 0.05
	// normalDeviation is the ratio of the standard deviation to the median deviation of a normal distribution.
	normalDeviation = 1.4826
)

// residuals are the ratios of recent run times to the expected ones.
type residuals struct {
	recent, former *hdrhistogram.Histogram
	samples        int
}

func newResiduals() residuals { return residuals{recent: newHistogram(), former: newHistogram()} }

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRatio, ratioDigits) }

// add records a ratio.
func (r *residuals) add(ratio float64) {
	// Recording can't fail, because the value is within the range.
	_ = r.recent.RecordValue(int64(min(max(ratio*ratioUnit, 1), maxRatio)))
	if r.samples++; r.samples >= windowSamples {
		r.recent, r.former, r.samples = r.former, r.recent, 0
		r.recent.Reset()
	}
}

// load records ratios in thousandths as older ones than those to come.
func (r *residuals) load(ratios, counts []int64) {
	for i, n := range counts {
		_ = r.former.RecordValues(min(ratios[i], maxRatio), n)
	}
}

// bars returns the ratios in ascending order with their counts.
func (r *residuals) bars() (ratios, counts []float64) {
	recent, former := r.recent.Distribution(), r.former.Distribution()
	for i, b := range recent {
		count := b.Count
		// Both histograms have the same bars up to the largest value of either.
		if i < len(former) {
			count += former[i].Count
		}
		ratios, counts = appendBar(ratios, counts, b, count)
	}
	for _, b := range former[min(len(recent), len(former)):] {
		ratios, counts = appendBar(ratios, counts, b, b.Count)
	}
	return ratios, counts
}

func appendBar(ratios, counts []float64, b hdrhistogram.Bar, count int64) (r, c []float64) {
	if count == 0 {
		return ratios, counts
	}
	return append(ratios, float64(b.From+b.To)/2/ratioUnit), append(counts, float64(count))
}

// shape is the distribution of the ratio of run times to a center. It is not changed once it is built.
type shape struct {
	// mean is the mean ratio with clipped outliers, spread the mean deviation from it, and deviation the median deviation of
	// the logarithm from its median.
	mean, spread, deviation float64
	// ratios are ascending; weight and sum are the counts and the sums of the ratios from each one on.
	ratios, weight, sum []float64
	// tail is the index of the last ratio from which on there is tailShare of the weight.
	tail int
}

// newShape returns the shape of a distribution given by ascending ratios with counts.
func newShape(ratios, counts []float64) *shape {
	n := len(ratios)
	logs, deviations, weights := make([]float64, n), make([]float64, n), make([]float64, n)
	for i, r := range ratios {
		logs[i] = math.Log(r)
	}
	median := stat.Quantile(0.5, stat.Empirical, logs, counts)
	for i, l := range logs {
		deviations[i], weights[i] = math.Abs(l-median), counts[i]
	}
	stat.SortWeighted(deviations, weights)
	s := &shape{ratios: ratios, weight: make([]float64, n+1), sum: make([]float64, n+1)}
	s.deviation = max(stat.Quantile(0.5, stat.Empirical, deviations, weights), minDeviation)
	low, high := math.Exp(median-clipDeviations*s.deviation), math.Exp(median+clipDeviations*s.deviation)
	clipped := make([]float64, n)
	for i, r := range ratios {
		clipped[i] = min(max(r, low), high)
	}
	s.mean = stat.Mean(clipped, counts)
	total := 0.0
	for i, r := range clipped {
		s.spread += counts[i] * math.Abs(r-s.mean)
		total += counts[i]
	}
	s.spread /= total
	for i := n - 1; i >= 0; i-- {
		s.weight[i] = s.weight[i+1] + counts[i]
		s.sum[i] = s.sum[i+1] + counts[i]*ratios[i]
		if s.tail == 0 && s.weight[i] >= tailShare*total {
			s.tail = i
		}
	}
	return s
}

// defaultSpread is the standard deviation of the logarithm that is assumed without samples: run times spread by about half
// of their mean.
const defaultSpread = 0.47

// defaultShape is a logarithmic normal distribution with mean 1, for queues without enough samples.
var defaultShape = func() *shape {
	const points = 40
	ratios, counts := make([]float64, points), make([]float64, points)
	for i := range ratios {
		z := math.Sqrt2 * math.Erfinv(2*(float64(i)+0.5)/points-1)
		ratios[i], counts[i] = math.Exp(defaultSpread*z-defaultSpread*defaultSpread/2), 1
	}
	s := newShape(ratios, counts)
	s.mean = 1
	return s
}()

// above returns the index of the first ratio above an elapsed one, and the factor by which what follows from there is
// scaled: beyond the tail, the remaining time is taken from the tail's begin in proportion to the elapsed time.
func (s *shape) above(elapsed float64) (i int, from, scale float64) {
	if from = s.ratios[s.tail]; elapsed >= from {
		return s.tail, from, elapsed / from
	}
	return sort.Search(s.tail, func(i int) bool { return s.ratios[i] > elapsed }), elapsed, 1
}

// remaining returns the mean of the ratio beyond an elapsed one, given that it is larger.
func (s *shape) remaining(elapsed float64) float64 {
	i, from, scale := s.above(elapsed)
	return max(s.sum[i]/s.weight[i]-from, 0) * scale
}

// remainingQuantile returns a quantile of the ratio beyond an elapsed one, given that it is larger.
func (s *shape) remainingQuantile(q, elapsed float64) float64 {
	i, from, scale := s.above(elapsed)
	left := (1 - min(max(q, 0), 1)) * s.weight[i]
	j := i + sort.Search(len(s.ratios)-1-i, func(j int) bool { return s.weight[i+j+1] <= left })
	return max(s.ratios[j]-from, 0) * scale
}
