package leader_test

import (
	"context"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/serve/leader"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// malformed is the spec of a job whose start panics.
const malformed = "malformed"

// panickingWorkers panic on a command of a malformed job.
type panickingWorkers struct{ leader.Workers }

// Execute implements leader.Workers.
func (w panickingWorkers) Execute(ctx context.Context, c engine.Command, fence int64) engine.Outcome {
	if s, ok := c.(engine.Start); ok && s.Spec == malformed {
		panic(malformed)
	}
	return w.Workers.Execute(ctx, c, fence)
}

// Guards against one job that ends the process of each leader in turn, because a command of it panics.
func TestPanicInCommand(t *testing.T) {
	testClusterOf(t, 1, func(o *leader.Options) { o.Workers = panickingWorkers{o.Workers} }, func(c *cluster) {
		submit := func(id work.JobID, spec string) {
			c.submit(context.Background(), work.Job{ID: id, Queue: "q", Customer: "c", Spec: spec,
				Accepted: time.Now().UnixMilli(), Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 10}}}})
		}
		submit("00000000000000a1", malformed)
		submit("00000000000000a2", "")
		time.Sleep(10 * time.Second)
		if s := c.state("00000000000000a2"); s != work.Completed {
			t.Errorf("a job beside the malformed one is %q", s)
		}
	})
}

// Guards against a request that ends the process of each leader in turn, or leaves one that holds a lock and serves
// nobody: the leader's term ends, and the next one serves.
func TestPanicInRequest(t *testing.T) {
	testClusterOf(t, 2, func(*leader.Options) {}, func(c *cluster) {
		former := c.leader()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		// A step that waits for a missing one passes no check of a message; here it stands for what a check has missed.
		reply := former.service.Load().Submit(ctx, peer.SubmitRequest{Version: 1, Job: work.Job{ID: "00000000000000a1",
			Queue: "q", Customer: "c", Accepted: time.Now().UnixMilli(), Steps: []work.Step{{Count: 1, After: []int{7}}}}})
		if reply.Result != peer.Unknown {
			t.Errorf("the request that panicked was answered %q", reply.Result)
		}
		time.Sleep(5 * time.Second)
		c.submit(context.Background(), work.Job{ID: "00000000000000a2", Queue: "q", Customer: "c",
			Accepted: time.Now().UnixMilli(), Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 10}}}})
		time.Sleep(10 * time.Second)
		if s := c.state("00000000000000a2"); s != work.Completed {
			t.Errorf("a later job is %q", s)
		}
		if c.leader() == former {
			t.Error("the leader whose state can't be trusted still leads")
		}
	})
}
