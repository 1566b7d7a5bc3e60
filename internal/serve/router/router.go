// Package router takes callers' requests about jobs in at every entry instance and brings them to the holder of the
// seat.
package router

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/pace"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/state/rules"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	// beatEvery is the time between two beats to the holder of the seat, beatTimeout the bound of one.
	beatEvery   = 400 * time.Millisecond
	beatTimeout = 350 * time.Millisecond
	// aliveFor is how long a beat shows that the holder is alive.
	aliveFor = 900 * time.Millisecond
	// renewalAge is how long the store may not have confirmed the holder before others look at the seat.
	renewalAge = 1200 * time.Millisecond
	// refusedAge is how long the store must have refused the holder before others try whether it serves them: longer than
	// a few repetitions of a transaction.
	refusedAge = 300 * time.Millisecond
	// tryTimeout bounds one call to the holder; a connection that fell silent costs as much.
	tryTimeout = 800 * time.Millisecond
	// seekFor is how long a request waits for a holder before it is refused. It stays below a quarter of the shortest
	// objective that callers have, so that they can come back in time.
	seekFor = 250 * time.Millisecond
	// seekPause is the pause between two tries.
	seekPause = 50 * time.Millisecond
	// comeBack is how long a takeover of the seat usually takes.
	comeBack = 2 * time.Second
	// DefaultRequestTimeout bounds a request whose caller gives no deadline.
	DefaultRequestTimeout = 3 * time.Second
	// answerMargin is what is left of a caller's deadline for the way of the answer.
	answerMargin = 100 * time.Millisecond
)

// LocalLeader is the local readiness to hold the seat.
type LocalLeader interface {
	IsLeader() bool
	Submit(ctx context.Context, q peer.SubmitRequest) peer.JobReply
	Job(ctx context.Context, q peer.JobRequest) peer.JobReply
	Waiting(queue string) peer.WaitingReply
	HandleHeartbeat(q peer.HeartbeatRequest) peer.HeartbeatReply
}

// LeaderTracker tells who holds the seat.
type LeaderTracker interface {
	Leader() (elect.LeaderRecord, bool)
	ObserveLeader(s elect.LeaderRecord)
	Wake()
}

// Router is the way from callers to the holder of the seat.
type Router struct {
	name   string
	rules  *rules.Cache
	master LocalLeader
	seats  LeaderTracker
	peers  *peer.Client
	log    *zap.Logger

	mu    sync.Mutex
	beat  peer.HeartbeatReply
	heard time.Time
	// ended is when the process of the holder of endedTerm was seen to have ended.
	ended     time.Time
	endedTerm int64
}

// New returns a router of the entry instance with a name.
func New(name string, book *rules.Cache, m LocalLeader, peers *peer.Client, log *zap.Logger) *Router {
	return &Router{name: name, rules: book, master: m, peers: peers, log: log}
}

// SetLeaderTracker sets where the holder of the seat is learnt; it must be called before Run.
func (g *Router) SetLeaderTracker(s LeaderTracker) { g.seats = s }

// Serve registers the calls of peers.
func (g *Router) Serve(s *peer.Server) {
	peer.Handle(s, peer.MethodSubmit, func(ctx context.Context, q peer.SubmitRequest) (peer.JobReply, error) {
		ctx, cancel := context.WithTimeout(ctx, tryTimeout)
		defer cancel()
		return g.master.Submit(ctx, q), nil
	})
	peer.Handle(s, peer.MethodJob, func(ctx context.Context, q peer.JobRequest) (peer.JobReply, error) {
		ctx, cancel := context.WithTimeout(ctx, tryTimeout)
		defer cancel()
		return g.master.Job(ctx, q), nil
	})
	peer.Handle(s, peer.MethodWaiting, func(_ context.Context, q peer.WaitingRequest) (peer.WaitingReply, error) {
		return g.master.Waiting(q.Queue), nil
	})
	peer.Handle(s, peer.MethodHeartbeat, func(_ context.Context, q peer.HeartbeatRequest) (peer.HeartbeatReply, error) {
		return g.master.HandleHeartbeat(q), nil
	})
	peer.Handle(s, peer.MethodAnnounce, func(_ context.Context, q peer.AnnounceRequest) (peer.AnnounceReply, error) {
		g.seats.ObserveLeader(elect.LeaderRecord{Name: q.Name, Boot: q.Boot, Address: q.Address, Term: q.Term})
		return peer.AnnounceReply{}, nil
	})
}

