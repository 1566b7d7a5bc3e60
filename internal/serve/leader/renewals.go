package leader

import (
	"container/heap"
	"context"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/serve/relay"
)

const (
	// authorityCheckInterval is the time between two checks whether this process may send a renewal that is due.
	authorityCheckInterval = 10 * time.Millisecond
	// renewalPause is the least time between two passes over the renewals, so that one covers several.
	renewalPause = 2 * time.Millisecond
	// maxRenewalPause is the longest time between two passes.
	maxRenewalPause = time.Second
)

// renewalState is when a worker's last renewal ended and when its next one is due.
type renewalState struct {
	worker   work.WorkerID
	last     time.Time
	due      time.Time
	inFlight bool
	// index is the state's place in the heap, -1 if the worker needs no renewal or has one in flight.
	index int
}

// renewalHeap orders states by when they are due.
type renewalHeap []*renewalState

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h renewalHeap) Len() int { return len(h) }

func (h renewalHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }

func (h renewalHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *renewalHeap) Push(x any) {
	r := x.(*renewalState)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *renewalHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	*h = (*h)[:last]
	r.index = -1
	return r
}

// renewalQueue holds the next renewal of each worker. A worker has at most one renewal in flight.
type renewalQueue struct {
	states map[work.WorkerID]*renewalState
	heap   renewalHeap
}

func newRenewalQueue() renewalQueue { return renewalQueue{states: map[work.WorkerID]*renewalState{}} }

// schedule sets when a worker's next renewal is due.
func (q *renewalQueue) schedule(r *renewalState, due time.Time) {
	r.due = due
	if r.index < 0 {
		heap.Push(&q.heap, r)
	} else {
		heap.Fix(&q.heap, r.index)
	}
}

// cancel records that a worker needs no renewal now.
func (q *renewalQueue) cancel(r *renewalState) {
	if r.index >= 0 {
		heap.Remove(&q.heap, r.index)
	}
}

// finished records that a worker's renewal has ended.
func (q *renewalQueue) finished(id work.WorkerID, now time.Time) {
	if r, ok := q.states[id]; ok {
		r.inFlight, r.last = false, now
		q.schedule(r, now)
	}
}

// update sets when a worker's next renewal is due; s.mu must be held.
func (s *session) update(id work.WorkerID) {
	q := &s.renewals
	r, ok := q.states[id]
	if !s.scheduler.Tracks(id) {
		if ok {
			q.cancel(r)
			delete(q.states, id)
		}
		return
	}
	if !ok {
		r = &renewalState{worker: id, index: -1}
		q.states[id] = r
	}
	if r.inFlight {
		return
	}
	_, interval, wanted := s.scheduler.NextRenewal(id)
	if !wanted {
		q.cancel(r)
		return
	}
	q.schedule(r, r.last.Add(interval))
}

// renewalLoop renews the leases of the workers and reads their run lists, as the scheduler demands.
func (s *session) renewalLoop(ctx context.Context) {
	for ctx.Err() == nil {
		orders, next := s.dueRenewals()
		s.work.renewals.Add(int64(len(orders)))
		s.send(ctx, orders)
		select {
		case <-time.After(renewalPause):
		case <-ctx.Done():
			return
		}
		timer := time.NewTimer(max(min(next, maxRenewalPause)-renewalPause, 0))
		select {
		case <-s.renewalWake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// dueRenewals returns the renewals that are due and the time until the next one is.
func (s *session) dueRenewals() ([]relay.Order, time.Duration) {
	authority := s.hasAuthority()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.scheduler.TakeTouched() {
		s.update(id)
	}
	q := &s.renewals
	now := time.Now()
	var orders []relay.Order
	for len(q.heap) > 0 && !q.heap[0].due.After(now) {
		r := q.heap[0]
		// The scheduler may demand another one by now.
		s.update(r.worker)
		if r.index < 0 || r.due.After(now) {
			continue
		}
		if !authority {
			q.schedule(r, now.Add(authorityCheckInterval))
			continue
		}
		renewal, _, _ := s.scheduler.NextRenewal(r.worker)
		q.cancel(r)
		r.inFlight = true
		orders = append(orders, relay.Order{Renewal: s.scheduler.PrepareRenewal(renewal), Sent: now})
	}
	if len(q.heap) == 0 {
		return orders, maxRenewalPause
	}
	return orders, q.heap[0].due.Sub(now)
}
