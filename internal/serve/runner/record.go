package runner

import (
	"context"
	"errors"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
	"github.com/yuccahaven/yuccahaven/internal/state/claim"
)

// claimTimeout leaves part of the reservation for the check and the start.
const claimTimeout = 800 * time.Millisecond

// startWindow is how long after its reservation a start may still succeed, with a margin for a slow clock.
const startWindow = reservationTTL * 5 / 4

// queryTimeout is how long the worker of an earlier attempt is queried before a retry is answered that the work is
// unknown.
const queryTimeout = 4 * time.Second

// orphanLeaseExpiry is the time from the removal of an owner, as seen here, until the lease of its attempt has expired
// for certain. The former owner renews nothing once its view is stale, at most 2 s after the removal was accepted.
const orphanLeaseExpiry = 2*time.Second + leaseExpiry

// Records stores the records of tasks; see the repository of package claim.
type Records interface {
	Claim(ctx context.Context, r claim.Record) (claim.Record, error)
	Replace(ctx context.Context, old, next claim.Record) (claim.Record, error)
	Find(ctx context.Context, t fleet.TeamName, id string) (claim.Record, error)
	Orphans(ctx context.Context, live func(fleet.EntryID) bool) ([]claim.Record, error)
}

// claim records the worker of an attempt before its start, so that a retry can query that worker.
func (r *Runner) claim(a *attempt) state {
	t := a.task
	if !t.recorded {
		return claimed{a}
	}
	ctx, cancel := context.WithTimeout(t.ctx, claimTimeout)
	defer cancel()
	next := r.buildRecord(t)
	next.Attempt, next.Worker, next.Address, next.Boot = t.attemptNumber, a.instance, a.address, a.bootID
	err := r.writeRecord(ctx, t, next)
	if err == nil || t.isRepeatable() && !isConflict(err) {
		// An idempotent job may run without a record of its attempt; the record of its acceptance remains.
		return claimed{a}
	}
	r.finish(a, "", 0)
	r.releaseReservation(a)
	switch {
	case isConflict(err):
		return r.rereadRecord(t)
	case t.async:
		pause(t.ctx, time.Second)
		return waiting{}
	}
	// The write may have taken effect, and another request with the key may have run before it.
	r.log.Warn("runner: record of an attempt could not be written, task rejected", idField(t.id), errField(err))
	r.rejectWithWork(t, reject.KindStore, reject.WorkUnknown, time.Second, "the store is unavailable")
	return finished{}
}

// isRepeatable reports whether running the task twice is harmless.
func (t *task) isRepeatable() bool { return !t.job.Once }

func isConflict(err error) bool {
	return errors.Is(err, claim.ErrExists) || errors.Is(err, claim.ErrConflict)
}

// buildRecord returns the open record of a task, which names no attempt if there is none yet.
func (r *Runner) buildRecord(t *task) claim.Record {
	c := t.record
	c.Team, c.ID, c.Queue, c.Pool, c.Owner = t.team, t.id, t.job.Queue, t.pool, r.options.Members.Self().ID
	c.Once, c.Async, c.Urgent, c.Slots, c.Key = t.job.Once, t.async, t.job.Urgent, t.job.Slots, t.job.Key
	c.InputDigest, c.Timeout, c.State = t.digest, t.timeout, claim.Open
	return c
}

// writeRecord creates the record of the task or replaces the version that it last read or wrote.
func (r *Runner) writeRecord(ctx context.Context, t *task, next claim.Record) error {
	var written claim.Record
	var err error
	if t.record.ID == "" {
		written, err = r.options.Records.Claim(ctx, next)
	} else {
		written, err = r.options.Records.Replace(ctx, t.record, next)
	}
	if err == nil {
		t.record = written
	}
	return err
}

// rereadRecord reads the record that another entry instance or an earlier request has written for the task, and tries
// for up to storeTimeout. If the record no longer exists, the task returns to the queue.
func (r *Runner) rereadRecord(t *task) state {
	for end := time.Now().Add(storeTimeout); time.Now().Before(end) && !t.isAbandoned(); pause(t.ctx, retryBackoff) {
		ctx, cancel := context.WithTimeout(t.ctx, storeTimeout)
		c, err := r.options.Records.Find(ctx, t.team, t.id)
		cancel()
		switch {
		case err == nil:
			return followingRecord{c}
		case errors.Is(err, claim.ErrAbsent):
			t.record = claim.Record{}
			t.setWork(reject.WorkNotRun)
			return waiting{}
		}
	}
	if t.async {
		return waiting{}
	}
	r.rejectWithWork(t, reject.KindStore, reject.WorkUnknown, time.Second, "the store is unavailable")
	return finished{}
}

// followRecord continues with a record that was read from the store: its result or rejection is returned if it has one,
// else the worker of its attempt is queried. If it names no attempt, the task returns to the queue.
func (r *Runner) followRecord(t *task, c claim.Record) state {
	if c.InputDigest != t.digest {
		r.rejectWithWork(t, reject.KindRequest, reject.WorkNotRun, 0, "the idempotency key was used with another input")
		return finished{}
	}
	t.record, t.attemptNumber = c, max(t.attemptNumber, c.Attempt)
	switch c.State {
	case claim.Done:
		return r.answerFromRecord(t, c)
	case claim.Failed, claim.Cancelled:
		r.rejectWithWork(t, reject.Kind(c.Kind), reject.Work(c.Work), 0, c.Detail)
		return finished{}
	}
	if c.Worker == "" {
		t.setWork(reject.WorkNotRun)
		return waiting{}
	}
	return r.queryWorker(t, c)
}

