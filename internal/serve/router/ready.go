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
		sent := time.Now()
		r.sendHeartbeat(context.Background())
		r.mu.Lock()
		ready := r.repliedAt.After(sent) && r.lastReply.IsLeader && !r.lastReply.Loading
		r.mu.Unlock()
		if ready || r.local.IsLeader() || time.Since(began) > maxReadyWait {
			return
		}
	}
}
