package leader_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/serve/leader"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// callerDeadline is how long callers wait for the reply to a request.
const callerDeadline = 2800 * time.Millisecond

// surge submits jobs to the leader at a rate for a time and returns how many were submitted, and how many of them were
// accepted before their callers' deadline.
func (c *cluster) surge(jobsPerSecond int, length time.Duration) (submitted, accepted int) {
	e := c.leader()
	var inTime atomic.Int64
	var calls sync.WaitGroup
	interval := time.Second / time.Duration(jobsPerSecond)
	for began := time.Now(); time.Since(began) < length; time.Sleep(interval) {
		j := work.Job{ID: work.JobID(fmt.Sprintf("%016x", 1<<20+submitted)), Queue: "q", Customer: "c",
			Accepted: time.Now().UnixMilli(), Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 1}}}}
		submitted++
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
			defer cancel()
			if e.service.Load().Submit(ctx, peer.SubmitRequest{Job: j, Version: 1}).Result == peer.Accepted {
				inTime.Add(1)
			}
		})
	}
	calls.Wait()
	return submitted, int(inTime.Load())
}

// Load pattern: a queue's turn brings 400 jobs a second while the store takes 550 ms for each transaction. Guards against
// submissions that are confirmed only when their callers have given up, because a transaction holds a fixed number of rows
// whatever it costs.
func TestSurgeIsStoredWhileStoreIsSlow(t *testing.T) {
	testClusterWith(t, func(*leader.Options) {}, func(c *cluster) {
		for _, e := range c.entries {
			e.link.SetFaults(fakes.Faults{Delay: 550 * time.Millisecond})
		}
		time.Sleep(3 * time.Second)
		submitted, accepted := c.surge(400, 5*time.Second)
		if accepted < submitted {
			t.Errorf("%d of %d jobs accepted in time", accepted, submitted)
		}
		for _, e := range c.entries {
			e.link.SetFaults(fakes.Faults{})
		}
	})
}

// Guards against a takeover that loses jobs or ends of jobs which the former leader stored in log rows.
func TestTakeoverOfSurge(t *testing.T) {
	testClusterWith(t, func(*leader.Options) {}, func(c *cluster) {
		for _, e := range c.entries {
			e.link.SetFaults(fakes.Faults{Delay: 550 * time.Millisecond})
		}
		submitted, accepted := c.surge(400, 3*time.Second)
		if accepted < submitted {
			t.Errorf("%d of %d jobs accepted in time", accepted, submitted)
		}
		c.kill(c.leader())
		for _, e := range c.entries {
			e.link.SetFaults(fakes.Faults{})
		}
		time.Sleep(20 * time.Second)
		for i := range submitted {
			if s := c.state(work.JobID(fmt.Sprintf("%016x", 1<<20+i))); s != work.Completed {
				t.Errorf("job %d is %q after the takeover", i, s)
				return
			}
		}
	})
}

// Load pattern: a third of the store's replies are lost for ten seconds; a call without a reply is given up after 0.9 s. Guards
// against jobs that wait for that time, and against a leader that loses leadership because several replies in a row are lost.
func TestLostRepliesOfStore(t *testing.T) {
	testClusterWith(t, func(*leader.Options) {}, func(c *cluster) {
		former := c.leader()
		for _, e := range c.entries {
			e.link.SetFaults(fakes.Faults{Delay: 10 * time.Millisecond, LoseShare: 0.35, Timeout: 900 * time.Millisecond})
		}
		var longest time.Duration
		for i := range 50 {
			began := time.Now()
			if !c.accepts(1<<24+i, callerDeadline) {
				t.Errorf("job %d not accepted", i)
			}
			longest = max(longest, time.Since(began))
			time.Sleep(200 * time.Millisecond)
		}
		if longest > time.Second {
			t.Errorf("a job waited for %v", longest)
		}
		if r, ok := c.entries[0].elector.Load().Leader(); !ok || r.Name != former.name || r.Term != 1 {
			t.Errorf("leader record %+v, at first %s led", r, former.name)
		}
		for _, e := range c.entries {
			e.link.SetFaults(fakes.Faults{})
		}
	})
}
