package leader_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/serve/leader"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// sendHeartbeats sends the heartbeats of every instance to the leader that it knows until the context ends. While the
// instances are separated it holds them up, and their replies are lost.
func (c *cluster) sendHeartbeats(ctx context.Context) {
	type path struct{ from, to *entry }
	replies := map[path]peer.HeartbeatReply{}
	for ctx.Err() == nil {
		for _, from := range c.entries {
			r, ok := from.elector.Load().Leader()
			for _, to := range c.entries {
				if from == to || !ok || r.Name != to.name {
					continue
				}
				p := path{from, to}
				q := peer.HeartbeatRequest{From: from.name, Address: from.name, Term: r.Term,
					ElectionDelay: from.electionDelay(), Echo: replies[p].Stamp, EchoTerm: replies[p].Term, Zone: "a",
					Relays: c.relayed, ReadsRowLog: true}
				send := func() peer.HeartbeatReply { return to.service.Load().HandleHeartbeat(q) }
				if !c.holdUp(from, to, func() { send() }) {
					replies[p] = send()
				}
			}
		}
		time.Sleep(400 * time.Millisecond)
	}
}

func (c *cluster) leader() *entry {
	for _, e := range c.entries {
		if e.service.Load().IsLeader() {
			return e
		}
	}
	return nil
}

// setSlow makes an instance run slowly, so that its calls to the store take long, or as usual again.
func (e *entry) setSlow(slow bool) {
	e.slow.Store(slow)
	var f fakes.Faults
	if slow {
		f.Delay = 800 * time.Millisecond
	}
	e.link.SetFaults(f)
}

// accepts reports whether the instances accept a job within a time, tried at each in turn.
func (c *cluster) accepts(id int, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	j := work.Job{ID: work.JobID(fmt.Sprintf("%016x", id)), Queue: "q", Customer: "c", Accepted: time.Now().UnixMilli(),
		Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 10}}}}
	for ctx.Err() == nil {
		for _, e := range c.entries {
			if e.service.Load().Submit(ctx, peer.SubmitRequest{Job: j, Version: 1}).Result == peer.Accepted {
				return true
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func testCluster(t *testing.T, f func(*cluster)) { testClusterWith(t, func(*leader.Options) {}, f) }

// testClusterWith runs a test on a cluster with a leader, heartbeats and adjusted options.
func testClusterWith(t *testing.T, adjust func(*leader.Options), f func(*cluster)) {
	testClusterOf(t, 2, adjust, f)
}

// testClusterOf does the same with any number of instances.
func testClusterOf(t *testing.T, instances int, adjust func(*leader.Options), f func(*cluster)) {
	testStartedCluster(t, &cluster{adjust: adjust}, instances, 1, f)
}

// testStartedCluster runs a test on instances of a cluster of which the other fields are not set yet.
func testStartedCluster(t *testing.T, c *cluster, instances int, seed uint64, f func(*cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c.t = t
		startCluster(c, instances, seed)
		ctx, cancel := context.WithCancel(t.Context())
		go c.sendHeartbeats(ctx)
		time.Sleep(10 * time.Second)
		f(c)
		for _, e := range c.entries {
			c.kill(e)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// Guards against seconds in which no job is accepted because an instance that runs slowly keeps leadership: it confirms
// the leader record in time, but stores jobs too late for their callers.
func TestSlowLeaderHandsOver(t *testing.T) {
	testCluster(t, func(c *cluster) {
		former := c.leader()
		former.setSlow(true)
		// Callers give up after 3 s.
		time.Sleep(2500 * time.Millisecond)
		for i := range 10 {
			if !c.accepts(i, 300*time.Millisecond) {
				t.Errorf("job %d is not accepted within 300 ms", i)
			}
		}
		if l := c.leader(); l == nil || l == former {
			t.Error("the slow instance still leads")
		}
	})
}

// Guards against two leaders that act on machines at the same time: a peer accepts leadership, its reply is lost, and the
// former leader goes on as if the peer had declined.
func TestLostReplyToOffer(t *testing.T) {
	offered := make(chan struct{}, 1)
	lose := func(o *leader.Options) {
		offer := o.OfferLeadership
		o.OfferLeadership = func(ctx context.Context, address string, delay time.Duration) (bool, error) {
			if accepted, err := offer(ctx, address, delay); !accepted || err != nil {
				return accepted, err
			}
			offered <- struct{}{}
			return false, context.DeadlineExceeded
		}
	}
	testClusterWith(t, lose, func(c *cluster) {
		former := c.leader()
		former.slow.Store(true)
		for len(offered) == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Millisecond)
		reply := former.service.Load().Submit(context.Background(), peer.SubmitRequest{Version: 1,
			Job: work.Job{ID: "0123456789abcdef", Queue: "q", Customer: "c", Accepted: time.Now().UnixMilli(),
				Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 10}}}}})
		if reply.Result != peer.NotLeader {
			t.Errorf("the former leader answered %q", reply.Result)
		}
	})
}

// Guards against changes of the leader that bring nothing, because all instances run slowly, and against leadership
// that goes to and fro while the instances become slow in turn.
func TestLeaderStaysWithoutBetterPeer(t *testing.T) {
	testCluster(t, func(c *cluster) {
		former := c.leader()
		for _, e := range c.entries {
			e.slow.Store(true)
		}
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if c.leader() != former {
				t.Error("leadership changed although no instance is better suited")
				return
			}
		}
		changes := 0
		for i := range 100 {
			c.entries[0].slow.Store(i%2 == 0)
			c.entries[1].slow.Store(i%2 == 1)
			before := c.leader()
			time.Sleep(500 * time.Millisecond)
			if l := c.leader(); l != nil && l != before {
				changes++
			}
		}
		// One change in at least 3 s, in 50 s.
		if changes > 17 {
			t.Errorf("leadership changed %d times in 50 s", changes)
		}
	})
}
