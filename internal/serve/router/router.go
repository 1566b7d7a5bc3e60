// Package router accepts callers' requests about jobs at every entry instance and forwards them to the leader.
package router

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/state/rules"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	// callTimeout bounds one call to the leader; a call over a dead connection takes as long.
	callTimeout = 800 * time.Millisecond
	// replyWait is how long the leader may wait for the store before it replies that a request is pending. It is less than
	// callTimeout, so that the connection stays in use and a silent one can be told from a slow store. It doubles with each
	// such reply, up to maxReplyWait: the connection has just been in use then.
	replyWait    = 600 * time.Millisecond
	maxReplyWait = 2 * replyWait
	// callMargin is how much longer than the leader may wait its reply is waited for.
	callMargin = callTimeout - replyWait
	// overloadHold is how long this instance refuses jobs by itself after the leader has refused one of the same queue and
	// customer.
	overloadHold = 400 * time.Millisecond
	// leaderWaitTimeout is how long a request waits for a leader before it is rejected. It is less than a quarter of
	// the shortest objective that callers have, so that they can retry in time.
	leaderWaitTimeout = 250 * time.Millisecond
	// retryBackoff is the pause between two attempts to forward a request.
	retryBackoff = 50 * time.Millisecond
	// takeoverDuration is how long it usually takes until a new leader has taken over; callers may retry after it.
	takeoverDuration = 2 * time.Second
	// DefaultRequestTimeout bounds a request if its queue sets no time-out; a caller's deadline may only shorten it.
	DefaultRequestTimeout = 3 * time.Second
	// rulesMaxAge is the age of the rules from which the leader checks the callers' keys. A feed confirms them each second
	// while the store answers.
	rulesMaxAge = 1500 * time.Millisecond
	// isolatedRetryAfter is when a caller of an isolated instance may come back: the load balancer looks for another one
	// within about two seconds, and callers have few retries.
	isolatedRetryAfter = time.Second
	// transferMargin is the part of a caller's deadline that is reserved for the transfer of the reply.
	transferMargin = 100 * time.Millisecond
)

// LocalLeader is the leader service of this process; it answers peer.NotLeader while this process is not the leader.
type LocalLeader interface {
	IsLeader() bool
	// HasAuthority reports whether this process leads and may still act, as far as the store or all peers confirm it.
	HasAuthority() bool
	Submit(ctx context.Context, q peer.SubmitRequest) peer.JobReply
	Job(ctx context.Context, q peer.JobRequest) peer.JobReply
	Waiting(q peer.WaitingRequest) peer.WaitingReply
	HandleHeartbeat(q peer.HeartbeatRequest) peer.HeartbeatReply
}

// LeaderTracker knows the current leader; see the methods of elect.Elector.
type LeaderTracker interface {
	Leader() (elect.LeaderRecord, bool)
	ObserveLeader(r elect.LeaderRecord)
	AcceptOffer(r elect.LeaderRecord, leaderDelay time.Duration) bool
	Wake()
}

// Router forwards callers' requests to the leader and observes the leader by heartbeats; it implements
// elect.FailureDetector.
type Router struct {
	name    string
	rules   *rules.Cache
	local   LocalLeader
	tracker LeaderTracker
	peers   *peer.Client
	log     *zap.Logger
	// candidacy is what heartbeats report of this instance.
	candidacy Candidacy

	startedAt time.Time

	mu sync.Mutex
	// lastReply is the last reply to a heartbeat, repliedAt when it came; failed heartbeats leave both unchanged.
	lastReply peer.HeartbeatReply
	repliedAt time.Time
	// exitedAt is when the process of the leader of exitedTerm was last found to have exited.
	exitedAt   time.Time
	exitedTerm int64
	// overloads are the leader's refusals of jobs within overloadHold.
	overloads overloads
	// ready is closed when the leader is found to be ready; nil while nobody waits for that.
	ready chan struct{}
}

// New returns a router of the entry instance with a name.
func New(name string, cache *rules.Cache, leader LocalLeader, peers *peer.Client, log *zap.Logger) *Router {
	return &Router{name: name, rules: cache, local: leader, peers: peers, log: log, startedAt: time.Now()}
}

