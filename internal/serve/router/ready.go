package router

import (
	"context"
	"time"
)

const (
	// firstReadyPoll is the time until the first heartbeat to a leader that is not ready, readyPollInterval that between the
	// others.
	firstReadyPoll    = retryBackoff
	readyPollInterval = 200 * time.Millisecond
	// maxReadyWait is how long an instance asks before it lets the requests that wait try again.
	maxReadyWait = 2 * time.Second
	// replyDelay is how much longer than until the next heartbeat a reply to one may take before the leader counts as silent.
	replyDelay = 100 * time.Millisecond
)

// awaitReady waits until the leader may be ready, the request that began at a time is to be rejected, or the context ends, and
// reports whether the leader may be ready. All requests of this instance wait for the same heartbeats: if each of them asked by itself, a leader that takes over under load
// would have no time to load the stored state.
func (r *Router) awaitReady(ctx context.Context, unknown bool, began time.Time) bool {
	limit := max(time.Until(began.Add(leaderWaitTimeout)), 0)
	if deadline, ok := ctx.Deadline(); unknown && ok {
		limit = max(time.Until(deadline)-retryBackoff, 0)
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-r.watchReady():
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// watchReady returns a channel that is closed when the leader may be ready.
func (r *Router) watchReady() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ready != nil {
		return r.ready
	}
	ready := make(chan struct{})
	r.ready = ready
	go func() {
		r.pollReady()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ready = nil
		close(ready)
	}()
	return ready
}

// pollReady sends heartbeats until the leader replies that it is ready, for maxReadyWait at most.
func (r *Router) pollReady() {
	began := time.Now()
	for pause := firstReadyPoll; ; pause = readyPollInterval {
		time.Sleep(pause)
		if r.askReady() || time.Since(began) > maxReadyWait {
			return
		}
	}
}

// askReady sends a heartbeat and reports whether the leader, which may be this process, is ready.
func (r *Router) askReady() bool {
	sent := time.Now()
	r.sendHeartbeat(context.Background())
	r.mu.Lock()
	ready := !r.repliedAt.Before(sent) && r.lastReply.IsLeader && !r.lastReply.Loading
	r.mu.Unlock()
	return ready || r.local.IsLeader()
}

// leaderTerm returns the term of the known leader, 0 without one.
func (r *Router) leaderTerm() int64 {
	leader, _ := r.tracker.Leader()
	return leader.Term
}

// repliedTerm returns the term of the leader that has replied to the last heartbeat, or that of this process if it leads.
func (r *Router) repliedTerm() int64 {
	if r.local.IsLeader() {
		return r.leaderTerm()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastReply.Term
}

// isSilent reports whether a heartbeat to the leader of a term should have been answered by now and was not, or whether a
// later leader is known.
func (r *Router) isSilent(term int64) bool {
	if r.leaderTerm() > term {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lastReply.IsLeader || r.lastReply.Term != term || time.Since(r.repliedAt) > r.intervalLocked()+replyDelay
}

// isReady reports whether the leader of a term has replied to the last heartbeat that it is ready.
func (r *Router) isReady(term int64) bool {
	if r.isSilent(term) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lastReply.Loading
}
