package router

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// addressTracker knows one leader.
type addressTracker struct {
	fakeTracker
	address string
}

// Leader implements LeaderTracker.
func (t *addressTracker) Leader() (elect.LeaderRecord, bool) {
	return elect.LeaderRecord{Name: "e2", Boot: "e2.1", Address: t.address, Term: 3}, true
}

// Wake implements LeaderTracker.
func (t *addressTracker) Wake() {}

// Load pattern: a leader takes over while hundreds of requests wait at each instance. Guards against a leader that gets no time
// to load the stored state, because each request asks by itself whether it is ready.
func TestRequestsWaitTogetherForLoadingLeader(t *testing.T) {
	const requests, loadTime = 100, 200 * time.Millisecond
	var calls, heartbeats atomic.Int64
	began := time.Now()
	loading := func() bool { return time.Since(began) < loadTime }
	server := peer.NewServer("token")
	peer.Handle(server, peer.MethodSubmit, func(context.Context, peer.SubmitRequest) (peer.JobReply, error) {
		calls.Add(1)
		if loading() {
			return peer.JobReply{Result: peer.NotLeader}, nil
		}
		return peer.JobReply{Result: peer.Accepted}, nil
	})
	peer.Handle(server, peer.MethodHeartbeat, func(context.Context, peer.HeartbeatRequest) (peer.HeartbeatReply, error) {
		heartbeats.Add(1)
		return peer.HeartbeatReply{IsLeader: true, Term: 3, Boot: "e2.1", Loading: loading()}, nil
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(t.Context(), listener) }()
	client := peer.NewClient("token")
	defer func() { _ = client.Close() }()
	r := New("e1", nil, &notLeader{}, client, zap.NewNop())
	r.SetLeaderTracker(&addressTracker{address: listener.Addr().String()})
	var waiting sync.WaitGroup
	for range requests {
		waiting.Go(func() {
			ctx, cancel := RequestContext(context.Background(), 0)
			defer cancel()
			_ = r.Submit(ctx, Admission{}, work.Job{ID: "00000000000000aa", Steps: []work.Step{{Count: 1}}})
		})
	}
	waiting.Wait()
	// One call before and one after the load for each request.
	if n := calls.Load(); n > 2*requests {
		t.Errorf("%d calls of %d requests", n, requests)
	}
	if n := heartbeats.Load(); n == 0 || n > 5 {
		t.Errorf("%d heartbeats", n)
	}
}
