package leader

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	// abandonedAfter is how long a job that is not in a transaction yet is kept after the last request that waited for it. An
	// instance asks again at once for a job that is pending.
	abandonedAfter = time.Second
	// maxStateWait is how long a request for the state of a job that has ended waits for the store.
	maxStateWait = 400 * time.Millisecond
	// lastWait is the least time that a caller must have left for its instance to ask again.
	lastWait = 150 * time.Millisecond
)

// awaitedJob is a job that requests wait to be stored.
type awaitedJob struct {
	requests int
	// left is when the last request stopped waiting.
	left time.Time
	// changed is closed and replaced when the store has a newer version of the job.
	changed chan struct{}
	// access and customer are those with which the job was admitted, if this process checked that.
	access   peer.Access
	customer string
}

// awaitedJobs are the jobs that requests wait, or have waited, to be stored.
type awaitedJobs map[work.JobID]*awaitedJob

// join records that a request waits for a job. It must be called together with what the request does with the job, so that the
// job is not withdrawn in between.
func (a *awaitedJobs) join(id work.JobID) *awaitedJob {
	w, ok := (*a)[id]
	if !ok {
		if *a == nil {
			*a = awaitedJobs{}
		}
		w = &awaitedJob{changed: make(chan struct{})}
		(*a)[id] = w
	}
	w.requests++
	return w
}

// leave records that a request no longer waits for the job.
func (w *awaitedJob) leave() {
	w.requests--
	w.left = time.Now()
}

// stored wakes the requests that wait for a job, and reports whether requests did and none does any more.
func (a awaitedJobs) stored(id work.JobID) (abandoned bool) {
	w, ok := a[id]
	if !ok {
		return false
	}
	close(w.changed)
	w.changed = make(chan struct{})
	if w.requests == 0 {
		delete(a, id)
	}
	return w.requests == 0
}

// admittedAs returns the customer for whom a job that is not stored yet was admitted with the same access.
func (s *session) admittedAs(id work.JobID, a peer.Access) (customer string, ok bool) {
	s.locked(func() {
		if w := s.awaited[id]; w != nil && w.access == a {
			customer, ok = w.customer, true
		}
	})
	return customer, ok
}

// withdrawAbandoned withdraws the jobs that no request has waited for lately and that no transaction has held; s.mu must be
// held.
func (s *session) withdrawAbandoned() {
	for id, w := range s.awaited {
		if w.requests > 0 || time.Since(w.left) < abandonedAfter {
			continue
		}
		delete(s.awaited, id)
		if s.scheduler.Withdraw(id) {
			s.log.Info("leader: nobody waits for a submitted job any more, not storing it", zap.String("job", string(id)))
		}
	}
}

