package router

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/plan/detect"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	// heartbeatInterval is the time between two heartbeats to the leader unless it wants a longer one, up to
	// maxHeartbeatInterval; heartbeatTimeout bounds one of them.
	heartbeatInterval    = 400 * time.Millisecond
	maxHeartbeatInterval = 10 * time.Second
	heartbeatTimeout     = 350 * time.Millisecond
	// firstHeartbeatPause is the time between two checks whether a leader is known, until the first heartbeat.
	firstHeartbeatPause = 20 * time.Millisecond
	// replyMargin is how much longer than until the next heartbeat the outcome of one counts as evidence of the leader's
	// state.
	replyMargin = 500 * time.Millisecond
	// confirmedMaxAge is how old the store's last confirmation of the leader may be before other instances read the
	// leader record.
	confirmedMaxAge = 1200 * time.Millisecond
	// minRefusedDuration is how long the store must have refused the leader before other instances check whether it
	// serves them. It is longer than a few retries of a transaction.
	minRefusedDuration = 300 * time.Millisecond
)

// Candidacy is what the leader has to know of an instance to hand over leadership or to have it relay orders.
type Candidacy struct {
	// Address is where peers reach the instance, Zone its availability zone, Boot identifies its process.
	Address, Zone, Boot string
	// ElectionDelay returns the instance's election delay; nil means 0.
	ElectionDelay func() time.Duration
	// Relays means that the instance relays the leader's orders.
	Relays bool
}

// SetCandidacy sets what heartbeats report of this instance. It must be called before Run.
func (r *Router) SetCandidacy(c Candidacy) { r.candidacy = c }

// Run sends heartbeats to the leader until the context ends, except while this process leads or no leader is known.
func (r *Router) Run(ctx context.Context) {
	for next := time.Now(); ctx.Err() == nil; {
		r.sendHeartbeat(ctx)
		next = next.Add(r.interval())
		if now := time.Now(); next.Before(now) {
			next = now
		}
		if _, known := r.tracker.Leader(); !known {
			// The first heartbeat shows whether the process of the leader still runs, so it must not wait.
			next = time.Now().Add(firstHeartbeatPause)
		}
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
		}
	}
}

// interval returns the time between two heartbeats that the leader wants.
func (r *Router) interval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.intervalLocked()
}

func (r *Router) intervalLocked() time.Duration {
	if r.successorHeartbeats() {
		return detect.HeartbeatInterval
	}
	return min(max(r.lastReply.Interval, heartbeatInterval), maxHeartbeatInterval)
}

// successorHeartbeats reports whether the last reply came from a leader that has designated this instance as a successor;
// mu must be held.
func (r *Router) successorHeartbeats() bool {
	return r.checks != nil && slices.ContainsFunc(r.lastReply.Successors, func(p peer.Peer) bool { return p.Name == r.name })
}

// isRecent reports whether the outcome of a heartbeat at a time still counts as evidence; mu must be held.
func (r *Router) isRecent(at time.Time) bool { return time.Since(at) <= r.intervalLocked()+replyMargin }

func (r *Router) sendHeartbeat(ctx context.Context) {
	// The echo states that no later term was known after its time, so it must be read before the known term.
	echo, echoTerm := r.lastStamp()
	leader, ok := r.tracker.Leader()
	if !ok || leader.Released || r.local.IsLeader() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	q := r.heartbeatOf(leader.Term)
	q.Echo, q.EchoTerm = echo, echoTerm
	if leader.Address == r.candidacy.Address {
		r.handleHeartbeat(leader, r.ownReply(q), nil)
		return
	}
	r.checkUnlessReplied(ctx, callCtx, leader, detect.SuspectAfter)
	reply, err := peer.Call(callCtx, r.peers, leader.Address, peer.MethodHeartbeat, q)
	cancel()
	r.handleHeartbeat(leader, reply, err)
	r.observeReply(ctx, leader, reply, err)
}

