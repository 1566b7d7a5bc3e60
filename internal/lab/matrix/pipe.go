package matrix

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// conn is one end of a connection between two entry instances. Unlike those of net.Pipe its writes never block: drpc
// holds a mutex while it writes, and a goroutine that waits for a mutex keeps the fake clock from advancing.
type conn struct {
	net.Conn      // nil: drpc uses neither addresses nor deadlines, and ends calls by closing the connection
	cluster       *Cluster
	local, remote *Entry
	in, out       *stream
}

// stream is one direction of a connection.
type stream struct {
	mu     sync.Mutex
	chunks []chunk
	closed bool
	silent bool
	wake   chan struct{}
}

type chunk struct {
	data []byte
	due  time.Time
}

func newStream() *stream { return &stream{wake: make(chan struct{}, 1)} }

func (s *stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *stream) put(c chunk) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.signal()
	switch {
	case s.closed:
		return io.ErrClosedPipe
	case !s.silent:
		s.chunks = append(s.chunks, c)
	}
	return nil
}

func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.signal()
}

// silence drops the bytes in transit and everything that is written later.
func (s *stream) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.chunks = true, nil
}

func (s *stream) peek() (c chunk, ok, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.chunks) == 0 {
		return chunk{}, false, s.closed
	}
	return s.chunks[0], true, false
}

func (s *stream) consume(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(s.chunks) == 0:
	case n < len(s.chunks[0].data):
		s.chunks[0].data = s.chunks[0].data[n:]
	default:
		s.chunks = s.chunks[1:]
	}
}

// Read waits for bytes and returns those that have arrived. While the sender or the reader is frozen it waits too.
func (c *conn) Read(b []byte) (int, error) {
	for {
		k, ok, closed := c.in.peek()
		switch {
		case closed:
			return 0, io.EOF
		case !ok:
			<-c.in.wake
			continue
		}
		if wait := time.Until(k.due); wait > 0 {
			time.Sleep(wait)
		}
		if c.remote.process.isFrozen() && c.remote.process.awaitRunning() != nil || c.local.process.awaitRunning() != nil {
			return 0, io.EOF
		}
		n := copy(b, k.data)
		c.in.consume(n)
		return n, nil
	}
}

// Write sends without blocking.
func (c *conn) Write(b []byte) (int, error) {
	k := chunk{data: append([]byte(nil), b...), due: time.Now().Add(c.cluster.latency(c.local.name, c.remote.name))}
	if err := c.out.put(k); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Close closes both directions.
func (c *conn) Close() error {
	c.in.close()
	c.out.close()
	c.cluster.removeConn(c)
	return nil
}

func (c *conn) silence() {
	c.in.silence()
	c.out.silence()
}

// listener accepts connections of other entry instances.
type listener struct {
	net.Listener // nil: drpc asks for no address
	accept       chan net.Conn
	closed       chan struct{}
	once         sync.Once
}

func newListener() *listener {
	return &listener{accept: make(chan net.Conn, 64), closed: make(chan struct{})}
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func connectionRefused() error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
}

func connectionReset() error { return &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET} }

// dial connects an entry instance to another one, whose address is its name.
func (cl *Cluster) dial(from *Entry, ctx context.Context, to string) (net.Conn, error) {
	if err := from.process.awaitRunning(); err != nil {
		return nil, err
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	e, ok := cl.entries[to]
	if !ok || e.process.isDead() || cl.cut[from.name] || cl.cut[to] || ctx.Err() != nil {
		return nil, connectionRefused()
	}
	x, y := newStream(), newStream()
	near := &conn{cluster: cl, local: from, remote: e, in: x, out: y}
	far := &conn{cluster: cl, local: e, remote: from, in: y, out: x}
	cl.conns[near], cl.conns[far] = true, true
	select {
	case e.listener.accept <- far:
		return near, nil
	default:
		return nil, connectionRefused()
	}
}

func (cl *Cluster) removeConn(c *conn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	delete(cl.conns, c)
}

// eachConn calls f for the connections of an entry instance, or between two of them if other is not empty.
func (cl *Cluster) eachConn(name, other string, f func(*conn)) {
	cl.mu.Lock()
	var found []*conn
	for c := range cl.conns {
		if c.local.name == name && (other == "" || c.remote.name == other) ||
			c.remote.name == name && (other == "" || c.local.name == other) {
			found = append(found, c)
		}
	}
	cl.mu.Unlock()
	for _, c := range found {
		f(c)
	}
}
