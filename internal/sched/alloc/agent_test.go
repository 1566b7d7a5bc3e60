package alloc

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// fakeNetwork fakes the entry's work and the other coordinators.
type fakeNetwork struct {
	mu      sync.Mutex
	view    fleet.View
	waiting int
	down    map[fleet.EntryID]bool
	hangs   bool
	polls   []fleet.EntryID
	demands []int
	times   []time.Time
	permits int
}

func (n *fakeNetwork) View() fleet.View { return n.view }

func (n *fakeNetwork) Snapshot(fleet.PoolName) peer.PollRequest {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.waiting == 0 {
		return peer.PollRequest{}
	}
	return peer.PollRequest{Demand: []peer.Demand{{Team: "a", Waiting: n.waiting, Usable: n.waiting}}}
}

func (n *fakeNetwork) setWaiting(waiting int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waiting = waiting
}

func (n *fakeNetwork) Permit(peer.Permit) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.permits++
}

func (n *fakeNetwork) Poll(ctx context.Context, m fleet.Member, q peer.PollRequest) (peer.PollReply, error) {
	n.mu.Lock()
	n.polls = append(n.polls, m.ID)
	n.demands = append(n.demands, len(q.Demand))
	n.times = append(n.times, time.Now())
	down, hangs := n.down[m.ID], n.hangs
	n.mu.Unlock()
	if down && hangs {
		<-ctx.Done()
	}
	if down {
		return peer.PollReply{}, errors.New("no reply")
	}
	return peer.PollReply{Coordinator: m.ID, Permits: []peer.Permit{{ID: "x", Slots: 1}},
		Estimates: []peer.Estimate{{Queue: "q", Wait: time.Second}}}, nil
}

// takePolls returns the polls since the last call.
func (n *fakeNetwork) takePolls() (polls []fleet.EntryID, demands []int, times []time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	polls, demands, times = n.polls, n.demands, n.times
	n.polls, n.demands, n.times = nil, nil, nil
	return
}

func withAgent(t *testing.T, f func(t *testing.T, n *fakeNetwork, a *Agent)) {
	synctest.Test(t, func(t *testing.T) {
		n := &fakeNetwork{down: map[fleet.EntryID]bool{}}
		n.view = fleet.View{}.WithRevision(1).WithMember(fleet.Member{ID: "e1.1"}).WithMember(fleet.Member{ID: "e2.1"})
		a := NewAgent("self.1", n, n, NewCoordinator("self.1", n, nil), n)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); a.Run(ctx) }()
		f(t, n, a)
		cancel()
		<-done
	})
}

// TestPollRate guards against work that waits for the next idle poll, and against polls that never stop.
func TestPollRate(t *testing.T) {
	withAgent(t, func(t *testing.T, n *fakeNetwork, a *Agent) {
		count := func(d time.Duration) int {
			time.Sleep(d)
			synctest.Wait()
			polls, _, _ := n.takePolls()
			return len(polls)
		}
		if c := count(time.Second); c != 0 {
			t.Errorf("%d polls for a pool that is not in use", c)
		}
		a.RequestPoll("p")
		if c := count(time.Second - time.Millisecond); c < 5 || c > 6 {
			t.Errorf("%d polls a second while idle, want 5", c)
		}
		n.setWaiting(1)
		a.RequestPoll("p")
		if c := count(time.Second); c < 49 || c > 52 {
			t.Errorf("%d polls a second while work waits, want 50", c)
		}
		for range 1000 {
			a.RequestPoll("p")
			time.Sleep(100 * time.Microsecond)
		}
		synctest.Wait()
		if c := count(0); c < 40 || c > 52 {
			t.Errorf("%d polls in 100 ms of requested polls, want at most one every 2 ms", c)
		}
		n.setWaiting(0)
		count(activeDuration + time.Second)
		if c := count(time.Minute); c != 0 {
			t.Errorf("%d polls after the pool was no longer in use", c)
		}
		if e, ok := a.Estimate("p", "q"); !ok || e.Wait != time.Second {
			t.Errorf("estimate %+v was not kept", e)
		}
	})
}

// TestUnresponsiveCoordinator guards against work that stalls on a lost coordinator or an unresponsive connection, and
// against permits from a coordinator that does not know the running tasks yet.
func TestUnresponsiveCoordinator(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		withAgent(t, func(t *testing.T, n *fakeNetwork, a *Agent) {
			ranked := Rank(n.view.Members(), "p")
			first, second := ranked[0].ID, ranked[1].ID
			n.setWaiting(1)
			n.hangs = hangs
			a.RequestPoll("p")
			time.Sleep(100 * time.Millisecond)
			n.takePolls()
			n.mu.Lock()
			n.down[first] = true
			n.mu.Unlock()
			from := time.Now()
			time.Sleep(5 * time.Second)
			synctest.Wait()
			polls, demands, times := n.takePolls()
			switched := time.Duration(0)
			for i, p := range polls {
				if p == second && switched == 0 {
					switched = times[i].Sub(from)
				}
				if switched > 0 && p == first && demands[i] > 0 {
					t.Errorf("hangs %v: the skipped coordinator was asked for permits", hangs)
				}
			}
			if switched == 0 || switched > coordinatorTimeout+pollTimeout+busyInterval {
				t.Errorf("hangs %v: the next in rank was polled after %v", hangs, switched)
			}
			n.mu.Lock()
			n.down[first] = false
			n.mu.Unlock()
			time.Sleep(maxBackoff)
			synctest.Wait()
			n.takePolls()
			time.Sleep(time.Second)
			if polls, _, _ = n.takePolls(); len(polls) == 0 || polls[len(polls)-1] != first {
				t.Errorf("hangs %v: the first in rank is not polled again after its return", hangs)
			}
		})
	}
}

// TestRank guards against a rank in which the loss of one member changes the coordinators of other pools, and
// against pools that are coordinated by too few members.
func TestRank(t *testing.T) {
	var members []fleet.Member
	for _, id := range []fleet.EntryID{"a.1", "b.1", "c.1", "d.1", "e.1", "f.1"} {
		members = append(members, fleet.Member{ID: id})
	}
	firsts := map[fleet.EntryID]int{}
	for _, p := range []fleet.PoolName{"p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8", "p9", "p10", "p11", "p12"} {
		before := Rank(members, p)
		firsts[before[0].ID]++
		lost := before[3].ID
		var remaining []fleet.Member
		for _, m := range members {
			if m.ID != lost {
				remaining = append(remaining, m)
			}
		}
		if after := Rank(remaining, p); after[0].ID != before[0].ID || after[3].ID != before[4].ID {
			t.Errorf("pool %s: the order changed with the loss of a lower member", p)
		}
	}
	if len(firsts) < 3 {
		t.Errorf("12 pools are coordinated by %d of 6 members", len(firsts))
	}
}
