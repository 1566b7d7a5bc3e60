package alloc

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
	"github.com/yuccahaven/yuccahaven/internal/sched/place"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const benchSlots = 8

type still struct{ view fleet.View }

func (s still) View() fleet.View { return s.view }

func benchView(workers, teams int) fleet.View {
	doc := fleet.Document{Teams: map[fleet.TeamName]fleet.TeamSection{}}
	for i := range teams {
		doc.Teams[fleet.TeamName(fmt.Sprint("t", i))] = fleet.TeamSection{Share: i%9 + 1}
	}
	var members []fleet.PoolMember
	for i := range workers {
		members = append(members, fleet.PoolMember{
			ID: fleet.InstanceID(fmt.Sprint("w", i)), Zone: fleet.AvailabilityZone(fmt.Sprint("z", i%3)),
			Rack: fmt.Sprint("r", i/4), Slots: benchSlots, State: fleet.InstanceActive,
		})
	}
	return fleet.View{}.WithRevision(1).WithDocument(doc).WithPool("p", members)
}

// BenchmarkPoll polls a full pool: one task has ended since the last poll, its permit was used, and every team has
// work waiting. The entry reports a sixth of the pool's tasks each time.
func BenchmarkPoll(b *testing.B) {
	for _, workers := range []int{10, 100, 1_000, 10_000} {
		for _, teams := range []int{6, 30, 170} {
			b.Run(fmt.Sprintf("workers=%d/teams=%d", workers, teams), func(b *testing.B) { benchPoll(b, workers, teams, false) })
		}
	}
}

// BenchmarkPollReordered polls with the tasks in another order each time, as from a map.
func BenchmarkPollReordered(b *testing.B) {
	for _, workers := range []int{10, 100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("workers=%d/teams=6", workers), func(b *testing.B) { benchPoll(b, workers, 6, true) })
	}
}

func benchPoll(b *testing.B, workers, teams int, reorder bool) {
	c := NewCoordinator("c.1", still{benchView(workers, teams)}, nil)
	entries := []fleet.EntryID{"e0.1", "e1.1", "e2.1", "e3.1", "e4.1", "e5.1"}
	requests := make([]peer.PollRequest, len(entries))
	poll := func(i int) peer.PollReply {
		q := &requests[i]
		q.Sequence++
		r, err := c.Poll(context.Background(), *q)
		if err != nil {
			b.Fatal(err)
		}
		return r
	}
	for i, id := range entries {
		requests[i] = peer.PollRequest{From: id, Pool: "p"}
		poll(i)
	}
	p := c.pools["p"]
	for _, w := range p.order {
		p.probed(w, worker.Report{Instance: w.ID, Slots: benchSlots}, nil, time.Now())
	}
	tasks := 0
	occupy := func(i int, permits []peer.Permit) {
		for _, m := range permits {
			tasks++
			requests[i].Occupied = append(requests[i].Occupied, peer.Occupied{
				Task: fleet.TaskID(fmt.Sprint("task", tasks)), Worker: m.Worker, Team: m.Team, Slots: m.Slots})
		}
	}
	for t := range teams {
		name := fleet.TeamName(fmt.Sprint("t", t))
		for i := range requests {
			requests[i].Demand = append(requests[i].Demand, peer.Demand{Team: name, Waiting: 1 << 16, Usable: workers*benchSlots/6/teams + 1})
		}
	}
	for range 3 {
		for i := range requests {
			occupy(i, poll(i).Permits)
		}
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		i := n % len(requests)
		n++
		if len(requests[i].Occupied) > 1 {
			requests[i].Occupied = requests[i].Occupied[1:]
		}
		if reorder {
			slices.Reverse(requests[i].Occupied)
		}
		occupy(i, poll(i).Permits)
	}
	b.ReportMetric(float64(len(requests[0].Occupied)), "tasks/poll")
}

// BenchmarkPlacement places a task on one of the free workers and ends it again.
func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{10, 100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			p := place.NewPicker(place.DefaultConnections)
			for _, m := range benchView(workers, 1).Pool("p") {
				p.Limit(p.Add(place.Worker{ID: m.ID, Zone: m.Zone, Rack: m.Rack, Slots: m.Slots}), m.Slots)
			}
			var placed []*place.Node
			for range workers * benchSlots * 9 / 10 {
				n := p.Pick(1)
				p.Use(n, 1)
				placed = append(placed, n)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				p.Use(placed[i], -1)
				placed[i] = p.Pick(1)
				p.Use(placed[i], 1)
				i = (i*7919 + 1) % len(placed)
			}
		})
	}
}
