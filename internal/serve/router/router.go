// Package router accepts callers' requests about jobs at every entry instance and forwards them to the leader.
package router

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
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
	// minRetryAfter is the least time after which a caller whose job the leader has refused may come back.
	minRetryAfter = time.Second
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
	// Succession turns on checks of a leader that does not answer, and the holding of requests while there is no leader; it
	// must be set before SetChecks and Run.
	Succession bool
	// Registry takes the metrics of held requests; it may be nil.
	Registry metrics.Registry

	name    string
	rules   *rules.Cache
	local   LocalLeader
	tracker LeaderTracker
	peers   *peer.Client
	log     *zap.Logger
	// candidacy is what heartbeats report of this instance.
	candidacy Candidacy

	startedAt time.Time
	// checks is nil with Succession off.
	checks *checks

	// holder is created when Succession is known; see holding.
	holderOnce sync.Once
	holder     *holder

	mu sync.Mutex
	// designated is the last reply of a leader, with its successors and witnesses.
	designated peer.HeartbeatReply
	// lastReply is the last reply to a heartbeat, repliedAt when it came; failed heartbeats leave both unchanged.
	lastReply peer.HeartbeatReply
	repliedAt time.Time
	// recorded is the reply of a leader with the latest stamp of its term, recordedAt when it came.
	recorded   peer.HeartbeatReply
	recordedAt time.Time
	// exitedAt is when the process of the leader of exitedTerm was last found to have exited.
	exitedAt   time.Time
	exitedTerm int64
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
	peer.Handle(s, peer.MethodSuspect, r.handleSuspect)
	peer.Handle(s, peer.MethodAnnounce, func(_ context.Context, q peer.AnnounceRequest) (peer.AnnounceReply, error) {
		r.tracker.ObserveLeader(elect.LeaderRecord{Name: q.Name, Boot: q.Boot, Address: q.Address, Term: q.Term})
		known, _ := r.tracker.Leader()
		r.handleAnnouncement(q, known.Term)
		return peer.AnnounceReply{Term: known.Term}, nil
	})
	peer.Handle(s, peer.MethodOffer, func(_ context.Context, q peer.OfferRequest) (peer.OfferReply, error) {
		record := elect.LeaderRecord{Name: q.Name, Boot: q.Boot, Address: q.Address, Term: q.Term}
		return peer.OfferReply{Accepted: r.tracker.AcceptOffer(record, q.ElectionDelay)}, nil
	})
}

// handleAnnouncement lets the held requests go on if the announced leader, unless a later one is known, is ready.
func (r *Router) handleAnnouncement(q peer.AnnounceRequest, known int64) {
	h := r.holding()
	if h == nil || q.Term < known {
		return
	}
	if q.Ready {
		h.leaderReady(q.Term)
	}
}

// AnnounceLeader sends the leader record to the instance at an address, and whether the leader is known to have loaded the
// stored state.
func (r *Router) AnnounceLeader(ctx context.Context, address string, record elect.LeaderRecord, ready bool) error {
	_, err := r.announce(ctx, address, record, ready)
	return err
}

func (r *Router) announce(ctx context.Context, address string, record elect.LeaderRecord, ready bool) (peer.AnnounceReply, error) {
	return peer.Call(ctx, r.peers, address, peer.MethodAnnounce,
		peer.AnnounceRequest{Name: record.Name, Boot: record.Boot, Address: record.Address, Term: record.Term, Ready: ready})
}

// AskForTerm returns the latest term that the instance at an address knows, to which it announces the leader.
func (r *Router) AskForTerm(ctx context.Context, address string) (int64, error) {
	leader, ok := r.tracker.Leader()
	if !ok {
		return 0, errNoLeader
	}
	reply, err := r.announce(ctx, address, leader, false)
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
		return reject.New(reject.KindOverload, reject.WorkNotRun, "more work than can be done in time").
			WithRetryAfter(max(reply.RetryAfter, minRetryAfter))
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
	reply, unknown, err := forwardWithRetry(ctx, r, peer.MethodJob, peer.JobRequest{ID: id, Cancel: true, Access: a.Access},
		r.local.Job)
	if err == nil && !unknown {
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
