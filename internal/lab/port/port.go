// Package port serves HTTP handlers over loopback TCP or in memory, with faults of the network that can be switched on.
package port

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Endpoint serves a fake service, with the faults that its clients see.
type Endpoint interface {
	// Address returns host and port.
	Address() string
	// Refuse closes every connection and refuses new ones until Reopen.
	Refuse()
	Reopen() error
	// Silence makes the open connections permanently unresponsive; new ones work.
	Silence()
	// Connections returns the number of open connections.
	Connections() int
}

// TCP is an Endpoint on a TCP port; it keeps its address while it refuses connections.
type TCP struct {
	handler http.Handler
	address string
	limit   int64
	peak    atomic.Int64
	dropped atomic.Int64

	mu     sync.Mutex
	server *http.Server
	conns  map[*conn]bool
}

var _ Endpoint = (*TCP)(nil)

// Listen opens a port at an address; port 0 chooses a free one.
// Connections over limit are closed at once; 0 is no limit.
func Listen(address string, limit int, h http.Handler) (*TCP, error) {
	p := &TCP{handler: h, address: address, limit: int64(limit), conns: map[*conn]bool{}}
	return p, p.Reopen()
}

// Address returns host and port.
func (p *TCP) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Connections returns the number of open connections.
func (p *TCP) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Peak returns the largest number of connections open at once.
func (p *TCP) Peak() int { return int(p.peak.Load()) }

// Dropped returns the number of connections that were closed because of the limit.
func (p *TCP) Dropped() int { return int(p.dropped.Load()) }

// Reopen accepts connections again; it does nothing while the port is open.
func (p *TCP) Reopen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.server != nil {
		return nil
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return fmt.Errorf("port: %w", err)
	}
	p.address = l.Addr().String()
	s := &http.Server{Handler: p.handler, ReadHeaderTimeout: time.Minute}
	p.server = s
	go func() { _ = s.Serve(&limitListener{Listener: l, port: p}) }()
	return nil
}

// Refuse closes every connection and refuses new ones.
func (p *TCP) Refuse() {
	p.mu.Lock()
	s := p.server
	p.server = nil
	p.mu.Unlock()
	if s != nil {
		_ = s.Close()
	}
}

// Close implements io.Closer by Refuse.
func (p *TCP) Close() error {
	p.Refuse()
	return nil
}

// Silence makes the open connections permanently unresponsive.
func (p *TCP) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.silence()
	}
}

func (p *TCP) add(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := int64(len(p.conns) + 1)
	if p.limit > 0 && n > p.limit {
		p.dropped.Add(1)
		return false
	}
	p.conns[c] = true
	p.peak.Store(max(p.peak.Load(), n))
	return true
}

func (p *TCP) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

type limitListener struct {
	net.Listener
	port *TCP
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, port: l.port, silent: make(chan struct{}), closed: make(chan struct{})}
		if l.port.add(c) {
			return c, nil
		}
		_ = raw.Close()
	}
}

var errClosed = errors.New("port: connection closed")

// conn is a connection that can become unresponsive without being closed, as after an intermediary dropped its state.
type conn struct {
	net.Conn
	port        *TCP
	silent      chan struct{}
	closed      chan struct{}
	silenceOnce sync.Once
	closeOnce   sync.Once
	closeErr    error
}

func (c *conn) silence() { c.silenceOnce.Do(func() { close(c.silent) }) }

// Read returns what the client sent; on a silent connection it waits for the close.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.silent:
		<-c.closed
		return 0, errClosed
	default:
		return n, err
	}
}

// Write sends to the client; a silent connection drops the bytes.
func (c *conn) Write(b []byte) (int, error) {
	select {
	case <-c.silent:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.port.remove(c)
		close(c.closed)
		c.closeErr = c.Conn.Close()
	})
	return c.closeErr
}
