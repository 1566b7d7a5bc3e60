package demo

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// poolPrefix begins the table keys of the pools' members, see section 3 of the design page.
const poolPrefix = "view/pool/"

type placement struct {
	pool   fleet.PoolName
	zone   fleet.AvailabilityZone
	status fleet.InstanceState
}

// follower turns the transactions on pool membership into edits. The store calls it in the order of commits.
type follower struct {
	sink  record.Sink[record.Edit]
	pools map[fleet.PoolName][]fleet.PoolMember
	known map[fleet.InstanceID]placement
}

// Follow returns a watcher of the store's transactions that writes changes of pool membership as edits.
func Follow(sink record.Sink[record.Edit]) func(table.Transaction) { return newFollower(sink).follow }

func newFollower(sink record.Sink[record.Edit]) *follower {
	return &follower{sink: sink, pools: map[fleet.PoolName][]fleet.PoolMember{}, known: map[fleet.InstanceID]placement{}}
}

func (f *follower) follow(t table.Transaction) {
	changed := false
	for _, w := range t.Writes {
		name, ok := strings.CutPrefix(w.Key, poolPrefix)
		if !ok {
			continue
		}
		var members []fleet.PoolMember
		if !w.Delete && json.Unmarshal(w.Value, &members) != nil {
			continue
		}
		f.pools[fleet.PoolName(name)] = members
		changed = true
	}
	if changed {
		f.emit()
	}
}

// emit records what differs from the membership before. It works on all pools at once,
// so that a move is one change and not a removal with a later return.
func (f *follower) emit() {
	now := record.Now()
	next := map[fleet.InstanceID]placement{}
	for p, members := range f.pools {
		for _, m := range members {
			next[m.ID] = placement{pool: p, zone: m.Zone, status: m.State}
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(next), cmp.Compare) {
		if n := next[id]; f.known[id] != n {
			f.sink.Write(record.Edit{Kind: record.EditPool, Time: now, Instance: id, Pool: n.pool, Zone: n.zone, Status: n.status})
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(f.known), cmp.Compare) {
		if _, ok := next[id]; !ok {
			f.sink.Write(record.Edit{Kind: record.EditPool, Time: now, Instance: id})
		}
	}
	f.known = next
}
