package runner

import (
	"context"
	"errors"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/state/claim"
)

// Submit runs a job and returns its complete answer, or a *reject.Error. When the context ends, the task is abandoned
// unless another caller waits for it; a non-idempotent task with a key that may have been sent to a worker continues,
// so that a retry can fetch its answer.
func (r *Runner) Submit(ctx context.Context, j Job) (Answer, error) {
	t, err := r.admit(j, false)
	if err != nil {
		return Answer{}, err
	}
	if j.Once && j.Key != "" {
		return r.submitKeyed(ctx, t)
	}
	if err := r.launch(t); err != nil {
		return Answer{}, err
	}
	return r.waitFor(ctx, t)
}

// submitKeyed runs a non-idempotent job with a key. Requests with the same key share one task at this instance; the
// record shows requests that came earlier or to other instances.
func (r *Runner) submitKeyed(ctx context.Context, t *task) (Answer, error) {
	// An earlier attempt can't be excluded before the record has been read.
	t.work = reject.WorkUnknown
	shared, err := r.join(t)
	if err != nil {
		return Answer{}, err
	}
	if shared == t {
		r.startDeadline(t)
		go func() { r.runStates(t, r.lookUpRecord(t)) }()
	}
	return r.waitFor(ctx, shared)
}

// join registers a recorded task, or returns the existing task of the same key. The record of an asynchronous one has
// been looked up before.
func (r *Runner) join(t *task) (*task, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	existing, ok := r.tasks[taskKey{t.team, t.id}]
	switch {
	case ok && existing.digest != t.digest:
		return nil, reject.New(reject.KindRequest, reject.WorkNotRun, "the idempotency key was used with another input")
	case ok:
		return existing, nil
	case r.stopping:
		return nil, rejectBeforeLookup(!t.async, errStopping())
	}
	if err := r.countInput(t); err != nil {
		return nil, err
	}
	r.tasks[taskKey{t.team, t.id}] = t
	return t, nil
}

// lookUpRecord reads the record of an earlier request with the same key.
func (r *Runner) lookUpRecord(t *task) state {
	ctx, cancel := context.WithTimeout(t.ctx, storeTimeout)
	defer cancel()
	c, err := r.options.Records.Find(ctx, t.team, t.id)
	switch {
	case err == nil:
		return followingRecord{c}
	case errors.Is(err, claim.ErrAbsent):
		t.setWork(reject.WorkNotRun)
		return waiting{}
	}
	r.log.Warn("runner: record of an earlier request could not be read, task rejected", idField(t.id), errField(err))
	r.rejectWithWork(t, reject.KindStore, reject.WorkUnknown, time.Second, "the store is unavailable")
	return finished{}
}

// waitFor waits for the final answer of a task on behalf of one caller. The task is abandoned when its last caller has
// disconnected, unless it is recorded and its work may have been run.
func (r *Runner) waitFor(ctx context.Context, t *task) (Answer, error) {
	t.addCaller(1)
	defer t.addCaller(-1)
	select {
	case <-t.done:
		return t.result()
	case <-ctx.Done():
	}
	if t.isShared() || t.recorded && t.knownWork() != reject.WorkNotRun {
		return Answer{}, reject.New(reject.KindCancelled, reject.WorkUnknown,
			"the caller has gone, the task goes on")
	}
	t.abandon(reject.KindCancelled, 0, "the caller has gone")
	<-t.done
	return t.result()
}

// admit checks a job against the fresh view and returns its task, which is not queued yet.
func (r *Runner) admit(j Job, async bool) (*task, error) {
	q, err := r.validate(&j)
	if err != nil {
		return nil, rejectBeforeLookup(j.Key != "" && (j.Once || async), err)
	}
	return r.newTask(q, j, async), nil
}

// validate checks a job, returns its queue and fills in the defaults of the queue.
func (r *Runner) validate(j *Job) (fleet.QueueSection, error) {
	if r.Stopping() {
		return fleet.QueueSection{}, errStopping()
	}
	if err := r.options.Views.Fresh(); err != nil {
		return fleet.QueueSection{}, asRejection(err, reject.WorkNotRun)
	}
	v := r.options.Views.View()
	if !r.isMember(v) {
		return fleet.QueueSection{}, reject.New(reject.KindStale, reject.WorkNotRun, "this instance is not registered").
			WithRetryAfter(time.Second)
	}
	q, ok := v.Document().Queues[j.Queue]
	if !ok {
		return q, reject.New(reject.KindQueue, reject.WorkNotRun, "unknown queue %q", string(j.Queue))
	}
	if !q.Open && j.Team != q.Team {
		return q, reject.New(reject.KindForbidden, reject.WorkNotRun, "the queue %q belongs to another team", string(j.Queue))
	}
	if j.Slots == 0 {
		j.Slots = max(1, q.Slots)
	}
	j.Urgent = j.Urgent || q.Urgent
	return q, r.checkSize(v, q, *j)
}

