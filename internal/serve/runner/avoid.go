package runner

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

const (
	// declineMost bounds the permits that a retry gives back, because the worker that failed may be the only one with room.
	declineMost = 4
	// declineHold is how long the slots of a declined permit stay in use. Without it the coordinator would permit the
	// same worker again, as one that fails its tasks at once has the most free slots.
	declineHold = 100 * time.Millisecond
)

// declines reports whether a retry waits for a permit of another worker than the one that has just failed it.
func (r *Runner) declines(a *attempt, v fleet.View) bool {
	t := a.task
	return a.instance == t.failedAt && t.declined < declineMost && r.hasOther(v, a)
}

// hasOther reports whether another worker of the pool could run the task.
func (r *Runner) hasOther(v fleet.View, a *attempt) bool {
	for _, m := range v.Pool(a.pool) {
		if m.ID != a.instance && m.Slots >= a.slots && v.Startable(a.pool, m.ID) && !r.parts.Roster.Leaving(m.ID) {
			return true
		}
	}
	return false
}

// decline sends a retry back to the line and gives its permit and ceiling unit back a little later.
func (r *Runner) decline(a *attempt) state {
	a.task.declined++
	time.AfterFunc(declineHold, func() { r.finish(a, "", 0) })
	return waiting{}
}
