package runner

import (
	"strconv"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/sched/admit"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// pool holds the waiting tasks and the unused permits of one pool.
type pool struct {
	queue   *admit.Queue[*task]
	permits map[fleet.TeamName][]unusedPermit
}

// unusedPermit is a permit that no task has taken yet.
type unusedPermit struct {
	permit  peer.Permit
	expires time.Time
}

// poolLocked returns the state of a pool, which is created on first use.
func (r *Runner) poolLocked(name fleet.PoolName) *pool {
	p, ok := r.pools[name]
	if !ok {
		p = &pool{queue: admit.NewQueue[*task](), permits: map[fleet.TeamName][]unusedPermit{}}
		r.pools[name] = p
	}
	return p
}

func (p *pool) dropExpired(t fleet.TeamName, now time.Time) {
	permits := p.permits[t]
	kept := permits[:0]
	for _, u := range permits {
		if now.Before(u.expires) {
			kept = append(kept, u)
		}
	}
	clear(permits[len(kept):])
	if p.permits[t] = kept; len(kept) == 0 {
		delete(p.permits, t)
	}
}

// enqueue adds a task to the queue of its pool and assigns unused permits. A task that returns to the queue was
// admitted before, so neither the limit of the queue nor the expected wait applies to it again.
func (r *Runner) enqueue(t *task) error {
	j := admit.Job{Team: t.team, Queue: t.job.Queue, Urgent: t.job.Urgent, Slots: t.job.Slots}
	if !t.admitted {
		j.Deadline, j.Limit = t.deadline, t.queueLimit
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
	r.reportWaiting(t.team)
	coordinators := r.coordinators
	r.mu.Unlock()
	coordinators.RequestPoll(t.pool)
	return nil
}

// dequeue removes a waiting task; false means that an attempt was granted to it in the meantime.
func (r *Runner) dequeue(t *task) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ok := r.poolLocked(t.pool).queue.Cancel(t.ticket)
	if ok {
		r.waiting[t.team] -= t.job.Slots
		r.reportWaiting(t.team)
	}
	return ok
}

// reportWaiting reports to the grants how many slots wait. The caller holds mu, so that an older number never replaces
// a newer one.
func (r *Runner) reportWaiting(t fleet.TeamName) { r.options.Grants.Want(t, r.waiting[t]) }

// dispatch assigns the unused permits of a team to its waiting tasks as far as its ceiling grants allow. The caller
// holds mu.
func (r *Runner) dispatch(p *pool, team fleet.TeamName) {
	p.dropExpired(team, time.Now())
	permits := p.permits[team]
	kept := permits[:0]
	for _, u := range permits {
		if !r.assign(p, team, u) {
			kept = append(kept, u)
		}
	}
	clear(permits[len(kept):])
	if p.permits[team] = kept; len(kept) == 0 {
		delete(p.permits, team)
	}
}

// assign gives a permit to the next task of the team that fits it; false means that the permit stays unused.
func (r *Runner) assign(p *pool, team fleet.TeamName, u unusedPermit) bool {
	if !r.options.Grants.Acquire(team, u.permit.Slots) {
		return false
	}
	ticket, ok := p.queue.Pop(team, u.permit.Slots)
	if !ok {
		r.options.Grants.Release(team, u.permit.Slots)
		return false
	}
	t := ticket.Value
	if spare := u.permit.Slots - t.job.Slots; spare > 0 {
		r.options.Grants.Release(team, spare)
	}
	r.waiting[team] -= t.job.Slots
	r.reportWaiting(team)
	t.attemptNumber++
	a := &attempt{task: t, id: attemptID(t.id, t.attemptNumber), pool: t.pool, instance: u.permit.Worker,
		slots: t.job.Slots, permitExpires: u.expires}
	r.attempts[a.id] = a
	t.granted <- a
	return true
}

// attemptID is the task id that workers see.
func attemptID(id string, number int) fleet.TaskID {
	return fleet.TaskID(id + "." + strconv.Itoa(number))
}
