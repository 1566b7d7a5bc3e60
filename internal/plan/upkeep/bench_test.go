package upkeep

import (
	"context"
	"fmt"
	"testing"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

type staticViews struct {
	ViewEditor
	view fleet.View
}

func (s staticViews) View() fleet.View { return s.view }
func (s staticViews) Fresh() error     { return nil }

// BenchmarkPass runs a pass over pools that need no maintenance, as a planner does twice a second for each pool it
// coordinates.
func BenchmarkPass(b *testing.B) {
	const pools = 271 // planned number of pools
	for _, workers := range []int{300, 1_000, 3_000, 10_000, 30_000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			members := map[fleet.PoolName][]fleet.PoolMember{}
			doc := fleet.Document{Pools: map[fleet.PoolName]fleet.PoolSection{}}
			for i := range workers {
				p := fleet.PoolName(fmt.Sprint("pool", i%pools))
				members[p] = append(members[p], fleet.PoolMember{ID: fleet.InstanceID(fmt.Sprint("worker", i)),
					Zone: "zone1", State: fleet.InstanceActive, Version: "v1"})
				doc.Pools[p] = fleet.PoolSection{Wave: 1, Version: "v1"}
			}
			v := fleet.View{}.WithDocument(doc)
			for p, ms := range members {
				v = v.WithPool(p, ms)
			}
			p := New(Options{Views: staticViews{view: v}, Leads: func(fleet.PoolName) bool { return true }})
			b.ReportAllocs()
			for b.Loop() {
				p.pass(context.Background())
			}
		})
	}
}
