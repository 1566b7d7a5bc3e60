package ramp

import "math"

const (
	// tolerance is how many times worse than the other zones a step may be.
	tolerance = 1.5
	// slack is the number of failures forgiven per step, so that one failure among a few tasks fails no step.
	slack = 1
	// minCount is the least number of outcomes a latency is compared over.
	minCount = 5
	// slowest caps the slowness of one task, so that a single outlier does not decide.
	slowest = 10
	// memory is the number of outcomes over which the quality of a zone in service is kept.
	memory = 200
	// sureness is the number of standard errors by which a mean must exceed the bound. Run times vary about as
	// much as their mean, and a step at 10 % sees only a few tasks.
	sureness = 1
)

// Quality sums the outcomes of a zone over a step.
type Quality struct {
	Count   int
	failed  float64
	timed   float64
	slow    float64
	squares float64
}

// add records an outcome; slowness 0 means that the run time says nothing.
func (q *Quality) add(failed bool, slowness float64) {
	q.Count++
	if failed {
		q.failed++
		return
	}
	if slowness > 0 {
		s := min(slowness, slowest)
		q.timed++
		q.slow += s
		q.squares += s * s
	}
}

// age keeps the sums to the latest outcomes, roughly.
func (q *Quality) age() {
	if q.Count < memory {
		return
	}
	*q = Quality{Count: q.Count / 2, failed: q.failed / 2, timed: q.timed / 2, slow: q.slow / 2, squares: q.squares / 2}
}

// Failing reports whether the error rate exceeds the tolerance of a reference.
func (q Quality) Failing(r Quality) bool {
	return q.failed > slack+tolerance*r.failed/math.Max(float64(r.Count), 1)*float64(q.Count)
}

// Slow reports whether the latency exceeds the tolerance of a reference.
func (q Quality) Slow(r Quality) bool {
	if q.timed < minCount || r.timed < minCount {
		return false
	}
	mean := q.slow / q.timed
	spread := math.Sqrt(math.Max(q.squares/q.timed-mean*mean, 0) / q.timed)
	return mean-sureness*spread > tolerance*r.slow/r.timed
}
