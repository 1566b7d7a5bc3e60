package runner

import (
	"context"
	"errors"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/state/claim"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// maxReplyAnswerBytes is the largest answer sent from one entry instance to another; larger ones are read from the
// object store once they are stored there.
const maxReplyAnswerBytes = 8 << 20

// recordReadInterval separates reads of a record on behalf of a waiting poll. Without it, callers whose owner is lost
// would read the store as fast as they can.
const recordReadInterval = time.Second

// Get returns what is known of a task, and waits up to the given time for its end. It works at any entry instance: the
// owner is queried, else the record is used. During a shutdown it waits only for tasks that run here, because the
// caller can query the others elsewhere.
func (r *Runner) Get(ctx context.Context, team fleet.TeamName, id string, wait time.Duration) (Progress, error) {
	waitCtx, cancel := r.untilDrain(ctx)
	defer cancel()
	for end := time.Now().Add(wait); ; pause(waitCtx, min(recordReadInterval, time.Until(end))) {
		p, err := r.get(ctx, waitCtx, team, id, max(0, time.Until(end)))
		if err != nil || p.Phase == PhaseDone || p.Phase == PhaseRejected || !time.Now().Before(end) || waitCtx.Err() != nil {
			return p, err
		}
	}
}

// get returns what is known of a task now, or after the wait if it runs here or its owner answers; waitCtx bounds the
// wait for the owner.
func (r *Runner) get(
	ctx, waitCtx context.Context, team fleet.TeamName, id string, wait time.Duration,
) (Progress, error) {
	if t, ok := r.find(team, id); ok {
		return t.waitProgress(ctx, wait), nil
	}
	c, err := r.findRecord(ctx, team, id)
	if err != nil {
		return Progress{}, err
	}
	switch c.State {
	case claim.Done:
		a, err := r.loadResult(ctx, c)
		if err != nil {
			return Progress{}, storeUnavailable(reject.WorkRun, err)
		}
		return Progress{ID: id, Phase: PhaseDone, Answer: a}, nil
	case claim.Failed, claim.Cancelled:
		e := reject.New(reject.Kind(c.Kind), reject.Work(c.Work), "%s", c.Detail)
		return Progress{ID: id, Phase: PhaseRejected, Rejection: e}, nil
	}
	return r.queryOwner(waitCtx, c, wait), nil
}

func (r *Runner) findRecord(ctx context.Context, team fleet.TeamName, id string) (claim.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c, err := r.options.Records.Find(ctx, team, id)
	switch {
	case isAbsent(err):
		return c, reject.New(reject.KindTask, reject.WorkUnknown, "unknown task %q", id)
	case err != nil:
		return c, storeUnavailable(reject.WorkUnknown, err)
	}
	return c, nil
}

// queryOwner asks the owner of an open record for the progress of its task; if it does not answer or the answer is
// damaged, the progress is taken from the record alone.
func (r *Runner) queryOwner(ctx context.Context, c claim.Record, wait time.Duration) Progress {
	known := Progress{ID: c.ID, Phase: PhaseWaiting}
	if c.Worker != "" {
		known.Phase = PhaseRunning
	}
	reply, err := r.callOwner(ctx, c, peer.TaskGet, wait)
	if err != nil {
		r.log.Debug("runner: owner of a task could not be reached, using the record", idField(c.ID), errField(err))
		return known
	}
	switch Phase(reply.State) {
	case PhaseDone:
		if digestOf(reply.Answer) == reply.Digest {
			return Progress{ID: c.ID, Phase: PhaseDone,
				Answer: Answer{ID: c.ID, Body: reply.Answer, Digest: reply.Digest}}
		}
	case PhaseRejected:
		e := reject.New(reject.Kind(reply.Kind), reject.Work(reply.Work), "%s", reply.Detail)
		return Progress{ID: c.ID, Phase: PhaseRejected, Rejection: e}
	case PhaseWaiting, PhaseRunning:
		known.Phase = Phase(reply.State)
	}
	return known
}

func (r *Runner) callOwner(
	ctx context.Context, c claim.Record, action peer.TaskAction, wait time.Duration,
) (peer.TaskReply, error) {
	m, ok := r.options.Views.View().Member(c.Owner)
	if !ok || c.Owner == r.options.Members.Self().ID {
		return peer.TaskReply{}, errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout+wait)
	defer cancel()
	return r.options.Owners.Task(ctx, m.Address, peer.TaskRequest{From: r.options.Members.Self().ID, Team: c.Team,
		Task: fleet.TaskID(c.ID), Action: action, Wait: wait})
}

var errNoOwner = errors.New("runner: the owner of the task is not a member or is this instance")

// Cancel cancels a task of a team at whichever entry instance runs it.
func (r *Runner) Cancel(team fleet.TeamName, id string) error {
	if t, ok := r.find(team, id); ok {
		return t.cancel()
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	c, err := r.findRecord(ctx, team, id)
	if err != nil {
		return err
	}
	if c.State != claim.Open {
		return errEnded()
	}
	reply, err := r.callOwner(ctx, c, peer.TaskCancel, 0)
	switch {
	case errors.Is(err, errNoOwner):
		return r.cancelOrphan(ctx, c)
	case err != nil:
		return reject.New(reject.KindLost, reject.WorkUnknown, "the owner of the task did not answer").
			WithRetryAfter(time.Second).WithCause(err)
	case reply.Kind != "":
		return reject.New(reject.Kind(reply.Kind), reject.Work(reply.Work), "%s", reply.Detail)
	}
	return nil
}

// cancelOrphan marks the record of a task as cancelled whose owner was removed, or is this instance although the task
// does not run here; the lease of its attempt expires.
func (r *Runner) cancelOrphan(ctx context.Context, c claim.Record) error {
	next := c
	next.State, next.Kind, next.Work = claim.Cancelled, string(reject.KindCancelled), string(reject.WorkNotRun)
	next.Detail = "cancelled by the caller"
	if c.Worker != "" {
		next.Work = string(reject.WorkUnknown)
	}
	_, err := r.options.Records.Replace(ctx, c, next)
	switch {
	case isConflict(err):
		return reject.New(reject.KindConflict, reject.WorkUnknown, "the task was changed meanwhile").
			WithRetryAfter(time.Second)
	case err != nil:
		return storeUnavailable(reject.WorkUnknown, err)
	}
	return nil
}

// HandleTask answers a request of another entry instance about a task that runs here. A task with an answer larger
// than maxReplyAnswerBytes is reported as running.
func (r *Runner) HandleTask(ctx context.Context, q peer.TaskRequest) (peer.TaskReply, error) {
	t, ok := r.find(q.Team, string(q.Task))
	if !ok {
		e := reject.New(reject.KindTask, reject.WorkUnknown, "the task is not here")
		return peer.TaskReply{Kind: string(e.Kind), Work: string(e.Work), Detail: e.Detail}, nil
	}
	if q.Action == peer.TaskCancel {
		return errorReply(t.cancel()), nil
	}
	p := t.waitProgress(ctx, q.Wait)
	reply := peer.TaskReply{State: string(p.Phase)}
	switch {
	case p.Rejection != nil:
		reply.Kind, reply.Work, reply.Detail = string(p.Rejection.Kind), string(p.Rejection.Work), p.Rejection.Detail
	case len(p.Answer.Body) > maxReplyAnswerBytes:
		reply.State = string(PhaseRunning)
	default:
		reply.Answer, reply.Digest = p.Answer.Body, p.Answer.Digest
	}
	return reply, nil
}

func errorReply(err error) peer.TaskReply {
	var e *reject.Error
	if errors.As(err, &e) {
		return peer.TaskReply{Kind: string(e.Kind), Work: string(e.Work), Detail: e.Detail}
	}
	return peer.TaskReply{}
}

func errEnded() error {
	return reject.New(reject.KindConflict, reject.WorkRun, "the task has already ended")
}

// cancel abandons the task on request of the caller.
func (t *task) cancel() error {
	if !t.abandon(reject.KindCancelled, 0, "cancelled by the caller") {
		return errEnded()
	}
	return nil
}

// waitProgress returns the progress of the task once it has ended, or after the given time.
func (t *task) waitProgress(ctx context.Context, wait time.Duration) Progress {
	if wait > 0 {
		ctx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		select {
		case <-t.done:
		case <-ctx.Done():
		}
	}
	return t.progress()
}