// answerFromRecord completes a task with the stored result.
func (r *Runner) answerFromRecord(t *task, c claim.Record) state {
	ctx, cancel := context.WithTimeout(t.ctx, storeTimeout)
	defer cancel()
	a, err := r.loadResult(ctx, c)
	if err != nil {
		r.log.Warn("runner: stored result could not be read, task rejected", idField(t.id), errField(err))
		r.rejectWithWork(t, reject.KindStore, reject.WorkRun, time.Second, "the stored result can't be read now")
		return finished{}
	}
	t.complete(a, nil)
	return finished{}
}

// queryWorker asks the worker named by a record for the state of its attempt; nothing is started before the worker
// answers. If the attempt has not started, its owner may be about to start it, so it is fenced only after its
// reservation has expired. An idempotent task with a record is asynchronous, so nobody waits for its answer, and it may
// run again: its worker is queried until the lease has expired, so that the work is not done twice at the same time.
func (r *Runner) queryWorker(t *task, c claim.Record) state {
	a := &attempt{task: t, id: attemptID(c.ID, c.Attempt), pool: t.pool, instance: c.Worker, slots: t.job.Slots,
		address: c.Address, bootID: c.Boot, workBefore: t.knownWork(), startedAt: time.Now()}
	limit := queryTimeout
	if t.isRepeatable() {
		limit = orphanLeaseExpiry
	}
	for time.Since(a.startedAt) < limit {
		st, err := r.pollStatus(t.ctx, a, 0)
		switch {
		case t.isAbandoned():
			return finished{}
		case err == nil && (st.State == worker.Running || st.State.Ended() && st.State != worker.Fenced):
			return r.attach(a, st)
		case (err == nil || errors.Is(err, worker.ErrUnknown)) && time.Since(a.startedAt) >= startWindow:
			if s := r.fenceRecordedAttempt(a); s != nil {
				return s
			}
		}
		pause(t.ctx, retryBackoff)
	}
	return r.handleUnreachable(t)
}

// attach continues with an attempt that another entry instance started: its result is fetched or its end awaited.
func (r *Runner) attach(a *attempt, st worker.Status) state {
	a.task.setRunning()
	if st.State.Ended() {
		return ended{a, st}
	}
	return monitored{a}
}

// monitor waits for the end of an attempt of another entry instance. The owner may have died, so the lease is renewed
// from here too once ceiling units for it are held here.
func (r *Runner) monitor(a *attempt) state {
	t := a.task
	for !t.isAbandoned() {
		if r.options.Grants.Acquire(t.team, a.slots) {
			r.registerAttempt(a)
			return running{a}
		}
		st, err := r.pollStatus(t.ctx, a, pollWait)
		switch {
		case err == nil && st.State.Ended():
			return ended{a, st}
		case errors.Is(err, worker.ErrUnknown):
			return r.handleUnknownToWorker(a)
		case err != nil && a.sinceReply() > leaseExpiry:
			return lost{a, "the worker is silent"}
		case err != nil:
			pause(t.ctx, retryBackoff)
		}
	}
	return finished{}
}

// registerAttempt registers an attempt whose ceiling units were acquired after its start. The registration counts as a
// renewal.
func (r *Runner) registerAttempt(a *attempt) {
	a.noteRenewal()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[a.id] = a
}

// fenceRecordedAttempt makes sure that an attempt of another entry instance never starts; nil means that the worker did
// not answer. A restarted worker no longer knows what it ran, so for a non-idempotent task its reply counts only if its
// boot id is the one in the record.
func (r *Runner) fenceRecordedAttempt(a *attempt) state {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	st, err := r.options.Workers.Stop(ctx, a.address, a.id, false)
	switch {
	case err != nil:
		return nil
	case st.State != worker.Fenced:
		return ended{a, st}
	case a.task.job.Once && !r.isSameBoot(ctx, a):
		r.rejectWithWork(a.task, reject.KindLost, reject.WorkUnknown, 0,
			"the worker was restarted, whether it ran the task is not known")
		return finished{}
	}
	a.task.setWork(reject.WorkNotRun)
	return waiting{}
}

// handleUnreachable handles a retry whose worker does not answer. An idempotent task runs again elsewhere: the lease of
// the earlier attempt, which nobody renews, has expired during queryWorker.
func (r *Runner) handleUnreachable(t *task) state {
	if t.isRepeatable() {
		return waiting{}
	}
	r.rejectWithWork(t, reject.KindLost, reject.WorkUnknown, time.Second, "the worker of an earlier attempt is silent")
	return finished{}
}

func isAbsent(err error) bool { return errors.Is(err, claim.ErrAbsent) }

// isOutcomeUnknown reports whether a failed write of a record may have taken effect.
func isOutcomeUnknown(err error) bool { return errors.Is(err, claim.ErrUnknown) }
