package runner

import (
	"context"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/sched/admit"
)

// sweep updates the retry budget, the observed zones and the estimates, and rejects waiting callers while the view
// stays stale, because an instance that is cut off can't start work.
func (r *Runner) sweep(context.Context) {
	r.retryBudget.Resize(r.retryPercent())
	r.zones.observe(r.options.Views.View(), time.Now())
	r.updateEstimates()
	if r.options.Views.Fresh() == nil {
		r.setStale(time.Time{})
		return
	}
	if since := r.markStale(); time.Since(since) < staleGrace {
		return
	}
	for _, t := range r.waitingTasks(false) {
		t.abandon(reject.KindStale, time.Second, "this instance can't confirm its configuration")
	}
}

// updateEstimates copies the estimates of the coordinators to the queues, whose admission uses them.
func (r *Runner) updateEstimates() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, p := range r.pools {
		p.queue.SetEstimates(r.coordinators.Estimates(name))
	}
}

func (r *Runner) setStale(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.staleSince = since
}

// markStale returns the time since which the view has been stale, which is now if it was fresh before.
func (r *Runner) markStale() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.staleSince.IsZero() {
		r.staleSince = time.Now()
	}
	return r.staleSince
}

// waitingTasks returns the tasks that wait for a start, which may be that of a retry, with or without the asynchronous
// ones, which can wait for a fresh view.
func (r *Runner) waitingTasks(async bool) []*task {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ts []*task
	for _, t := range r.tasks {
		if (async || !t.async) && t.progress().Phase == PhaseWaiting {
			ts = append(ts, t)
		}
	}
	return ts
}

func (r *Runner) retryPercent() int {
	v := r.options.Views.View()
	if _, ok := v.Section("limits"); !ok {
		return admit.DefaultRetries
	}
	return v.Document().Limits.Retries
}
