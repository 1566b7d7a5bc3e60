package engine

import (
	"math"
	"slices"
)

// Weights of the score of a worker. Nearby data outweighs the rest, and so does a shared rack once most of the step's
// tasks run there. For finite tasks, a worker most of whose tasks fail is the last choice among those alike in that.
const (
	weightPreferredRack = 100
	weightSameRack      = 50
	weightFailureRate   = 20
	weightWarmUp        = 10
	weightSlowness      = 5
	weightInterference  = 30
	weightDue           = 15
	weightSameStep      = 5
)

// score rates a worker for one more task of a step; the higher one is the better choice.
func (sc *Scheduler) score(s *stepState, w *worker) float64 {
	score := 0.0
	if s.spec.Rack != "" && w.Has(s.spec.Rack) {
		score += weightPreferredRack
	}
	if s.spec.SameRack {
		for _, t := range s.tasks {
			for _, r := range t.runs {
				if sameRack(r.worker, w) {
					score += weightSameRack / float64(len(s.tasks))
				}
			}
		}
	}
	if !s.spec.LongRunning {
		w.slowness = sc.runTimes.Slowness(string(w.ID))
		return score + w.packingScore()
	}
	score += w.healthScore()
	if w.due {
		score -= weightDue
	}
	// Long-running tasks of one kind, best effort or not, share workers, away from those of the other kind, because the
	// two kinds interfere with each other.
	bestEffort, others := w.countLongRunning()
	switch {
	case s.spec.BestEffort:
		score -= weightInterference * min(1, float64(others))
		score -= float64(bestEffort)
	default:
		score -= weightInterference * min(1, float64(bestEffort))
		score += w.usedShare()
	}
	return score - weightSameStep*float64(sc.countRuns(s, w))
}

// healthScore rates a worker by how well tasks run there.
func (w *worker) healthScore() float64 {
	score := -weightFailureRate * w.failureRate
	if w.WarmUp > 0 {
		score -= weightWarmUp
	}
	return score
}

// usedShare returns the share of a worker's CPU that is reserved.
func (w *worker) usedShare() float64 {
	if w.Capacity.CPU <= 0 {
		return 0
	}
	return float64(w.reserved.CPU) / float64(w.Capacity.CPU)
}

// packingScore rates a worker for finite tasks: these go to the fullest worker that fits them, so that machines become
// empty and can be moved. One that is clearly slower goes last among those alike in health, a clearly faster one first.
func (w *worker) packingScore() float64 {
	score := w.healthScore() + w.usedShare()
	if math.Abs(w.slowness) > minSlowness {
		score -= weightSlowness * w.slowness
	}
	return score
}

// minSlowness is the least logarithm of a worker's factor that counts, 1.5 times: smaller effects are often chance and would
// spread tasks over more machines.
const minSlowness = 0.4

// countLongRunning returns the numbers of best-effort runs, finite ones included, and of other long-running runs on a
// worker.
func (w *worker) countLongRunning() (bestEffort, others int) {
	for _, r := range w.runs {
		switch {
		case r.stepState == nil:
		case r.stepState.spec.BestEffort:
			bestEffort++
		case r.stepState.spec.LongRunning:
			others++
		}
	}
	return bestEffort, others
}

func sameRack(x, y *worker) bool {
	for _, l := range x.Labels {
		if isRack(l) && slices.Contains(y.Labels, l) {
			return true
		}
	}
	return false
}

// isRack reports whether a label names a rack. Such a label contains a number, while the label of a worker's kind is a
// single character.
func isRack(label string) bool { return len(label) > 1 }
