package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// unusedTimeout is how long a connection without a request may stay open during shutdown. HTTP clients open connections
// in advance, and http.Server.Shutdown waits more than 5 s for each new one.
const unusedTimeout = time.Second

// connections tracks the connections that have not yet received a request.
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

// shutDown stops accepting connections and waits for requests in progress; it closes connections that stay unused.
func (c *connections) shutDown(ctx context.Context, s *http.Server) error {
	t := time.AfterFunc(unusedTimeout, c.closeUnused)
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
