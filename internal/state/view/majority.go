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

// pushInterval separates repeated pushes to a peer that has not acknowledged yet.
const pushInterval = 100 * time.Millisecond

// ackedMost is the number of entry instances above which former members are forgotten.
const ackedMost = 64

// errNotReady is returned to peers until this process has confirmed a view.
var errNotReady = errors.New("view: no view confirmed yet")

// HandleSync answers a peer with what is newer than the revision it has.
func (k *Replica) HandleSync(_ context.Context, q peer.SyncRequest) (peer.SyncReply, error) {
	if !k.ready() {
		return peer.SyncReply{}, errNotReady
	}
	k.observe(q.From, q.Revision)
	if q.Revision > k.revision() {
		wake(k.wakeStore)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	a := peer.SyncReply{From: k.id(), Revision: k.revision()}
	if q.Revision >= a.Revision {
		return a, nil
	}
	deltas, ok := k.after(q.Revision)
	if ok {
		a.Deltas = deltas
		return a, nil
	}
	for key, value := range k.items {
		a.Items = append(a.Items, fleet.Item{Key: key, Value: value})
	}
	return a, nil
}

// HandlePush applies deltas that a peer brings and answers with the revision reached.
func (k *Replica) HandlePush(_ context.Context, q peer.PushRequest) (peer.PushReply, error) {
	if !k.ready() {
		return peer.PushReply{}, errNotReady
	}
	if err := k.advance(q.Deltas); err != nil {
		wake(k.wakeStore)
	}
	if n := len(q.Deltas); n > 0 {
		k.observe(q.From, q.Deltas[n-1].Revision)
	}
	return peer.PushReply{From: k.id(), Revision: k.revision()}, nil
}

// after returns the deltas after a revision, if every one is still kept; the caller holds mu.
func (k *Replica) after(revision uint64) ([]fleet.Delta, bool) {
	n := len(k.deltas)
	if n == 0 || k.deltas[0].Revision > revision+1 {
		return nil, false
	}
	first := min(int(revision+1-k.deltas[0].Revision), n)
	return slices.Clone(k.deltas[first:]), true
}

// observe notes that a member has applied a revision.
func (k *Replica) observe(id fleet.EntryID, revision uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if revision > k.acked[id] {
		k.acked[id] = revision
		k.settle()
	}
}

// settle raises the settled revision; the caller holds mu. The acknowledgements of the present members
// count only from the revision that made them members: majorities of older member lists need not share a member with them.
func (k *Replica) settle() {
	s := k.current.Load()
	members := s.view.Members()
	if len(members) == 0 {
		return
	}
	revisions := make([]uint64, 0, len(members))
	for _, m := range members {
		revisions = append(revisions, min(k.ackOf(m.ID), s.view.Revision()))
	}
	slices.Sort(revisions)
	r := revisions[len(revisions)-majority(len(members))]
	if r >= s.members && r > k.settled.Load() {
		k.settled.Store(r)
	}
}

// prune forgets what former members acknowledged; the caller holds mu.
func (k *Replica) prune(v fleet.View) {
	if len(k.acked) < ackedMost {
		return
	}
	maps.DeleteFunc(k.acked, func(id fleet.EntryID, _ uint64) bool {
		_, ok := v.Member(id)
		return !ok
	})
}

// ackOf returns the revision that a member is known to have applied; the caller holds mu.
func (k *Replica) ackOf(id fleet.EntryID) uint64 {
	if id == k.id() || k.gone(id) {
		return k.revision()
	}
	return k.acked[id]
}

// acknowledged reports whether a majority of each list of members has applied a revision.
func (k *Replica) acknowledged(revision uint64, lists [][]fleet.Member) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, members := range lists {
		n := 0
		for _, m := range members {
			if k.ackOf(m.ID) >= revision {
				n++
			}
		}
		if n < majority(len(members)) {
			return false
		}
	}
	return true
}

// spread pushes the view to members until a majority of each list has applied a revision, and reports
// whether that happened before the context ended.
func (k *Replica) spread(ctx context.Context, revision uint64, lists ...[]fleet.Member) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replied := make(chan struct{}, 1)
	started := map[fleet.EntryID]bool{k.id(): true}
	for _, members := range lists {
		for _, m := range members {
			if started[m.ID] {
				continue
			}
			started[m.ID] = true
			go k.pushUntil(ctx, m, revision, replied)
		}
	}
	for !k.acknowledged(revision, lists) {
		select {
		case <-replied:
		case <-ctx.Done():
			return k.acknowledged(revision, lists)
		}
	}
	return true
}

// pushUntil pushes until a member has applied a revision or the context ends. Calls that make progress
// go on after a majority has been reached, so that the slower members learn of the edit too.
func (k *Replica) pushUntil(ctx context.Context, m fleet.Member, revision uint64, replied chan<- struct{}) {
	known := revision - 1
	for {
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerTimeout)
		reply, err := k.peers.Push(call, m.Address, peer.PushRequest{From: k.id(), Deltas: k.deltasAfter(known)})
		cancel()
		if err == nil && speaksFor(reply.From, m.ID) {
			k.observe(m.ID, reply.Revision)
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

func (k *Replica) deltasAfter(revision uint64) []fleet.Delta {
	k.mu.Lock()
	defer k.mu.Unlock()
	deltas, _ := k.after(revision)
	return deltas
}
