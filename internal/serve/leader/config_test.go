package leader_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/serve/leader"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// Guards against a leader that rejects a job for an unknown queue because it has not read the config under which
// another instance admitted the job: the caller got 404, which is final.
func TestLeaderBehindConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		time.Sleep(5 * time.Second)
		submit := func(version int64) peer.Result {
			j := work.Job{ID: "00000000000000aa", Queue: "new", Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 100}}}}
			for _, e := range c.entries {
				if s := e.service.Load(); s.IsLeader() {
					return s.Submit(t.Context(), peer.SubmitRequest{Job: j, Version: version}).Result
				}
			}
			return ""
		}
		if got := submit(2); got != peer.NotLeader {
			t.Errorf("queue of a later config: got %q", got)
		}
		if got := submit(1); got != peer.NoQueue {
			t.Errorf("queue of no config: got %q", got)
		}
		c.rules.Configure(work.NewConfig(work.Config{Version: 2, Queues: []work.Queue{{Name: "new", Pool: "p"}}}))
		time.Sleep(time.Second)
		if got := submit(2); got != peer.Accepted {
			t.Errorf("after the leader has the config: got %q", got)
		}
		for _, e := range c.entries {
			c.kill(e)
		}
	})
}

// Guards against a leader that accepts a job on behalf of an instance with outdated rules although the caller's key was
// withdrawn, or for another customer than the key's.
func TestLeaderChecksAccess(t *testing.T) {
	testClusterOf(t, 1, func(*leader.Options) {}, func(c *cluster) {
		c.rules.Configure(work.NewConfig(work.Config{Version: 2,
			Queues: []work.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 3, Stretch: 2, Objective: time.Second},
				{Name: "o", Host: "h", Prefix: "/o/", Pool: "p", Open: true}, {Name: "moved", Host: "h", Prefix: "/new/", Pool: "p"}},
			Customers: map[string]work.Customer{"c": {Name: "c", Keys: []string{"k"}}}}))
		s := c.leader().service.Load()
		submit := func(id work.JobID, a peer.Access) peer.Result {
			return s.Submit(context.Background(), peer.SubmitRequest{Version: a.Version, Access: &a, Job: work.Job{ID: id,
				Accepted: time.Now().UnixMilli(), Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 10}}}}}).Result
		}
		for _, x := range []struct {
			name   string
			access peer.Access
			want   peer.Result
		}{
			{"withdrawn key", peer.Access{Queue: "q", Host: "h", Path: "/q/a", Key: "withdrawn", Version: 1}, peer.WrongKey},
			{"no such queue", peer.Access{Queue: "gone", Host: "h", Path: "/gone/", Key: "k", Version: 2}, peer.NoQueue},
			{"a queue without the path", peer.Access{Queue: "moved", Host: "h", Path: "/old/", Key: "k", Version: 1}, peer.NoQueue},
			{"a path that another queue has now", peer.Access{Queue: "moved", Host: "h", Path: "/q/a", Key: "k", Version: 1}, peer.NotLeader},
			{"a newer config elsewhere", peer.Access{Queue: "q", Host: "h", Path: "/q/a", Key: "withdrawn", Version: 3}, peer.NotLeader},
			{"valid key", peer.Access{Queue: "q", Host: "h", Path: "/q/a", Key: "k", Version: 1}, peer.Accepted},
			{"open queue", peer.Access{Queue: "o", Host: "h", Path: "/o/a", Version: 1}, peer.Accepted},
		} {
			if got := submit("00000000000000a1", x.access); got != x.want {
				t.Errorf("%s: submission answered %q, want %q", x.name, got, x.want)
			}
		}
		withdrawn := &peer.Access{Queue: "q", Host: "h", Path: "/q/a", Key: "withdrawn"}
		for _, cancel := range []bool{false, true} {
			if got := s.Job(context.Background(), peer.JobRequest{ID: "00000000000000a1", Cancel: cancel, Access: withdrawn}); got.Result != peer.WrongKey {
				t.Errorf("withdrawn key, cancel %t: answered %q", cancel, got.Result)
			}
		}
		if got := s.Waiting(peer.WaitingRequest{Queue: "q", Access: withdrawn}); got.Result != peer.WrongKey {
			t.Errorf("withdrawn key: number of waiting jobs answered %q", got.Result)
		}
	})
}

// Guards against a refusal of a job that the leader keeps, and that runs: its key is withdrawn while it waits for a slow store,
// and its instance, whose rules are out of date, asks again.
func TestKeyWithdrawnWhileJobIsStored(t *testing.T) {
	testClusterOf(t, 1, func(*leader.Options) {}, func(c *cluster) {
		queues := []work.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 3, Stretch: 2, Objective: time.Second}}
		configure := func(version int64, keys ...string) {
			c.rules.Configure(work.NewConfig(work.Config{Version: version, Queues: queues,
				Customers: map[string]work.Customer{"c": {Name: "c", Keys: keys}}}))
		}
		configure(2, "k")
		s := c.leader().service.Load()
		c.entries[0].link.SetFaults(fakes.Faults{Delay: 890 * time.Millisecond})
		submit := func(id work.JobID) peer.JobReply {
			return s.Submit(context.Background(), peer.SubmitRequest{Version: 2, Wait: 300 * time.Millisecond, Deadline: 2 * time.Second,
				Access: &peer.Access{Queue: "q", Host: "h", Path: "/q/a", Key: "k", Version: 2}, Job: work.Job{ID: id,
					Accepted: time.Now().UnixMilli(), Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 10}}}}})
		}
		if got := submit("00000000000000a1"); !got.IsPending() {
			t.Fatalf("with a slow store: answered %+v", got)
		}
		configure(3)
		reply := submit("00000000000000a1")
		for reply.IsPending() {
			reply = submit("00000000000000a1")
		}
		if reply.Result != peer.Accepted {
			t.Errorf("asked again after the key was withdrawn: answered %q", reply.Result)
		}
		if got := submit("00000000000000a2"); got.Result != peer.WrongKey {
			t.Errorf("another job with the withdrawn key: answered %q", got.Result)
		}
	})
}
