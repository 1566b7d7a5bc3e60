package engine

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// tempo is how long the tasks of a queue run, in seconds, as a line over their submitters' estimates. Estimates that
// tell nothing have a slope near 0, so that the mean run time counts.
type tempo struct {
	count                       int
	ran, guess                  float64
	guessVariance, ranWithGuess float64
}

const (
	// tempoGain is the weight of a new observation; about the last 100 count.
	tempoGain = 1.0 / 100
	// tempoTrust is the number of observations from which the line is used.
	tempoTrust = 20
	// leastShare is the least part of the mean run time that is expected of any task.
	leastShare = 0.25
)

// fallbackEstimate is for tasks of a queue of which nothing is known.
const fallbackEstimate = time.Second

// observe learns from a run that ended done.
func (b *Scheduler) observe(queue string, s *work.Step, ran time.Duration) {
	t, ok := b.tempos[queue]
	if !ok {
		t = &tempo{}
		b.tempos[queue] = t
	}
	t.count++
	gain := max(tempoGain, 1/float64(t.count))
	x, y := s.Estimate.Seconds(), ran.Seconds()
	offX, offY := x-t.guess, y-t.ran
	t.guess += gain * offX
	t.ran += gain * offY
	t.guessVariance += gain * (offX*(x-t.guess) - t.guessVariance)
	t.ranWithGuess += gain * (offX*(y-t.ran) - t.ranWithGuess)
}

// estimate returns how long a task of a step is expected to run.
func (b *Scheduler) estimate(queue string, s work.Step) time.Duration {
	if s.LongRunning {
		return 0
	}
	t := b.tempos[queue]
	switch {
	case (t == nil || t.count < tempoTrust) && s.Estimate > 0:
		return s.Estimate
	case t == nil || t.count == 0:
		return fallbackEstimate
	}
	expected := t.ran
	if t.guessVariance > 0 && s.Estimate > 0 {
		expected += t.ranWithGuess / t.guessVariance * (s.Estimate.Seconds() - t.guess)
	}
	return time.Duration(max(expected, leastShare*t.ran) * float64(time.Second))
}
