package runner

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/plat/object"
	"github.com/yuccahaven/yuccahaven/internal/state/claim"
)

// adoptAll adopts the asynchronous tasks whose owner is no longer a member and for which this instance ranks first, and
// the unresolved ones. It does nothing during a shutdown or while the view is stale.
func (r *Runner) adoptAll(ctx context.Context) {
	if r.Stopping() || r.options.Views.Fresh() != nil {
		return
	}
	v := r.options.Views.View()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r.adoptUnresolved(ctx, v)
	orphans, err := r.options.Records.Orphans(ctx, func(id fleet.EntryID) bool {
		_, ok := v.Member(id)
		return ok
	})
	if err != nil {
		r.log.Info("runner: orphaned tasks could not be read, trying again in the next pass", errField(err))
		return
	}
	for _, c := range orphans {
		if c.Async && r.ranksFirst(v, c.ID) {
			r.adopt(ctx, v, c)
		}
	}
}

// unresolved is an asynchronous task that does not run here although its record may name this instance as the owner: it
// was answered with an error when the write of its record may have taken effect, or its adoption has failed.
type unresolved struct {
	taskKey
	since time.Time
}

// unresolvedTTL is how long such a record is looked for while it is absent or names another owner: the repository tries
// to write it for 5 s more, and a slow store may apply a write after its reply has timed out.
const unresolvedTTL = 30 * time.Second

// adoptUnresolved adopts the unresolved tasks that turn out to have an open record with this instance as the owner.
func (r *Runner) adoptUnresolved(ctx context.Context, v fleet.View) {
	r.mu.Lock()
	candidates := r.unresolved
	r.unresolved = nil
	r.mu.Unlock()
	for _, u := range candidates {
		c, err := r.options.Records.Find(ctx, u.team, u.id)
		switch {
		case err == nil && (c.Final() || !c.Async):
		case err == nil && c.Owner == r.options.Members.Self().ID:
			r.adopt(ctx, v, c)
		case err != nil && !isAbsent(err) || time.Since(u.since) < unresolvedTTL:
			r.recheck(u)
		}
	}
}

// recheck lets the next pass look for the record of a task.
func (r *Runner) recheck(u unresolved) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresolved = append(r.unresolved, u)
}

// ranksFirst reports whether this instance ranks first among the live members for a task, by rendezvous hashing.
func (r *Runner) ranksFirst(v fleet.View, id string) bool {
	self := r.options.Members.Self().ID
	best, first := uint64(0), fleet.EntryID("")
	for _, m := range v.Members() {
		if m.ID != self && !r.options.Members.Alive(m.ID) {
			continue
		}
		score := xxhash.Sum64String(string(m.ID) + "\x00" + id)
		if first == "" || cmp.Compare(score, best) > 0 {
			best, first = score, m.ID
		}
	}
	return first == self
}

// adopt takes over one task by compare-and-set and continues it as a retry would.
func (r *Runner) adopt(ctx context.Context, v fleet.View, c claim.Record) {
	if _, ok := r.find(c.Team, c.ID); ok {
		return
	}
	var input []byte
	if c.Input != "" {
		var err error
		if input, err = r.options.Objects.Get(ctx, c.Input); err != nil {
			r.log.Info("runner: input of an orphaned task could not be read, task not adopted in this pass", idField(c.ID),
				errField(err))
			if !errors.Is(err, object.ErrAbsent) {
				r.recheck(unresolved{taskKey{c.Team, c.ID}, time.Now()})
			}
			return
		}
	}
	if err := r.options.Memory.Acquire(int64(len(input))); err != nil {
		// If the record already names this instance, no other instance adopts the task.
		r.recheck(unresolved{taskKey{c.Team, c.ID}, time.Now()})
		return
	}
	free := func() { r.options.Memory.Release(int64(len(input))) }
	next := c
	next.Owner = r.options.Members.Self().ID
	written, err := r.options.Records.Replace(ctx, c, next)
	if err != nil {
		free()
		r.log.Info("runner: record of an orphaned task could not be replaced, task not adopted in this pass", idField(c.ID),
			errField(err))
		if isOutcomeUnknown(err) {
			r.recheck(unresolved{taskKey{c.Team, c.ID}, time.Now()})
		}
		return
	}
	t := r.restore(v, written, input)
	t.inputCounted = true
	if r.register(t) != nil {
		free()
		return
	}
	r.stats.adopted.Inc(1)
	r.startDeadline(t)
	go r.runStates(t, followingRecord{written})
}

// restore creates a task from its record.
func (r *Runner) restore(v fleet.View, c claim.Record, input []byte) *task {
	q := v.Document().Queues[c.Queue]
	t := r.newTask(q, Job{Queue: c.Queue, Team: c.Team, Input: input, Key: c.Key, Once: c.Once, Urgent: c.Urgent,
		Slots: max(1, c.Slots)}, true)
	t.id, t.team, t.digest, t.record, t.admitted = c.ID, c.Team, c.InputDigest, c, true
	// Clocks of different machines are never compared, so the timeout starts again.
	t.timeout, t.deadline = c.Timeout, time.Time{}
	if c.Timeout > 0 {
		t.deadline = time.Now().Add(c.Timeout)
	}
	if c.Worker != "" {
		t.work = reject.WorkUnknown
	}
	if t.pool == "" {
		// The check before a start rejects a task whose queue was removed, but a task without a pool never reaches it.
		t.deadline = time.Now()
	}
	return t
}
