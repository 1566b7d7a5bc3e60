package budget

import (
	"fmt"
	"testing"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
)

const plannedPools = 271 // planned number of pools

var fleetSizes = []int{300, 1_000, 3_000, 10_000, 30_000}

func benchFleet(workers int) (fleet.View, []roster.Listing) {
	members := map[fleet.PoolName][]fleet.PoolMember{}
	doc := fleet.Document{Pools: map[fleet.PoolName]fleet.PoolSection{}}
	var listings []roster.Listing
	for i := range workers {
		p := fleet.PoolName(fmt.Sprint("pool", i%plannedPools))
		m := fleet.PoolMember{ID: fleet.InstanceID(fmt.Sprint("worker", i)), Address: "10.0.0.1:8080",
			Zone: fleet.AvailabilityZone(fmt.Sprint("zone", i%8)), Slots: 8, State: fleet.InstanceActive, Version: "v1"}
		members[p] = append(members[p], m)
		doc.Pools[p] = fleet.PoolSection{Wave: 1}
		listings = append(listings, roster.Listing{ID: m.ID, Kind: roster.Worker, Address: m.Address, Zone: m.Zone, Slots: 8, State: roster.Live})
	}
	v := fleet.View{}.WithDocument(doc)
	for p, ms := range members {
		v = v.WithPool(p, ms)
	}
	return v, listings
}

// BenchmarkDrain drains one instance for a reboot.
func BenchmarkDrain(b *testing.B) {
	for _, workers := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			v, _ := benchFleet(workers)
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				items, err := DrainForReboot(v, "worker1")
				if err != nil {
					b.Fatal(err)
				}
				size = len(items[0].Value)
			}
			b.ReportMetric(float64(size), "wire-B")
		})
	}
}

// BenchmarkRoster compares a roster that matches the pools with them, as the follower does every second.
func BenchmarkRoster(b *testing.B) {
	for _, workers := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			v, listings := benchFleet(workers)
			b.ReportAllocs()
			for b.Loop() {
				Missing(v, listings)
				RemoveMissing(v)
				DrainLeaving(v, listings)
				AddListed(v, listings)
			}
		})
	}
}