// SetLeaderTracker sets the source of the current leader; it must be called before Run.
func (r *Router) SetLeaderTracker(t LeaderTracker) { r.tracker = t }

// Serve registers the handlers of peers' calls.
func (r *Router) Serve(s *peer.Server) {
	peer.Handle(s, peer.MethodSubmit, func(ctx context.Context, q peer.SubmitRequest) (peer.JobReply, error) {
		ctx, cancel := context.WithTimeout(ctx, max(callTimeout, q.Wait+callMargin))
		defer cancel()
		return r.local.Submit(ctx, q), nil
	})
	peer.Handle(s, peer.MethodJob, func(ctx context.Context, q peer.JobRequest) (peer.JobReply, error) {
		ctx, cancel := context.WithTimeout(ctx, max(callTimeout, q.Wait+callMargin))
		defer cancel()
		return r.local.Job(ctx, q), nil
	})
	peer.Handle(s, peer.MethodWaiting, func(_ context.Context, q peer.WaitingRequest) (peer.WaitingReply, error) {
		return r.local.Waiting(q), nil
	})
	peer.Handle(s, peer.MethodHeartbeat, func(_ context.Context, q peer.HeartbeatRequest) (peer.HeartbeatReply, error) {
		reply := r.local.HandleHeartbeat(q)
		reply.Boot = r.candidacy.Boot
		return reply, nil
	})
	peer.Handle(s, peer.MethodAnnounce, func(_ context.Context, q peer.AnnounceRequest) (peer.AnnounceReply, error) {
		r.tracker.ObserveLeader(elect.LeaderRecord{Name: q.Name, Boot: q.Boot, Address: q.Address, Term: q.Term})
		known, _ := r.tracker.Leader()
		return peer.AnnounceReply{Term: known.Term}, nil
	})
	peer.Handle(s, peer.MethodOffer, func(_ context.Context, q peer.OfferRequest) (peer.OfferReply, error) {
		record := elect.LeaderRecord{Name: q.Name, Boot: q.Boot, Address: q.Address, Term: q.Term}
		return peer.OfferReply{Accepted: r.tracker.AcceptOffer(record, q.ElectionDelay)}, nil
	})
}

// AnnounceLeader sends the leader record to the instance at an address.
func (r *Router) AnnounceLeader(ctx context.Context, address string, record elect.LeaderRecord) error {
	_, err := r.announce(ctx, address, record)
	return err
}

func (r *Router) announce(ctx context.Context, address string, record elect.LeaderRecord) (peer.AnnounceReply, error) {
	return peer.Call(ctx, r.peers, address, peer.MethodAnnounce,
		peer.AnnounceRequest{Name: record.Name, Boot: record.Boot, Address: record.Address, Term: record.Term})
}

// AskForTerm returns the latest term that the instance at an address knows, to which it announces the leader.
func (r *Router) AskForTerm(ctx context.Context, address string) (int64, error) {
	leader, ok := r.tracker.Leader()
	if !ok {
		return 0, errNoLeader
	}
	reply, err := r.announce(ctx, address, leader)
	return reply.Term, err
}

// OfferLeadership offers the leadership of this process to the instance at an address and reports whether that
// accepts.
func (r *Router) OfferLeadership(ctx context.Context, address string, delay time.Duration) (bool, error) {
	leader, ok := r.tracker.Leader()
	if !ok {
		return false, errNoLeader
	}
	reply, err := peer.Call(ctx, r.peers, address, peer.MethodOffer, peer.OfferRequest{Name: leader.Name, Boot: leader.Boot,
		Address: leader.Address, Term: leader.Term, ElectionDelay: delay})
	return reply.Accepted, err
}

// Admission is the result of a successful check of a request.
type Admission struct {
	Queue work.Queue
	// Customer is the owner of the caller's key, "" on an open queue.
	Customer string
	// Subpath is the part of the path after the queue's prefix.
	Subpath string
	// Version is that of the config with which the request was checked.
	Version int64
	// Access is set if the leader is to check the queue and the caller's key, because the rules of this instance may be out of
	// date; Customer is not known then.
	Access *peer.Access
}

