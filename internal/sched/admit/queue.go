// Package admit bounds the work that waits at an entry: queues per pool and team with constant-time
// cancellation, early refusal of work that can't meet its deadline, and a retry budget.
package admit

import (
	"container/list"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Job is what admission needs to know of a task.
type Job struct {
	Team   fleet.TeamName
	Queue  fleet.QueueName
	Urgent bool
	// Slots is the number of worker slots; 0 counts as 1.
	Slots    int
	Deadline time.Time
	// Limit caps the waiting tasks of the queue at this entry; 0 means no cap.
	Limit int
}

// Ticket is one waiting task.
type Ticket[T any] struct {
	Job     Job
	Value   T
	Since   time.Time
	team    *team
	lane    *list.List
	element *list.Element
}

// lanes are a team's waiting tasks of one urgency, one list per number of slots, each in order of arrival.
type lanes struct {
	bySlots map[int]*list.List
	waiting int // slots
}

// team is one team's waiting work for the pool.
type team struct {
	name   fleet.TeamName
	lanes  [2]lanes // normal, urgent
	counts map[fleet.QueueName]int
	drain  drain
}

// Queue is the waiting work of one pool at one entry; it is safe for concurrent use.
type Queue[T any] struct {
	mu        sync.Mutex
	teams     map[fleet.TeamName]*team
	estimates map[fleet.QueueName]peer.Estimate
	early     bool
	now       func() time.Time
}

// Option changes a Queue.
type Option func(*options)

type options struct {
	early bool
	now   func() time.Time
}

// WithClock replaces the runtime's clock, for simulations outside a test.
func WithClock(now func() time.Time) Option { return func(o *options) { o.now = now } }

// WithoutEarlyRefusal admits work whatever its expected wait, as a baseline for measurements.
func WithoutEarlyRefusal() Option { return func(o *options) { o.early = false } }

// NewQueue returns an empty queue.
func NewQueue[T any](opts ...Option) *Queue[T] {
	o := options{early: true, now: time.Now}
	for _, f := range opts {
		f(&o)
	}
	return &Queue[T]{
		teams: map[fleet.TeamName]*team{}, estimates: map[fleet.QueueName]peer.Estimate{}, early: o.early, now: o.now,
	}
}

// Push admits a task or returns a *reject.Error of kind full or deadline.
func (q *Queue[T]) Push(j Job, value T) (*Ticket[T], error) {
	now := q.now()
	j.Slots = max(j.Slots, 1)
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.team(j.Team)
	wait := q.wait(t, j)
	if j.Limit > 0 && t.counts[j.Queue] >= j.Limit {
		return nil, reject.New(reject.KindFull, reject.WorkNotRun, "queue %q has %d waiting tasks", j.Queue, j.Limit).
			WithRetryAfter(clamp(wait))
	}
	if err := q.refuse(j, now, wait); err != nil {
		return nil, err
	}
	l := &t.lanes[index(j.Urgent)]
	lane := l.lane(j.Slots)
	k := &Ticket[T]{Job: j, Value: value, Since: now, team: t, lane: lane}
	k.element = lane.PushBack(k)
	l.waiting += j.Slots
	t.counts[j.Queue]++
	return k, nil
}

// Cancel removes a waiting task in constant time; false means that it no longer waits.
func (q *Queue[T]) Cancel(k *Ticket[T]) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if k.element == nil {
		return false
	}
	q.remove(k)
	return true
}

// Pop takes the team's next task of at most the given number of slots: urgent before other work, the largest
// that fits before smaller ones, then in order of arrival. False means that nothing fits.
func (q *Queue[T]) Pop(name fleet.TeamName, slots int) (*Ticket[T], bool) {
	now := q.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	t, ok := q.teams[name]
	if !ok {
		return nil, false
	}
	for _, i := range [2]int{index(true), index(false)} {
		lane := t.lanes[i].largest(slots)
		if lane == nil {
			continue
		}
		k := lane.Front().Value.(*Ticket[T])
		q.remove(k)
		t.drain.popped(now, k.Job.Slots, t.waiting())
		return k, true
	}
	return nil, false
}

// Learn takes over what the pool's coordinator has learned.
func (q *Queue[T]) Learn(estimates []peer.Estimate) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range estimates {
		q.estimates[e.Queue] = e
	}
}

