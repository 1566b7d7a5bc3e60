package fleet

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/yuccahaven/yuccahaven/internal/lab/meter"
)

// plannedPools, plannedZones and plannedTeams are the planned numbers of pools, availability zones and teams.
const (
	plannedPools = 271
	plannedZones = 8
	plannedTeams = 170
)

var fleetSizes = []int{300, 1_000, 3_000, 10_000, 30_000}

// benchView spreads workers over the planned pools.
func benchView(workers int) View {
	pools := map[PoolName][]PoolMember{}
	for i := range workers {
		p := PoolName(fmt.Sprint("pool", i%plannedPools))
		pools[p] = append(pools[p], PoolMember{ID: InstanceID(fmt.Sprint("worker", i)),
			Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
			Zone:    AvailabilityZone(fmt.Sprint("zone", i%plannedZones)), Rack: fmt.Sprint("rack", i/4),
			Slots: 8, State: InstanceActive, Version: "v1"})
	}
	var v View
	for p, members := range pools {
		v = v.WithPool(p, members)
	}
	for i := range plannedTeams * 2 {
		name := fmt.Sprint("queue/q", i)
		v = v.WithSection(Section{Name: name, Version: 1, Text: "team: team1\npool: pool1\ntimeout: 30s\nslots: 1\n"})
	}
	return v
}

func benchFleetSizes(b *testing.B, f func(b *testing.B, v View)) {
	for _, workers := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			v := benchView(workers)
			b.ReportAllocs()
			f(b, v)
		})
	}
}

// BenchmarkWithPool replaces one of the planned 271 pools.
func BenchmarkWithPool(b *testing.B) {
	benchFleetSizes(b, func(b *testing.B, v View) {
		members := v.Pool("pool1")
		for b.Loop() {
			v.WithPool("pool1", members)
		}
	})
}

// BenchmarkWithSection replaces one section in a view with two sections per team.
func BenchmarkWithSection(b *testing.B) {
	v := benchView(fleetSizes[0])
	b.ReportAllocs()
	for b.Loop() {
		v.WithSection(Section{Name: "queue/q1", Version: 2})
	}
}

// BenchmarkEveryPool reads every member of every pool, as the planners do.
func BenchmarkEveryPool(b *testing.B) {
	benchFleetSizes(b, func(b *testing.B, v View) {
		for b.Loop() {
			for _, p := range v.PoolNames() {
				v.Pool(p)
			}
		}
	})
}

// BenchmarkPoolOf finds the pool of an instance.
func BenchmarkPoolOf(b *testing.B) {
	benchFleetSizes(b, func(b *testing.B, v View) {
		for b.Loop() {
			v.PoolOf("worker299")
		}
	})
}

// BenchmarkViewHeap measures the memory of a view.
func BenchmarkViewHeap(b *testing.B) {
	for _, workers := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			var bytes uint64
			for b.Loop() {
				before := meter.Heap()
				v := benchView(workers)
				bytes = meter.Heap() - before
				runtime.KeepAlive(v)
			}
			b.ReportMetric(float64(bytes), "heap-B")
		})
	}
}
