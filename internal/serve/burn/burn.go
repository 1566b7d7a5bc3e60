// Package burn counts requests that meet or miss the objective of their queue and reports how fast the queues use up
// their error budgets.
package burn

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
)

// Recorder counts the requests of one entry instance in rolling windows.
type Recorder struct {
	start time.Time

	mu     sync.Mutex
	queues map[fleet.QueueName]*[len(windowLengths)]*window
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{start: time.Now(), queues: map[fleet.QueueName]*[len(windowLengths)]*window{}}
}

// Record counts one request of a queue, which took the given time from its submission to its answer: good if it was
// answered within s.Within, bad otherwise. A task that ran and failed counts as answered; any other error is bad.
// Requests that the caller cancelled, or that were rejected because of the caller's own error, are not counted.
func (r *Recorder) Record(q fleet.QueueName, s fleet.QueueSection, took time.Duration, err error) {
	var rejection *reject.Error
	answered := err == nil
	if errors.As(err, &rejection) {
		if isCallerError(rejection.Kind) {
			return
		}
		answered = rejection.Kind == reject.KindFailed
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.windows(q) {
		w.count(time.Since(r.start), answered && took <= s.Within)
	}
}

func isCallerError(k reject.Kind) bool {
	switch k {
	case reject.KindKey, reject.KindForbidden, reject.KindQueue, reject.KindTask, reject.KindRequest, reject.KindBody,
		reject.KindImpossible, reject.KindCancelled:
		return true
	}
	return false
}

func (r *Recorder) windows(q fleet.QueueName) *[len(windowLengths)]*window {
	if _, ok := r.queues[q]; !ok {
		var w [len(windowLengths)]*window
		for i, d := range windowLengths {
			w[i] = newWindow(d)
		}
		r.queues[q] = &w
	}
	return r.queues[q]
}

// Counts holds the tallies of each queue in the order of the windows; entry instances exchange it.
type Counts map[fleet.QueueName][]Tally

// Counts returns the current tallies.
func (r *Recorder) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := Counts{}
	for q, windows := range r.queues {
		for _, w := range windows {
			c[q] = append(c[q], w.sum(time.Since(r.start)))
		}
	}
	return c
}

// Plus returns the sum of two counts. It ignores tallies of further windows, which another version of the program may
// have.
func (c Counts) Plus(o Counts) Counts {
	sum := Counts{}
	for _, counts := range []Counts{c, o} {
		for q, tallies := range counts {
			if sum[q] == nil {
				sum[q] = make([]Tally, len(windowLengths))
			}
			for i := range min(len(tallies), len(windowLengths)) {
				sum[q][i] = sum[q][i].plus(tallies[i])
			}
		}
	}
	return sum
}

// queueNames returns the sorted names of a document's queues.
func queueNames(d fleet.Document) []fleet.QueueName { return slices.Sorted(maps.Keys(d.Queues)) }
