// Package health finds workers whose tasks fail much more often than tasks of the same queues fail elsewhere, and
// keeps work from them until they have proved themselves.
package health

import (
	"math"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	// DefaultPercent caps the workers of a pool in quarantine or on probation.
	DefaultPercent = 20
	// history is the number of a worker's latest outcomes that are weighed.
	history = 16
	// failing is the failure rate that a faulty worker is assumed to have.
	failing = 0.9
	// floor is the least failure rate assumed elsewhere, so that a single failure proves nothing.
	floor = 0.02
	// threshold is the log of the likelihood ratio, 10,000 to 1, at which a worker counts as faulty. Three
	// failures in a row reach it where next to nothing fails elsewhere.
	threshold = 9.2
	// blame is the log ratio from which a single failure counts against a worker on probation: the failure is
	// twice as likely at a faulty worker as elsewhere.
	blame = 0.7
	// probationTasks is the number of tasks a worker must complete one after the other to return.
	probationTasks = 3
	// minQuarantine doubles with every failed probation up to maxQuarantine.
	minQuarantine = 10 * time.Second
	maxQuarantine = 5 * time.Minute
	// forgive is how long a worker must stay healthy before its next quarantine is a short one again.
	forgive = 10 * time.Minute
)

// State says whether a worker gets work.
type State int

// The states of a worker.
const (
	Healthy State = iota
	// Suspect workers are as faulty as quarantined ones, but the cap is reached: they are the last choice.
	Suspect
	Quarantined
	Probation
)

type outcome struct {
	queue  *queue
	failed bool
}

type record struct {
	state    State
	latest   []outcome // oldest first
	until    time.Time
	pause    time.Duration
	returned time.Time
	passed   int
	rates    map[*queue]*rate
}

// Monitor judges the workers of one pool; it is not safe for concurrent use.
type Monitor struct {
	size    int
	percent int
	away    int // in quarantine or on probation
	workers map[fleet.InstanceID]*record
	queues  map[fleet.QueueName]*queue
}

// NewMonitor returns a watch over a pool without workers.
func NewMonitor() *Monitor {
	return &Monitor{
		percent: DefaultPercent, workers: map[fleet.InstanceID]*record{}, queues: map[fleet.QueueName]*queue{},
	}
}

// Resize sets the number of the pool's workers and the cap on quarantine in percent; 0 means the default.
func (w *Monitor) Resize(workers, percent int) {
	if percent <= 0 {
		percent = DefaultPercent
	}
	w.size, w.percent = workers, percent
}

// Remove drops a worker that left the pool.
func (w *Monitor) Remove(id fleet.InstanceID) {
	r, ok := w.workers[id]
	if !ok {
		return
	}
	if r.away() {
		w.away--
	}
	r.withdraw()
	delete(w.workers, id)
}

// State returns a worker's state.
func (w *Monitor) State(id fleet.InstanceID) State {
	if r, ok := w.workers[id]; ok {
		return r.state
	}
	return Healthy
}

// Limit returns how many of its slots a worker may use: none in quarantine, one on probation.
func (w *Monitor) Limit(id fleet.InstanceID, slots int) int {
	switch w.State(id) {
	case Quarantined:
		return 0
	case Probation:
		return min(slots, 1)
	}
	return slots
}

// Observe takes in an outcome and reports whether the worker's state changed.
func (w *Monitor) Observe(now time.Time, o peer.Outcome) bool {
	if o.Kind != peer.OutcomeDone && o.Kind != peer.OutcomeFailed {
		return false
	}
	r, q := w.record(o.Worker), w.queue(o.Queue)
	failed := o.Kind == peer.OutcomeFailed
	switch r.state {
	case Quarantined:
		return false // a task that started before
	case Probation:
		return w.try(now, r, q, failed)
	}
	r.add(q, failed)
	before := r.state
	switch proven := r.evidence() >= threshold; {
	case proven && failed && w.room():
		w.quarantine(now, r)
	case proven:
		r.state = Suspect
	default:
		r.state = Healthy
	}
	return r.state != before
}

// Advance moves workers whose quarantine has lasted long enough to probation and returns them.
func (w *Monitor) Advance(now time.Time) []fleet.InstanceID {
	if w.away == 0 {
		return nil // suspects exist only while the cap is reached
	}
	var moved []fleet.InstanceID
	for id, r := range w.workers {
		if r.state == Quarantined && !now.Before(r.until) {
			r.state, r.passed = Probation, 0
			moved = append(moved, id)
		}
	}
	return moved
}

// room reports whether the cap allows one more worker to be away. A pool of two workers or more may always
// lose one, because a cap of 20 % would otherwise never act in a pool of fewer than five.
func (w *Monitor) room() bool {
	return w.size > 1 && w.away < max(w.size*w.percent/100, 1)
}

func (w *Monitor) quarantine(now time.Time, r *record) {
	if !r.away() {
		w.away++
	}
	if r.pause == 0 || !r.away() && now.Sub(r.returned) > forgive {
		r.pause = minQuarantine
	} else {
		r.pause = min(2*r.pause, maxQuarantine)
	}
	r.state, r.until, r.latest = Quarantined, now.Add(r.pause), nil
	r.withdraw()
}

// try judges a task of a worker on probation.
func (w *Monitor) try(now time.Time, r *record, q *queue, failed bool) bool {
	if failed {
		if weigh(true, q.elsewhere(nil)) < blame {
			return false // its queue fails everywhere
		}
		w.quarantine(now, r)
		return true
	}
	r.passed++
	if r.passed < probationTasks {
		return false
	}
	r.state, r.returned = Healthy, now
	w.away--
	return true
}

// away reports whether the worker counts towards the cap.
func (r *record) away() bool { return r.state == Quarantined || r.state == Probation }

func (w *Monitor) record(id fleet.InstanceID) *record {
	r, ok := w.workers[id]
	if !ok {
		r = &record{rates: map[*queue]*rate{}}
		w.workers[id] = r
	}
	return r
}

func (w *Monitor) queue(name fleet.QueueName) *queue {
	q, ok := w.queues[name]
	if !ok {
		q = &queue{}
		w.queues[name] = q
	}
	return q
}

func (r *record) add(q *queue, failed bool) {
	if len(r.latest) == history {
		copy(r.latest, r.latest[1:])
		r.latest = r.latest[:history-1]
	}
	r.latest = append(r.latest, outcome{q, failed})
	t, ok := r.rates[q]
	if !ok {
		t = &rate{}
		r.rates[q] = t
	}
	q.update(t, failed)
}

// evidence returns the log of how much more likely the latest outcomes are at a faulty worker, from the point
// on that says most. It uses what is known of the queues now, so that a queue that begins to fail everywhere
// clears the workers that met its first failures.
func (r *record) evidence() float64 {
	sum := 0.0
	for _, o := range r.latest {
		sum = max(sum+weigh(o.failed, o.queue.elsewhere(r.rates[o.queue])), 0)
	}
	return sum
}

// withdraw takes the worker's outcomes out of what is known of the queues.
func (r *record) withdraw() {
	for q, t := range r.rates {
		q.remove(t)
	}
	clear(r.rates)
}

func weigh(failed bool, elsewhere float64) float64 {
	p := min(max(elsewhere, floor), failing)
	if failed {
		return math.Log(failing / p)
	}
	return math.Log((1 - failing) / (1 - p))
}
