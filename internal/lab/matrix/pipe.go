package matrix

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// conn is one end of a connection between two entry instances. Writes never block: drpc holds a mutex while it
// writes, and a goroutine that waits for a mutex keeps the paused clock from advancing. net.Pipe would block.
type conn struct {
	net.Conn      // nil: drpc uses neither addresses nor deadlines, and ends calls by closing the connection
	world         *Cluster
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

// silence loses what is under way and everything written later.
func (s *stream) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.chunks = true, nil
}

func (s *stream) first() (c chunk, ok, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.chunks) == 0 {
		return chunk{}, false, s.closed
	}
	return s.chunks[0], true, false
}

func (s *stream) drop(n int) {
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

// Read returns what has arrived. A frozen sender's bytes leave it after its freeze, a frozen reader reads after its own.
func (c *conn) Read(b []byte) (int, error) {
	for {
		k, ok, closed := c.in.first()
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
		if c.remote.gate.isFrozen() && c.remote.gate.pass() != nil || c.local.gate.pass() != nil {
			return 0, io.EOF
		}
		n := copy(b, k.data)
		c.in.drop(n)
		return n, nil
	}
}

// Write sends without blocking.
func (c *conn) Write(b []byte) (int, error) {
	k := chunk{data: append([]byte(nil), b...), due: time.Now().Add(c.world.latency(c.local.name, c.remote.name))}
	if err := c.out.put(k); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Close closes both directions.
func (c *conn) Close() error {
	c.in.close()
	c.out.close()
	c.world.forgetConn(c)
	return nil
}

func (c *conn) silence() {
	c.in.silence()
	c.out.silence()
}

// listener accepts the connections of other entry instances.
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

func refused() error { return &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED} }

func broken() error { return &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET} }

// dial connects an entry instance to the one at an address, which is its name.
func (w *Cluster) dial(from *Entry, ctx context.Context, to string) (net.Conn, error) {
	if err := from.gate.pass(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.entries[to]
	if !ok || e.gate.isDead() || w.cut[from.name] || w.cut[to] || ctx.Err() != nil {
		return nil, refused()
	}
	x, y := newStream(), newStream()
	near := &conn{world: w, local: from, remote: e, in: x, out: y}
	far := &conn{world: w, local: e, remote: from, in: y, out: x}
	w.conns[near], w.conns[far] = true, true
	select {
	case e.listener.accept <- far:
		return near, nil
	default:
		return nil, refused()
	}
}

func (w *Cluster) forgetConn(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
}

// eachConn calls f for the connections of an entry instance, or between two of them if other is not empty.
func (w *Cluster) eachConn(name, other string, f func(*conn)) {
	w.mu.Lock()
	var found []*conn
	for c := range w.conns {
		if c.local.name == name && (other == "" || c.remote.name == other) ||
			c.remote.name == name && (other == "" || c.local.name == other) {
			found = append(found, c)
		}
	}
	w.mu.Unlock()
	for _, c := range found {
		f(c)
	}
}
