package ramp

import "math"

const (
	// tolerance is the factor by which a step may be worse than its reference.
	tolerance = 1.5
	// forgivenFailures is the number of failures ignored per step, so that one failure among few tasks fails no step.
	forgivenFailures = 1
	// minOutcomes is the least number of outcomes for a comparison of run times, and for other zones as the reference.
	minOutcomes = 5
	// maxSlowness caps the slowness of one task, so that a single outlier does not decide the result.
	maxSlowness = 10
	// maxHistory is the number of outcomes at which the sums of a zone in service are halved.
	maxHistory = 200
	// standardErrors is the number of standard errors by which the mean slowness must exceed the bound. The standard
	// deviation of run times is about their mean, and a step at 10 % runs only a few tasks.
	standardErrors = 1
)

// Quality is the sums over the task outcomes of a step or a zone.
type Quality struct {
	Count       int
	failed      float64
	timedCount  float64 // completed tasks of known slowness, which the next two sum up
	slownessSum float64
	squareSum   float64
}

// add records an outcome; slowness 0 means that it is unknown.
func (q *Quality) add(failed bool, slowness float64) {
	q.Count++
	if failed {
		q.failed++
		return
	}
	if slowness > 0 {
		s := min(slowness, maxSlowness)
		q.timedCount++
		q.slownessSum += s
		q.squareSum += s * s
	}
}

// halve halves the sums at maxHistory outcomes, so that later outcomes outweigh earlier ones.
func (q *Quality) halve() {
	if q.Count < maxHistory {
		return
	}
	*q = Quality{
		Count: q.Count / 2, failed: q.failed / 2, timedCount: q.timedCount / 2, slownessSum: q.slownessSum / 2,
		squareSum: q.squareSum / 2,
	}
}

// Failing reports whether the failures beyond the forgiven one exceed those at a reference's rate by more than the
// tolerance.
func (q Quality) Failing(reference Quality) bool {
	return q.failed > forgivenFailures+
		tolerance*reference.failed/math.Max(float64(reference.Count), 1)*float64(q.Count)
}

// Slow reports whether the mean slowness exceeds that of a reference by more than the tolerance and the standard error;
// it is false if either has fewer than minOutcomes tasks of known slowness.
func (q Quality) Slow(reference Quality) bool {
	if q.timedCount < minOutcomes || reference.timedCount < minOutcomes {
		return false
	}
	mean := q.slownessSum / q.timedCount
	standardError := math.Sqrt(math.Max(q.squareSum/q.timedCount-mean*mean, 0) / q.timedCount)
	return mean-standardErrors*standardError > tolerance*reference.slownessSum/reference.timedCount
}
