package view

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// pushInterval is the time between repeated pushes to a peer that has not acknowledged yet.
const pushInterval = 100 * time.Millisecond

// maxAcked is the number of entry instances from which on the revisions of former members are deleted.
const maxAcked = 64

// errNotReady is returned to peers until this process has confirmed a view.
var errNotReady = errors.New("view: no view confirmed yet")

// HandleSync replies to a peer with what is newer than its revision.
func (r *Replica) HandleSync(_ context.Context, q peer.SyncRequest) (peer.SyncReply, error) {
	if !r.ready() {
		return peer.SyncReply{}, errNotReady
	}
	r.observe(q.From, q.Revision)
	if q.Revision > r.revision() {
		wake(r.wakeStore)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a := peer.SyncReply{From: r.id(), Revision: r.revision()}
	if q.Revision >= a.Revision {
		return a, nil
	}
	deltas, ok := r.after(q.Revision)
	if ok {
		a.Deltas = deltas
		return a, nil
	}
	for key, value := range r.items {
		a.Items = append(a.Items, fleet.Item{Key: key, Value: value})
	}
	return a, nil
}

// HandlePush applies deltas from a peer and replies with the resulting revision.
func (r *Replica) HandlePush(_ context.Context, q peer.PushRequest) (peer.PushReply, error) {
	if !r.ready() {
		return peer.PushReply{}, errNotReady
	}
	if err := r.advance(q.Deltas); err != nil {
		wake(r.wakeStore)
	}
	if n := len(q.Deltas); n > 0 {
		r.observe(q.From, q.Deltas[n-1].Revision)
	}
	return peer.PushReply{From: r.id(), Revision: r.revision()}, nil
}

// after returns the deltas after a revision if all of them are still kept; the caller holds mu.
func (r *Replica) after(revision uint64) ([]fleet.Delta, bool) {
	n := len(r.deltas)
	if n == 0 || r.deltas[0].Revision > revision+1 {
		return nil, false
	}
	first := min(int(revision+1-r.deltas[0].Revision), n)
	return slices.Clone(r.deltas[first:]), true
}

// observe records that a member has applied a revision.
func (r *Replica) observe(id fleet.EntryID, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision > r.acked[id] {
		r.acked[id] = revision
		r.updateMajorityRevision()
	}
}

// updateMajorityRevision raises the majority revision; the caller holds mu. The acknowledgements of the current members
// count only from the revision that last changed the members: majorities of older member lists need not share a member
// with theirs.
func (r *Replica) updateMajorityRevision() {
	s := r.current.Load()
	members := s.view.Members()
	if len(members) == 0 {
		return
	}
	revisions := make([]uint64, 0, len(members))
	for _, m := range members {
		revisions = append(revisions, min(r.ackedRevision(m.ID), s.view.Revision()))
	}
	slices.Sort(revisions)
	revision := revisions[len(revisions)-majority(len(members))]
	if revision >= s.membersRevision && revision > r.majorityRevision.Load() {
		r.majorityRevision.Store(revision)
	}
}

// prune deletes the acknowledged revisions of former members; the caller holds mu.
func (r *Replica) prune(v fleet.View) {
	if len(r.acked) < maxAcked {
		return
	}
	maps.DeleteFunc(r.acked, func(id fleet.EntryID, _ uint64) bool {
		_, ok := v.Member(id)
		return !ok
	})
}

// ackedRevision returns the revision that a member is known to have applied, or the current one if its process has
// exited; the caller holds mu.
func (r *Replica) ackedRevision(id fleet.EntryID) uint64 {
	if id == r.id() || r.exited(id) {
		return r.revision()
	}
	return r.acked[id]
}

// acknowledged reports whether a majority of each list of members has applied a revision.
func (r *Replica) acknowledged(revision uint64, lists [][]fleet.Member) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, members := range lists {
		n := 0
		for _, m := range members {
			if r.ackedRevision(m.ID) >= revision {
				n++
			}
		}
		if n < majority(len(members)) {
			return false
		}
	}
	return true
}

// pushToMajority pushes deltas to members until a majority of each list has applied a revision, and reports whether
// that happened before the context ended.
func (r *Replica) pushToMajority(ctx context.Context, revision uint64, lists ...[]fleet.Member) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replied := make(chan struct{}, 1)
	started := map[fleet.EntryID]bool{r.id(): true}
	for _, members := range lists {
		for _, m := range members {
			if started[m.ID] {
				continue
			}
			started[m.ID] = true
			go r.pushUntil(ctx, m, revision, replied)
		}
	}
	for !r.acknowledged(revision, lists) {
		select {
		case <-replied:
		case <-ctx.Done():
			return r.acknowledged(revision, lists)
		}
	}
	return true
}

// pushUntil pushes until a member has applied a revision or the context ends. Calls that make progress continue after a
// majority is reached, so that slower members receive the edit too.
func (r *Replica) pushUntil(ctx context.Context, m fleet.Member, revision uint64, replied chan<- struct{}) {
	known := revision - 1
	for {
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerTimeout)
		reply, err := r.peers.Push(call, m.Address, peer.PushRequest{From: r.id(), Deltas: r.deltasAfter(known)})
		cancel()
		if err == nil && answersFor(reply.From, m.ID) {
			r.observe(m.ID, reply.Revision)
			wake(replied)
			if reply.Revision >= revision {
				return
			}
			if reply.Revision != known {
				known = reply.Revision
				continue
			}
		}
		select {
		case <-time.After(pushInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (r *Replica) deltasAfter(revision uint64) []fleet.Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	deltas, _ := r.after(revision)
	return deltas
}
