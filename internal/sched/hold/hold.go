// Package hold decides in which order requests that wait for a leader are sent to it, how many at a time, and which are
// refused.
package hold

import (
	"container/heap"
	"time"
)

// Options bound a Queue.
type Options struct {
	// MaxHeld is the number of requests that are held at most.
	MaxHeld int
	// MaxOutstanding is the number of requests that are sent and not done at most.
	MaxOutstanding int
	// MaxWait is how long a request is held that no leader can have received.
	MaxWait time.Duration
	// Margin is the time before a request's deadline that is left for its answer.
	Margin time.Duration
}

// Request is a held request.
type Request struct {
	// Began is when the request arrived, Deadline when its caller gives up.
	Began, Deadline time.Time
	// MayHaveRun means that an earlier attempt may have reached a leader. Such a request is held until shortly before its
	// deadline, since its refusal tells the caller nothing, and is displaced last.
	MayHaveRun bool

	expires time.Time
	// added orders requests of the same deadline.
	added uint64
	// place is the index in the heap, -1 outside of it.
	place int
}

// Queue holds requests and counts those that are outstanding. It is not safe for concurrent use.
type Queue struct {
	options     Options
	held        byDeadline
	outstanding int
	added       uint64
}

// NewQueue returns an empty queue.
func NewQueue(o Options) *Queue { return &Queue{options: o} }

// Add holds a request and returns the one that is to be refused because too many are held, or nil: the one with the latest
// deadline of those that have not run, which may be the new one.
func (q *Queue) Add(r *Request) *Request {
	q.added++
	r.added, r.expires = q.added, r.Deadline.Add(-q.options.Margin)
	if limit := r.Began.Add(q.options.MaxWait); !r.MayHaveRun && limit.Before(r.expires) {
		r.expires = limit
	}
	heap.Push(&q.held, r)
	if len(q.held) <= q.options.MaxHeld {
		return nil
	}
	last := q.held[0]
	for _, x := range q.held[1:] {
		if last.MayHaveRun && !x.MayHaveRun || last.MayHaveRun == x.MayHaveRun && last.before(x) {
			last = x
		}
	}
	heap.Remove(&q.held, last.place)
	return last
}

// Next returns the request with the earliest deadline, which is outstanding from then on, or nil if there is none or too many
// are outstanding.
func (q *Queue) Next() *Request {
	if len(q.held) == 0 || q.outstanding >= q.options.MaxOutstanding {
		return nil
	}
	q.outstanding++
	return heap.Pop(&q.held).(*Request)
}

// Done ends an outstanding request.
func (q *Queue) Done() { q.outstanding-- }

// Remove stops holding a request whose caller has left.
func (q *Queue) Remove(r *Request) {
	if r.place >= 0 {
		heap.Remove(&q.held, r.place)
	}
}

// Expired stops holding the requests whose time has ended by now, and returns them.
func (q *Queue) Expired(now time.Time) []*Request {
	var expired []*Request
	for _, r := range q.held {
		if !now.Before(r.expires) {
			expired = append(expired, r)
		}
	}
	for _, r := range expired {
		heap.Remove(&q.held, r.place)
	}
	return expired
}

// Held returns the number of held requests.
func (q *Queue) Held() int { return len(q.held) }

// Expires returns until when a request that was added is held.
func (r *Request) Expires() time.Time { return r.expires }

func (r *Request) before(x *Request) bool {
	if !r.Deadline.Equal(x.Deadline) {
		return r.Deadline.Before(x.Deadline)
	}
	return r.added < x.added
}

// byDeadline is a heap of requests, the earliest deadline first.
type byDeadline []*Request

// Len implements heap.Interface.
func (h byDeadline) Len() int { return len(h) }

// Less implements heap.Interface.
func (h byDeadline) Less(i, j int) bool { return h[i].before(h[j]) }

// Swap implements heap.Interface.
func (h byDeadline) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push implements heap.Interface.
func (h *byDeadline) Push(x any) {
	r := x.(*Request)
	r.place = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *byDeadline) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h, r.place = old[:len(old)-1], -1
	return r
}
