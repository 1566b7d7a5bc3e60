package health

const (
	// rateGain is the least weight of the latest outcome in a worker's failure rate for a queue.
	rateGain = 1.0 / 3
	// maxRateWeight caps the weight of one worker in the failure rate of a queue. Without it a faulty worker, which
	// ends many more tasks than a healthy one, would dominate the rate and hide a second faulty worker.
	maxRateWeight = 5
	// priorWeight and priorRate are the weight in outcomes and the failure rate assumed for a queue without outcomes.
	priorWeight = 0.5
	priorRate   = 0.5
)

// rate is one worker's recent failure rate for one queue.
type rate struct {
	count int
	value float64
}

func (t *rate) weight() float64 { return float64(min(t.count, maxRateWeight)) }

// queueRate is the weighted sum of the workers' failure rates for one queue.
type queueRate struct {
	weight      float64
	weightedSum float64
}

func (q *queueRate) update(t *rate, failed bool) {
	q.remove(t)
	t.count++
	gain := max(rateGain, 1/float64(t.count))
	latest := 0.0
	if failed {
		latest = 1
	}
	t.value += gain * (latest - t.value)
	q.weight += t.weight()
	q.weightedSum += t.weight() * t.value
}

func (q *queueRate) remove(t *rate) {
	q.weight -= t.weight()
	q.weightedSum -= t.weight() * t.value
}

// rateWithout returns the queue's failure rate without one worker's part; nil leaves none out.
func (q *queueRate) rateWithout(t *rate) float64 {
	weight, sum := q.weight, q.weightedSum
	if t != nil {
		weight -= t.weight()
		sum -= t.weight() * t.value
	}
	weight, sum = max(weight, 0), max(sum, 0)
	return (sum + priorWeight*priorRate) / (weight + priorWeight)
}
