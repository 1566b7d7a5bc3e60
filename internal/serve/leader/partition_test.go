package leader_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/serve/leader"
)

// linkedWorkers are workers as one instance reaches them.
type linkedWorkers struct {
	leader.Workers
	mu  sync.Mutex
	cut map[work.WorkerID]bool
}

// unreachableTimeout is how long a call to a worker behind a cut takes.
const unreachableTimeout = 400 * time.Millisecond

func (w *linkedWorkers) setCut(id work.WorkerID, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[id] = cut
}

// reaches reports whether a worker is reachable, after the time that a call takes if it is not.
func (w *linkedWorkers) reaches(ctx context.Context, id work.WorkerID) bool {
	w.mu.Lock()
	cut := w.cut[id]
	w.mu.Unlock()
	if cut {
		select {
		case <-time.After(unreachableTimeout):
		case <-ctx.Done():
		}
	}
	return !cut
}

// Execute implements leader.Workers.
func (w *linkedWorkers) Execute(ctx context.Context, c engine.Command, fence int64) engine.Outcome {
	var id work.WorkerID
	switch c := c.(type) {
	case engine.Start:
		id = c.Worker
	case engine.Stop:
		id = c.Worker
	case engine.Throttle:
		id = c.Worker
	}
	if !w.reaches(ctx, id) {
		return engine.NoReply
	}
	return w.Workers.Execute(ctx, c, fence)
}

// Renew implements leader.Workers.
func (w *linkedWorkers) Renew(ctx context.Context, r engine.Renewal, fence int64) (work.RenewalReply, engine.Outcome) {
	if !w.reaches(ctx, r.Worker) {
		return work.RenewalReply{}, engine.NoReply
	}
	return w.Workers.Renew(ctx, r, fence)
}

// holdUp keeps a message between separated instances until they reach each other again, and reports whether it did.
func (c *cluster) holdUp(from, to *entry, deliver func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.apart, from) == slices.Contains(c.apart, to) {
		return false
	}
	c.heldUp = append(c.heldUp, deliver)
	return true
}

// setApart separates instances from the others; without any it delivers the messages that were held up meanwhile.
func (c *cluster) setApart(apart ...*entry) {
	c.mu.Lock()
	heldUp := c.heldUp
	c.apart, c.heldUp = apart, nil
	for _, s := range c.relays {
		s.hold(slices.Contains(apart, s.from) != slices.Contains(apart, s.to))
	}
	c.mu.Unlock()
	for _, deliver := range heldUp {
		deliver()
	}
}

// separate cuts an instance with half of the workers off from the store, the other instances and the other workers.
func (c *cluster) separate(e *entry) {
	c.setApart(e)
	c.cutOff(e, 0)
}

// cutOff does the same, but the instances still reach each other. The instance keeps the two workers from the first one
// on.
func (c *cluster) cutOff(e *entry, first int) {
	e.link.SetFaults(fakes.Faults{Down: true})
	for _, other := range c.entries {
		c.cutWorkers(other, first, other != e)
	}
}

// cutWorkers cuts the two workers from the first one on off from an instance, or the other two.
func (c *cluster) cutWorkers(e *entry, first int, these bool) {
	for i := range 4 {
		if (i == first || i == first+1) == these {
			e.workers.setCut(work.WorkerID(fmt.Sprintf("w%d", i)), true)
		}
	}
}

// rejoin ends the cut of an instance: the heartbeats that were held up arrive first, the other connections come back
// after random times.
func (c *cluster) rejoin(r *rand.Rand, e *entry) {
	pause := func() { time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond) }
	c.setApart()
	for i := range 4 {
		pause()
		for _, other := range c.entries {
			other.workers.setCut(work.WorkerID(fmt.Sprintf("w%d", i)), false)
		}
	}
	pause()
	e.link.SetFaults(fakes.Faults{})
}

// longJob returns a job of many short steps, one after the other.
func longJob(i int) work.Job {
	steps := []work.Step{{Count: 1, Need: work.Need{CPU: 1500}}}
	for s := range 39 {
		steps = append(steps, work.Step{Count: 1, Need: work.Need{CPU: 1500}, After: []int{s}})
	}
	return work.Job{ID: work.JobID(fmt.Sprintf("%016x", i)), Queue: "q", Customer: "c",
		Accepted: time.Now().UnixMilli(), Steps: steps}
}

// Guards against a former leader that starts tasks again after a partition, while the new leader has them run
// elsewhere: heartbeats that the network held up must not give it back the authority to send commands.
func TestHeldUpHeartbeats(t *testing.T) {
	for seed := range uint64(historyCount) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			testCluster(t, func(c *cluster) {
				r := rand.New(rand.NewPCG(seed, 11))
				for i := range 8 {
					c.submit(context.Background(), longJob(i))
				}
				for range 3 {
					former := c.leader()
					c.separate(former)
					time.Sleep(time.Duration(6000+r.IntN(4000)) * time.Millisecond)
					if l := c.leader(); l == nil {
						t.Error("nobody leads on the other side: the test shows nothing")
					}
					c.rejoin(r, former)
					time.Sleep(5 * time.Second)
				}
				time.Sleep(time.Minute)
				for _, v := range c.fakeWorkers.Check() {
					t.Error(v)
				}
			})
		})
	}
}

