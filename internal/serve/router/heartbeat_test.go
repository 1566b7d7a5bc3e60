package router

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// lateTracker knows the leader from a moment on.
type lateTracker struct {
	LeaderTracker
	record atomic.Pointer[elect.LeaderRecord]
}

func (t *lateTracker) Leader() (elect.LeaderRecord, bool) {
	if r := t.record.Load(); r != nil {
		return *r, true
	}
	return elect.LeaderRecord{}, false
}

func (t *lateTracker) Wake() {}

// notLeader is the leader service of a process that does not lead.
type notLeader struct{ fakeLeader }

func (*notLeader) IsLeader() bool     { return false }
func (*notLeader) HasAuthority() bool { return false }

// heartbeatServer answers heartbeats with a reply, and tells when they came.
type heartbeatServer struct {
	address string
	came    chan time.Time
	router  *Router
	tracker lateTracker
}

// startHeartbeats starts a router whose heartbeats get a reply, and a server that sends it.
func startHeartbeats(t *testing.T, reply peer.HeartbeatReply) *heartbeatServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &heartbeatServer{address: l.Addr().String(), came: make(chan time.Time, 100)}
	server := peer.NewServer("secret")
	peer.Handle(server, peer.MethodHeartbeat, func(context.Context, peer.HeartbeatRequest) (peer.HeartbeatReply, error) {
		h.came <- time.Now()
		return reply, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { _ = server.Serve(ctx, l) })
	client := peer.NewClient("secret")
	h.router = New("e1", nil, &notLeader{}, client, zap.NewNop())
	h.router.SetLeaderTracker(&h.tracker)
	loops.Go(func() { h.router.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		loops.Wait()
		_ = client.Close()
	})
	return h
}

// exited waits for replies to two heartbeats and reports whether the leader's process counts as exited.
func (h *heartbeatServer) exited(t *testing.T) bool {
	for range 3 {
		select {
		case <-h.came:
		case <-time.After(20 * time.Second):
			t.Fatal("no heartbeat")
		}
	}
	return h.router.ProcessExited(1)
}

// Guards against a fleet whose processes were all killed and that waits for the next heartbeat until it finds that the
// former leader's process has ended: the first heartbeat comes as soon as the leader record has been read.
func TestFirstHeartbeat(t *testing.T) {
	h := startHeartbeats(t, peer.HeartbeatReply{Boot: "e0.2"})
	time.Sleep(50 * time.Millisecond)
	known := time.Now()
	h.tracker.record.Store(&elect.LeaderRecord{Name: "e0", Boot: "e0.1", Address: h.address, Term: 1})
	select {
	case at := <-h.came:
		if took := at.Sub(known); took > heartbeatInterval/2 {
			t.Errorf("the first heartbeat came %v after the leader was known", took)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("no heartbeat")
	}
	if !h.exited(t) {
		t.Error("another process answers, and the leader's does not count as exited")
	}
}

// Guards against instances that take over from each other in turn: one that has just acquired leadership, and does not know
// it yet because the store's reply is on its way, counted as a process that was started again and does not lead.
func TestNewLeaderHasNotExited(t *testing.T) {
	for _, c := range []struct {
		reply  peer.HeartbeatReply
		exited bool
	}{{peer.HeartbeatReply{Boot: "e0.1"}, false}, {peer.HeartbeatReply{Boot: "e0.1", Ended: true}, true}} {
		h := startHeartbeats(t, c.reply)
		h.tracker.record.Store(&elect.LeaderRecord{Name: "e0", Boot: "e0.1", Address: h.address, Term: 1})
		if got := h.exited(t); got != c.exited {
			t.Errorf("exited %v after replies %+v", got, c.reply)
		}
	}
}

// Guards against a peer that takes over as if all starts were recorded although the leader's last word says otherwise, is of
// another term or is old.
func TestStartsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tracker fakeTracker
		r := New("e1", nil, &fakeLeader{}, nil, zap.NewNop())
		r.SetLeaderTracker(&tracker)
		hear := func(term int64, stamp time.Duration, recorded bool) {
			r.handleHeartbeat(elect.LeaderRecord{Term: term}, peer.HeartbeatReply{IsLeader: true, Term: term, Stamp: stamp,
				Recorded: recorded}, nil)
		}
		check := func(when string, term int64, want bool) {
			t.Helper()
			if r.StartsRecorded(term) != want {
				t.Errorf("%s: recorded %t", when, !want)
			}
		}
		check("nothing heard", 0, false)
		hear(3, time.Second, true)
		check("recorded", 3, true)
		check("a later term", 4, false)
		hear(3, 3*time.Second, false)
		check("not recorded", 3, false)
		hear(3, 2*time.Second, true)
		check("a reply that was overtaken", 3, false)
		hear(3, 4*time.Second, true)
		check("recorded again", 3, true)
		time.Sleep(recordedMaxAge + time.Second)
		check("long ago", 3, false)
	})
}
