package runner

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// maxOutcomes bounds the outcomes of a pool kept for its next snapshot, which is late while a coordinator does not
// answer a poll.
const maxOutcomes = 4096

// Snapshot returns the state of this entry instance for one pool: demand, occupied slots, unused permits, and the
// outcomes since the last call.
func (r *Runner) Snapshot(name fleet.PoolName) peer.PollRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.poolLocked(name)
	q := peer.PollRequest{From: r.options.Members.Self().ID, Pool: name, Outcomes: r.outcomes[name]}
	delete(r.outcomes, name)
	for team := range p.permits {
		r.dispatch(p, team)
		for _, u := range p.permits[team] {
			q.Unused = append(q.Unused, u.permit.ID)
		}
	}
	q.Demand = p.queue.Demand(r.options.Grants.Free)
	for _, a := range r.attempts {
		if a.pool == name {
			q.Occupied = append(q.Occupied, peer.Occupied{Task: a.id, Worker: a.instance, Team: a.task.team,
				Slots: a.slots, Urgent: a.task.job.Urgent})
		}
	}
	return q
}

// Permit takes a permit from a coordinator and gives it to the first waiting task that it fits. Without such a task the
// permit stays unused until it expires.
func (r *Runner) Permit(permit peer.Permit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.poolLocked(permit.Pool)
	p.permits[permit.Team] = append(p.permits[permit.Team],
		unusedPermit{permit: permit, expires: time.Now().Add(permit.TTL)})
	r.dispatch(p, permit.Team)
}

// finish ends an attempt whose task holds no slot any more: its ceiling units are released, and its outcome and run
// time are reported to the coordinator unless the outcome is "". For an attempt that is not registered, or no longer,
// it only requests a poll.
func (r *Runner) finish(a *attempt, k peer.OutcomeKind, ran time.Duration) {
	r.mu.Lock()
	_, active := r.attempts[a.id]
	delete(r.attempts, a.id)
	p := a.pool
	if active && k != "" && len(r.outcomes[p]) < maxOutcomes {
		r.outcomes[p] = append(r.outcomes[p], peer.Outcome{Worker: a.instance, Queue: a.task.job.Queue,
			Team: a.task.team, Kind: k, Ran: ran})
	}
	coordinators := r.coordinators
	r.mu.Unlock()
	if active {
		r.options.Grants.Release(a.task.team, a.slots)
	}
	coordinators.RequestPoll(p)
}
