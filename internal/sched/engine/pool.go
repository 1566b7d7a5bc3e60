package engine

import "slices"

// A queue may go to another pool and back while a worker of that pool runs tasks of its jobs. Starts are not stored, and the
// next leader knows the config of its own time only, so that the progress of a job names the other pools before a task of it
// starts in one of them.

// noteOtherPool records that tasks of a job are to start in another pool than that at its acceptance.
func (sc *Scheduler) noteOtherPool(j *job) {
	pool := sc.poolOf(j)
	if pool == j.settings.Pool || slices.Contains(j.otherPools, pool) {
		return
	}
	j.otherPools = append(j.otherPools, pool)
	sc.markDirty(j)
	j.otherPoolsVersion = j.version
}

// mayStartInPool reports whether the store holds that tasks of a job may have started in the pool that its queue has now.
func (sc *Scheduler) mayStartInPool(j *job) bool {
	return j.committedVersion >= j.otherPoolsVersion || sc.poolOf(j) == j.settings.Pool
}
