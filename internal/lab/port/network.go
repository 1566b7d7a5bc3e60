package port

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
)

// Network is an http.RoundTripper that passes requests to in-memory handlers by host name.
// It uses no sockets, so that fake services and clients can run inside a synctest bubble.
type Network struct {
	mu    sync.Mutex
	hosts map[string]*Host
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network { return &Network{hosts: map[string]*Host{}} }

// Listen adds a host; its address is the host part of request URLs.
func (n *Network) Listen(address string, h http.Handler) *Host {
	host := &Host{address: address, handler: h, requests: map[*request]bool{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address] = host
	return host
}

// RoundTrip implements http.RoundTripper. A request to a host that is unknown or refuses connections fails before
// GotConn is reported.
func (n *Network) RoundTrip(r *http.Request) (*http.Response, error) {
	n.mu.Lock()
	h := n.hosts[r.URL.Host]
	n.mu.Unlock()
	if h == nil {
		return nil, connectionRefused()
	}
	return h.roundTrip(r)
}

func connectionRefused() error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
}

// Host is an in-memory Endpoint; each request in progress counts as a connection.
type Host struct {
	address string
	handler http.Handler

	mu       sync.Mutex
	refused  bool
	requests map[*request]bool
}

var _ Endpoint = (*Host)(nil)

type request struct {
	reset  chan struct{}
	silent bool
}

// Address returns the host's address.
func (h *Host) Address() string { return h.address }

// Connections returns the number of requests in progress.
func (h *Host) Connections() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.requests)
}

// Refuse resets the requests in progress and refuses new ones.
func (h *Host) Refuse() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refused = true
	for q := range h.requests {
		close(q.reset)
		delete(h.requests, q)
	}
}

// Reopen accepts requests again.
func (h *Host) Reopen() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refused = false
	return nil
}

// Silence makes the requests in progress permanently unresponsive.
func (h *Host) Silence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for q := range h.requests {
		q.silent = true
	}
}

func (h *Host) roundTrip(r *http.Request) (*http.Response, error) {
	q := &request{reset: make(chan struct{})}
	if !h.addRequest(q) {
		return nil, connectionRefused()
	}
	if t := httptrace.ContextClientTrace(r.Context()); t != nil && t.GotConn != nil {
		t.GotConn(httptrace.GotConnInfo{})
	}
	in, err := toServerRequest(r)
	if err != nil {
		h.removeRequest(q)
		return nil, err
	}
	done := make(chan *http.Response, 1)
	go func() {
		defer close(done)
		if res := serve(h.handler, in); res != nil {
			done <- res
		}
	}()
	select {
	case res := <-done:
		if h.removeRequest(q) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		if res == nil {
			return nil, io.ErrUnexpectedEOF
		}
		res.Request = r
		return res, nil
	case <-q.reset:
		return nil, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	case <-r.Context().Done():
		h.removeRequest(q)
		return nil, r.Context().Err()
	}
}

func (h *Host) addRequest(q *request) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.refused {
		return false
	}
	h.requests[q] = true
	return true
}

func (h *Host) removeRequest(q *request) (silent bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.requests, q)
	return q.silent
}

func toServerRequest(r *http.Request) (*http.Request, error) {
	in := r.Clone(r.Context())
	in.RequestURI = r.URL.RequestURI()
	in.RemoteAddr = "memory"
	if r.Body == nil {
		in.Body = http.NoBody
		return in, nil
	}
	b, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	in.Body = io.NopCloser(bytes.NewReader(b))
	return in, err
}

// serve returns nil if the handler aborted the request with http.ErrAbortHandler.
func serve(h http.Handler, r *http.Request) (res *http.Response) {
	w := &responseWriter{header: http.Header{}, status: http.StatusOK}
	defer func() {
		switch p := recover(); {
		case p == nil:
		case errors.Is(asError(p), http.ErrAbortHandler):
			res = nil
		default:
			panic(p)
		}
	}()
	h.ServeHTTP(w, r)
	return w.response()
}

func asError(p any) error {
	err, _ := p.(error)
	return err
}

type responseWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header to send.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader sets the status.
func (w *responseWriter) WriteHeader(status int) { w.status = status }

// Write appends to the body.
func (w *responseWriter) Write(b []byte) (int, error) { return w.body.Write(b) }

func (w *responseWriter) response() *http.Response {
	length := w.body.Len()
	w.header.Set("Content-Length", fmt.Sprint(length))
	return &http.Response{
		StatusCode: w.status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: w.header, Body: io.NopCloser(&w.body), ContentLength: int64(length),
	}
}
