package runner

import (
	"context"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/sched/admit"
)

// renewAll renews the leases of all running tasks, one request per worker. Workers that have been silent are left
// out, so that it becomes certain when their leases lapse. Nothing is renewed under a stale view: this instance may
// have been removed, and its ceiling grants return to the others once its leases have lapsed.
func (r *Runner) renewAll(context.Context) {
	if r.parts.Views.Fresh() != nil {
		return
	}
	byAddress := map[string][]*attempt{}
	r.mu.Lock()
	for _, a := range r.attempts {
		if a.isRenewable() {
			byAddress[a.address] = append(byAddress[a.address], a)
		}
	}
	r.mu.Unlock()
	for address, as := range byAddress {
		go r.renew(address, as)
	}
}

func (r *Runner) renew(address string, as []*attempt) {
	ids := make([]fleet.TaskID, 0, len(as))
	for _, a := range as {
		a.sending()
		ids = append(ids, a.id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := r.parts.Workers.Renew(ctx, address, lease, ids); err != nil {
		r.log.Debug("leases not renewed", addressField(address), errField(err))
		return
	}
	for _, a := range as {
		a.reply()
	}
}

// sweep refuses waiting callers while the view stays stale, because an instance that is cut off can't start work.
func (r *Runner) sweep(context.Context) {
	r.retries.Resize(r.retryPercent())
	r.zones.note(r.parts.Views.View(), time.Now())
	r.learn()
	if r.parts.Views.Fresh() == nil {
		r.setStale(time.Time{})
		return
	}
	if since := r.staleSince(); time.Since(since) < staleGrace {
		return
	}
	for _, t := range r.waitingTasks(false) {
		t.giveUp(reject.KindStale, time.Second, "this instance can't confirm its configuration")
	}
}

// learn takes over the coordinators' estimates, which the admission uses.
func (r *Runner) learn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, p := range r.pools {
		p.queue.Learn(r.poker.Estimates(name))
	}
}

func (r *Runner) setStale(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stale = since
}

func (r *Runner) staleSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stale.IsZero() {
		r.stale = time.Now()
	}
	return r.stale
}

// waitingTasks returns the tasks that have not been started; asynchronous ones can wait for a fresh view.
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
	v := r.parts.Views.View()
	if _, ok := v.Section("limits"); !ok {
		return admit.DefaultRetries
	}
	return v.Document().Limits.Retries
}

// bootCache keeps the boot ids of workers for some seconds. An outdated id is safe: it can only make a worker's
// denial of a start unbelievable, never believable.
type bootCache struct {
	workers Workers
	mu      sync.Mutex
	boots   map[string]cachedBoot
}

type cachedBoot struct {
	boot string
	at   time.Time
}

const bootMaxAge = 10 * time.Second

func newBootCache(w Workers) *bootCache {
	return &bootCache{workers: w, boots: map[string]cachedBoot{}}
}

// get returns a worker's boot id, or "" if it can't be had.
func (c *bootCache) get(ctx context.Context, address string) string {
	c.mu.Lock()
	b, ok := c.boots[address]
	c.mu.Unlock()
	if ok && time.Since(b.at) < bootMaxAge {
		return b.boot
	}
	at := time.Now()
	report, err := c.workers.Report(ctx, address)
	if err != nil {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.boots[address] = cachedBoot{boot: report.Boot, at: at}
	return report.Boot
}