// Demand returns every team's waiting work; free tells the slots of the team's unused ceiling grants.
func (q *Queue[T]) Demand(free func(fleet.TeamName) int) []peer.Demand {
	now := q.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	var ds []peer.Demand
	for _, t := range q.teams {
		waiting := t.waiting()
		if waiting == 0 {
			continue
		}
		ds = append(ds, peer.Demand{
			Team: t.name, Waiting: waiting, Urgent: t.lanes[index(true)].waiting,
			Usable: max(free(t.name), 0), Oldest: now.Sub(oldest[T](t, now)), Sizes: t.sizes(),
		})
	}
	return ds
}

// Waiting returns the slots of all waiting work.
func (q *Queue[T]) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, t := range q.teams {
		n += t.waiting()
	}
	return n
}

// refuse returns a rejection if the expected wait and run time go past the deadline.
func (q *Queue[T]) refuse(j Job, now time.Time, wait time.Duration) error {
	if !q.early || j.Deadline.IsZero() {
		return nil
	}
	late := now.Add(wait + q.estimates[j.Queue].Typical).Sub(j.Deadline)
	if late <= 0 {
		return nil
	}
	return reject.New(reject.KindDeadline, reject.WorkNotRun, "expected wait of %v passes the deadline", wait.Round(time.Millisecond)).
		WithRetryAfter(clamp(late))
}

// wait returns the expected wait of a job: the work ahead of it at this entry over the rate at which such work
// starts here, or what the coordinator has learned while this entry knows no rate.
func (q *Queue[T]) wait(t *team, j Job) time.Duration {
	ahead := t.lanes[index(true)].waiting
	if !j.Urgent {
		ahead = t.waiting()
	}
	if ahead == 0 {
		return 0
	}
	if r := t.drain.rate(q.now()); r > 0 {
		return time.Duration(float64(ahead) / r * float64(time.Second))
	}
	return q.estimates[j.Queue].Wait
}

func (q *Queue[T]) remove(k *Ticket[T]) {
	k.lane.Remove(k.element)
	k.element = nil
	k.team.lanes[index(k.Job.Urgent)].waiting -= k.Job.Slots
	k.team.counts[k.Job.Queue]--
}

func (q *Queue[T]) team(name fleet.TeamName) *team {
	t, ok := q.teams[name]
	if !ok {
		t = &team{name: name, counts: map[fleet.QueueName]int{}}
		q.teams[name] = t
	}
	return t
}

func (t *team) waiting() int { return t.lanes[0].waiting + t.lanes[1].waiting }

// sizes groups the waiting tasks by slots and urgency; nil if all have one slot.
func (t *team) sizes() []peer.Size {
	var sizes []peer.Size
	for i := range t.lanes {
		for slots, lane := range t.lanes[i].bySlots {
			if lane.Len() > 0 {
				sizes = append(sizes, peer.Size{Slots: slots, Tasks: lane.Len(), Urgent: i == index(true)})
			}
		}
	}
	for _, s := range sizes {
		if s.Slots > 1 {
			return sizes
		}
	}
	return nil
}

func (l *lanes) lane(slots int) *list.List {
	if l.bySlots == nil {
		l.bySlots = map[int]*list.List{}
	}
	lane, ok := l.bySlots[slots]
	if !ok {
		lane = list.New()
		l.bySlots[slots] = lane
	}
	return lane
}

// largest returns the non-empty list of the largest tasks that fit, nil if there is none.
func (l *lanes) largest(slots int) *list.List {
	best := 0
	for s, lane := range l.bySlots {
		if s <= slots && s > best && lane.Len() > 0 {
			best = s
		}
	}
	return l.bySlots[best]
}

func oldest[T any](t *team, now time.Time) time.Time {
	first := now
	for i := range t.lanes {
		for _, lane := range t.lanes[i].bySlots {
			if e := lane.Front(); e != nil && e.Value.(*Ticket[T]).Since.Before(first) {
				first = e.Value.(*Ticket[T]).Since
			}
		}
	}
	return first
}

func index(urgent bool) int {
	if urgent {
		return 1
	}
	return 0
}

func clamp(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }
