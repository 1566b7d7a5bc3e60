package view_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// sizes are numbers of pools and instances, up to the largest size in the design.
var sizes = []struct{ pools, instances int }{{10, 100}, {100, 11000}, {271, 30000}}

func poolMembers(pool, n int) []fleet.PoolMember {
	members := make([]fleet.PoolMember, n)
	for i := range members {
		id := fmt.Sprintf("worker-%d-%d", pool, i)
		members[i] = fleet.PoolMember{
			ID: fleet.InstanceID(id), Address: fmt.Sprintf("10.%d.%d.%d:7000", pool/256, pool%256, i%256), Zone: "zone-1",
			Rack: fmt.Sprintf("rack-%d", i/4), Slots: 8, State: fleet.InstanceActive, Version: "2026.1",
		}
	}
	return members
}

// newFilledReplica returns a ready Replica whose view holds the pools, received by pushes as from a peer.
func newFilledReplica(b *testing.B, pools, instances int) (*view.Replica, uint64) {
	r := view.New("a.1", fakes.NewTable().Link(), fakes.NewNet(0).From("a"), decode)
	ctx, cancel := context.WithCancel(b.Context())
	go r.Run(ctx)
	if err := r.Await(b.Context()); err != nil {
		b.Fatal(err)
	}
	cancel()
	for p := range pools {
		push(b, r, uint64(p+1), p, instances/pools)
	}
	return r, uint64(pools)
}

func push(b *testing.B, r *view.Replica, revision uint64, pool, n int) {
	i := view.PoolItem(fleet.PoolName(fmt.Sprintf("pool-%d", pool)), poolMembers(pool, n))
	d := fleet.Delta{Revision: revision, Items: []fleet.Item{i}}
	if a, err := r.HandlePush(b.Context(), peer.PushRequest{
		From: "b.1", Deltas: []fleet.Delta{d},
	}); err != nil || a.Revision != revision {
		b.Fatal(a.Revision, err)
	}
}

// BenchmarkDelta applies a delta that changes one pool.
func BenchmarkDelta(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("pools=%d/instances=%d", s.pools, s.instances), func(b *testing.B) {
			r, revision := newFilledReplica(b, s.pools, s.instances)
			i := view.PoolItem("pool-0", poolMembers(0, s.instances/s.pools))
			for b.Loop() {
				revision++
				q := peer.PushRequest{From: "b.1", Deltas: []fleet.Delta{{Revision: revision, Items: []fleet.Item{i}}}}
				if _, err := r.HandlePush(b.Context(), q); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(i.Value)), "delta-bytes")
		})
	}
}

// BenchmarkSync replies to a peer with the current view, one that lacks one delta and one without a view.
func BenchmarkSync(b *testing.B) {
	for _, s := range sizes {
		r, revision := newFilledReplica(b, s.pools, s.instances)
		for name, from := range map[string]uint64{"current": revision, "delta": revision - 1, "whole": 0} {
			b.Run(fmt.Sprintf("pools=%d/instances=%d/%s", s.pools, s.instances, name), func(b *testing.B) {
				var size int
				for b.Loop() {
					a, err := r.HandleSync(b.Context(), peer.SyncRequest{From: "b.1", Revision: from})
					if err != nil {
						b.Fatal(err)
					}
					m, err := cbor.Marshal(a)
					if err != nil {
						b.Fatal(err)
					}
					size = len(m)
				}
				b.ReportMetric(float64(size), "reply-bytes")
			})
		}
	}
}

// BenchmarkFresh is the cost of the freshness check and the view for each start of a task.
func BenchmarkFresh(b *testing.B) {
	r, _ := newFilledReplica(b, 10, 100)
	for b.Loop() {
		_, _ = r.Fresh(), r.View()
	}
}
