package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/plan/detect"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// CheckOptions are the dependencies of the checks of a leader that does not answer.
type CheckOptions struct {
	// Started has the leader record read at once.
	Started func()
	// Instances reads the known instances from the store; they are asked while no leader has ever designated witnesses.
	Instances func(ctx context.Context) ([]peer.Peer, error)
	Registry  metrics.Registry
}

// checks are the checks of the leader by this instance, at most one at a time.
type checks struct {
	CheckOptions
	started, confirmed metrics.Counter

	mu sync.Mutex
	// current is nil while there is no check; lastStart is when the last one started.
	current   *check
	lastStart time.Time
	// repliedAt is when a leader last replied; the zero time means never in the lifetime of this process.
	repliedAt time.Time
}

// check is one check of a leader. The mutex of checks guards it.
type check struct {
	leader   elect.LeaderRecord
	began    time.Time
	evidence detect.Evidence
}

// SetChecks turns on checks of a leader that does not answer, if Succession is on. It must be called before Run.
func (r *Router) SetChecks(o CheckOptions) {
	if !r.Succession {
		return
	}
	r.checks = &checks{CheckOptions: o, started: metrics.GetOrRegisterCounter("succession_checks", o.Registry),
		confirmed: metrics.GetOrRegisterCounter("succession_confirmed", o.Registry)}
}

// rank returns the rank of this instance among the designated successors of the leader of a term, -1 if it is none.
func (r *Router) rank(term int64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.checks == nil || r.designated.Term != term {
		return -1
	}
	return slices.IndexFunc(r.designated.Successors, func(p peer.Peer) bool { return p.Name == r.name })
}

// designatedPeers returns the witnesses and the other successors of a leader that has replied to this instance.
func (r *Router) designatedPeers() []peer.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	peers := slices.Concat(r.designated.Successors, r.designated.Witnesses)
	return slices.DeleteFunc(peers, func(p peer.Peer) bool { return p.Name == r.name })
}

// ActsByRank implements elect.Checker.
func (r *Router) ActsByRank(term int64) bool { return r.rank(term) >= 0 }

// LastReply implements elect.Checker.
func (r *Router) LastReply() time.Time {
	if r.checks == nil {
		return time.Time{}
	}
	r.checks.mu.Lock()
	defer r.checks.mu.Unlock()
	return r.checks.repliedAt
}

// Check implements elect.Checker.
func (r *Router) Check(term int64, record detect.Record) detect.Decision {
	s := r.checks
	if s == nil {
		return detect.Decision{}
	}
	exited := r.ProcessExited(term)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.current
	if c == nil || term < c.leader.Term {
		return detect.Decision{}
	}
	c.evidence.Record, c.evidence.Exited = record, exited
	c.evidence.LaterTerm = c.evidence.LaterTerm || term > c.leader.Term
	d := detect.Decide(c.evidence)
	if d.Verdict != detect.Undecided {
		r.endCheck(c, d.Verdict)
	}
	return d
}

// checkUnlessReplied starts a check of the leader, as soon as one may start, unless the reply to a heartbeat comes within a
// duration; that ends the context waiting.
func (r *Router) checkUnlessReplied(ctx, waiting context.Context, leader elect.LeaderRecord, d time.Duration) {
	if r.checks == nil {
		return
	}
	time.AfterFunc(d, func() {
		if waiting.Err() != nil {
			return
		}
		if wait := r.suspect(ctx, leader, 0); wait > 0 {
			r.checkUnlessReplied(ctx, waiting, leader, wait)
		}
	})
}

// observeReply records the outcome of a heartbeat for the check in progress and starts one if the leader's process has
// exited or the store does not confirm the leader.
func (r *Router) observeReply(ctx context.Context, leader elect.LeaderRecord, reply peer.HeartbeatReply, err error) {
	s := r.checks
	if s == nil {
		return
	}
	if err == nil && reply.IsLeader {
		s.mu.Lock()
		s.repliedAt = time.Now()
		if c := s.current; c != nil && c.leader.Term == reply.Term {
			c.evidence.Probe, c.evidence.Unconfirmed = detect.ProbeReached, reply.SinceConfirmed
		}
		s.mu.Unlock()
	}
	switch {
	case r.ProcessExited(leader.Term):
		r.suspect(ctx, leader, 0)
	case err == nil && reply.IsLeader && reply.Term == leader.Term && reply.SinceConfirmed >= detect.SuspectUnconfirmed:
		r.suspect(ctx, leader, reply.SinceConfirmed)
	}
}

