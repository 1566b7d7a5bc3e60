package inlet

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// refusal is the response to a connection that finds no place; nothing of its request has been read.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refusalTimeout bounds the writing of a refusal.
const refusalTimeout = 10 * time.Millisecond

// connection is a caller's connection. The inlet's mu guards the fields.
type connection struct {
	net.Conn
	inlet *Inlet
	// place and upload are the connection's places in the lists of the inlet, nil if it is not in them.
	place, upload *list.Element
	// since is since when the connection waits, if it does.
	since time.Time
	// heading means that what arrives belongs to the header of a request.
	heading bool
	// header is what the header of its request takes in bytes, body the body of its current request, nil without one.
	header int64
	body   *Body
	// answered means that the handler of the last request has ended, and nothing was read since.
	answered bool
	// gone means that the connection is closed.
	gone bool
}

// Read implements net.Conn.
func (c *connection) Read(b []byte) (int, error) {
	// The server reads on only after it has sent the response.
	c.inlet.readOn(c)
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.inlet.receiveHeader(c, n)
	}
	return n, err
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.inlet.mu.Lock()
	c.inlet.remove(c)
	c.inlet.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite lets the HTTP server end its side before it closes the connection, so that the caller can read the response.
func (c *connection) CloseWrite() error {
	c.inlet.readOn(c)
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// listener accepts the connections that the inlet admits.
type listener struct {
	net.Listener
	inlet *Inlet
}

// Listen listens for callers on an address. Their receive buffers are small, since what is in them counts as memory.
func (i *Inlet) Listen(ctx context.Context, address string) (net.Listener, error) {
	o := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if err == nil && failure != nil {
			i.log.Warn("inlet: the size of the receive buffers can't be set", zap.Error(failure))
		}
		return err
	}}
	l, err := o.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("inlet: %w", err)
	}
	i.boundQueue(l)
	return i.Wrap(l), nil
}

// boundQueue bounds the connections that wait to be accepted, since what they have received counts as memory too.
func (i *Inlet) boundQueue(l net.Listener) {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err == nil {
		var failure error
		err = raw.Control(func(fd uintptr) { failure = syscall.Listen(int(fd), i.limits.Connections) })
		err = errors.Join(err, failure)
	}
	if err != nil {
		i.log.Warn("inlet: the length of the queue of connections can't be set", zap.Error(err))
	}
}

// Wrap returns a listener that accepts the connections of another one as far as the limits allow.
func (i *Inlet) Wrap(l net.Listener) net.Listener { return &listener{Listener: l, inlet: i} }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &connection{Conn: accepted, inlet: l.inlet, heading: true}
		if l.inlet.admit(c) {
			return c, nil
		}
		_ = accepted.SetWriteDeadline(time.Now().Add(refusalTimeout))
		// The caller may have closed the connection; either way it is not served.
		_, _ = accepted.Write([]byte(refusal))
		_ = accepted.Close()
	}
}

// connectionKey is the key of a connection in the contexts of its requests.
type connectionKey struct{}

// Serve has a server serve the connections of a listener that Listen or Wrap returned.
func (i *Inlet) Serve(s *http.Server, l net.Listener) error {
	s.Handler = i.handler(s.Handler)
	s.ConnContext = withConnection
	s.ConnState = i.track
	return s.Serve(l)
}

// track records that the rest of a request has been read, so that the header of the next one follows.
func (i *Inlet) track(c net.Conn, s http.ConnState) {
	if x, ok := c.(*connection); ok && s == http.StateIdle {
		i.mu.Lock()
		defer i.mu.Unlock()
		x.heading = true
	}
}

// withConnection implements the ConnContext hook of http.Server.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// connectionOf returns the connection of a request, nil without one.
func connectionOf(r *http.Request) *connection {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	return c
}

// handler wraps the handler of callers' requests: a connection whose request header has been received waits for its caller
// only while ReadBody does.
func (i *Inlet) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connectionOf(r); c != nil {
			i.begin(c, r)
			defer i.answer(c)
		}
		next.ServeHTTP(w, r)
	})
}

// begin records that the header of a request has been received.
func (i *Inlet) begin(c *connection, r *http.Request) {
	size := 0
	for name, values := range r.Header {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	i.serve(c)
	i.mu.Lock()
	defer i.mu.Unlock()
	c.heading = false
	if !c.gone {
		i.setHeader(c, int64(size)*headerFactor)
	}
}

// answer records that the handler of a request has ended.
func (i *Inlet) answer(c *connection) {
	i.mu.Lock()
	defer i.mu.Unlock()
	c.answered = true
}

// readOn records that a connection waits for its caller again if the response to its last request has been sent.
func (i *Inlet) readOn(c *connection) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !c.answered {
		return
	}
	c.answered = false
	if !c.gone && c.place == nil {
		i.setHeader(c, 0)
		i.push(c)
		i.changed.Broadcast()
	}
}
