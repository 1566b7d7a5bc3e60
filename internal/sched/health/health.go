// Package health finds workers whose tasks fail much more often than tasks of the same queues on other workers, and
// quarantines them until they complete tasks again.
package health

import (
	"math"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	// DefaultPercent caps the workers in quarantine or on probation, in percent of the pool.
	DefaultPercent = 20
	// maxOutcomes is the number of a worker's latest outcomes that count as evidence.
	maxOutcomes = 16
	// faultyFailureRate is the failure rate that a faulty worker is assumed to have.
	faultyFailureRate = 0.9
	// minFailureRate is the least failure rate assumed at other workers, so that a single failure is no proof.
	minFailureRate = 0.02
	// faultyThreshold is the log likelihood ratio (natural logarithm of 10,000 to 1) from which a worker counts as
	// faulty. Three failures in a row reach it if almost no task of the queue fails at other workers.
	faultyThreshold = 9.2
	// probationThreshold is the log likelihood ratio from which a single failure ends a probation: it is twice as
	// likely at a faulty worker as at others.
	probationThreshold = 0.7
	// probationTasks is the number of tasks that a worker on probation must complete to be healthy again.
	probationTasks = 3
	// minQuarantine doubles up to maxQuarantine with every failed probation and every quarantine that begins within
	// quarantineResetTime.
	minQuarantine = 10 * time.Second
	maxQuarantine = 5 * time.Minute
	// quarantineResetTime is how long a worker must be out of quarantine and probation for its next quarantine to last
	// minQuarantine again.
	quarantineResetTime = 10 * time.Minute
)

// State says whether a worker gets work.
type State int

// The states of a worker.
const (
	Healthy State = iota
	// Suspect workers are faulty but not quarantined, because the cap was reached at their last failure; they are the
	// last choice for work.
	Suspect
	Quarantined
	Probation
)

type outcome struct {
	queue  *queueRate
	failed bool
}

type workerRecord struct {
	state              State
	outcomes           []outcome // oldest first
	quarantinedUntil   time.Time
	quarantineTime     time.Duration
	returnedAt         time.Time
	probationCompleted int
	rates              map[*queueRate]*rate
}

// Monitor tracks the health of one pool's workers; it is not safe for concurrent use.
type Monitor struct {
	poolSize           int
	maxExcludedPercent int
	excluded           int // in quarantine or on probation
	workers            map[fleet.InstanceID]*workerRecord
	queues             map[fleet.QueueName]*queueRate
}

// NewMonitor returns the monitor of a pool without workers.
func NewMonitor() *Monitor {
	return &Monitor{
		maxExcludedPercent: DefaultPercent, workers: map[fleet.InstanceID]*workerRecord{},
		queues: map[fleet.QueueName]*queueRate{},
	}
}

// Resize sets the number of the pool's workers and the cap on quarantine in percent; 0 means the default.
func (m *Monitor) Resize(workers, percent int) {
	if percent <= 0 {
		percent = DefaultPercent
	}
	m.poolSize, m.maxExcludedPercent = workers, percent
}

// Remove deletes a worker that has left the pool.
func (m *Monitor) Remove(id fleet.InstanceID) {
	r, ok := m.workers[id]
	if !ok {
		return
	}
	if r.isExcluded() {
		m.excluded--
	}
	r.removeRates()
	delete(m.workers, id)
}

// State returns a worker's state.
func (m *Monitor) State(id fleet.InstanceID) State {
	if r, ok := m.workers[id]; ok {
		return r.state
	}
	return Healthy
}

// Limit returns how many of its slots a worker may use: none in quarantine, one on probation.
func (m *Monitor) Limit(id fleet.InstanceID, slots int) int {
	switch m.State(id) {
	case Quarantined:
		return 0
	case Probation:
		return min(slots, 1)
	}
	return slots
}

// Observe records an outcome and reports whether the worker's state changed.
func (m *Monitor) Observe(now time.Time, o peer.Outcome) bool {
	if o.Kind != peer.OutcomeDone && o.Kind != peer.OutcomeFailed {
		return false
	}
	r, q := m.record(o.Worker), m.queue(o.Queue)
	failed := o.Kind == peer.OutcomeFailed
	switch r.state {
	case Quarantined:
		return false // the task started before the quarantine
	case Probation:
		return m.observeProbation(now, r, q, failed)
	}
	r.addOutcome(q, failed)
	before := r.state
	switch faulty := r.evidence() >= faultyThreshold; {
	case faulty && failed && m.belowCap():
		m.quarantine(now, r)
	case faulty:
		r.state = Suspect
	default:
		r.state = Healthy
	}
	return r.state != before
}

