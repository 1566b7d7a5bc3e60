// Package admit bounds the work that waits at an entry: queues per pool and team with cancellation in constant time,
// early rejection of work that can't meet its deadline, a bound of request bodies in memory, and a retry budget.
package admit

import (
	"container/list"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// minRetryAfter and maxRetryAfter bound the time after which a rejected caller is told to retry.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Job is the part of a task that admission uses.
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

// Ticket is a waiting task in a Queue.
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

// team is the waiting work of one team.
type team struct {
	name      fleet.TeamName
	lanes     [2]lanes                // normal, urgent
	counts    map[fleet.QueueName]int // waiting tasks
	startRate startRate
}

// Queue is the waiting work of one pool at one entry; it is safe for concurrent use.
type Queue[T any] struct {
	mu             sync.Mutex
	teams          map[fleet.TeamName]*team
	estimates      map[fleet.QueueName]peer.Estimate
	earlyRejection bool
	now            func() time.Time
}

// Option configures a Queue.
type Option func(*options)

type options struct {
	earlyRejection bool
	now            func() time.Time
}

// WithClock replaces the system clock, for simulations outside tests.
func WithClock(now func() time.Time) Option { return func(o *options) { o.now = now } }

// WithoutEarlyRefusal admits work regardless of its expected wait, as a baseline for benchmarks.
func WithoutEarlyRefusal() Option { return func(o *options) { o.earlyRejection = false } }

// NewQueue returns an empty queue.
func NewQueue[T any](opts ...Option) *Queue[T] {
	o := options{earlyRejection: true, now: time.Now}
	for _, f := range opts {
		f(&o)
	}
	return &Queue[T]{
		teams: map[fleet.TeamName]*team{}, estimates: map[fleet.QueueName]peer.Estimate{},
		earlyRejection: o.earlyRejection, now: o.now,
	}
}

// Push admits a task or returns a *reject.Error of KindFull or KindDeadline.
func (q *Queue[T]) Push(j Job, value T) (*Ticket[T], error) {
	now := q.now()
	j.Slots = max(j.Slots, 1)
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.team(j.Team)
	wait := q.expectedWait(t, j)
	if j.Limit > 0 && t.counts[j.Queue] >= j.Limit {
		return nil, reject.New(reject.KindFull, reject.WorkNotRun, "queue %q has %d waiting tasks", j.Queue, j.Limit).
			WithRetryAfter(clampRetryAfter(wait))
	}
	if err := q.checkDeadline(j, now, wait); err != nil {
		return nil, err
	}
	l := &t.lanes[laneIndex(j.Urgent)]
	lane := l.lane(j.Slots)
	k := &Ticket[T]{Job: j, Value: value, Since: now, team: t, lane: lane}
	k.element = lane.PushBack(k)
	l.waiting += j.Slots
	t.counts[j.Queue]++
	return k, nil
}

// Cancel removes a waiting task in constant time; false means that it was not waiting any more.
func (q *Queue[T]) Cancel(k *Ticket[T]) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if k.element == nil {
		return false
	}
	q.remove(k)
	return true
}

// Pop removes and returns the team's next task of at most the given number of slots: urgent tasks first, then the
// largest that fit, then in order of arrival. False means that no task fits.
func (q *Queue[T]) Pop(name fleet.TeamName, slots int) (*Ticket[T], bool) {
	now := q.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	t, ok := q.teams[name]
	if !ok {
		return nil, false
	}
	for _, i := range [2]int{laneIndex(true), laneIndex(false)} {
		lane := t.lanes[i].largestFitting(slots)
		if lane == nil {
			continue
		}
		k := lane.Front().Value.(*Ticket[T])
		q.remove(k)
		t.startRate.observe(now, k.Job.Slots, t.waiting())
		return k, true
	}
	return nil, false
}

// SetEstimates replaces the given queues' estimates by newer ones from the pool's coordinator and keeps the others.
func (q *Queue[T]) SetEstimates(estimates []peer.Estimate) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range estimates {
		q.estimates[e.Queue] = e
	}
}

// Demand returns the waiting work of each team that has any; free returns the slots of a team's unused ceiling grants.
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
			Team: t.name, Waiting: waiting, Urgent: t.lanes[laneIndex(true)].waiting,
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

// checkDeadline returns a rejection if the job is expected to end after its deadline.
func (q *Queue[T]) checkDeadline(j Job, now time.Time, wait time.Duration) error {
	if !q.earlyRejection || j.Deadline.IsZero() {
		return nil
	}
	late := now.Add(wait + q.estimates[j.Queue].Typical).Sub(j.Deadline)
	if late <= 0 {
		return nil
	}
	return reject.New(reject.KindDeadline, reject.WorkNotRun, "expected wait of %v passes the deadline",
		wait.Round(time.Millisecond)).
		WithRetryAfter(clampRetryAfter(late))
}

// expectedWait returns the expected wait of a job: the team's slots ahead of it at this entry divided by the team's
// start rate, or the coordinator's estimate while the rate is unknown; 0 if no slots are ahead.
func (q *Queue[T]) expectedWait(t *team, j Job) time.Duration {
	ahead := t.lanes[laneIndex(true)].waiting
	if !j.Urgent {
		ahead = t.waiting()
	}
	if ahead == 0 {
		return 0
	}
	if r := t.startRate.perSecond(q.now()); r > 0 {
		return time.Duration(float64(ahead) / r * float64(time.Second))
	}
	return q.estimates[j.Queue].Wait
}

func (q *Queue[T]) remove(k *Ticket[T]) {
	k.lane.Remove(k.element)
	k.element = nil
	k.team.lanes[laneIndex(k.Job.Urgent)].waiting -= k.Job.Slots
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
				sizes = append(sizes, peer.Size{Slots: slots, Tasks: lane.Len(), Urgent: i == laneIndex(true)})
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

// largestFitting returns the non-empty lane of the largest tasks that fit, nil if there is none.
func (l *lanes) largestFitting(slots int) *list.List {
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

func laneIndex(urgent bool) int {
	if urgent {
		return 1
	}
	return 0
}

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }
