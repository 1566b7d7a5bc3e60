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

// errBehind means that the store returned a revision below one it returned before.
var errBehind = errors.New("view: the store is behind this entry instance")

// confirmRounds bounds how often one attempt follows a view that keeps changing.
const confirmRounds = 4

// followStore confirms the view by a read of head, after fetching what is newer.
func (k *Replica) followStore(ctx context.Context) {
	for range confirmRounds {
		before, sent := k.revision(), k.now()
		h, err := k.readHead(ctx)
		if err == nil && h.revision < before {
			err = errBehind
		}
		if err != nil {
			k.log.Warn("view: store does not confirm the view", zap.Error(err))
			wake(k.wakePeers)
			return
		}
		if h.revision <= k.revision() {
			k.stored.Store(int64(sent))
			k.confirm(sent)
			return
		}
		if err := k.fetch(ctx, h.revision); err != nil {
			k.log.Warn("view: fetch failed", zap.Uint64("revision", h.revision), zap.Error(err))
			return
		}
	}
}

// followPeers confirms the view by a majority of its members if the store has not done so for a while.
func (k *Replica) followPeers(ctx context.Context) {
	if k.now()-time.Duration(k.stored.Load()) < storeSilence {
		return
	}
	if k.revision() == 0 {
		k.loadFromSeeds(ctx)
	}
	for range confirmRounds {
		if !k.askPeers(ctx) {
			return
		}
	}
}

type syncAnswer struct {
	revision uint64
	err      error
}

// askPeers asks every member once. It confirms the view if a majority knows no newer revision, and
// returns true if it learned a newer one. Calls that are still open then go on to their timeout: ending
// a call closes its connection.
func (k *Replica) askPeers(ctx context.Context) bool {
	s, sent := k.current.Load(), k.now()
	members, revision := s.view.Members(), s.view.Revision()
	answers := make(chan syncAnswer, len(members))
	waiting, votes := 0, 0
	for _, m := range members {
		if m.ID == k.id() {
			votes++
			continue
		}
		waiting++
		go func() {
			call, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerTimeout)
			defer cancel()
			_, r, err := k.QueryMember(call, m, revision)
			answers <- syncAnswer{r, err}
		}()
	}
	for {
		if len(members) > 0 && votes >= majority(len(members)) {
			k.confirm(sent)
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
			return k.revision() > revision
		}
		votes++
	}
}

// QueryMember asks a member once on behalf of this entry instance at a revision and applies what is newer. It
// returns who answered, which may be a later incarnation of the member, and the revision that one knows.
func (k *Replica) QueryMember(ctx context.Context, m fleet.Member, revision uint64) (fleet.EntryID, uint64, error) {
	reply, err := k.peers.Sync(ctx, m.Address, peer.SyncRequest{From: k.id(), Revision: revision})
	if err != nil {
		return "", 0, err
	}
	if !speaksFor(reply.From, m.ID) {
		return "", 0, fmt.Errorf("view: %s answers at the address of %s", reply.From, m.ID)
	}
	k.observe(m.ID, reply.Revision)
	k.learn(reply)
	return reply.From, reply.Revision, nil
}

// speaksFor reports whether an answer from a member's address counts for the member. A later incarnation
// under the same name does: it listens where the member did, so the member's process has ended.
func speaksFor(from, member fleet.EntryID) bool {
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

// loadFromSeeds takes the highest view among the peers that the roster lists. It isn't fresh until a
// majority of the members it names has confirmed it.
func (k *Replica) loadFromSeeds(ctx context.Context) {
	addresses, err := k.seeds(ctx)
	if err != nil {
		k.log.Warn("view: no addresses of peers", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var g sync.WaitGroup
	for _, a := range addresses {
		g.Go(func() {
			if reply, err := k.peers.Sync(ctx, a, peer.SyncRequest{From: k.id()}); err == nil {
				k.learn(reply)
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

func (k *Replica) readHead(ctx context.Context) (head, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	items, err := k.table.Get(ctx, HeadKey)
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