// AnnounceLeader announces the seat to the instance at an address.
func (g *Router) AnnounceLeader(ctx context.Context, address string, s elect.LeaderRecord) error {
	_, err := peer.Call(ctx, g.peers, address, peer.MethodAnnounce,
		peer.AnnounceRequest{Name: s.Name, Boot: s.Boot, Address: s.Address, Term: s.Term})
	return err
}

// Run tells the holder of the seat at intervals that this instance sees it.
func (g *Router) Run(ctx context.Context) { pace.Every(ctx, beatEvery, nil, g.beatOnce) }

func (g *Router) beatOnce(ctx context.Context) {
	seat, ok := g.seats.Leader()
	if !ok || seat.Released || g.master.IsLeader() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	reply, err := peer.Call(ctx, g.peers, seat.Address, peer.MethodHeartbeat, peer.HeartbeatRequest{From: g.name, Term: seat.Term})
	g.hear(seat, reply, err)
}

// hear takes in the answer to a beat.
func (g *Router) hear(seat elect.LeaderRecord, reply peer.HeartbeatReply, err error) {
	if err != nil || !reply.IsLeader || reply.StoreRefusedFor >= refusedAge || reply.SinceConfirmed > renewalAge {
		g.log.Debug("router: holder of the seat not confirmed", zap.String("holder", seat.Name), zap.Bool("holds", reply.IsLeader),
			zap.Duration("age", reply.SinceConfirmed), zap.Duration("refused", reply.StoreRefusedFor), zap.Error(err))
		g.seats.Wake()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) || err == nil && !reply.IsLeader {
		g.ended, g.endedTerm = time.Now(), seat.Term
	}
	if err == nil {
		g.beat, g.heard = reply, time.Now()
	}
}

// ProcessExited reports whether the process that held the seat in a term was just seen to have ended.
func (g *Router) ProcessExited(term int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.endedTerm == term && time.Since(g.ended) <= aliveFor
}

// StoreRefused reports whether the holder of a term said just now that the store refuses it.
func (g *Router) StoreRefused(term int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.beat.IsLeader && g.beat.Term == term && g.beat.StoreRefusedFor >= refusedAge && time.Since(g.heard) <= aliveFor
}

// Alive reports whether the holder of a term answers and can confirm the seat at the store.
func (g *Router) Alive(term int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.beat.IsLeader && g.beat.Term == term && g.beat.SinceConfirmed <= renewalAge && g.beat.StoreRefusedFor < refusedAge &&
		time.Since(g.heard) <= aliveFor
}

// Admission is what a caller may do at a queue.
type Admission struct {
	Queue    work.Queue
	Customer string
	// Subpath is the path behind the queue's prefix.
	Subpath string
	// Version is the config that decided.
	Version int64
}

// Admit finds the queue of a path and checks the caller's key.
func (g *Router) Admit(host, path, key string) (Admission, error) {
	now, _ := g.rules.Current()
	if now.Config == nil {
		return Admission{}, reject.New(reject.KindStale, reject.WorkNotRun, "no config yet").WithRetryAfter(time.Second)
	}
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	q, ok := now.Config.Route(host, path)
	if !ok {
		return Admission{}, reject.New(reject.KindQueue, reject.WorkNotRun, "no such queue")
	}
	p := Admission{Queue: q, Subpath: strings.TrimPrefix(path, q.Prefix), Version: now.Config.Version}
	if q.Open {
		return p, nil
	}
	if p.Customer, ok = now.Config.Owner(key); !ok {
		return Admission{}, reject.New(reject.KindKey, reject.WorkNotRun, "unknown key")
	}
	return p, nil
}

// Limits returns the config in force, or nil.
func (g *Router) Limits() *work.Config {
	now, _ := g.rules.Current()
	return now.Config
}

// Submit hands a job in.
func (g *Router) Submit(ctx context.Context, p Admission, j work.Job) error {
	reply, open, err := seek(ctx, g, peer.MethodSubmit, peer.SubmitRequest{Job: j, Version: p.Version}, g.master.Submit)
	switch {
	case err != nil:
		return err
	case reply.Result == peer.Accepted:
		return nil
	case open:
		// An earlier try may still store the job, whatever the holder says of this one.
		g.log.Warn("router: refused after a try of unknown outcome", zap.String("job", string(j.ID)),
			zap.String("verdict", string(reply.Result)))
	case reply.Result == peer.Impossible:
		return reject.New(reject.KindImpossible, reject.WorkNotRun, "the job can never run")
	case reply.Result == peer.NoQueue:
		return reject.New(reject.KindQueue, reject.WorkNotRun, "no such queue")
	}
	return reject.New(reject.KindUnconfirmed, reject.WorkUnknown, "not known whether the job is stored")
}

