package burn

import "time"

// bucketsPerWindow is the resolution of a rolling window: requests leave it in steps of 1/60 of its length.
const bucketsPerWindow = 60

// windowLengths are the lengths of the rolling windows. A short and a long window together distinguish a current
// problem from a past one.
var windowLengths = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// Tally counts requests that met their objective and those that did not.
type Tally struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

func (t Tally) plus(o Tally) Tally { return Tally{t.Good + o.Good, t.Bad + o.Bad} }

// window is a ring of buckets. It has one bucket more than the window's length needs, so that it always covers a full
// window while the newest bucket fills.
type window struct {
	bucketLength time.Duration
	buckets      [bucketsPerWindow + 1]Tally
	// lastBucket is the number of the newest bucket, counted from the start of the recorder.
	lastBucket int64
}

func newWindow(length time.Duration) *window { return &window{bucketLength: length / bucketsPerWindow} }

// advance clears the buckets that have become current since the last call and returns the bucket for a time since the
// start of the recorder.
func (w *window) advance(elapsed time.Duration) *Tally {
	current := int64(elapsed / w.bucketLength)
	if current-w.lastBucket > int64(len(w.buckets)) {
		w.buckets = [bucketsPerWindow + 1]Tally{}
		w.lastBucket = current
	}
	for ; w.lastBucket < current; w.lastBucket++ {
		w.buckets[(w.lastBucket+1)%int64(len(w.buckets))] = Tally{}
	}
	return &w.buckets[current%int64(len(w.buckets))]
}

func (w *window) count(elapsed time.Duration, good bool) {
	t := w.advance(elapsed)
	if good {
		t.Good++
	} else {
		t.Bad++
	}
}

func (w *window) sum(elapsed time.Duration) Tally {
	w.advance(elapsed)
	var sum Tally
	for _, t := range w.buckets {
		sum = sum.plus(t)
	}
	return sum
}
