package health

const (
	// rateGain is the weight of the latest outcome in a worker's failure rate for a queue.
	rateGain = 1.0 / 3
	// rateTrust caps the weight of one worker among the others. Without it a faulty worker, which ends many
	// more tasks than a sound one, would pass for normal and hide a second faulty worker.
	rateTrust = 5
	// priorWeight outcomes with a failure rate of one half stand for a queue of which nothing is known.
	priorWeight = 0.5
	priorRate   = 0.5
)

// rate is one worker's recent failure rate for one queue.
type rate struct {
	count  int
	failed float64
}

func (t *rate) weight() float64 { return float64(min(t.count, rateTrust)) }

// queue sums the failure rates of one queue over the workers.
type queue struct {
	weight float64
	failed float64
}

func (q *queue) update(t *rate, failed bool) {
	q.remove(t)
	t.count++
	gain := max(rateGain, 1/float64(t.count))
	x := 0.0
	if failed {
		x = 1
	}
	t.failed += gain * (x - t.failed)
	q.weight += t.weight()
	q.failed += t.weight() * t.failed
}

func (q *queue) remove(t *rate) {
	q.weight -= t.weight()
	q.failed -= t.weight() * t.failed
}

// elsewhere returns the queue's failure rate at all workers but one.
func (q *queue) elsewhere(t *rate) float64 {
	weight, failed := q.weight, q.failed
	if t != nil {
		weight -= t.weight()
		failed -= t.weight() * t.failed
	}
	weight, failed = max(weight, 0), max(failed, 0)
	return (failed + priorWeight*priorRate) / (weight + priorWeight)
}
