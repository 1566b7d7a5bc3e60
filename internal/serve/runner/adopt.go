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

// adoptAll takes over the asynchronous tasks whose owner is no longer a member.
func (r *Runner) adoptAll(ctx context.Context) {
	if r.Stopping() || r.parts.Views.Fresh() != nil {
		return
	}
	v := r.parts.Views.View()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r.adoptUnsettled(ctx, v)
	orphans, err := r.parts.Records.Orphans(ctx, func(id fleet.EntryID) bool {
		_, ok := v.Member(id)
		return ok
	})
	if err != nil {
		r.log.Info("orphaned tasks not read", errField(err))
		return
	}
	for _, c := range orphans {
		if c.Async && r.ranksFirst(v, c.ID) {
			r.adopt(ctx, v, c)
		}
	}
}

// unsettled is an asynchronous task that was given up on although its record may have been written, and may name this
// instance as the owner.
type unsettled struct {
	taskKey
	since time.Time
}

// unsettledFor is how long such a record is looked for: the ledger tries to write it for 5 s more, and a slow store
// may apply a write after its reply has timed out.
const unsettledFor = 30 * time.Second

// adoptUnsettled takes up the tasks whose acceptance was in doubt and that have a record after all.
func (r *Runner) adoptUnsettled(ctx context.Context, v fleet.View) {
	r.mu.Lock()
	open := r.unsettled
	r.unsettled = nil
	r.mu.Unlock()
	for _, u := range open {
		c, err := r.parts.Records.Find(ctx, u.team, u.id)
		switch {
		case err == nil && (c.Final() || !c.Async):
		case err == nil && c.Owner == r.parts.Members.Self().ID:
			r.adopt(ctx, v, c)
		case err != nil && !isAbsent(err) || time.Since(u.since) < unsettledFor:
			r.lookAgain(u)
		}
	}
}

func (r *Runner) lookAgain(u unsettled) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsettled = append(r.unsettled, u)
}

// ranksFirst reports whether this instance is the first among the live members for a task, by rendezvous hashing.
func (r *Runner) ranksFirst(v fleet.View, id string) bool {
	self := r.parts.Members.Self().ID
	best, first := uint64(0), fleet.EntryID("")
	for _, m := range v.Members() {
		if m.ID != self && !r.parts.Members.Alive(m.ID) {
			continue
		}
		score := xxhash.Sum64String(string(m.ID) + "\x00" + id)
		if first == "" || cmp.Compare(score, best) > 0 {
			best, first = score, m.ID
		}
	}
	return first == self
}

// adopt takes one task over by compare-and-set and goes on with it as a retry would.
func (r *Runner) adopt(ctx context.Context, v fleet.View, c claim.Record) {
	if _, ok := r.find(c.Team, c.ID); ok {
		return
	}
	var input []byte
	if c.Input != "" {
		var err error
		if input, err = r.parts.Objects.Get(ctx, c.Input); err != nil {
			r.log.Info("input of an orphaned task not read", idField(c.ID), errField(err))
			if !errors.Is(err, object.ErrAbsent) {
				r.lookAgain(unsettled{taskKey{c.Team, c.ID}, time.Now()})
			}
			return
		}
	}
	if err := r.parts.Memory.Hold(int64(len(input))); err != nil {
		// A task whose record names this instance already is adopted by nobody else.
		r.lookAgain(unsettled{taskKey{c.Team, c.ID}, time.Now()})
		return
	}
	free := func() { r.parts.Memory.Free(int64(len(input))) }
	next := c
	next.Owner = r.parts.Members.Self().ID
	written, err := r.parts.Records.Replace(ctx, c, next)
	if err != nil {
		free()
		r.log.Info("orphaned task not adopted", idField(c.ID), errField(err))
		if isUnsettled(err) {
			r.lookAgain(unsettled{taskKey{c.Team, c.ID}, time.Now()})
		}
		return
	}
	t := r.revive(v, written, input)
	t.held = true
	if r.register(t) != nil {
		free()
		return
	}
	r.stats.adopted.Inc(1)
	r.arm(t)
	go r.live(t, following{written})
}

// revive makes a task from its record.
func (r *Runner) revive(v fleet.View, c claim.Record, input []byte) *task {
	q := v.Document().Queues[c.Queue]
	t := r.newTask(q, Job{Queue: c.Queue, Team: c.Team, Input: input, Key: c.Key, Once: c.Once, Urgent: c.Urgent,
		Slots: max(1, c.Slots)}, true)
	t.id, t.team, t.digest, t.record, t.admitted = c.ID, c.Team, c.InputDigest, c, true
	// Clocks of different machines are never compared, so the timeout counts anew.
	t.timeout, t.deadline = c.Timeout, time.Time{}
	if c.Timeout > 0 {
		t.deadline = time.Now().Add(c.Timeout)
	}
	if c.Worker != "" {
		t.work = reject.WorkUnknown
	}
	if t.pool == "" {
		// The check before a start rejects a task whose queue was removed; a pool without workers never gets there.
		t.deadline = time.Now()
	}
	return t
}
