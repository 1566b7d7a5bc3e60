package view

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// errStoreBehind means that the store returned a lower revision than that of the view.
var errStoreBehind = errors.New("view: the store is behind this entry instance")

// maxConfirmAttempts bounds the repetitions of one confirmation while the view keeps changing.
const maxConfirmAttempts = 4

// followStore confirms the view by a read of the head, after fetching newer revisions.
func (r *Replica) followStore(ctx context.Context) {
	for range maxConfirmAttempts {
		before, sent := r.revision(), r.now()
		h, err := r.readHead(ctx)
		if err == nil && h.revision < before {
			err = errStoreBehind
		}
		if err != nil {
			r.log.Warn("view: could not confirm the view by the store; querying the peers if this persists", zap.Error(err))
			wake(r.wakePeers)
			return
		}
		if h.revision <= r.revision() {
			r.storeConfirmed.Store(int64(sent))
			r.confirm(sent)
			return
		}
		if err := r.fetch(ctx, h.revision); err != nil {
			r.log.Warn("view: could not fetch a newer revision from the store; retrying",
				zap.Uint64("revision", h.revision), zap.Error(err))
			return
		}
	}
}

// followPeers confirms the view by a majority of its members if the store has not done so for peerFallbackDelay.
func (r *Replica) followPeers(ctx context.Context) {
	if r.now()-time.Duration(r.storeConfirmed.Load()) < peerFallbackDelay {
		return
	}
	if r.revision() == 0 {
		r.loadFromSeeds(ctx)
	}
	for range maxConfirmAttempts {
		if !r.queryPeers(ctx) {
			return
		}
	}
}

type syncResult struct {
	revision uint64
	err      error
}

// queryPeers queries every member once. It confirms the view if a majority knows no newer revision, and returns true if
// it received a newer one. Calls in progress at the return continue until their timeout, because the end of a call's
// context closes its connection.
func (r *Replica) queryPeers(ctx context.Context) bool {
	s, sent := r.current.Load(), r.now()
	members, revision := s.view.Members(), s.view.Revision()
	answers := make(chan syncResult, len(members))
	waiting, votes := 0, 0
	for _, m := range members {
		if m.ID == r.id() {
			votes++
			continue
		}
		waiting++
		go func() {
			call, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerTimeout)
			defer cancel()
			_, known, err := r.QueryMember(call, m, revision)
			answers <- syncResult{known, err}
		}()
	}
	for {
		if len(members) > 0 && votes >= majority(len(members)) {
			r.confirm(sent)
			return false
		}
		if waiting == 0 {
			return false
		}
		a := <-answers
		waiting--
		if a.err != nil {
			continue
		}
		if a.revision > revision {
			return r.revision() > revision
		}
		votes++
	}
}

// QueryMember queries a member once with the revision of this entry instance and applies what is newer. It returns the
// identifier of the responder, which may be a later incarnation of the member, and the responder's revision.
func (r *Replica) QueryMember(ctx context.Context, m fleet.Member, revision uint64) (fleet.EntryID, uint64, error) {
	reply, err := r.peers.Sync(ctx, m.Address, peer.SyncRequest{From: r.id(), Revision: revision})
	if err != nil {
		return "", 0, err
	}
	if !answersFor(reply.From, m.ID) {
		return "", 0, fmt.Errorf("view: %s answered at the address of %s", reply.From, m.ID)
	}
	r.observe(m.ID, reply.Revision)
	r.applyReply(reply)
	return reply.From, reply.Revision, nil
}

// answersFor reports whether a reply from a member's address counts for the member. The reply of a later incarnation
// with the same name does: it listens at the member's address, so the member's process has exited.
func answersFor(from, member fleet.EntryID) bool {
	return from == member || entryName(from) == entryName(member)
}

func entryName(id fleet.EntryID) string {
	if i := strings.LastIndexByte(string(id), '.'); i >= 0 {
		return string(id[:i])
	}
	return string(id)
}

func majority(members int) int {
	if members == 0 {
		return 0
	}
	return members/2 + 1
}

// loadFromSeeds takes the view with the highest revision among the peers in the roster. It isn't fresh until a majority
// of its members has confirmed it.
func (r *Replica) loadFromSeeds(ctx context.Context) {
	addresses, err := r.seeds(ctx)
	if err != nil {
		r.log.Warn("view: could not read the peers' addresses from the roster; retrying", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var g sync.WaitGroup
	for _, a := range addresses {
		g.Go(func() {
			if reply, err := r.peers.Sync(ctx, a, peer.SyncRequest{From: r.id()}); err == nil {
				r.applyReply(reply)
			}
		})
	}
	g.Wait()
}

type head struct {
	revision uint64
	version  uint64
}

type headValue struct {
	Revision uint64 `json:"revision"`
}

func (r *Replica) readHead(ctx context.Context) (head, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	items, err := r.table.Get(ctx, HeadKey)
	if err != nil {
		return head{}, fmt.Errorf("view: head: %w", err)
	}
	return decodeHead(items)
}

func decodeHead(items []table.Item) (head, error) {
	if len(items) == 0 {
		return head{}, nil
	}
	v, err := decodeItem[headValue](items[0].Value)
	if err != nil {
		return head{}, fmt.Errorf("view: head: %w", err)
	}
	return head{revision: v.Revision, version: items[0].Version}, nil
}