// ownReply returns this process's own reply to a heartbeat. The leader record names its address while it loads the stored
// state, and when a former process of this instance has led. The heartbeat has no sender, so that the leader does not take
// itself for a peer whose confirmation its authority depends on: it sends itself none once the state is loaded.
func (r *Router) ownReply(q peer.HeartbeatRequest) peer.HeartbeatReply {
	q.From = ""
	reply := r.local.HandleHeartbeat(q)
	reply.Boot = r.candidacy.Boot
	return reply
}

// lastStamp returns the stamp of the last reply to a heartbeat and its term, or 0 without one.
func (r *Router) lastStamp() (time.Duration, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastReply.Stamp, r.lastReply.Term
}

// handleHeartbeat records the reply to a heartbeat and wakes the tracker unless it shows that the store confirms the
// leader. The process of the leader record may not know yet that it leads, so that it counts as exited only if another
// process replies or its own leadership has ended.
func (r *Router) handleHeartbeat(leader elect.LeaderRecord, reply peer.HeartbeatReply, err error) {
	if err != nil || !reply.IsLeader || reply.StoreRefusedFor >= minRefusedDuration ||
		reply.SinceConfirmed > confirmedMaxAge {
		r.log.Debug("router: heartbeat did not confirm the leader, reading the leader record",
			zap.String("holder", leader.Name), zap.Bool("holds", reply.IsLeader), zap.Duration("age", reply.SinceConfirmed),
			zap.Duration("refused", reply.StoreRefusedFor), zap.Error(err))
		r.tracker.Wake()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) || err == nil && !reply.IsLeader && (reply.Boot != leader.Boot || reply.Ended) {
		r.exitedAt, r.exitedTerm = time.Now(), leader.Term
	}
	if err == nil {
		r.lastReply, r.repliedAt = reply, time.Now()
		if reply.IsLeader {
			r.designated = reply
			if l := r.recorded; reply.Term > l.Term || reply.Term == l.Term && reply.Stamp >= l.Stamp {
				r.recorded, r.recordedAt = reply, time.Now()
			}
		}
	}
}

// recordedMaxAge is how long a leader's statement on its starts counts. It is less than the time for which the leader goes on
// asking a silent peer to confirm that it knows a later one.
const recordedMaxAge = 30 * time.Second

// StartsRecorded reports whether the leader of a term has told this instance that the store holds all starts that a worker may
// still execute, and has not told it otherwise since.
func (r *Router) StartsRecorded(term int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recorded.Term == term && r.recorded.Recorded && time.Since(r.recordedAt) <= recordedMaxAge
}

// ProcessExited reports whether the process of the leader of a term was recently found to have exited: its address
// refused a connection, or the process that answers there does not lead.
func (r *Router) ProcessExited(term int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exitedTerm == term && r.isRecent(r.exitedAt)
}

// StoreRefused reports whether the leader of a term reported recently that the store refuses it.
func (r *Router) StoreRefused(term int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastReply.IsLeader && r.lastReply.Term == term && r.lastReply.StoreRefusedFor >= minRefusedDuration &&
		r.isRecent(r.repliedAt)
}

// Alive reports whether the leader of a term reported recently that it can confirm its leadership in the store.
func (r *Router) Alive(term int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastReply.IsLeader && r.lastReply.Term == term && r.lastReply.SinceConfirmed <= confirmedMaxAge &&
		r.lastReply.StoreRefusedFor < minRefusedDuration && r.isRecent(r.repliedAt)
}

// Isolated reports whether this instance has reached neither the store nor the leader for a while, so that others may serve
// callers whom it can't serve.
func (r *Router) Isolated() bool {
	if r.rules == nil || r.rules.Age() <= rulesMaxAge || r.local.HasAuthority() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.repliedAt
	if last.Before(r.startedAt) {
		last = r.startedAt
	}
	return !r.isRecent(last)
}