// State returns the state of a job.
func (g *Router) State(ctx context.Context, id work.JobID) (work.State, error) {
	reply, _, err := seek(ctx, g, peer.MethodJob, peer.JobRequest{ID: id}, g.master.Job)
	if err != nil {
		return "", err
	}
	if reply.Result != peer.Accepted {
		return "", reject.New(reject.KindTask, reject.WorkNotRun, "no such job")
	}
	return reply.State, nil
}

// Cancel ends a job.
func (g *Router) Cancel(ctx context.Context, id work.JobID) error {
	reply, _, err := seek(ctx, g, peer.MethodJob, peer.JobRequest{ID: id, Cancel: true}, g.master.Job)
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

// Waiting counts the jobs of a queue of which no task has started.
func (g *Router) Waiting(ctx context.Context, p Admission) (int, error) {
	reply, _, err := seek(ctx, g, peer.MethodWaiting, peer.WaitingRequest{Queue: p.Queue.Name},
		func(_ context.Context, q peer.WaitingRequest) peer.WaitingReply { return g.master.Waiting(q.Queue) })
	return reply.Count, err
}

// answer is a reply that says whether the asked instance holds the seat.
type answer interface {
	peer.Message
	Outcome() peer.Result
}

// seek brings a request to the holder of the seat. A request that never reached a holder is refused as not run after a
// short while; one that may have reached it is repeated, which is safe, until the caller's deadline. It also reports
// whether the outcome of a try before the one that was answered is open.
func seek[Q peer.Message, A answer](ctx context.Context, g *Router, m peer.Method[Q, A], q Q,
	local func(context.Context, Q) A) (A, bool, error) {
	began := time.Now()
	sent := false
	var last error
	for {
		reply, reached, err := try(ctx, g, m, q, local)
		sent = sent || reached
		switch {
		case err == nil && reply.Outcome() == peer.Unknown:
			sent = true
		case err == nil && reply.Outcome() != peer.NotLeader:
			return reply, sent, nil
		case err != nil:
			last = err
		}
		var none A
		if !sent && time.Since(began) >= seekFor {
			g.log.Info("router: refused, no holder of the seat", zap.Any("request", subject(q)), zap.Error(last))
			return none, false, reject.New(reject.KindStale, reject.WorkNotRun, "no instance can take this now").
				WithRetryAfter(comeBack)
		}
		if ctx.Err() != nil || sent && near(ctx) {
			g.log.Warn("router: outcome unknown", zap.Any("request", subject(q)), zap.Duration("took", time.Since(began)),
				zap.Error(last))
			return none, true, reject.New(reject.KindUnconfirmed, reject.WorkUnknown, "no answer in time")
		}
		pause := time.NewTimer(seekPause)
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
		pause.Stop()
	}
}

// near reports whether too little is left of a deadline for another try.
func near(ctx context.Context) bool {
	d, ok := ctx.Deadline()
	return ok && time.Until(d) < 2*seekPause
}

func subject(q any) string {
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

// try makes one call and reports whether it may have reached the holder.
func try[Q peer.Message, A answer](ctx context.Context, g *Router, m peer.Method[Q, A], q Q,
	local func(context.Context, Q) A) (A, bool, error) {
	var none A
	if g.master.IsLeader() {
		ctx, cancel := context.WithTimeout(ctx, tryTimeout)
		defer cancel()
		a := local(ctx, q)
		return a, false, nil
	}
	seat, ok := g.seats.Leader()
	if !ok || seat.Released {
		g.seats.Wake()
		return none, false, errNoHolder
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	a, err := peer.Call(ctx, g.peers, seat.Address, m, q)
	if err != nil {
		g.seats.Wake()
		return none, !unsent(err), err
	}
	if a.Outcome() == peer.NotLeader {
		g.seats.Wake()
	}
	return a, false, nil
}

var errNoHolder = errors.New("router: no holder of the seat is known")

// unsent reports whether a call failed before anything was sent.
func unsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// RequestContext returns a context that ends when an answer is of no more use to the caller.
func RequestContext(ctx context.Context, deadline time.Duration) (context.Context, context.CancelFunc) {
	if deadline <= 0 {
		deadline = DefaultRequestTimeout
	}
	return context.WithTimeout(ctx, max(deadline-answerMargin, answerMargin))
}