// Admit finds the queue of a host and path and checks the caller's key, unless the queue is open. While the rules may be
// out of date it leaves both checks to the leader, and rejects a request without a queue for another instance to decide.
func (r *Router) Admit(host, path, key string) (Admission, error) {
	current, _ := r.rules.Current()
	if current.Config == nil {
		return Admission{}, reject.New(reject.KindStale, reject.WorkNotRun, "no config yet").WithRetryAfter(time.Second)
	}
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	outdated := r.rules.Age() > rulesMaxAge
	q, ok := current.Config.Route(host, path)
	if !ok && outdated {
		return Admission{}, reject.New(reject.KindStale, reject.WorkNotRun, "the config may be out of date")
	}
	if !ok {
		return Admission{}, reject.New(reject.KindQueue, reject.WorkNotRun, "no such queue")
	}
	a := Admission{Queue: q, Subpath: strings.TrimPrefix(path, q.Prefix), Version: current.Config.Version}
	if outdated {
		a.Access = &peer.Access{Queue: q.Name, Host: host, Path: path, Key: key, Version: a.Version}
		return a, nil
	}
	if q.Open {
		return a, nil
	}
	if a.Customer, ok = current.Config.CustomerOf(key); !ok {
		return Admission{}, reject.New(reject.KindKey, reject.WorkNotRun, "unknown key")
	}
	return a, nil
}

// Config returns the current config, or nil before the first.
func (r *Router) Config() *work.Config {
	current, _ := r.rules.Current()
	return current.Config
}

// Submit submits a job to the leader and returns when it is stored.
func (r *Router) Submit(ctx context.Context, a Admission, j work.Job) error {
	if a.Access != nil {
		j.Queue, j.Customer = "", ""
	}
	if err := r.overloads.check(j.Queue, j.Customer); err != nil {
		return err
	}
	reply, unknown, err := forwardWithRetry(ctx, r, peer.MethodSubmit,
		peer.SubmitRequest{Job: j, Version: a.Version, Access: a.Access}, r.local.Submit)
	switch {
	case err != nil:
		return err
	case reply.Result == peer.Accepted:
		return nil
	case unknown:
		// An earlier attempt may still store the job, whatever the leader's reply to this one.
		r.log.Warn("router: job refused after an attempt of unknown outcome, replying that its state is unknown",
			zap.String("job", string(j.ID)), zap.String("verdict", string(reply.Result)))
	case reply.Result == peer.Overloaded:
		return r.overloads.add(j.Queue, j.Customer, reply.RetryAfter)
	case reply.Result == peer.Impossible:
		return reject.New(reject.KindImpossible, reject.WorkNotRun, "the job can never run")
	default:
		if err := rejectionOf(reply.Result); err != nil {
			return err
		}
	}
	return reject.New(reject.KindUnconfirmed, reject.WorkUnknown, "not known whether the job is stored")
}

// rejectionOf returns the rejection of a request whose queue or key the leader does not accept, else nil.
func rejectionOf(result peer.Result) error {
	switch result {
	case peer.NoQueue:
		return reject.New(reject.KindQueue, reject.WorkNotRun, "no such queue")
	case peer.WrongKey:
		return reject.New(reject.KindKey, reject.WorkNotRun, "unknown key")
	}
	return nil
}

// State returns the state of a job.
func (r *Router) State(ctx context.Context, a Admission, id work.JobID) (work.State, error) {
	reply, _, err := forwardWithRetry(ctx, r, peer.MethodJob, peer.JobRequest{ID: id, Access: a.Access}, r.local.Job)
	if err == nil {
		err = rejectionOf(reply.Result)
	}
	if err != nil {
		return "", err
	}
	if reply.Result != peer.Accepted {
		return "", reject.New(reject.KindTask, reject.WorkNotRun, "no such job")
	}
	return reply.State, nil
}

