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
)

// fill stores jobs whose ids begin with all hexadecimal digits, as callers submit them.
func (c *cluster) fill(jobs int) {
	for i := range jobs {
		id := work.JobID(fmt.Sprintf("%x%015x", i%16, i))
		c.submit(context.Background(), work.Job{ID: id, Queue: "q", Customer: "c", Accepted: time.Now().UnixMilli(),
			Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 1}}}})
	}
}

// Load pattern: a leader is lost that has accepted thousands of jobs, and its successor reads a store that takes 100 ms for
// each call. Guards against seconds without a leader because rows are read page after page, and against rows that are
// missed between two ranges.
func TestLoadOfManyJobs(t *testing.T) {
	testClusterOf(t, 2, func(*leader.Options) {}, func(c *cluster) {
		const jobs = 3000
		c.fill(jobs)
		time.Sleep(20 * time.Second)
		c.kill(c.leader())
		for _, e := range c.entries {
			e.link.SetFaults(fakes.Faults{Delay: 100 * time.Millisecond})
		}
		var acquired time.Time
		for c.leader() == nil {
			time.Sleep(10 * time.Millisecond)
			for _, e := range c.entries {
				if r, ok := e.elector.Load().Leader(); ok && r.Term == 2 && acquired.IsZero() {
					acquired = time.Now()
				}
			}
		}
		// Ten calls in turn; page after page these would be twelve and five confirmations.
		if took := time.Since(acquired); took > time.Second {
			t.Errorf("leads %v after it has acquired leadership", took)
		}
		for i := range jobs {
			if s := c.state(work.JobID(fmt.Sprintf("%x%015x", i%16, i))); s != work.Completed {
				t.Fatalf("job %d is %q after the takeover", i, s)
			}
		}
	})
}

// Guards against a leader that loses leadership because loading the stored state takes longer than others wait for it.
func TestLeadershipLastsDuringLoad(t *testing.T) {
	testClusterOf(t, 3, func(*leader.Options) {}, func(c *cluster) {
		c.fill(2000)
		c.kill(c.leader())
		for _, e := range c.entries {
			e.link.SetFaults(fakes.Faults{Delay: 400 * time.Millisecond})
		}
		began := time.Now()
		for c.leader() == nil && time.Since(began) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		l := c.leader()
		if l == nil {
			t.Fatal("nobody leads")
		}
		if r, ok := l.elector.Load().Leader(); !ok || r.Term != 2 {
			t.Errorf("leader record after the takeover: %+v", r)
		}
		// The time-out of the takeover, a read and a write of the record, five reads in turn and the confirmation.
		if took := time.Since(began); took > 6*time.Second {
			t.Errorf("took over after %v", took)
		}
	})
}

// Guards against a leader that can't load the stored state and acquires leadership again at once, while the store serves
// another instance.
func TestFailedLoadReleasesLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		time.Sleep(5 * time.Second)
		former := c.leaderEntry()
		other := c.other(former)
		other.link.SetFaults(fakes.Faults{RefuseScans: true})
		c.kill(former)
		time.Sleep(3 * time.Second)
		c.start(former)
		began := time.Now()
		for !former.service.Load().IsLeader() && time.Since(began) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		// The load of the other instance is given up 5 s after its last confirmation at the latest.
		if took := time.Since(began); took > 10*time.Second {
			t.Errorf("the instance that can read the state leads after %v", took)
		}
		for _, e := range c.entries {
			c.kill(e)
		}
	})
}
