package leader_test

import (
	"context"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/serve/leader"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// Guards against authority from heartbeats that don't prove that their senders know of no later term now: they echo an
// old stamp, that of another term, none, as those of earlier builds, or one that was never given.
func TestPeersConfirmByRecentEchoes(t *testing.T) {
	echo := func(r peer.HeartbeatReply) (time.Duration, int64) { return r.Stamp, r.Term }
	tests := []struct {
		name string
		echo func(r peer.HeartbeatReply) (time.Duration, int64)
		// delay is the age of the echoed reply, confirms whether the heartbeat counts.
		delay    time.Duration
		confirms bool
	}{
		{name: "recent", echo: echo, delay: 500 * time.Millisecond, confirms: true},
		{name: "old", echo: echo, delay: 2100 * time.Millisecond},
		{name: "none", echo: func(peer.HeartbeatReply) (time.Duration, int64) { return 0, 0 }},
		{name: "other term", echo: func(r peer.HeartbeatReply) (time.Duration, int64) { return r.Stamp, r.Term - 1 }},
		{name: "future", echo: func(r peer.HeartbeatReply) (time.Duration, int64) { return r.Stamp + time.Hour, r.Term }},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			testCluster(t, func(c *cluster) {
				l := c.leader().service.Load()
				c.setApart(c.leader())
				time.Sleep(5 * time.Second)
				beat := func(q peer.HeartbeatRequest) peer.HeartbeatReply {
					q.From = c.other(c.leader()).name
					return l.HandleHeartbeat(q)
				}
				r := beat(peer.HeartbeatRequest{Term: 1})
				time.Sleep(x.delay)
				stamp, term := x.echo(r)
				beat(peer.HeartbeatRequest{Term: 1, Echo: stamp, EchoTerm: term})
				if got := l.PeersConfirm(); got != x.confirms {
					t.Errorf("confirms: %t", got)
				}
			})
		})
	}
}

// Guards against a leader that stops all work while the store is away for every instance, although its peers see it.
func TestPeersKeepAuthority(t *testing.T) {
	testCluster(t, func(c *cluster) {
		for i := range 4 {
			c.submit(context.Background(), longJob(i))
		}
		for _, e := range c.entries {
			e.link.SetFaults(fakes.Faults{Down: true})
		}
		for i := range 10 {
			time.Sleep(2 * time.Second)
			if c.workers.startsAfter(time.Now().Add(-2*time.Second)) == 0 {
				t.Errorf("no start command %d to %d s after the store failed", 2*i, 2*i+2)
			}
		}
	})
}

// other returns an instance other than the given one.
func (c *cluster) other(e *entry) *entry {
	for _, o := range c.entries {
		if o != e {
			return o
		}
	}
	panic("no instance besides " + e.name)
}

// Guards against authority that lasts longer than a later leader waits before it treats the leases of the former one as
// expired.
func TestAuthorityEndsBeforeInheritedLeases(t *testing.T) {
	if longest := max(leader.AuthorityMaxAge, leader.PeersMaxAge); longest >= engine.DefaultAuthority {
		t.Errorf("authority lasts %v, a later leader waits %v", longest, engine.DefaultAuthority)
	}
}
