package peer_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

func serve(t *testing.T, token string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := peer.NewServer(token)
	peer.Handle(s, peer.MethodSync, func(_ context.Context, q peer.SyncRequest) (peer.SyncReply, error) {
		return peer.SyncReply{From: "b.1", Revision: q.Revision + 1}, nil
	})
	peer.Handle(s, peer.MethodPush, func(context.Context, peer.PushRequest) (peer.PushReply, error) { panic("malformed") })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(ctx, l) }()
	t.Cleanup(func() { cancel(); <-done })
	return l.Addr().String()
}

// Guards against a reply that does not belong to its request and against calls without the token.
func TestCall(t *testing.T) {
	address := serve(t, "secret")
	for _, c := range []struct {
		name, token string
		from        string
		ok          bool
	}{
		{"right token", "secret", "a.1", true},
		{"wrong token", "other", "a.1", false},
		{"request fails its check", "secret", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := peer.NewClient(c.token)
			defer func() { _ = client.Close() }()
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			a, err := peer.Call(ctx, client, address, peer.MethodSync, peer.SyncRequest{From: "a.1", Revision: 6})
			if c.from == "" {
				_, err = peer.Call(ctx, client, address, peer.MethodSync, peer.SyncRequest{Revision: 6})
			}
			if (err == nil) != c.ok {
				t.Fatalf("error %v, want ok %v", err, c.ok)
			}
			if c.ok && a.Revision != 7 {
				t.Fatalf("revision %d, want 7", a.Revision)
			}
		})
	}
}

// Guards against one message that ends the whole process, because the handler of its call panics.
func TestPanicInHandler(t *testing.T) {
	address := serve(t, "secret")
	client := peer.NewClient("secret")
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if _, err := peer.Call(ctx, client, address, peer.MethodPush, peer.PushRequest{From: "a.1"}); err == nil {
		t.Error("no error from a handler that panics")
	}
	if a, err := peer.Call(ctx, client, address, peer.MethodSync, peer.SyncRequest{From: "a.1", Revision: 6}); err != nil || a.Revision != 7 {
		t.Errorf("the next call: %+v, %v", a, err)
	}
}

// brokenConn is a connection whose peer has gone by the time it is closed.
type brokenConn struct{ net.Conn }

// Close implements net.Conn.
func (c brokenConn) Close() error {
	_ = c.Conn.Close()
	return errors.New("tls: failed to send closeNotify alert: connection reset by peer")
}

// Guards against a process that ends with an error although it has shut down gracefully, because a peer to which it had an
// idle connection ended before it.
func TestCloseAfterPeer(t *testing.T) {
	address := serve(t, "secret")
	client := peer.NewClient("secret", peer.WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return brokenConn{conn}, err
	}))
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if _, err := peer.Call(ctx, client, address, peer.MethodSync, peer.SyncRequest{From: "a.1", Revision: 6}); err != nil {
		t.Fatal(err)
	}
	if err := client.Close(); err != nil {
		t.Errorf("close: %v", err)
	}
}
