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

// poolPrefix is the prefix of the table keys of pool membership, see section 3 of the design page.
const poolPrefix = "view/pool/"

type placement struct {
	pool   fleet.PoolName
	zone   fleet.AvailabilityZone
	status fleet.InstanceState
}

// poolRecorder converts transactions on pool membership to edits. The store calls it in the order of commits.
type poolRecorder struct {
	sink       record.Sink[record.Edit]
	pools      map[fleet.PoolName][]fleet.PoolMember
	placements map[fleet.InstanceID]placement
}

// RecordPoolEdits returns an observer of the store's transactions that records changes of pool membership as edits.
func RecordPoolEdits(sink record.Sink[record.Edit]) func(table.Transaction) {
	return newPoolRecorder(sink).observe
}

func newPoolRecorder(sink record.Sink[record.Edit]) *poolRecorder {
	return &poolRecorder{
		sink: sink, pools: map[fleet.PoolName][]fleet.PoolMember{}, placements: map[fleet.InstanceID]placement{},
	}
}

func (p *poolRecorder) observe(t table.Transaction) {
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
		p.pools[fleet.PoolName(name)] = members
		changed = true
	}
	if changed {
		p.emit()
	}
}

// emit records the differences from the previous membership. It compares all pools at once, so that a move between
// pools is one change and not a removal followed by an addition.
func (p *poolRecorder) emit() {
	now := record.Now()
	next := map[fleet.InstanceID]placement{}
	for name, members := range p.pools {
		for _, m := range members {
			next[m.ID] = placement{pool: name, zone: m.Zone, status: m.State}
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(next), cmp.Compare) {
		if n := next[id]; p.placements[id] != n {
			p.sink.Write(record.Edit{
				Kind: record.EditPool, Time: now, Instance: id, Pool: n.pool, Zone: n.zone, Status: n.status,
			})
		}
	}
	for _, id := range slices.SortedFunc(maps.Keys(p.placements), cmp.Compare) {
		if _, ok := next[id]; !ok {
			p.sink.Write(record.Edit{Kind: record.EditPool, Time: now, Instance: id})
		}
	}
	p.placements = next
}