// Cancel cancels a job and returns when that is stored.
func (r *Router) Cancel(ctx context.Context, a Admission, id work.JobID) error {
	reply, _, err := forwardWithRetry(ctx, r, peer.MethodJob, peer.JobRequest{ID: id, Cancel: true, Access: a.Access},
		r.local.Job)
	if err == nil {
		err = rejectionOf(reply.Result)
	}
	if err != nil {
		return err
	}
	switch reply.Result {
	case peer.Accepted:
		return nil
	case peer.NotFound:
		return reject.New(reject.KindTask, reject.WorkNotRun, "no such job")
	}
	return reject.New(reject.KindUnconfirmed, reject.WorkUnknown, "not known whether the cancellation is stored")
}

// Waiting returns the number of stored, unfinished jobs of the admitted queue that have started no task.
func (r *Router) Waiting(ctx context.Context, a Admission) (int, error) {
	reply, _, err := forwardWithRetry(ctx, r, peer.MethodWaiting, peer.WaitingRequest{Queue: a.Queue.Name, Access: a.Access},
		func(_ context.Context, q peer.WaitingRequest) peer.WaitingReply { return r.local.Waiting(q) })
	if err == nil {
		err = rejectionOf(reply.Result)
	}
	return reply.Count, err
}

// leaderReply is a reply with a result, such as that the called instance is not the leader.
type leaderReply interface {
	peer.Message
	Outcome() peer.Result
	IsPending() bool
}

// timedRequest is a request that says how long the leader and the caller wait.
type timedRequest[Q any] interface {
	WithTimes(wait, deadline time.Duration) Q
}

// withTimes returns a request with how long the leader may wait for the store and how long the caller does, if the context has a
// deadline.
func withTimes[Q any](ctx context.Context, q Q, wait time.Duration) Q {
	t, ok := any(q).(timedRequest[Q])
	deadline, limited := ctx.Deadline()
	if !ok || !limited {
		return q
	}
	left := max(time.Until(deadline), time.Millisecond)
	return t.WithTimes(max(min(wait, left-retryBackoff), time.Millisecond), left)
}

// forwardWithRetry forwards a request to the leader. A request that has not reached a leader within leaderWaitTimeout
// is rejected as not run; one that may have reached a leader is retried, which is safe, until shortly before the
// context's deadline, and so is one for which the leader waits for the store. An isolated instance does neither, so that the
// caller can try another one. It also reports whether an attempt before the answered one had an unknown outcome.
func forwardWithRetry[Q peer.Message, A leaderReply](ctx context.Context, r *Router, m peer.Method[Q, A], q Q,
	local func(context.Context, Q) A) (A, bool, error) {
	began := time.Now()
	// pending means that the leader of the last attempt keeps the request.
	unknown, pending, wait := false, false, replyWait
	attempts := 0
	var lastErr error
	var none A
	for {
		if r.Isolated() {
			unknown = unknown || pending
			r.log.Info("router: request not forwarded, neither the leader nor the store can be reached",
				zap.Any("request", describe(q)), zap.Bool("unknown", unknown), zap.Duration("took", time.Since(began)))
			if unknown {
				return none, true, reject.New(reject.KindUnconfirmed, reject.WorkUnknown, "no answer in time")
			}
			return none, false, reject.New(reject.KindStale, reject.WorkNotRun, "this instance is cut off").
				WithRetryAfter(isolatedRetryAfter)
		}
		attempts++
		sent := time.Now()
		reply, maybeReached, err := forwardOnce(ctx, r, m, withTimes(ctx, q, wait), wait+callMargin, local)
		unknown = unknown || maybeReached
		r.logAttempt(q, attempts, reply, time.Since(sent), time.Since(began), err)
		switch {
		case err == nil && reply.IsPending():
			pending, wait = true, min(2*wait, maxReplyWait)
			if !nearDeadline(ctx) {
				continue
			}
			unknown = true
		case err == nil && reply.Outcome() == peer.Unknown:
			unknown = true
		case err == nil && reply.Outcome() != peer.NotLeader:
			return reply, unknown, nil
		case err != nil:
			lastErr = err
		}
		// What the former leader kept may have been stored.
		unknown, pending, wait = unknown || pending, false, replyWait
		if !unknown && (ctx.Err() != nil || time.Since(began) >= leaderWaitTimeout) {
			return none, false, r.refuse(q, lastErr)
		}
		if ctx.Err() != nil || unknown && nearDeadline(ctx) {
			r.log.Warn("router: no answer before the deadline, outcome of the request unknown",
				zap.Any("request", describe(q)), zap.Duration("took", time.Since(began)), zap.Error(lastErr))
			return none, true, reject.New(reject.KindUnconfirmed, reject.WorkUnknown, "no answer in time")
		}
		if err == nil && reply.Outcome() == peer.NotLeader && !r.local.IsLeader() {
			if !r.awaitReady(ctx, unknown, began) && !unknown {
				return none, false, r.refuse(q, lastErr)
			}
			continue
		}
		pause := time.NewTimer(retryBackoff)
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
		pause.Stop()
	}
}

