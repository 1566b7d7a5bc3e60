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

// staticViews is a Viewer whose view does not change.
type staticViews struct{ view fleet.View }

func (s staticViews) View() fleet.View { return s.view }

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

// fullPool is a coordinator of a full pool with the poll requests of its entries.
type fullPool struct {
	b        *testing.B
	c        *Coordinator
	requests []peer.PollRequest
	tasks    int
}

func newFullPool(b *testing.B, workers, teams int) *fullPool {
	f := &fullPool{b: b, c: NewCoordinator("c.1", staticViews{benchView(workers, teams)}, nil)}
	f.requests = make([]peer.PollRequest, 6)
	for i := range f.requests {
		f.requests[i] = peer.PollRequest{From: fleet.EntryID(fmt.Sprintf("e%d.1", i)), Pool: "p"}
		f.poll(i)
	}
	p := f.pool()
	for _, w := range p.workerOrder {
		p.handleProbe(w, worker.Report{Instance: w.ID, Slots: benchSlots}, nil, time.Now())
	}
	for t := range teams {
		name := fleet.TeamName(fmt.Sprint("t", t))
		for i := range f.requests {
			f.requests[i].Demand = append(f.requests[i].Demand,
				peer.Demand{Team: name, Waiting: 1 << 16, Usable: workers*benchSlots/6/teams + 1})
		}
	}
	for range 3 {
		for i := range f.requests {
			f.occupy(i, f.poll(i).Permits)
		}
	}
	return f
}

func (f *fullPool) pool() *pool { return f.c.pools["p"] }

func (f *fullPool) poll(i int) peer.PollReply {
	q := &f.requests[i]
	q.Sequence++
	r, err := f.c.Poll(context.Background(), *q)
	if err != nil {
		f.b.Fatal(err)
	}
	return r
}

func (f *fullPool) occupy(i int, permits []peer.Permit) {
	for _, m := range permits {
		f.tasks++
		f.requests[i].Occupied = append(f.requests[i].Occupied, peer.Occupied{
			Task: fleet.TaskID(fmt.Sprint("task", f.tasks)), Worker: m.Worker, Team: m.Team, Slots: m.Slots})
	}
}

func benchPoll(b *testing.B, workers, teams int, reorder bool) {
	f := newFullPool(b, workers, teams)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		i := n % len(f.requests)
		n++
		q := &f.requests[i]
		if len(q.Occupied) > 1 {
			q.Occupied = q.Occupied[1:]
		}
		if reorder {
			slices.Reverse(q.Occupied)
		}
		f.occupy(i, f.poll(i).Permits)
	}
	b.ReportMetric(float64(len(f.requests[0].Occupied)), "tasks/poll")
}

// BenchmarkPlacement ends a task and places another one in a pool with nine tenths of its slots in use.
func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{10, 100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			p := place.NewPicker(place.DefaultMaxConnections)
			for _, m := range benchView(workers, 1).Pool("p") {
				p.SetLimit(p.Add(place.Worker{ID: m.ID, Zone: m.Zone, Rack: m.Rack, Slots: m.Slots}), m.Slots)
			}
			var placed []*place.Node
			for range workers * benchSlots * 9 / 10 {
				n := p.Pick(1)
				p.AddUsage(n, 1)
				placed = append(placed, n)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				p.AddUsage(placed[i], -1)
				placed[i] = p.Pick(1)
				p.AddUsage(placed[i], 1)
				i = (i*7919 + 1) % len(placed)
			}
		})
	}
}
