package runner

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

const (
	// maxDeclined bounds the permits that a retry gives back, because the worker that failed may be the only one with
	// free slots.
	maxDeclined = 4
	// declineDelay is how long the slots of a declined permit stay in use. Without it the coordinator would permit the
	// same worker again, because a worker that fails its tasks at once has the most free slots.
	declineDelay = 100 * time.Millisecond
)

// declines reports whether a retry gives its permit back: the permit is for the worker that has just failed the task,
// fewer than maxDeclined were given back, and another worker could run the task.
func (r *Runner) declines(a *attempt, v fleet.View) bool {
	t := a.task
	return a.instance == t.failedWorker && t.declinedPermits < maxDeclined && r.hasAlternative(v, a)
}

// hasAlternative reports whether another worker of the pool could run the task.
func (r *Runner) hasAlternative(v fleet.View, a *attempt) bool {
	for _, m := range v.Pool(a.pool) {
		if m.ID != a.instance && m.Slots >= a.slots && v.Startable(a.pool, m.ID) && !r.options.Roster.Leaving(m.ID) {
			return true
		}
	}
	return false
}

// decline returns a retry to the queue and releases its permit and ceiling units after declineDelay.
func (r *Runner) decline(a *attempt) state {
	a.task.declinedPermits++
	time.AfterFunc(declineDelay, func() { r.finish(a, "", 0) })
	return waiting{}
}
