package node

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// pipeListener is a listener with in-memory connections, which run on the fake clock of synctest.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-p; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (p pipeListener) Close() error   { close(p); return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a shutdown that waits for a connection which a client opened in advance and never used, and against a
// shutdown that aborts a request in progress.
func TestUnusedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const taskTime = 3 * time.Second
		var c connections
		s := &http.Server{ConnState: c.track, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			time.Sleep(taskTime)
		})}
		l := make(pipeListener)
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
		read := make(chan int, 1)
		go func() {
			n, _ := used.Read(make([]byte, 1000))
			read <- n
		}()
		start := time.Now()
		if err := c.shutDown(context.Background(), s); err != nil {
			t.Error(err)
		}
		// During Shutdown the server checks at least twice a second whether its connections have closed.
		if elapsed := time.Since(start); elapsed > taskTime+time.Second {
			t.Errorf("shutdown took %s, the request takes %s", elapsed, taskTime)
		}
		if n := <-read; n == 0 {
			t.Error("shutdown aborted the request in progress")
		}
	})
}
