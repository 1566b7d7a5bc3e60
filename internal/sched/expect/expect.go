// Package expect learns the run times of tasks from finished runs. It does no I/O.
package expect

import (
	"slices"
	"time"
)

// Bounds of a model; see docs/design/runtimes.md for the memory that they mean.
const (
	MaxQueues    = 64
	MaxImages    = 32
	MaxCustomers = 64
	MaxWorkers   = 1024
)

// minQueueIdle is how long a queue must not have finished a run before another one may replace it. Without it, more active
// queues than MaxQueues would replace each other before any has enough samples.
const minQueueIdle = 2 * time.Second

// minRunTime is the shortest run time that is told apart.
const minRunTime = time.Millisecond

// Task is what is known of a task before it runs. Worker is empty if it is not known, Declared is 0 if there is none.
type Task struct {
	Queue, Image, Customer, Worker string
	Declared                       time.Duration
}

// Expectation is a distribution of the run time of a task, or just a run time. It is a value that later runs don't change.
type Expectation struct {
	// center is the run time in seconds to which the ratios of the shape refer.
	center float64
	// shape is nil if there is just a run time, which is fixed.
	shape *shape
	fixed time.Duration
}

// declaredExpectation returns the expectation without enough samples.
func declaredExpectation(t Task) Expectation {
	return Expectation{center: declared(t).Seconds(), shape: defaultShape}
}

func declared(t Task) time.Duration {
	if t.Declared <= 0 {
		return Fallback
	}
	return t.Declared
}

// maxSeconds bounds a time in seconds, so that it fits in a time.Duration.
const maxSeconds = 1e8

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}

// Mean returns the mean run time; outliers count as clipped.
func (e Expectation) Mean() time.Duration {
	if e.shape == nil {
		return e.fixed
	}
	return seconds(e.center * e.shape.mean)
}

// Spread returns the mean deviation of the run time from its mean, as a share of the mean.
func (e Expectation) Spread() float64 {
	if e.shape == nil {
		return 0
	}
	return e.shape.spread / e.shape.mean
}

// Quantile returns a quantile of the run time.
func (e Expectation) Quantile(q float64) time.Duration { return e.RemainingQuantile(q, 0) }

// Remaining returns the mean remaining run time of a task that has run for some time.
func (e Expectation) Remaining(elapsed time.Duration) time.Duration {
	if e.shape == nil {
		return max(e.fixed-elapsed, 0)
	}
	return seconds(e.center * e.shape.remaining(max(elapsed.Seconds(), 0)/e.center))
}

// RemainingQuantile returns a quantile of the remaining run time of a task that has run for some time.
func (e Expectation) RemainingQuantile(q float64, elapsed time.Duration) time.Duration {
	if e.shape == nil {
		return max(e.fixed-elapsed, 0)
	}
	return seconds(e.center * e.shape.remainingQuantile(q, max(elapsed.Seconds(), 0)/e.center))
}

// Model learns the run times of all queues. It is not safe for concurrent use.
type Model struct {
	// lines are the straight lines of the queues in a model that has nothing else; nil in others.
	lines   map[string]*Line
	queues  map[string]*queueModel
	workers workerEffects
	// evicted are the queues whose stored rows are to be deleted.
	evicted []string
	// reportedAt is when DueErrors last returned any.
	reportedAt time.Time
}

// New returns a model without samples.
func New() *Model {
	return &Model{queues: map[string]*queueModel{}, workers: newWorkerEffects()}
}

// NewLines returns a model that expects the run time by the straight line of each queue and nothing else.
func NewLines() *Model { return &Model{lines: map[string]*Line{}} }

// Expect returns what to expect of a task.
func (m *Model) Expect(t Task) Expectation {
	if m.lines != nil {
		return Expectation{fixed: m.lines[t.Queue].Estimate(t.Declared)}
	}
	q, ok := m.queues[t.Queue]
	if !ok {
		return declaredExpectation(t)
	}
	worker := 0.0
	if t.Worker != "" {
		worker = m.workers.value(t.Worker, time.Now())
	}
	return q.expect(t, worker)
}

// Observe learns from a run that has ended as done, after it has been compared with what was expected.
func (m *Model) Observe(t Task, ran time.Duration) {
	if m.lines != nil {
		l, ok := m.lines[t.Queue]
		if !ok {
			l = &Line{}
			m.lines[t.Queue] = l
		}
		l.Observe(t.Declared, ran)
		return
	}
	now := time.Now()
	q := m.queue(t.Queue, now)
	if q == nil {
		return
	}
	ran = max(ran, minRunTime)
	var w *workerEffect
	if t.Worker != "" {
		w = m.workers.get(t.Worker)
	}
	q.observe(t, ran, w, now)
}

// Slowness returns the logarithm of how many times slower than usual a worker is.
func (m *Model) Slowness(worker string) float64 { return m.workers.value(worker, time.Now()) }

// queue returns the model of a queue, which it adds if there is none; nil if there is no room.
func (m *Model) queue(name string, now time.Time) *queueModel {
	if q, ok := m.queues[name]; ok {
		return q
	}
	if len(m.queues) >= MaxQueues {
		var oldest *queueModel
		for _, q := range m.queues {
			if oldest == nil || q.usedAt.Before(oldest.usedAt) {
				oldest = q
			}
		}
		if now.Sub(oldest.usedAt) < minQueueIdle {
			return nil
		}
		delete(m.queues, oldest.name)
		if !oldest.storedAt.IsZero() {
			m.evict(oldest.name)
		}
	}
	q := newQueueModel(name)
	m.queues[name] = q
	m.evicted = slices.DeleteFunc(m.evicted, func(n string) bool { return n == name })
	return q
}
