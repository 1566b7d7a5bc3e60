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

// settleTime is how long a start may still succeed after its reservation, with the margin for a slow clock.
const settleTime = reservationTTL * 5 / 4

// inquiryTime is how long the worker of an earlier attempt is asked before a retry is told that the work is unknown.
const inquiryTime = 4 * time.Second

// orphanLapse is when the lease of an attempt whose owner was removed has certainly lapsed, from the moment the removal
// was seen. The former owner renews nothing once its view is stale, at most 2 s after the removal was accepted.
const orphanLapse = 2*time.Second + lapse

// Records keeps the records of tasks in the store; see the ledger of state/claim.
type Records interface {
	Claim(ctx context.Context, r claim.Record) (claim.Record, error)
	Replace(ctx context.Context, old, next claim.Record) (claim.Record, error)
	Find(ctx context.Context, t fleet.TeamName, id string) (claim.Record, error)
	Orphans(ctx context.Context, live func(fleet.EntryID) bool) ([]claim.Record, error)
}

// claim writes which worker an attempt will start on before it starts, so that a retry can ask that worker.
func (r *Runner) claim(a *attempt) state {
	t := a.task
	if !t.recorded {
		return claimed{a}
	}
	ctx, cancel := context.WithTimeout(t.life, claimTimeout)
	defer cancel()
	next := r.describe(t)
	next.Attempt, next.Worker, next.Address, next.Boot = t.number, a.instance, a.address, a.boot
	err := r.write(ctx, t, next)
	if err == nil || t.isRepeatable() && !isTaken(err) {
		// An idempotent job may run without its attempt on record; the record of its acceptance stands.
		return claimed{a}
	}
	r.finish(a, "", 0)
	r.dropReservation(a)
	switch {
	case isTaken(err):
		return r.reread(t)
	case t.async:
		pause(t.life, time.Second)
		return waiting{}
	}
	// The write may have taken effect, and another request with the key may have run before it.
	r.log.Warn("record not written", idField(t.id), errField(err))
	r.rejectAs(t, reject.KindStore, reject.WorkUnknown, time.Second, "the store is unavailable")
	return finished{}
}

// isRepeatable reports whether running the task twice is harmless.
func (t *task) isRepeatable() bool { return !t.job.Once }

func isTaken(err error) bool {
	return errors.Is(err, claim.ErrExists) || errors.Is(err, claim.ErrConflict)
}

// describe returns the task's record as it should be, without an attempt if it has none yet.
func (r *Runner) describe(t *task) claim.Record {
	c := t.record
	c.Team, c.ID, c.Queue, c.Pool, c.Owner = t.team, t.id, t.job.Queue, t.pool, r.parts.Members.Self().ID
	c.Once, c.Async, c.Urgent, c.Slots, c.Key = t.job.Once, t.async, t.job.Urgent, t.job.Slots, t.job.Key
	c.InputDigest, c.Timeout, c.State = t.digest, t.timeout, claim.Open
	return c
}

// write creates the task's record or replaces the one it holds.
func (r *Runner) write(ctx context.Context, t *task, next claim.Record) error {
	var written claim.Record
	var err error
	if t.record.ID == "" {
		written, err = r.parts.Records.Claim(ctx, next)
	} else {
		written, err = r.parts.Records.Replace(ctx, t.record, next)
	}
	if err == nil {
		t.record = written
	}
	return err
}

// reread finds the record that another entry instance, or an earlier request, has written for the task.
func (r *Runner) reread(t *task) state {
	for end := time.Now().Add(storeTimeout); time.Now().Before(end) && !t.hasQuit(); pause(t.life, retryPause) {
		ctx, cancel := context.WithTimeout(t.life, storeTimeout)
		c, err := r.parts.Records.Find(ctx, t.team, t.id)
		cancel()
		switch {
		case err == nil:
			return following{c}
		case errors.Is(err, claim.ErrAbsent):
			t.record = claim.Record{}
			t.setWork(reject.WorkNotRun)
			return waiting{}
		}
	}
	if t.async {
		return waiting{}
	}
	r.rejectAs(t, reject.KindStore, reject.WorkUnknown, time.Second, "the store is unavailable")
	return finished{}
}

// follow deals with a record that names an attempt of another request, entry instance or time: its answer is
// returned if it has one, else its worker is asked.
func (r *Runner) follow(t *task, c claim.Record) state {
	if c.InputDigest != t.digest {
		r.rejectAs(t, reject.KindRequest, reject.WorkNotRun, 0, "the idempotency key was used with another input")
		return finished{}
	}
	t.record, t.number = c, max(t.number, c.Attempt)
	switch c.State {
	case claim.Done:
		return r.answerFrom(t, c)
	case claim.Failed, claim.Cancelled:
		r.rejectAs(t, reject.Kind(c.Kind), reject.Work(c.Work), 0, c.Detail)
		return finished{}
	}
	if c.Worker == "" {
		t.setWork(reject.WorkNotRun)
		return waiting{}
	}
	return r.inquire(t, c)
}