// refuse returns the rejection of a request that no leader can have received.
func (r *Router) refuse(q any, lastErr error) error {
	r.log.Info("router: request refused, no leader reached in time", zap.Any("request", describe(q)), zap.Error(lastErr))
	return reject.New(reject.KindStale, reject.WorkNotRun, "no instance can take this now").WithRetryAfter(takeoverDuration)
}

// logAttempt logs an attempt to forward a cancellation, so that it can be followed from the caller to the store, and further
// attempts to submit a job.
func (r *Router) logAttempt(q any, attempt int, reply leaderReply, took, age time.Duration, err error) {
	cancel, isJob := q.(peer.JobRequest)
	_, isSubmit := q.(peer.SubmitRequest)
	if !(isJob && cancel.Cancel) && !(isSubmit && attempt > 1) {
		return
	}
	r.log.Info("router: request forwarded", zap.Any("request", describe(q)), zap.Int("attempt", attempt),
		zap.String("result", string(reply.Outcome())), zap.Duration("took", took), zap.Duration("age", age), zap.Error(err))
}

// nearDeadline reports whether too little time is left before the deadline for another attempt.
func nearDeadline(ctx context.Context) bool {
	d, ok := ctx.Deadline()
	return ok && time.Until(d) < 2*retryBackoff
}

// describe returns the kind of a request and its subject for the log.
func describe(q any) string {
	switch q := q.(type) {
	case peer.SubmitRequest:
		return "submit " + string(q.Job.ID)
	case peer.JobRequest:
		if q.Cancel {
			return "cancel " + string(q.ID)
		}
		return "state " + string(q.ID)
	case peer.WaitingRequest:
		return "waiting " + q.Queue
	}
	return ""
}

// forwardOnce makes one call, to the local service if this process leads, and reports whether a failed call may have
// reached the leader.
func forwardOnce[Q peer.Message, A leaderReply](ctx context.Context, r *Router, m peer.Method[Q, A], q Q, timeout time.Duration,
	local func(context.Context, Q) A) (A, bool, error) {
	var none A
	if r.local.IsLeader() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		reply := local(ctx, q)
		return reply, false, nil
	}
	leader, ok := r.tracker.Leader()
	if !ok || leader.Released {
		r.tracker.Wake()
		return none, false, errNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := peer.Call(ctx, r.peers, leader.Address, m, q)
	if err != nil {
		r.tracker.Wake()
		return none, !notSent(err), err
	}
	if reply.Outcome() == peer.NotLeader {
		r.tracker.Wake()
	}
	return reply, false, nil
}

var errNoLeader = errors.New("router: no leader is known")

// notSent reports whether a call failed before the request was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// RequestContext returns a context that ends transferMargin before the caller's deadline, after which a reply is of no use
// to the caller, but no sooner than after transferMargin. A deadline of 0 or less means DefaultRequestTimeout.
func RequestContext(ctx context.Context, deadline time.Duration) (context.Context, context.CancelFunc) {
	if deadline <= 0 {
		deadline = DefaultRequestTimeout
	}
	return context.WithTimeout(ctx, max(deadline-transferMargin, transferMargin))
}