// rejectBeforeLookup returns the rejection of a request whose record has not been looked up: for a recorded request, an
// earlier attempt at another entry instance may have run.
func rejectBeforeLookup(recorded bool, err error) error {
	if recorded {
		return asRejection(err, reject.WorkUnknown)
	}
	return asRejection(err, reject.WorkNotRun)
}

func errStopping() error {
	return reject.New(reject.KindStopping, reject.WorkNotRun, "the instance is shutting down").WithRetryAfter(time.Second)
}

func (r *Runner) newTask(q fleet.QueueSection, j Job, async bool) *task {
	now := time.Now()
	timeout := q.Timeout
	if j.Timeout > 0 && (timeout == 0 || j.Timeout < timeout) {
		timeout = j.Timeout
	}
	t := &task{id: recordID(q, j, async), job: j, pool: q.Pool, team: q.Team, submitted: now, async: async,
		recorded: async || j.Once && j.Key != "", queueLimit: q.Waiting, granted: make(chan *attempt, 1),
		done: make(chan struct{}), phase: PhaseWaiting, work: reject.WorkNotRun}
	t.ctx, t.stop = context.WithCancel(context.Background())
	if t.recorded {
		t.digest = digestOf(j.Input)
	}
	t.timeout = timeout
	if timeout > 0 {
		t.deadline = now.Add(timeout)
	}
	return t
}

// recordID derives the id from the idempotency key if a record is kept under it; other tasks get a new id, because each
// of their submissions may run. Keys on open queues are kept apart from those of the team, whose results other callers
// must not read; no key in a header holds a zero byte.
func recordID(q fleet.QueueSection, j Job, async bool) string {
	switch {
	case j.Key == "" || !j.Once && !async:
		return claim.NewID()
	case q.Open:
		return claim.KeyID(q.Team, string(j.Queue)+"\x00"+j.Key)
	}
	return claim.KeyID(q.Team, j.Key)
}

// checkSize rejects a job that exceeds every worker of its pool or the ceiling of the team.
func (r *Runner) checkSize(v fleet.View, q fleet.QueueSection, j Job) error {
	if !r.sizes.Fits(v, q.Pool, j.Slots) {
		return reject.New(reject.KindImpossible, reject.WorkNotRun,
			"the job needs %d slots, the largest worker of pool %s has %d", j.Slots, q.Pool, r.sizes.Largest(v, q.Pool))
	}
	if c := v.Document().Teams[q.Team].Ceiling; j.Slots > c {
		return reject.New(reject.KindImpossible, reject.WorkNotRun,
			"the job needs %d slots, the ceiling of team %s is %d", j.Slots, q.Team, c)
	}
	return nil
}

// launch queues a task and starts its goroutine, or returns the rejection of the queue.
func (r *Runner) launch(t *task) error {
	if err := r.register(t); err != nil {
		return err
	}
	if err := r.enqueue(t); err != nil {
		r.remove(t)
		t.stop()
		return err
	}
	r.startDeadline(t)
	go r.runStates(t, waiting{})
	return nil
}

// startDeadline starts the timer that abandons the task at its deadline.
func (r *Runner) startDeadline(t *task) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.deadline.IsZero() || t.completed {
		return
	}
	t.timer = time.AfterFunc(time.Until(t.deadline), func() {
		t.abandon(reject.KindDeadline, 0, "the deadline has passed")
	})
}

func (r *Runner) register(t *task) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return errStopping()
	}
	if err := r.countInput(t); err != nil {
		return err
	}
	r.tasks[taskKey{t.team, t.id}] = t
	return nil
}

// countInput counts the input of a task that outlives its request against the memory limit. Other inputs are counted by
// their requests. The caller holds mu.
func (r *Runner) countInput(t *task) error {
	if !t.recorded || t.inputCounted {
		return nil
	}
	if err := r.options.Memory.Acquire(int64(len(t.job.Input))); err != nil {
		return err
	}
	t.inputCounted = true
	return nil
}

// remove deletes a task whose last attempt has ended from the tasks of this instance.
func (r *Runner) remove(t *task) {
	t.stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tasks[taskKey{t.team, t.id}] == t {
		delete(r.tasks, taskKey{t.team, t.id})
	}
	if t.inputCounted {
		t.inputCounted = false
		r.options.Memory.Release(int64(len(t.job.Input)))
	}
	if r.stopping && len(r.tasks) == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

// find returns a task that this instance runs.
func (r *Runner) find(team fleet.TeamName, id string) (*task, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.tasks[taskKey{team, id}]
	return t, ok
}
