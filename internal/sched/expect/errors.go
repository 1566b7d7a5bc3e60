package expect

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Errors are sums over runs of the absolute logarithm of the ratio of the actual to the expected run time.
type Errors struct {
	Runs     int64   `json:"runs"`
	Declared float64 `json:"declared"`
	Line     float64 `json:"line"`
	Model    float64 `json:"model"`
}

// add adds a run. All times are logarithms of seconds.
func (e *Errors) add(ran, declared, line, model float64) {
	e.Runs++
	e.Declared += math.Abs(ran - declared)
	e.Line += math.Abs(ran - line)
	e.Model += math.Abs(ran - model)
}

func logSeconds(d time.Duration) float64 { return math.Log(max(d, minRunTime).Seconds()) }

// Plus returns the sums over the runs of both.
func (e Errors) Plus(o Errors) Errors {
	return Errors{e.Runs + o.Runs, e.Declared + o.Declared, e.Line + o.Line, e.Model + o.Model}
}

// Means returns the mean errors; they are 0 without runs.
func (e Errors) Means() (declared, line, model float64) {
	n := float64(max(e.Runs, 1))
	return e.Declared / n, e.Line / n, e.Model / n
}

// QueueErrors are the errors of a queue.
type QueueErrors struct {
	Queue string
	Errors
}

// errorInterval is the time between two reports on the errors.
const errorInterval = 5 * time.Second

// DueErrors returns the errors of the queues by name, once per errorInterval.
func (m *Model) DueErrors(now time.Time) []QueueErrors {
	if now.Sub(m.reportedAt) < errorInterval {
		return nil
	}
	m.reportedAt = now
	list := make([]QueueErrors, 0, len(m.queues))
	for name, q := range m.queues {
		list = append(list, QueueErrors{name, q.errors})
	}
	slices.SortFunc(list, func(x, y QueueErrors) int { return cmp.Compare(x.Queue, y.Queue) })
	return list
}

// TotalErrors returns the errors of all queues.
func (m *Model) TotalErrors() (total Errors) {
	for _, q := range m.queues {
		total = total.Plus(q.errors)
	}
	return total
}
