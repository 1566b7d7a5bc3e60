package engine

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// runTimeModel is a running linear regression of the run times of a queue's tasks on their declared run times, in
// seconds. If the declared times tell nothing, the slope is near 0, so that the mean run time counts.
type runTimeModel struct {
	count                        int
	meanRunTime, meanDeclared    float64
	declaredVariance, covariance float64
}

const (
	// estimateGain is the weight of a new sample; about the last 100 count. The first 100 weigh the same.
	estimateGain = 1.0 / 100
	// estimateMinSamples is the number of samples from which the model replaces declared run times.
	estimateMinSamples = 20
	// minEstimateRatio is the lower bound of an estimate, as a fraction of the mean run time.
	minEstimateRatio = 0.25
)

// fallbackEstimate is the estimate for tasks without a declared run time in a queue without samples.
const fallbackEstimate = time.Second

// observeRunTime adds the run time of a completed run to its queue's model.
func (sc *Scheduler) observeRunTime(queue string, s *work.Step, ran time.Duration) {
	t, ok := sc.runTimes[queue]
	if !ok {
		t = &runTimeModel{}
		sc.runTimes[queue] = t
	}
	t.count++
	gain := max(estimateGain, 1/float64(t.count))
	x, y := s.Estimate.Seconds(), ran.Seconds()
	offX, offY := x-t.meanDeclared, y-t.meanRunTime
	t.meanDeclared += gain * offX
	t.meanRunTime += gain * offY
	t.declaredVariance += gain * (offX*(x-t.meanDeclared) - t.declaredVariance)
	t.covariance += gain * (offX*(y-t.meanRunTime) - t.covariance)
}

// estimate returns the expected run time of a task of a step; 0 for long-running ones.
func (sc *Scheduler) estimate(queue string, s work.Step) time.Duration {
	if s.LongRunning {
		return 0
	}
	t := sc.runTimes[queue]
	switch {
	case (t == nil || t.count < estimateMinSamples) && s.Estimate > 0:
		return s.Estimate
	case t == nil || t.count == 0:
		return fallbackEstimate
	}
	expected := t.meanRunTime
	if t.declaredVariance > 0 && s.Estimate > 0 {
		expected += t.covariance / t.declaredVariance * (s.Estimate.Seconds() - t.meanDeclared)
	}
	return time.Duration(max(expected, minEstimateRatio*t.meanRunTime) * float64(time.Second))
}
