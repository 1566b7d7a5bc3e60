package rest

import (
	"context"
	"net"
	"sync"
)

// bounded returns a dialer that waits while a number of its connections are open. The limit of http.Transport alone
// does not hold: it counts a connection as gone before it has closed it.
func bounded(dial dialer, connections int) dialer {
	open := make(chan struct{}, connections)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case open <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		free := sync.OnceFunc(func() { <-open })
		c, err := dial(ctx, network, address)
		if err != nil {
			free()
			return nil, err
		}
		return &boundedConn{Conn: c, free: free}, nil
	}
}

type boundedConn struct {
	net.Conn
	free func()
}

// Close closes the connection and lets the next one be dialled.
func (c *boundedConn) Close() error {
	defer c.free()
	return c.Conn.Close()
}
