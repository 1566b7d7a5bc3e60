package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// unusedTime is how long a connection that has carried no request may still begin one during a shutdown. HTTP clients
// open connections in advance, and http.Server.Shutdown waits more than 5 s for each that is new.
const unusedTime = time.Second

// connections knows the connections that have not begun their first request.
type connections struct {
	mu     sync.Mutex
	unused map[net.Conn]struct{}
}

// track implements the ConnState hook of http.Server.
func (c *connections) track(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s != http.StateNew {
		delete(c.unused, conn)
		return
	}
	if c.unused == nil {
		c.unused = map[net.Conn]struct{}{}
	}
	c.unused[conn] = struct{}{}
}

// shutDown ends acceptance and waits for the requests in progress, but not for connections that begin none.
func (c *connections) shutDown(ctx context.Context, s *http.Server) error {
	t := time.AfterFunc(unusedTime, c.closeUnused)
	defer t.Stop()
	return s.Shutdown(ctx)
}

func (c *connections) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.unused {
		_ = conn.Close()
	}
}