// Guards against a former leader that regains the authority to send commands from peers that don't know the later leader
// either, although that may have acted since its authority ended.
func TestAuthorityReturnsThroughStore(t *testing.T) {
	testCluster(t, func(c *cluster) {
		for i := range 4 {
			c.submit(context.Background(), longJob(i))
		}
		for _, e := range c.entries {
			e.link.SetFaults(fakes.Faults{Down: true})
		}
		c.setApart(c.leader())
		time.Sleep(4 * time.Second)
		c.setApart()
		rejoined := time.Now()
		time.Sleep(10 * time.Second)
		if !c.leader().service.Load().PeersConfirm() {
			t.Error("the peer does not confirm the leader after it has rejoined: the test shows nothing")
		}
		if n := c.workers.startsAfter(rejoined); n > 0 {
			t.Errorf("%d start commands without authority", n)
		}
		for _, e := range c.entries {
			e.link.SetFaults(fakes.Faults{})
		}
		time.Sleep(10 * time.Second)
		if c.workers.startsAfter(rejoined) == 0 {
			t.Error("no start command after the store has confirmed leadership")
		}
	})
}

// Guards against a former leader that starts tasks again because the leases that it has sent to workers beyond a cut have
// expired, while its authority lasts although a new leader has acted: that one extends those leases, or has handled the
// ends of the runs.
func TestLeaseExpiryDuringTakeover(t *testing.T) {
	for seed := range uint64(historyCount) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			testCluster(t, func(c *cluster) {
				r := rand.New(rand.NewPCG(seed, 13))
				for i := range 5 {
					c.submit(context.Background(), longJob(i))
				}
				for range 3 {
					former := c.leader()
					// Tasks are packed on few workers; those that the leader keeps must have free capacity.
					first := 2 * r.IntN(2)
					c.cutWorkers(former, first, false)
					// The leases expire 6 s to 6.4 s after the cut, the leader is replaced about 2 s after the store refuses it.
					time.Sleep(time.Duration(3500+r.IntN(1000)) * time.Millisecond)
					c.cutOff(former, first)
					time.Sleep(6 * time.Second)
					c.rejoin(r, former)
					time.Sleep(5 * time.Second)
				}
				time.Sleep(time.Minute)
				for _, v := range c.fakeWorkers.Check() {
					t.Error(v)
				}
			})
		})
	}
}

// Guards against a former leader that goes on without a bound because most instances, which the store doesn't serve
// either, don't know the later leader: that one starts the tasks of workers that it can't reach elsewhere once the
// leases of the former one must have expired.
func TestMajorityWithoutStore(t *testing.T) {
	for _, first := range []int{0, 2} {
		t.Run(fmt.Sprintf("keeps w%d", first), func(t *testing.T) {
			testClusterOf(t, 3, func(*leader.Options) {}, func(c *cluster) { testMajorityWithoutStore(t, c, first) })
		})
	}
}

func testMajorityWithoutStore(t *testing.T, c *cluster, first int) {
	c.fakeWorkers.SetRunTime(30 * time.Second)
	for i := range 4 {
		c.submit(context.Background(), longJob(i))
	}
	time.Sleep(time.Second)
	former := c.leader()
	later := c.other(former)
	c.setApart(later)
	for _, e := range c.entries {
		if e != later {
			e.link.SetFaults(fakes.Faults{Down: true})
		}
	}
	c.cutWorkers(former, first, false)
	c.cutWorkers(later, first, true)
	time.Sleep(20 * time.Second)
	if !later.service.Load().IsLeader() {
		t.Error("the instance with the store does not lead: the test shows nothing")
	}
	c.rejoin(rand.New(rand.NewPCG(1, 1)), former)
	for _, v := range c.fakeWorkers.Check() {
		t.Error(v)
	}
}

// Guards against double runs in random partitions: instances, the store and workers fall into two sides, some instances
// are refused by the store on their side too, and commands are lost or late.
func TestPartitionHistories(t *testing.T) {
	for seed := range uint64(historyCount) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			testClusterOf(t, 3, func(*leader.Options) {}, func(c *cluster) { testPartitionHistory(t, c, seed) })
		})
	}
}

func testPartitionHistory(t *testing.T, c *cluster, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 17))
	c.fakeWorkers.SetFaults(fakes.WorkerFaults{NoReplyRate: 0.03, MaxDelay: 8 * time.Second})
	for i := range 6 {
		c.submit(context.Background(), longJob(i))
	}
	for range 6 {
		c.fakeWorkers.SetRunTime(time.Duration(r.IntN(3)) * 4 * time.Second)
		time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
		first := 2 * r.IntN(2)
		var apart []*entry
		for _, e := range c.entries {
			onStoreSide := r.IntN(2) == 0
			if !onStoreSide {
				apart = append(apart, e)
			}
			if !onStoreSide || r.IntN(4) == 0 {
				e.link.SetFaults(fakes.Faults{Down: true})
			}
			c.cutWorkers(e, first, onStoreSide)
			time.Sleep(time.Duration(r.IntN(2)*r.IntN(4000)) * time.Millisecond)
		}
		c.setApart(apart...)
		time.Sleep(time.Duration(500+r.IntN(12000)) * time.Millisecond)
		for _, i := range r.Perm(len(c.entries)) {
			c.rejoin(r, c.entries[i])
		}
	}
	c.fakeWorkers.SetFaults(fakes.WorkerFaults{})
	time.Sleep(time.Minute)
	for _, v := range c.fakeWorkers.Check() {
		t.Error(v)
	}
}
