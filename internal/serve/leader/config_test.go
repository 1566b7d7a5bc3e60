package leader_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
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
