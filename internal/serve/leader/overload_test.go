package leader_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/serve/leader"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// submitOnce submits a job as an instance does whose caller waits for callerDeadline: while the request is pending it is sent
// again.
func submitOnce(e *entry, j work.Job) peer.JobReply {
	const wait = 600 * time.Millisecond
	for began := time.Now(); ; {
		left := callerDeadline - time.Since(began)
		reply := e.service.Load().Submit(context.Background(), peer.SubmitRequest{Job: j, Version: 1, Wait: min(wait, left),
			Deadline: left})
		if !reply.Pending || callerDeadline-time.Since(began) < 50*time.Millisecond {
			return reply
		}
	}
}

func smallJob(id int) work.Job {
	return work.Job{ID: work.JobID(fmt.Sprintf("%016x", id)), Queue: "q", Customer: "c", Accepted: time.Now().UnixMilli(),
		Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 10}}}}
}

// Guards against callers who are told that it is not known whether their job runs, so that they can't try again, although no
// transaction has held it; and against a job that runs after its caller was told that it does not.
func TestJobIsWithdrawnWhileStoreIsAway(t *testing.T) {
	testClusterWith(t, func(*leader.Options) {}, func(c *cluster) {
		e := c.leader()
		for _, x := range c.entries {
			x.link.SetFaults(fakes.Faults{Delay: 6 * time.Second})
		}
		first := make(chan peer.JobReply)
		go func() { first <- submitOnce(e, smallJob(1)) }()
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		second := submitOnce(e, smallJob(2))
		if second.Result != peer.Overloaded || second.RetryAfter < time.Second || time.Since(began) > callerDeadline {
			t.Errorf("the job that waits for the store's return is answered %+v after %v", second, time.Since(began))
		}
		if reply := <-first; reply.Result != peer.Unknown {
			t.Errorf("the job in the transaction is answered %+v", reply)
		}
		for _, x := range c.entries {
			x.link.SetFaults(fakes.Faults{})
		}
		time.Sleep(20 * time.Second)
		if s := c.state(smallJob(1).ID); s != work.Completed {
			t.Errorf("the job in the transaction is %q", s)
		}
		if s := c.state(smallJob(2).ID); s != "" {
			t.Errorf("the withdrawn job is %q", s)
		}
	})
}

// Guards against a job that is stored for nobody: its caller has left, and the store was away until then.
func TestAbandonedJobIsNotStored(t *testing.T) {
	testClusterWith(t, func(*leader.Options) {}, func(c *cluster) {
		e := c.leader()
		for _, x := range c.entries {
			x.link.SetFaults(fakes.Faults{Delay: 6 * time.Second})
		}
		go submitOnce(e, smallJob(1))
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		e.service.Load().Submit(ctx, peer.SubmitRequest{Job: smallJob(2), Version: 1, Wait: time.Second, Deadline: callerDeadline})
		time.Sleep(3 * time.Second)
		for _, x := range c.entries {
			x.link.SetFaults(fakes.Faults{})
		}
		time.Sleep(20 * time.Second)
		if s := c.state(smallJob(2).ID); s != "" {
			t.Errorf("the abandoned job is %q", s)
		}
	})
}

