package rest

import (
	"context"
	"net"
	"sync"
)

// limitConnections returns a dialer that waits while the given number of its connections are open. The limit of
// http.Transport alone is not strict: it stops counting a connection before it has closed it.
func limitConnections(dial dialer, connections int) dialer {
	open := make(chan struct{}, connections)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case open <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		release := sync.OnceFunc(func() { <-open })
		c, err := dial(ctx, network, address)
		if err != nil {
			release()
			return nil, err
		}
		return &limitedConn{Conn: c, release: release}, nil
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and allows the next one to be dialed.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
