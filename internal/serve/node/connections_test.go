package node

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// pipes is a listener whose connections are in memory, so that the paused clock governs them.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	if c, ok := <-p; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (p pipes) Close() error   { close(p); return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a shutdown that waits for a connection without a request, which a client opened in advance, and
// against one that breaks off a request.
func TestUnusedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const work = 3 * time.Second
		var c connections
		s := &http.Server{ConnState: c.track, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(work) })}
		l := make(pipes)
		go func() { _ = s.Serve(l) }()
		connect := func() net.Conn {
			ours, theirs := net.Pipe()
			l <- theirs
			return ours
		}
		unused, used := connect(), connect()
		defer func() { _ = unused.Close() }()
		if _, err := used.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		answer := make(chan int, 1)
		go func() {
			n, _ := used.Read(make([]byte, 1000))
			answer <- n
		}()
		began := time.Now()
		if err := c.shutDown(context.Background(), s); err != nil {
			t.Error(err)
		}
		// The server looks for the end of its connections at least twice a second.
		if took := time.Since(began); took > work+time.Second {
			t.Errorf("the shutdown took %s, the work %s", took, work)
		}
		if n := <-answer; n == 0 {
			t.Error("the request was broken off")
		}
	})
}
