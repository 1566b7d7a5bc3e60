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

// wait stands in line until permits and a ceiling unit are granted or the task is given up on.
func (r *Runner) wait(t *task) state {
	t.setWaiting()
	if t.ticket == nil {
		if t.hasQuit() {
			return finished{}
		}
		if err := r.enqueue(t); err != nil {
			t.resolve(Answer{}, asRejection(err, t.knownWork()))
			return finished{}
		}
	}
	select {
	case a := <-t.granted:
		t.ticket = nil
		return permitted{a}
	case <-t.life.Done():
		if !r.dequeue(t) {
			r.finish(<-t.granted, "", 0)
		}
		return finished{}
	}
}

// reserve asks the worker for slots. A lost reply needs no settling: a reservation starts nothing and lapses by the
// worker's own clock.
func (r *Runner) reserve(a *attempt) state {
	t := a.task
	v := r.parts.Views.View()
	m, ok := v.PoolMember(t.pool, a.instance)
	if ok && r.declines(a, v) {
		return r.decline(a)
	}
	if !ok || !time.Now().Before(a.expires) || t.hasQuit() {
		r.finish(a, "", 0)
		return waiting{}
	}
	a.place(m)
	ctx, cancel := context.WithTimeout(t.life, reservationTTL)
	defer cancel()
	if t.job.Once {
		a.boot = r.boots.get(ctx, a.address)
	}
	err := r.parts.Workers.Reserve(ctx, a.address, worker.Reservation{Task: a.id, Team: t.team, Queue: t.job.Queue,
		Pool: t.pool, Slots: a.slots, TTL: reservationTTL})
	if err == nil {
		return reserved{a}
	}
	r.finish(a, outcomeOf(err), 0)
	if !isCertain(err) {
		r.dropReservation(a)
	}
	return r.again(t, err)
}

// again returns to the line; a task whose id was fenced was taken over by a retry, which its record names.
func (r *Runner) again(t *task, err error) state {
	if errors.Is(err, worker.ErrFenced) && t.recorded {
		return r.reread(t)
	}
	return waiting{}
}

// isCertain reports whether an error of a worker means that the request had no effect.
func isCertain(err error) bool {
	for _, e := range []error{worker.ErrBusy, worker.ErrLeaving, worker.ErrReservationExpired, worker.ErrFenced,
		worker.ErrUnknown, worker.ErrRefused} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

func outcomeOf(err error) peer.OutcomeKind {
	if isCertain(err) && !errors.Is(err, worker.ErrRefused) {
		return peer.OutcomeRefused
	}
	return peer.OutcomeUnreachable
}

// dropReservation frees reserved slots early; if it fails, the reservation lapses within reservationTTL.
func (r *Runner) dropReservation(a *attempt) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reservationTTL)
		defer cancel()
		_, _ = r.parts.Workers.Stop(ctx, a.address, a.id, false)
	}()
}

// check decides, after the reservation, whether the task may start there and now. A rejection is final; errMoved
// and errUnfit send the task back to the line.
func (r *Runner) check(a *attempt) error {
	if err := r.parts.Views.Fresh(); err != nil {
		ctx, cancel := context.WithTimeout(a.task.life, reservationTTL)
		defer cancel()
		if err := r.parts.Views.Await(ctx); err != nil {
			return errStale
		}
	}
	v := r.parts.Views.View()
	q, ok := v.Document().Queues[a.task.job.Queue]
	switch {
	case !r.isMember(v):
		return errStale
	case !ok:
		return reject.New(reject.KindQueue, reject.WorkNotRun, "the queue %s was removed", a.task.job.Queue)
	case q.Pool != a.task.pool:
		return errMoved
	case !v.Startable(a.task.pool, a.instance) || r.parts.Roster.Leaving(a.instance):
		return errUnfit
	}
	return nil
}

// isMember reports whether this instance is registered. One that was removed must start nothing: its ceiling grants
// go back to the others.
func (r *Runner) isMember(v fleet.View) bool {
	_, ok := v.Member(r.parts.Members.Self().ID)
	return ok
}

var (
	errStale = errors.New("runner: the view is stale")
	errMoved = errors.New("runner: the queue's pool was changed")
	errUnfit = errors.New("runner: nothing may start on the worker")
)

// refuseStart ends an attempt that failed its check and decides what becomes of the task.
func (r *Runner) refuseStart(a *attempt, err error) state {
	t := a.task
	r.finish(a, "", 0)
	r.dropReservation(a)
	var e *reject.Error
	switch {
	case errors.As(err, &e):
		r.reject(t, e.Kind, 0, e.Detail)
		return finished{}
	case errors.Is(err, errMoved):
		t.pool = poolOf(r.parts.Views.View(), t.job.Queue)
	case errors.Is(err, errStale) && !t.async:
		r.reject(t, reject.KindStale, time.Second, "this instance can't confirm its configuration")
		return finished{}
	case errors.Is(err, errStale):
		pause(t.life, time.Second)
	}
	return waiting{}
}

func poolOf(v fleet.View, q fleet.QueueName) fleet.PoolName {
	return v.Document().Queues[q].Pool
}

// pause waits, but not beyond the end of a context.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		// The race detector of Go 1.26 crashes on a select over a timer that is already due inside a synctest bubble.
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