// awaitWritten waits until the store holds a version of a job for which the calling request has joined the awaited ones, and
// leaves them; it returns false if the session or the context ends first.
func (s *session) awaitWritten(ctx context.Context, w *awaitedJob, id work.JobID, version int) bool {
	defer s.locked(func() { w.leave() })
	for {
		var stored bool
		var changed chan struct{}
		s.locked(func() { stored, changed = s.scheduler.IsStored(id, version), w.changed })
		if stored {
			return true
		}
		select {
		case <-changed:
		case <-s.done:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// waitContext returns a context that ends when a request is to be answered as pending; a request without a wait waits as long
// as its context.
func waitContext(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	if wait <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, wait)
}

// pending answers a request that the store has not confirmed in time: it is kept while this process leads.
func (s *session) pending(ctx context.Context, wait time.Duration) peer.JobReply {
	return peer.JobReply{Result: peer.Unknown, Pending: wait > 0 && ctx.Err() == nil && !s.leadership.Lost()}
}

func (s *session) submit(ctx context.Context, q peer.SubmitRequest) peer.JobReply {
	began := time.Now()
	j := q.Job
	var version int
	var err error
	var leaving, behind, machinesUnknown bool
	var verdict refusal
	var awaited *awaitedJob
	s.locked(func() {
		if leaving = s.steppingDown || s.leadership.Lost(); leaving {
			return
		}
		if s.scheduler.Has(j.ID) {
			s.requests.again()
		} else if verdict = s.decide(q); verdict.refused() {
			return
		}
		if version, err = s.scheduler.Submit(j); err == nil {
			awaited = s.awaited.join(j.ID)
			if q.Access != nil {
				awaited.access, awaited.customer = *q.Access, j.Customer
			}
		}
		behind = s.scheduler.Version() < q.Version
		machinesUnknown = s.service.Machines != nil && !s.scheduler.KnowsMachines()
	})
	if leaving {
		return peer.JobReply{Result: peer.NotLeader}
	}
	if verdict.refused() {
		return s.refuse(j, verdict)
	}
	noWorkerFits := (*engine.NoWorkerFitsError)(nil)
	switch {
	case errors.Is(err, engine.ErrUnknownQueue) && behind:
		// The requesting instance has a newer config, which may contain the queue.
		return peer.JobReply{Result: peer.NotLeader}
	case errors.Is(err, engine.ErrUnknownQueue):
		return peer.JobReply{Result: peer.NoQueue}
	case errors.As(err, &noWorkerFits) && machinesUnknown:
		// The workers may be smaller than usual.
		return peer.JobReply{Result: peer.NotLeader}
	case err != nil:
		s.log.Info("leader: job rejected as impossible", zap.String("job", string(j.ID)), zap.Error(err))
		return peer.JobReply{Result: peer.Impossible}
	}
	wake(s.commitWake)
	waiting, cancel := waitContext(ctx, q.Wait)
	defer cancel()
	if !s.awaitWritten(waiting, awaited, j.ID, version) {
		return s.unconfirmed(ctx, q, time.Since(began))
	}
	wake(s.planWake)
	s.log.Info("leader: job accepted", zap.String("job", string(j.ID)), zap.String("queue", j.Queue),
		zap.String("customer", j.Customer), zap.Int("steps", len(j.Steps)))
	return peer.JobReply{Result: peer.Accepted}
}

// unconfirmed answers a submission that the store has not confirmed after a time. A caller that has no time to ask again learns
// that the job does not run, if no transaction has held it and no other request waits for it.
func (s *session) unconfirmed(ctx context.Context, q peer.SubmitRequest, took time.Duration) peer.JobReply {
	id := q.Job.ID
	if q.Deadline > 0 && q.Deadline-took < lastWait && ctx.Err() == nil {
		withdrawn := false
		s.locked(func() {
			if w := s.awaited[id]; w != nil && w.requests == 0 && s.scheduler.Withdraw(id) {
				delete(s.awaited, id)
				withdrawn = true
			}
		})
		if withdrawn {
			s.log.Info("leader: store did not take a job in time, withdrawn", zap.String("job", string(id)),
				zap.Duration("took", took), zap.Duration("age", s.leadership.SinceConfirmed()))
			return peer.JobReply{Result: peer.Overloaded, RetryAfter: max(s.leadership.SinceConfirmed(), minRetryAfter)}
		}
	}
	reply := s.pending(ctx, q.Wait)
	if reply.Pending && q.Deadline-took >= lastWait {
		return reply
	}
	s.log.Warn("leader: store did not confirm a job in time, outcome unknown", zap.String("job", string(id)),
		zap.Duration("took", took), zap.Duration("age", s.leadership.SinceConfirmed()), zap.Bool("pending", reply.Pending))
	return reply
}

// cancel cancels a job, also one that the store has not taken yet.
func (s *session) cancel(ctx context.Context, q peer.JobRequest) peer.JobReply {
	began := time.Now()
	var queue string
	var version int
	var err error
	var awaited *awaitedJob
	s.locked(func() {
		if version, err = s.scheduler.Cancel(q.ID); err == nil {
			queue, awaited = s.scheduler.QueueOf(q.ID), s.awaited.join(q.ID)
		}
	})
	if err != nil {
		return s.notFound(ctx, q.Wait, began)
	}
	s.wakeLoops()
	waiting, cancel := waitContext(ctx, q.Wait)
	defer cancel()
	if !s.awaitWritten(waiting, awaited, q.ID, version) {
		s.log.Warn("leader: store did not confirm a cancellation in time, outcome unknown", zap.String("job", string(q.ID)),
			zap.Duration("took", time.Since(began)), zap.Duration("age", s.leadership.SinceConfirmed()))
		return s.pending(ctx, q.Wait)
	}
	s.log.Info("leader: cancellation stored", zap.String("job", string(q.ID)), zap.Duration("took", time.Since(began)),
		zap.Uint64("version", s.storedVersion.Load()))
	return peer.JobReply{Result: peer.Accepted, State: work.Cancelled, Queue: queue}
}

// state returns the state of a job. It waits for the store to have the end of a job that has ended, so that its caller does not
// have to ask again and again, and to have a new job, which may run although its caller got no answer.
func (s *session) state(ctx context.Context, q peer.JobRequest) peer.JobReply {
	began := time.Now()
	var state work.State
	var queue string
	var err error
	var version int
	var unstored, isNew bool
	var awaited *awaitedJob
	look := func() {
		state, queue, err = s.scheduler.State(q.ID)
		version, unstored, isNew = s.scheduler.Unstored(q.ID)
	}
	s.locked(func() {
		if look(); unstored && q.Wait > 0 {
			awaited = s.awaited.join(q.ID)
		}
	})
	if awaited != nil {
		limit := maxStateWait
		if isNew {
			limit = q.Wait
		}
		waiting, cancel := waitContext(ctx, min(q.Wait, limit))
		defer cancel()
		s.awaitWritten(waiting, awaited, q.ID, version)
		s.locked(look)
	}
	if isNew {
		return s.pending(ctx, q.Wait)
	}
	if err != nil {
		return s.notFound(ctx, q.Wait, began)
	}
	return peer.JobReply{Result: peer.Accepted, State: state, Queue: queue}
}

// notFound answers a request about an unknown job that came at a time. A later leader may know the job: that there was none
// when the request came is certain only once the store has confirmed a transaction that was sent then or so shortly before
// that nobody can have taken over since. Otherwise the request is pending, and one to a leader that is cut off from the store is
// rejected at once.
func (s *session) notFound(ctx context.Context, wait time.Duration, came time.Time) peer.JobReply {
	cutOff := func() bool { return s.leadership.Lost() || s.leadership.SinceConfirmed() >= authorityMaxAge }
	if cutOff() {
		return peer.JobReply{Result: peer.NotLeader}
	}
	waiting, cancel := waitContext(ctx, wait)
	defer cancel()
	confirmed := s.awaitCommit(waiting, func() bool {
		age := s.leadership.SinceConfirmed()
		return !s.leadership.Lost() && (age <= time.Since(came) || age < elect.LeastTakeoverTime(s.service.Succession) && !s.handingOver)
	})
	switch {
	case confirmed:
		return peer.JobReply{Result: peer.NotFound}
	case cutOff():
		return peer.JobReply{Result: peer.NotLeader}
	}
	return s.pending(ctx, wait)
}
