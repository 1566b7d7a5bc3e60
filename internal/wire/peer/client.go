package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

const (
	// MaxMessage is the largest encoded message in bytes; even the largest replies are sent in one message.
	MaxMessage = 16 << 20

	tokenKey       = "token"
	idleTimeout    = 2 * time.Minute
	maxIdlePerPeer = 8
)

// Client calls peers over pooled connections.
type Client struct {
	pool  *drpcpool.Pool[string, *drpcconn.Conn]
	token string
	tls   func() *tls.Config
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
}

// ClientOption changes a Client.
type ClientOption func(*Client)

// WithClientTLS makes the client speak TLS with the configuration that f returns at each dial.
func WithClientTLS(f func() *tls.Config) ClientOption { return func(c *Client) { c.tls = f } }

// WithDial replaces the dialer, for tests.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) ClientOption {
	return func(c *Client) { c.dial = dial }
}

// NewClient returns a client that authenticates to peers with a token.
func NewClient(token string, options ...ClientOption) *Client {
	c := &Client{
		pool:  drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdlePerPeer}),
		token: token,
		dial:  (&net.Dialer{}).DialContext,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Close closes every idle connection. A connection whose peer has gone before is closed too, so that its failure to say so
// is no error. It implements io.Closer.
func (c *Client) Close() error {
	_ = c.pool.Close()
	return nil
}

// Call sends a request to the peer at an address and waits for its reply or the end of the context.
// When the context ends during a call, the connection is closed and not reused.
func Call[Q, A Message](ctx context.Context, c *Client, address string, m Method[Q, A], q Q) (A, error) {
	var a A
	conn := c.pool.Get(ctx, address, c.connect)
	defer func() { _ = conn.Close() }()
	err := conn.Invoke(drpcmetadata.Add(ctx, tokenKey, c.token), string(m), codec{}, &q, &a)
	if err != nil {
		return a, fmt.Errorf("peer: %s at %s: %w", string(m), address, err)
	}
	return a, nil
}

func (c *Client) connect(ctx context.Context, address string) (*drpcconn.Conn, error) {
	raw, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if c.tls != nil {
		secure := tls.Client(raw, c.tls())
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		raw = secure
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessage},
		Stream: drpcstream.Options{MaximumBufferSize: MaxMessage},
	}
}