// Advance moves workers whose quarantine has expired to probation and returns them.
func (m *Monitor) Advance(now time.Time) []fleet.InstanceID {
	if m.excluded == 0 {
		return nil // only excluded workers change their state with time
	}
	var moved []fleet.InstanceID
	for id, r := range m.workers {
		if r.state == Quarantined && !now.Before(r.quarantinedUntil) {
			r.state, r.probationCompleted = Probation, 0
			moved = append(moved, id)
		}
	}
	return moved
}

// belowCap reports whether one more worker may be excluded. A pool of two or more workers may always exclude one,
// because the default cap of 20 % would otherwise exclude none in a pool of fewer than five.
func (m *Monitor) belowCap() bool {
	return m.poolSize > 1 && m.excluded < max(m.poolSize*m.maxExcludedPercent/100, 1)
}

func (m *Monitor) quarantine(now time.Time, r *workerRecord) {
	if !r.isExcluded() {
		m.excluded++
	}
	if r.quarantineTime == 0 || !r.isExcluded() && now.Sub(r.returnedAt) > quarantineResetTime {
		r.quarantineTime = minQuarantine
	} else {
		r.quarantineTime = min(2*r.quarantineTime, maxQuarantine)
	}
	r.state, r.quarantinedUntil, r.outcomes = Quarantined, now.Add(r.quarantineTime), nil
	r.removeRates()
}

// observeProbation records an outcome of a worker on probation and reports whether its state changed.
func (m *Monitor) observeProbation(now time.Time, r *workerRecord, q *queueRate, failed bool) bool {
	if failed {
		if logRatio(true, q.rateWithout(nil)) < probationThreshold {
			return false // tasks of the queue fail at other workers too
		}
		m.quarantine(now, r)
		return true
	}
	r.probationCompleted++
	if r.probationCompleted < probationTasks {
		return false
	}
	r.state, r.returnedAt = Healthy, now
	m.excluded--
	return true
}

// isExcluded reports whether the worker counts towards the cap.
func (r *workerRecord) isExcluded() bool { return r.state == Quarantined || r.state == Probation }

func (m *Monitor) record(id fleet.InstanceID) *workerRecord {
	r, ok := m.workers[id]
	if !ok {
		r = &workerRecord{rates: map[*queueRate]*rate{}}
		m.workers[id] = r
	}
	return r
}

func (m *Monitor) queue(name fleet.QueueName) *queueRate {
	q, ok := m.queues[name]
	if !ok {
		q = &queueRate{}
		m.queues[name] = q
	}
	return q
}

func (r *workerRecord) addOutcome(q *queueRate, failed bool) {
	if len(r.outcomes) == maxOutcomes {
		copy(r.outcomes, r.outcomes[1:])
		r.outcomes = r.outcomes[:maxOutcomes-1]
	}
	r.outcomes = append(r.outcomes, outcome{q, failed})
	t, ok := r.rates[q]
	if !ok {
		t = &rate{}
		r.rates[q] = t
	}
	q.update(t, failed)
}

// evidence returns the log likelihood ratio of the latest outcomes, at a faulty worker against other workers, from the
// starting point that makes it largest (a cumulative sum). It uses the current failure rates of the queues, so that
// workers with the first failures of a queue are cleared once its tasks fail at all workers.
func (r *workerRecord) evidence() float64 {
	sum := 0.0
	for _, o := range r.outcomes {
		sum = max(sum+logRatio(o.failed, o.queue.rateWithout(r.rates[o.queue])), 0)
	}
	return sum
}

// removeRates removes the worker's failure rates from those of the queues.
func (r *workerRecord) removeRates() {
	for q, t := range r.rates {
		q.remove(t)
	}
	clear(r.rates)
}

// logRatio returns the log likelihood ratio of an outcome, at a faulty worker against others with a failure rate.
func logRatio(failed bool, otherRate float64) float64 {
	p := min(max(otherRate, minFailureRate), faultyFailureRate)
	if failed {
		return math.Log(faultyFailureRate / p)
	}
	return math.Log((1 - faultyFailureRate) / (1 - p))
}
