package runner

import (
	"strconv"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/sched/admit"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// pool is the waiting work and the unused permits of one pool.
type pool struct {
	queue   *admit.Queue[*task]
	permits map[fleet.TeamName][]heldPermit
}

type heldPermit struct {
	permit  peer.Permit
	expires time.Time
}

// poolLocked returns a pool's queue, which is made on first use.
func (r *Runner) poolLocked(name fleet.PoolName) *pool {
	p, ok := r.pools[name]
	if !ok {
		p = &pool{queue: admit.NewQueue[*task](), permits: map[fleet.TeamName][]heldPermit{}}
		r.pools[name] = p
	}
	return p
}

func (p *pool) dropExpired(t fleet.TeamName, now time.Time) {
	held := p.permits[t]
	kept := held[:0]
	for _, h := range held {
		if now.Before(h.expires) {
			kept = append(kept, h)
		}
	}
	clear(held[len(kept):])
	if p.permits[t] = kept; len(kept) == 0 {
		delete(p.permits, t)
	}
}

// enqueue puts a task into its pool's queue and hands out what can be handed out. A task that comes back after its
// first turn was admitted before, so neither the queue's limit nor the expected wait applies to it again.
func (r *Runner) enqueue(t *task) error {
	j := admit.Job{Team: t.team, Queue: t.job.Queue, Urgent: t.job.Urgent, Slots: t.job.Slots}
	if !t.admitted {
		j.Deadline, j.Limit = t.deadline, t.limit
	}
	r.mu.Lock()
	p := r.poolLocked(t.pool)
	ticket, err := p.queue.Push(j, t)
	if err != nil {
		r.mu.Unlock()
		return err
	}
	t.admitted, t.ticket = true, ticket
	r.waiting[t.team] += t.job.Slots
	r.dispatch(p, t.team)
	r.want(t.team)
	poker := r.poker
	r.mu.Unlock()
	poker.RequestPoll(t.pool)
	return nil
}

// dequeue removes a waiting task; false means that an attempt was granted to it meanwhile.
func (r *Runner) dequeue(t *task) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ok := r.poolLocked(t.pool).queue.Cancel(t.ticket)
	if ok {
		r.waiting[t.team] -= t.job.Slots
		r.want(t.team)
	}
	return ok
}

// want tells the grants how many slots wait. The caller holds mu, so that an older number never replaces a newer one.
func (r *Runner) want(t fleet.TeamName) { r.parts.Grants.Want(t, r.waiting[t]) }

// dispatch hands a team's unused permits to its waiting tasks, as far as its ceiling grants allow.
func (r *Runner) dispatch(p *pool, team fleet.TeamName) {
	p.dropExpired(team, time.Now())
	held := p.permits[team]
	kept := held[:0]
	for _, h := range held {
		if !r.use(p, team, h) {
			kept = append(kept, h)
		}
	}
	clear(held[len(kept):])
	if p.permits[team] = kept; len(kept) == 0 {
		delete(p.permits, team)
	}
}

// use gives a permit to the team's next task that fits it; false means that the permit stays unused.
func (r *Runner) use(p *pool, team fleet.TeamName, h heldPermit) bool {
	if !r.parts.Grants.Acquire(team, h.permit.Slots) {
		return false
	}
	ticket, ok := p.queue.Pop(team, h.permit.Slots)
	if !ok {
		r.parts.Grants.Release(team, h.permit.Slots)
		return false
	}
	t := ticket.Value
	if spare := h.permit.Slots - t.job.Slots; spare > 0 {
		r.parts.Grants.Release(team, spare)
	}
	r.waiting[team] -= t.job.Slots
	r.want(team)
	t.number++
	a := &attempt{task: t, id: attemptID(t.id, t.number), pool: t.pool, instance: h.permit.Worker,
		slots: t.job.Slots, expires: h.expires}
	r.attempts[a.id] = a
	t.granted <- a
	return true
}

// attemptID is the task id that workers see.
func attemptID(id string, number int) fleet.TaskID {
	return fleet.TaskID(id + "." + strconv.Itoa(number))
}