// suspect starts a check of a leader if this instance is a designated successor, or no leader has ever replied to it. A leader
// that answers tells for how long the store has not confirmed it, else that is 0. If it is too early for another check, suspect
// returns the time until one may start, else 0.
func (r *Router) suspect(ctx context.Context, leader elect.LeaderRecord, unconfirmed time.Duration) time.Duration {
	s := r.checks
	rank := r.rank(leader.Term)
	s.mu.Lock()
	defer s.mu.Unlock()
	heard := !s.repliedAt.IsZero()
	// A process that exits is found by all instances without a check.
	if r.local.IsLeader() || rank < 0 && (heard || r.ProcessExited(leader.Term)) {
		return 0
	}
	if s.current != nil {
		return detect.ReadInterval
	}
	if wait := detect.CheckInterval - time.Since(s.lastStart); wait > 0 {
		return wait
	}
	c := &check{leader: leader, began: time.Now(), evidence: detect.Evidence{Heard: heard, Pending: 1}}
	if heard {
		c.evidence.Delay = time.Duration(rank) * detect.RankDelay
	} else if r.candidacy.ElectionDelay != nil {
		c.evidence.Delay = r.candidacy.ElectionDelay()
	}
	s.current, s.lastStart = c, c.began
	s.started.Inc(1)
	fields := []zap.Field{zap.String("leader", leader.Name), zap.Int64("term", leader.Term), zap.Int("rank", rank),
		zap.Bool("heard", heard)}
	if heard {
		fields = append(fields, zap.Duration("silent", time.Since(s.repliedAt)))
	}
	r.log.Info("router: leader does not answer or is not confirmed, check started", fields...)
	s.Started()
	if unconfirmed > 0 {
		c.evidence.Probe, c.evidence.Unconfirmed, c.evidence.Pending = detect.ProbeReached, unconfirmed, 0
	} else {
		go r.probeLeader(ctx, c)
		go r.askPeers(ctx, c, heard)
	}
	time.AfterFunc(detect.MaxDuration, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.current == c {
			r.endCheck(c, detect.Undecided)
		}
	})
	return 0
}

// endCheck ends a check and logs its evidence; the mutex of checks must be held.
func (r *Router) endCheck(c *check, v detect.Verdict) {
	s, e := r.checks, c.evidence
	s.current = nil
	if v == detect.Lost || v == detect.CutOff {
		s.confirmed.Inc(1)
	}
	result := string(v)
	if v == detect.Undecided {
		result = "undecided"
	}
	r.log.Info("router: check of the leader ended", zap.String("leader", c.leader.Name), zap.Int64("term", c.leader.Term),
		zap.String("result", result), zap.Duration("took", time.Since(c.began)), zap.String("probe", string(e.Probe)),
		zap.Bool("exited", e.Exited), zap.Bool("laterTerm", e.LaterTerm), zap.Duration("unconfirmed", e.Unconfirmed),
		zap.Int("asked", e.Asked), zap.Int("reached", e.Reached), zap.Int("unreached", e.Unreached), zap.Int("pending", e.Pending),
		zap.Bool("recordRead", e.Record.Known), zap.Duration("recordAge", e.Record.Age),
		zap.Duration("slowestRead", e.Record.SlowestRead))
}

// update changes the evidence of a check.
func (s *checks) update(c *check, f func(*detect.Evidence)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&c.evidence)
}

