package expect

import "time"

// Line is a running linear regression of the run times of a queue's tasks on their declared run times, in seconds. If the
// declared times tell nothing, the slope is near 0, so that the mean run time counts. Its zero value has no samples.
type Line struct {
	count                        int
	meanRunTime, meanDeclared    float64
	declaredVariance, covariance float64
}

const (
	// lineGain is the weight of a new sample; about the last 100 count. The first 100 weigh the same.
	lineGain = 1.0 / 100
	// minSamples is the number of samples from which learned run times replace declared ones.
	minSamples = 20
	// minLineRatio is the lower bound of an estimate, as a fraction of the mean run time.
	minLineRatio = 0.25
)

// Fallback is the expected run time of tasks without a declared one in a queue without samples.
const Fallback = time.Second

// Observe adds the run time of a completed run.
func (l *Line) Observe(declared, ran time.Duration) {
	l.count++
	gain := max(lineGain, 1/float64(l.count))
	x, y := declared.Seconds(), ran.Seconds()
	offX, offY := x-l.meanDeclared, y-l.meanRunTime
	l.meanDeclared += gain * offX
	l.meanRunTime += gain * offY
	l.declaredVariance += gain * (offX*(x-l.meanDeclared) - l.declaredVariance)
	l.covariance += gain * (offX*(y-l.meanRunTime) - l.covariance)
}

// Estimate returns the expected run time of a task. A nil line has no samples.
func (l *Line) Estimate(declared time.Duration) time.Duration {
	switch {
	case (l == nil || l.count < minSamples) && declared > 0:
		return declared
	case l == nil || l.count == 0:
		return Fallback
	}
	expected := l.meanRunTime
	if l.declaredVariance > 0 && declared > 0 {
		expected += l.covariance / l.declaredVariance * (declared.Seconds() - l.meanDeclared)
	}
	return time.Duration(max(expected, minLineRatio*l.meanRunTime) * float64(time.Second))
}
