package leader_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// Guards against a job that is refused for an unknown queue by a holder that has not read the config under which another
// instance admitted it: the caller got 404, which is final.
func TestHolderBehindConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		time.Sleep(5 * time.Second)
		submit := func(version int64) peer.Result {
			j := work.Job{ID: "00000000000000aa", Queue: "new", Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 100}}}}
			for _, e := range w.entries {
				if m := e.master.Load(); m.IsLeader() {
					return m.Submit(t.Context(), peer.SubmitRequest{Job: j, Version: version}).Result
				}
			}
			return ""
		}
		if v := submit(2); v != peer.NotLeader {
			t.Errorf("a queue of a later config: %q", v)
		}
		if v := submit(1); v != peer.NoQueue {
			t.Errorf("a queue of no config: %q", v)
		}
		w.book.Configure(work.NewConfig(work.Config{Version: 2, Queues: []work.Queue{{Name: "new", Pool: "p"}}}))
		time.Sleep(time.Second)
		if v := submit(2); v != peer.Accepted {
			t.Errorf("after the config: %q", v)
		}
		for _, e := range w.entries {
			w.kill(e)
		}
	})
}