// answerFrom returns the stored result of a finished task.
func (r *Runner) answerFrom(t *task, c claim.Record) state {
	ctx, cancel := context.WithTimeout(t.life, storeTimeout)
	defer cancel()
	a, err := r.loadResult(ctx, c)
	if err != nil {
		r.log.Warn("stored result not read", idField(t.id), errField(err))
		r.rejectAs(t, reject.KindStore, reject.WorkRun, time.Second, "the stored result can't be read now")
		return finished{}
	}
	t.resolve(a, nil)
	return finished{}
}

// inquire asks the worker named by a record about its attempt. Until the worker answers nothing is started. If the
// attempt has not started, its owner may be about to start it, so it is fenced only after its reservation has lapsed.
// Nobody waits for the answer of an adopted task, which may run again: its worker is asked until the lease has lapsed,
// so that the work is not done twice at the same time.
func (r *Runner) inquire(t *task, c claim.Record) state {
	a := &attempt{task: t, id: attemptID(c.ID, c.Attempt), pool: t.pool, instance: c.Worker, slots: t.job.Slots,
		address: c.Address, boot: c.Boot, before: t.knownWork(), began: time.Now()}
	limit := inquiryTime
	if t.isRepeatable() {
		limit = orphanLapse
	}
	for time.Since(a.began) < limit {
		st, err := r.ask(t.life, a, 0)
		switch {
		case t.hasQuit():
			return finished{}
		case err == nil && (st.State == worker.Running || st.State.Ended() && st.State != worker.Fenced):
			return r.takeOver(a, st)
		case (err == nil || errors.Is(err, worker.ErrUnknown)) && time.Since(a.began) >= settleTime:
			if s := r.fenceOther(a); s != nil {
				return s
			}
		}
		pause(t.life, retryPause)
	}
	return r.unreachable(t)
}

// takeOver continues with an attempt that another entry instance started: its result is fetched, or its end awaited.
func (r *Runner) takeOver(a *attempt, st worker.Status) state {
	a.task.setRunning()
	if st.State.Ended() {
		return ended{a, st}
	}
	return watched{a}
}

// watch awaits the end of an attempt of another entry instance. The owner may be gone, so the lease is renewed from
// here too once a ceiling unit for it is held here.
func (r *Runner) watch(a *attempt) state {
	t := a.task
	for !t.hasQuit() {
		if r.parts.Grants.Acquire(t.team, a.slots) {
			r.hold(a)
			return running{a}
		}
		st, err := r.ask(t.life, a, pollWait)
		switch {
		case err == nil && st.State.Ended():
			return ended{a, st}
		case errors.Is(err, worker.ErrUnknown):
			return r.forgotten(a)
		case err != nil && a.sinceHeard() > lapse:
			return lost{a, "the worker is silent"}
		case err != nil:
			pause(t.life, retryPause)
		}
	}
	return finished{}
}

// hold registers an attempt whose ceiling unit was acquired after its start.
func (r *Runner) hold(a *attempt) {
	a.sending()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[a.id] = a
}

// fenceOther makes sure that an attempt of another entry instance never starts; nil means that the worker did not
// answer. A restarted worker has forgotten what it ran, so its word counts only within the boot that the record names.
func (r *Runner) fenceOther(a *attempt) state {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	st, err := r.parts.Workers.Stop(ctx, a.address, a.id, false)
	switch {
	case err != nil:
		return nil
	case st.State != worker.Fenced:
		return ended{a, st}
	case a.task.job.Once && !r.isSameBoot(ctx, a):
		r.rejectAs(a.task, reject.KindLost, reject.WorkUnknown, 0, "the worker was restarted, whether it ran the task is not known")
		return finished{}
	}
	a.task.setWork(reject.WorkNotRun)
	return waiting{}
}

// unreachable answers a retry whose worker is silent. An idempotent task runs again elsewhere: the lease of the
// earlier attempt, which nobody renews, has lapsed during the inquiry.
func (r *Runner) unreachable(t *task) state {
	if t.isRepeatable() {
		return waiting{}
	}
	r.rejectAs(t, reject.KindLost, reject.WorkUnknown, time.Second, "the worker of an earlier attempt is silent")
	return finished{}
}

func isAbsent(err error) bool { return errors.Is(err, claim.ErrAbsent) }

// isUnsettled reports whether a failed write of a record may have taken effect.
func isUnsettled(err error) bool { return errors.Is(err, claim.ErrUnknown) }
