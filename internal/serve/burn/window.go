package burn

import "time"

// slotsPerWindow is the resolution of a rolling window: counts leave it in steps of a sixtieth of its length.
const slotsPerWindow = 60

// windowLengths are the rolling windows of the report. A short and a long window together tell a present
// problem from one that is over.
var windowLengths = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// Tally counts requests that met their objective and those that did not.
type Tally struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

func (t Tally) plus(o Tally) Tally { return Tally{t.Good + o.Good, t.Bad + o.Bad} }

// window is a ring of slots; the ring has one slot more than the window, so that a full window is always covered.
type window struct {
	step  time.Duration
	slots [slotsPerWindow + 1]Tally
	// last is the number of the slot that was counted into last, since the recorder's start.
	last int64
}

func newWindow(length time.Duration) *window { return &window{step: length / slotsPerWindow} }

// advance empties the slots between the last one and the one at an age.
func (w *window) advance(age time.Duration) *Tally {
	now := int64(age / w.step)
	if now-w.last > int64(len(w.slots)) {
		w.slots = [slotsPerWindow + 1]Tally{}
		w.last = now
	}
	for ; w.last < now; w.last++ {
		w.slots[(w.last+1)%int64(len(w.slots))] = Tally{}
	}
	return &w.slots[now%int64(len(w.slots))]
}

func (w *window) count(age time.Duration, good bool) {
	t := w.advance(age)
	if good {
		t.Good++
	} else {
		t.Bad++
	}
}

func (w *window) sum(age time.Duration) Tally {
	w.advance(age)
	var sum Tally
	for _, t := range w.slots {
		sum = sum.plus(t)
	}
	return sum
}