// heartbeatOf returns a heartbeat of this instance to the leader of a term.
func (r *Router) heartbeatOf(term int64) peer.HeartbeatRequest {
	q := peer.HeartbeatRequest{From: r.name, Address: r.candidacy.Address, Term: term, Zone: r.candidacy.Zone,
		Relays: r.candidacy.Relays, ReadsRowLog: true, Succession: r.checks != nil}
	if r.candidacy.ElectionDelay != nil {
		q.ElectionDelay = r.candidacy.ElectionDelay()
	}
	return q
}

// probeLeader probes the leader over a new connection.
func (r *Router) probeLeader(ctx context.Context, c *check) {
	reply, err := r.probe(ctx, c.leader.Address, c.leader.Term)
	r.handleHeartbeat(c.leader, reply, err)
	reached := err == nil && isProcessOf(c.leader, reply)
	r.checks.update(c, func(e *detect.Evidence) {
		switch {
		case reached:
			e.Probe, e.Unconfirmed = detect.ProbeReached, reply.SinceConfirmed
		case e.Probe == detect.ProbePending:
			e.Probe = detect.ProbeFailed
		}
	})
}

func (r *Router) probe(ctx context.Context, address string, term int64) (peer.HeartbeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, detect.ProbeTimeout)
	defer cancel()
	return peer.CallNew(ctx, r.peers, address, peer.MethodHeartbeat, r.heartbeatOf(term))
}

// isProcessOf reports whether a reply comes from the process of a leader, which may not know yet that it leads.
func isProcessOf(leader elect.LeaderRecord, reply peer.HeartbeatReply) bool {
	return reply.IsLeader || reply.Boot == leader.Boot && !reply.Ended
}

// askPeers asks the designated peers, or some of the instances known to the store, whether they reach the leader.
func (r *Router) askPeers(ctx context.Context, c *check, heard bool) {
	ctx, cancel := context.WithTimeout(ctx, detect.AskTimeout)
	defer cancel()
	peers := r.designatedPeers()
	if !heard {
		var err error
		if peers, err = r.knownPeers(ctx, c.leader.Name); err != nil {
			// Peers that are not known can't be counted: the check ends undecided.
			r.log.Info("router: reading the instances for a check of the leader failed", zap.Error(err))
			return
		}
	}
	peers = peers[:min(len(peers), detect.MaxAsked)]
	r.checks.update(c, func(e *detect.Evidence) { e.Asked, e.Pending = len(peers), len(peers) })
	q := peer.SuspectRequest{Name: c.leader.Name, Address: c.leader.Address, Boot: c.leader.Boot, Term: c.leader.Term}
	var calls sync.WaitGroup
	for _, p := range peers {
		calls.Go(func() {
			reply, err := peer.Call(ctx, r.peers, p.Address, peer.MethodSuspect, q)
			r.checks.update(c, func(e *detect.Evidence) {
				e.Pending--
				switch {
				case err != nil:
				case reply.Term > q.Term:
					e.LaterTerm = true
				case reply.Reached:
					e.Reached++
				default:
					e.Unreached++
				}
			})
		})
	}
	calls.Wait()
}

// knownPeers returns some of the instances known to the store, in random order, without this one and the leader.
func (r *Router) knownPeers(ctx context.Context, leader string) ([]peer.Peer, error) {
	peers, err := r.checks.Instances(ctx)
	if err != nil {
		return nil, err
	}
	peers = slices.DeleteFunc(peers, func(p peer.Peer) bool { return p.Name == r.name || p.Name == leader })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers, nil
}

// handleSuspect probes a leader for a peer that does not reach it.
func (r *Router) handleSuspect(ctx context.Context, q peer.SuspectRequest) (peer.SuspectReply, error) {
	known, _ := r.tracker.Leader()
	if q.Boot == r.candidacy.Boot {
		return peer.SuspectReply{Term: known.Term, Reached: true}, nil
	}
	leader := elect.LeaderRecord{Name: q.Name, Boot: q.Boot, Address: q.Address, Term: q.Term}
	reply, err := r.probe(ctx, q.Address, max(known.Term, q.Term))
	return peer.SuspectReply{Term: known.Term, Reached: err == nil && isProcessOf(leader, reply)}, nil
}
