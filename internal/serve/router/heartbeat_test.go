package router

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
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

func (*notLeader) IsLeader() bool { return false }

// Guards against a fleet whose processes were all killed and that waits for the next heartbeat until it finds that the
// former leader's process has ended: the first heartbeat comes as soon as the leader record has been read.
func TestFirstHeartbeat(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer("secret")
	came := make(chan time.Time, 100)
	peer.Handle(server, peer.MethodHeartbeat, func(context.Context, peer.HeartbeatRequest) (peer.HeartbeatReply, error) {
		came <- time.Now()
		return peer.HeartbeatReply{}, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	defer loops.Wait()
	defer cancel()
	loops.Go(func() { _ = server.Serve(ctx, l) })
	client := peer.NewClient("secret")
	defer func() { _ = client.Close() }()
	var tracker lateTracker
	r := New("e1", nil, &notLeader{}, client, zap.NewNop())
	r.SetLeaderTracker(&tracker)
	loops.Go(func() { r.Run(ctx) })
	time.Sleep(50 * time.Millisecond)
	known := time.Now()
	tracker.record.Store(&elect.LeaderRecord{Name: "e0", Boot: "e0.1", Address: l.Addr().String(), Term: 1})
	select {
	case at := <-came:
		if took := at.Sub(known); took > heartbeatInterval/2 {
			t.Errorf("the first heartbeat came %v after the leader was known", took)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("no heartbeat")
	}
	if !r.ProcessExited(1) {
		time.Sleep(heartbeatInterval)
		if !r.ProcessExited(1) {
			t.Error("the process that answers does not lead, and the leader's does not count as ended")
		}
	}
}
