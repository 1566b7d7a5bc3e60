package expect

import (
	"container/list"
	"math"
	"time"
)

const (
	// sampleGain is the weight of a new sample; about the last 200 count.
	sampleGain = 1.0 / 200
	// shrinkage is the number of samples with which an effect counts half.
	shrinkage = 8
	// minErrors is the number of standard errors that an effect must exceed to be used.
	minErrors = 2
	// workerShrinkage and minWorkerSamples are lower than for images, since a worker's slowness lasts for a few seconds.
	workerShrinkage  = 4
	minWorkerSamples = 3
	// workerMemory is the time in which the samples of a worker lose all but 1/e of their weight. After 10 s 4 % are left, so
	// that a worker that has recovered without getting tasks counts as usual again.
	workerMemory = 3 * time.Second
	// maxLogRatio bounds a worker's sample.
	maxLogRatio = 3.5
)

// effect is the mean deviation of some tasks of a queue from its expectation, in the logarithm.
type effect struct {
	mean, samples float64
	usedAt        time.Time
}

// observe adds a deviation.
func (e *effect) observe(deviation float64, now time.Time) {
	e.samples = min(e.samples+1, 1/sampleGain)
	e.mean += (deviation - e.mean) / e.samples
	e.usedAt = now
}

// value returns the effect where it is significant, shrunk towards 0; sigma is the standard deviation of a sample.
func (e *effect) value(sigma float64) float64 {
	if e == nil {
		return 0
	}
	return shrink(e.mean, e.samples, shrinkage, sigma)
}

func shrink(mean, samples, half, sigma float64) float64 {
	if mean*mean*samples <= minErrors*minErrors*sigma*sigma {
		return 0
	}
	return mean * samples / (samples + half)
}

// effects are those of the images or of the customers of a queue, by name; the least recently used ones are evicted.
type effects map[string]*effect

// get returns the effect of a name, which it adds if there is none. A map has at most limit names.
func (m effects) get(name string, limit int, now time.Time) *effect {
	if e, ok := m[name]; ok {
		return e
	}
	if len(m) >= limit {
		oldest := ""
		for n, e := range m {
			if oldest == "" || e.usedAt.Before(m[oldest].usedAt) {
				oldest = n
			}
		}
		delete(m, oldest)
	}
	e := &effect{usedAt: now}
	m[name] = e
	return e
}

// workerEffect is the mean deviation, in the logarithm, of a worker's recent runs of all queues from what was expected of them
// on an unknown worker.
type workerEffect struct {
	name          string
	mean, samples float64
	// sigma is the mean of the standard deviations of a sample in the queues of the runs.
	sigma      float64
	observedAt time.Time
}

// observe adds a deviation of a run of a queue in which a sample has a standard deviation of sigma.
func (w *workerEffect) observe(deviation, sigma float64, now time.Time) {
	w.samples = w.samples*w.fading(now) + 1
	w.mean += (min(max(deviation, -maxLogRatio), maxLogRatio) - w.mean) / w.samples
	w.sigma += (sigma - w.sigma) / w.samples
	w.observedAt = now
}

// fading returns which share of their weight the samples have kept since the last one.
func (w *workerEffect) fading(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(w.observedAt)) / float64(workerMemory))
}

// value returns the effect where it is significant, shrunk towards 0. It fades while the worker finishes no runs.
func (w *workerEffect) value(now time.Time) float64 {
	if w.samples < minWorkerSamples {
		return 0
	}
	v := shrink(w.mean, w.samples, workerShrinkage, w.sigma)
	if v == 0 {
		return 0
	}
	return v * w.fading(now)
}

// workerEffects are the effects of workers by name; the least recently used ones are evicted.
type workerEffects struct {
	byName map[string]*list.Element
	// order holds the effects, the most recently used one first.
	order *list.List
}

func newWorkerEffects() workerEffects {
	return workerEffects{byName: map[string]*list.Element{}, order: list.New()}
}

// get returns the effect of a worker, which it adds if there is none.
func (m *workerEffects) get(name string) *workerEffect {
	if e, ok := m.byName[name]; ok {
		m.order.MoveToFront(e)
		return e.Value.(*workerEffect)
	}
	if m.order.Len() >= MaxWorkers {
		delete(m.byName, m.order.Remove(m.order.Back()).(*workerEffect).name)
	}
	w := &workerEffect{name: name}
	m.byName[name] = m.order.PushFront(w)
	return w
}

// value returns the effect of a worker, 0 if it is not known.
func (m *workerEffects) value(name string, now time.Time) float64 {
	if e, ok := m.byName[name]; ok {
		return e.Value.(*workerEffect).value(now)
	}
	return 0
}