// Load pattern: a queue's turn brings more tasks than a leader can start that is short of processor time. Guards against jobs
// that are accepted and have no result in time, against callers who learn late that theirs is not, and against a leader that
// goes on refusing when the turn is over.
func TestSurplusIsRefusedAtOnce(t *testing.T) {
	var delay atomic.Int64
	delay.Store(int64(30 * time.Millisecond))
	testClusterWith(t, func(o *leader.Options) {
		o.Delay = func() time.Duration { return time.Duration(delay.Load()) }
	}, func(c *cluster) {
		e := c.leader()
		const jobs, tasks = 400, 10
		submit := func(id int) peer.JobReply {
			j := smallJob(id)
			// The pool has room for 16 tasks at a time.
			j.Steps = []work.Step{{Count: tasks, Need: work.Need{CPU: 1000}, Estimate: 100 * time.Millisecond}}
			return submitOnce(e, j)
		}
		accepted := 0
		var longest time.Duration
		for i := range jobs {
			began := time.Now()
			reply := submit(1<<16 + i)
			switch reply.Result {
			case peer.Accepted:
				accepted++
			case peer.Overloaded:
				longest = max(longest, time.Since(began))
				if reply.RetryAfter < time.Second {
					t.Errorf("retry after %v", reply.RetryAfter)
				}
			default:
				t.Errorf("reply %+v", reply)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if accepted < jobs/20 || accepted > jobs/2 {
			t.Errorf("%d of %d jobs accepted", accepted, jobs)
		}
		if longest > 100*time.Millisecond {
			t.Errorf("a refusal took %v", longest)
		}
		delay.Store(0)
		time.Sleep(time.Second)
		if reply := submit(1 << 20); reply.Result != peer.Accepted {
			t.Errorf("reply %+v after the surge", reply)
		}
	})
}

// Guards against callers who ask for the state of an ended job again and again while the store takes its end: each request costs
// the leader as much as a new one.
func TestStateWaitsForStoredEnd(t *testing.T) {
	testClusterWith(t, func(*leader.Options) {}, func(c *cluster) {
		e := c.leader()
		j := smallJob(1)
		if reply := submitOnce(e, j); reply.Result != peer.Accepted {
			t.Fatalf("reply %+v", reply)
		}
		for _, x := range c.entries {
			x.link.SetFaults(fakes.Faults{Delay: 200 * time.Millisecond})
		}
		requests := 0
		for began := time.Now(); time.Since(began) < 20*time.Second; requests++ {
			sent := time.Now()
			reply := e.service.Load().Job(context.Background(), peer.JobRequest{ID: j.ID, Wait: 600 * time.Millisecond})
			if reply.State == work.Completed {
				return
			}
			if took := time.Since(sent); took > 0 {
				t.Errorf("a request that waited %v is answered %q", took, reply.State)
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Errorf("not completed after %d requests", requests)
	})
}

// Guards against a job that is said not to run although another request for it waits: a caller whose connection broke has sent it
// again, and the first instance gives up earlier.
func TestJobIsKeptWhileAnotherRequestWaits(t *testing.T) {
	testClusterWith(t, func(*leader.Options) {}, func(c *cluster) {
		e := c.leader()
		for _, x := range c.entries {
			x.link.SetFaults(fakes.Faults{Delay: 3 * time.Second})
		}
		go submitOnce(e, smallJob(1))
		time.Sleep(100 * time.Millisecond)
		j := smallJob(2)
		first := make(chan peer.JobReply)
		go func() {
			first <- e.service.Load().Submit(context.Background(), peer.SubmitRequest{Job: j, Version: 1, Wait: 200 * time.Millisecond,
				Deadline: 250 * time.Millisecond})
		}()
		time.Sleep(100 * time.Millisecond)
		second := e.service.Load().Submit(context.Background(), peer.SubmitRequest{Job: j, Version: 1, Wait: 10 * time.Second,
			Deadline: 12 * time.Second})
		if reply := <-first; reply.Result != peer.Unknown {
			t.Errorf("the first request is answered %+v", reply)
		}
		if second.Result != peer.Accepted {
			t.Errorf("the second request is answered %+v", second)
		}
		for _, x := range c.entries {
			x.link.SetFaults(fakes.Faults{})
		}
		time.Sleep(20 * time.Second)
		if s := c.state(j.ID); s != work.Completed {
			t.Errorf("the job is %q", s)
		}
	})
}

// Guards against callers who are told that a job does not exist while its submission, to which they got no answer, waits for the
// store: it would run all the same.
func TestPendingJobIsNotDenied(t *testing.T) {
	testClusterWith(t, func(*leader.Options) {}, func(c *cluster) {
		e := c.leader()
		for _, x := range c.entries {
			x.link.SetFaults(fakes.Faults{Delay: time.Second})
		}
		for i := range 3 {
			go submitOnce(e, smallJob(1+i))
		}
		time.Sleep(100 * time.Millisecond)
		request := func(id int, cancel bool, wait time.Duration) peer.JobReply {
			return e.service.Load().Job(context.Background(), peer.JobRequest{ID: smallJob(id).ID, Cancel: cancel, Wait: wait})
		}
		if reply := request(2, false, 100*time.Millisecond); reply.Result != peer.Unknown {
			t.Errorf("the state of a pending job is answered %+v", reply)
		}
		if reply := request(3, true, 10*time.Second); reply.Result != peer.Accepted {
			t.Errorf("the cancellation of a pending job is answered %+v", reply)
		}
		if reply := request(2, false, 10*time.Second); reply.Result != peer.Accepted {
			t.Errorf("the state of the stored job is answered %+v", reply)
		}
		for _, x := range c.entries {
			x.link.SetFaults(fakes.Faults{})
		}
		time.Sleep(20 * time.Second)
		if s := c.state(smallJob(3).ID); s != work.Cancelled {
			t.Errorf("the cancelled job is %q", s)
		}
	})
}

// Guards against a former leader that refuses a job which its successor may have accepted, because it has been cut off from the
// store and does not know that it no longer leads.
func TestCutOffLeaderDoesNotRefuse(t *testing.T) {
	testClusterWith(t, func(o *leader.Options) { o.Delay = func() time.Duration { return 30 * time.Millisecond } }, func(c *cluster) {
		e := c.leader()
		large := smallJob(1)
		large.Steps[0].Count = 4000
		if reply := submitOnce(e, large); reply.Result != peer.Accepted {
			t.Errorf("reply %+v", reply)
		}
		submit := func(id int) peer.Result {
			return e.service.Load().Submit(context.Background(), peer.SubmitRequest{Job: smallJob(id), Version: 1,
				Wait: 100 * time.Millisecond, Deadline: callerDeadline}).Result
		}
		time.Sleep(200 * time.Millisecond)
		if r := submit(2); r != peer.Overloaded {
			t.Errorf("the leader answers %q", r)
		}
		c.separate(e)
		e.link.SetFaults(fakes.Faults{Down: true})
		time.Sleep(2100 * time.Millisecond)
		if r := submit(3); r == peer.Overloaded {
			t.Errorf("the leader that was cut off answers %q", r)
		}
		e.link.SetFaults(fakes.Faults{})
	})
}

// Guards against a former leader that acknowledges the cancellation of a job, or denies it, which its successor has accepted
// and runs: others take over 0.5 s after the last transaction of a leader that the store turns away.
func TestRefusedLeaderDoesNotDeny(t *testing.T) {
	testClusterWith(t, func(o *leader.Options) { o.Delay = func() time.Duration { return 30 * time.Millisecond } }, func(c *cluster) {
		e := c.leader()
		request := func(cancel bool) peer.JobReply {
			return e.service.Load().Job(context.Background(), peer.JobRequest{ID: smallJob(9).ID, Cancel: cancel,
				Wait: 100 * time.Millisecond})
		}
		for _, cancel := range []bool{false, true} {
			if reply := request(cancel); reply.Result != peer.NotFound {
				t.Errorf("cancel %t: the leader answers %+v", cancel, reply)
			}
		}
		large := smallJob(1)
		large.Steps[0].Count = 4000
		if reply := submitOnce(e, large); reply.Result != peer.Accepted {
			t.Errorf("reply %+v", reply)
		}
		time.Sleep(200 * time.Millisecond)
		setStore := func(f fakes.Faults) {
			for _, x := range c.entries {
				x.link.SetFaults(f)
			}
		}
		// Nobody takes over here, which the leader can't know.
		setStore(fakes.Faults{Down: true})
		time.Sleep(600 * time.Millisecond)
		for _, cancel := range []bool{false, true} {
			if reply := request(cancel); reply.Result == peer.NotFound {
				t.Errorf("cancel %t: the leader that the store turns away answers %+v", cancel, reply)
			}
		}
		if reply := e.service.Load().Submit(context.Background(), peer.SubmitRequest{Job: smallJob(2), Version: 1,
			Wait: 100 * time.Millisecond, Deadline: callerDeadline}); reply.Result == peer.Overloaded {
			t.Errorf("the leader that the store turns away refuses a new job: %+v", reply)
		}
		time.Sleep(1500 * time.Millisecond)
		began := time.Now()
		if reply := request(true); reply.Result != peer.NotLeader || time.Since(began) > 0 {
			t.Errorf("the leader that is cut off answers %+v after %v", reply, time.Since(began))
		}
		setStore(fakes.Faults{})
		time.Sleep(time.Second)
		if reply := request(true); reply.Result != peer.NotFound {
			t.Errorf("once the store answers, the leader answers %+v", reply)
		}
	})
}
