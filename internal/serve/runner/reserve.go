package runner

import (
	"context"
	"errors"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// awaitPermit waits in the queue until a permit and ceiling units are granted or the task is abandoned.
func (r *Runner) awaitPermit(t *task) state {
	t.setWaiting()
	if t.ticket == nil {
		if t.isAbandoned() {
			return finished{}
		}
		if err := r.enqueue(t); err != nil {
			t.complete(Answer{}, asRejection(err, t.knownWork()))
			return finished{}
		}
	}
	select {
	case a := <-t.granted:
		t.ticket = nil
		return permitted{a}
	case <-t.ctx.Done():
		if !r.dequeue(t) {
			r.finish(<-t.granted, "", 0)
		}
		return finished{}
	}
}

// reserve reserves slots at the worker. A lost reply needs no resolution: a reservation starts nothing and expires by
// the clock of the worker.
func (r *Runner) reserve(a *attempt) state {
	t := a.task
	v := r.options.Views.View()
	m, ok := v.PoolMember(t.pool, a.instance)
	if ok && r.declines(a, v) {
		return r.decline(a)
	}
	if !ok || !time.Now().Before(a.permitExpires) || t.isAbandoned() {
		r.finish(a, "", 0)
		return waiting{}
	}
	a.setLocation(m)
	ctx, cancel := context.WithTimeout(t.ctx, reservationTTL)
	defer cancel()
	if t.job.Once {
		a.bootID = r.boots.get(ctx, a.address)
	}
	err := r.options.Workers.Reserve(ctx, a.address, worker.Reservation{Task: a.id, Team: t.team, Queue: t.job.Queue,
		Pool: t.pool, Slots: a.slots, TTL: reservationTTL})
	if err == nil {
		return reserved{a}
	}
	r.finish(a, outcomeOf(err), 0)
	if !hadNoEffect(err) {
		r.releaseReservation(a)
	}
	return r.requeue(t, err)
}

// requeue returns the task to the queue, unless it is recorded and the id of its attempt was fenced: then a retry has
// taken it over, which its record names.
func (r *Runner) requeue(t *task, err error) state {
	if errors.Is(err, worker.ErrFenced) && t.recorded {
		return r.rereadRecord(t)
	}
	return waiting{}
}

// hadNoEffect reports whether an error of a worker means that the request had no effect.
func hadNoEffect(err error) bool {
	for _, e := range []error{worker.ErrBusy, worker.ErrLeaving, worker.ErrReservationExpired, worker.ErrFenced,
		worker.ErrUnknown, worker.ErrRefused} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

func outcomeOf(err error) peer.OutcomeKind {
	if hadNoEffect(err) && !errors.Is(err, worker.ErrRefused) {
		return peer.OutcomeRefused
	}
	return peer.OutcomeUnreachable
}

// releaseReservation frees reserved slots early; if that fails, the reservation expires within reservationTTL.
func (r *Runner) releaseReservation(a *attempt) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reservationTTL)
		defer cancel()
		_, _ = r.options.Workers.Stop(ctx, a.address, a.id, false)
	}()
}

// check decides after the reservation whether the task may start on that worker now. A rejection is final; errMoved and
// errUnfit return the task to the queue, and so does errStale if the task is asynchronous.
func (r *Runner) check(a *attempt) error {
	if err := r.options.Views.Fresh(); err != nil {
		ctx, cancel := context.WithTimeout(a.task.ctx, reservationTTL)
		defer cancel()
		if err := r.options.Views.Await(ctx); err != nil {
			return errStale
		}
	}
	v := r.options.Views.View()
	q, ok := v.Document().Queues[a.task.job.Queue]
	switch {
	case !r.isMember(v):
		return errStale
	case !ok:
		return reject.New(reject.KindQueue, reject.WorkNotRun, "the queue %s was removed", a.task.job.Queue)
	case q.Pool != a.task.pool:
		return errMoved
	case !v.Startable(a.task.pool, a.instance) || r.options.Roster.Leaving(a.instance):
		return errUnfit
	}
	return nil
}

// isMember reports whether this instance is registered. An instance that was removed must start nothing, because its
// ceiling grants return to the others.
func (r *Runner) isMember(v fleet.View) bool {
	_, ok := v.Member(r.options.Members.Self().ID)
	return ok
}

var (
	errStale = errors.New("runner: the view is stale")
	errMoved = errors.New("runner: the pool of the queue has changed")
	errUnfit = errors.New("runner: no task may start on the worker")
)

// refuseStart ends an attempt that failed its check and rejects the task or returns it to the queue.
func (r *Runner) refuseStart(a *attempt, err error) state {
	t := a.task
	r.finish(a, "", 0)
	r.releaseReservation(a)
	var e *reject.Error
	switch {
	case errors.As(err, &e):
		r.reject(t, e.Kind, 0, e.Detail)
		return finished{}
	case errors.Is(err, errMoved):
		t.pool = poolOf(r.options.Views.View(), t.job.Queue)
	case errors.Is(err, errStale) && !t.async:
		r.reject(t, reject.KindStale, time.Second, "this instance can't confirm its configuration")
		return finished{}
	case errors.Is(err, errStale):
		pause(t.ctx, time.Second)
	}
	return waiting{}
}

func poolOf(v fleet.View, q fleet.QueueName) fleet.PoolName {
	return v.Document().Queues[q].Pool
}

// pause waits for the given time, but not beyond the end of the context.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		// In a synctest bubble, the race detector of Go 1.26 crashes on a select over a timer that is already due.
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
