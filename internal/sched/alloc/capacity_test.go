package alloc

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/meter"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
)

var poolSizes = []int{10, 100, 1_000, 10_000}

// BenchmarkProbe handles the probes of one interval of 500 ms: every worker of a full pool reports its tasks.
func BenchmarkProbe(b *testing.B) {
	for _, workers := range poolSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := newFullPool(b, workers, 6)
			p, reports := f.pool(), f.reports()
			b.ReportAllocs()
			for b.Loop() {
				for tick := range probeTicks {
					for _, w := range p.dueProbes(f.c.views.View(), tick) {
						p.handleProbe(w, reports[w.ID], nil, time.Now())
					}
				}
			}
		})
	}
}

// reports returns worker reports that match the tasks reported by the entries.
func (f *fullPool) reports() map[fleet.InstanceID]worker.Report {
	reports := map[fleet.InstanceID]worker.Report{}
	for _, q := range f.requests {
		for _, o := range q.Occupied {
			r := reports[o.Worker]
			r.Instance, r.Slots, r.Used = o.Worker, benchSlots, r.Used+o.Slots
			r.Tasks = append(r.Tasks, worker.ReportedTask{Task: o.Task, Team: o.Team, State: worker.Running})
			reports[o.Worker] = r
		}
	}
	return reports
}

// BenchmarkFollow applies a new revision of the view that changes nothing in the pool.
func BenchmarkFollow(b *testing.B) {
	for _, workers := range poolSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := newFullPool(b, workers, 6)
			p, v := f.pool(), f.c.views.View()
			b.ReportAllocs()
			for b.Loop() {
				v = v.WithRevision(v.Revision() + 1)
				p.applyView(v, time.Now())
			}
		})
	}
}

// BenchmarkHeap measures the memory of a coordinator with one full pool of eight tasks a worker.
func BenchmarkHeap(b *testing.B) {
	for _, workers := range poolSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			var bytes uint64
			for b.Loop() {
				// The view and the entries' requests are not part of the coordinator's memory and stay reachable.
				f := newFullPool(b, workers, 6)
				view := f.c.views
				all := meter.Heap()
				f.c = nil
				bytes = all - meter.Heap()
				runtime.KeepAlive(f)
				runtime.KeepAlive(view)
			}
			b.ReportMetric(float64(bytes), "heap-B")
		})
	}
}

// BenchmarkRank ranks the entry instances for a pool, as every poll and every pass of a planner does.
func BenchmarkRank(b *testing.B) {
	for _, members := range []int{3, 6, 12, 24, 48, 96} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			v := fleet.View{}
			for i := range members {
				v = v.WithMember(fleet.Member{ID: fleet.EntryID(fmt.Sprintf("entry%d.01h0000000000000000000000%d", i, i))})
			}
			b.ReportAllocs()
			for b.Loop() {
				Rank(v.Members(), "p")
			}
		})
	}
}
