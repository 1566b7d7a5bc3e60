package leader_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/serve/leader"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// Failure pattern: the store is away, the leader sends starts that it does not hold and is lost. Guards against a peer that takes
// over without knowing that there may be such starts, and against a leader that says so for ever.
func TestStartsWithoutRecordAreAnnounced(t *testing.T) {
	testClusterOf(t, 1, func(*leader.Options) {}, func(c *cluster) {
		e := c.entries[0]
		l := e.service.Load()
		var last peer.HeartbeatReply
		// beats sends heartbeats for a time, which echo the last reply or none, and returns the number of starts meanwhile.
		beats := func(d time.Duration, hears bool) int {
			began := time.Now()
			for time.Since(began) < d {
				time.Sleep(100 * time.Millisecond)
				r := l.HandleHeartbeat(peer.HeartbeatRequest{From: "p", Address: "p", Term: 1, Echo: last.Stamp, EchoTerm: last.Term})
				if hears {
					last = r
				}
			}
			return c.workers.startsAfter(began)
		}
		for i := range 4 {
			c.submit(context.Background(), longJob(i))
		}
		if n := beats(time.Second, true); n == 0 || !last.Recorded {
			t.Errorf("%d starts, recorded %t while the store answers", n, last.Recorded)
		}
		e.link.SetFaults(fakes.Faults{Down: true})
		// A transaction in progress as the store fails may have recorded starts.
		time.Sleep(20 * time.Millisecond)
		if n := beats(700*time.Millisecond, false); n != 0 {
			t.Errorf("%d starts without a record that the peer has not been told of", n)
		}
		if n := beats(time.Second, true); n == 0 || last.Recorded {
			t.Errorf("%d starts, recorded %t once the peer has been told", n, last.Recorded)
		}
		e.link.SetFaults(fakes.Faults{})
		if beats(4*time.Second, true); !last.Recorded {
			t.Error("starts count as not recorded after the store is back")
		}
	})
}

// Guards against a leader that takes over from one of which it knows nothing as if all starts of that were recorded.
func TestUnknownFormerLeader(t *testing.T) {
	for _, recorded := range []bool{true, false} {
		asked := int64(0)
		testClusterOf(t, 1, func(o *leader.Options) {
			o.StartsRecorded = func(term int64) bool { asked = term; return recorded }
		}, func(c *cluster) {
			c.kill(c.entries[0])
			c.start(c.entries[0])
			time.Sleep(5 * time.Second)
			r := c.entries[0].service.Load().HandleHeartbeat(peer.HeartbeatRequest{From: "p", Address: "p", Term: 2})
			if asked != 1 || !r.IsLeader || r.Recorded != recorded {
				t.Errorf("asked for term %d, leads %t, recorded %t, want %t", asked, r.IsLeader, r.Recorded, recorded)
			}
			// A load under which some start is always on its way to the store.
			c.entries[0].link.SetFaults(fakes.Faults{Delay: 10 * time.Millisecond})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			for i := range 2500 {
				go c.submit(ctx, work.Job{ID: work.JobID(fmt.Sprintf("%016x", i)), Queue: "q", Customer: "c",
					Accepted: time.Now().UnixMilli(), Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 10}}}})
				time.Sleep(12 * time.Millisecond)
				r = c.entries[0].service.Load().HandleHeartbeat(peer.HeartbeatRequest{From: "p", Address: "p", Term: 2, Echo: r.Stamp,
					EchoTerm: r.Term})
			}
			if !r.Recorded {
				t.Error("starts count as not recorded 30 s after the takeover")
			}
		})
	}
}
