// Package rest makes JSON calls to the platform over HTTP and distinguishes failures before and after sending.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

// Errors of calls. ErrNotSent means that no byte of the request was sent; after ErrNoReply the call's outcome is
// unknown.
var (
	ErrNotSent = errors.New("rest: not sent")
	ErrNoReply = errors.New("rest: no reply")
)

var errTimeout = errors.New("rest: call timed out")

// Defaults of a Caller.
const (
	DefaultTimeout     = 2 * time.Second
	DefaultConnections = 32

	// minConnections covers one unpooled connection, one for short calls and one for long polls.
	minConnections = 3
)

// minTransferRate is the slowest accepted transfer of bodies, in bytes per second; it extends a call's timeout.
const minTransferRate = 4 << 20

// maxReplySize bounds a reply, in bytes.
const maxReplySize = 64 << 20

// Caller makes calls to one base URL over a bounded number of connections. It is safe for concurrent use.
type Caller struct {
	base     string
	pooled   http.RoundTripper
	unpooled http.RoundTripper
	// polls limits long polls to all pooled connections but one, so that short calls never wait for a long poll.
	polls   chan struct{}
	timeout time.Duration
	// slowTimeout is the longest time-out of a service that replies slowly, replies its recent replies.
	slowTimeout time.Duration
	replies     replyTimes
	after       afterFunc
}

type settings struct {
	timeout     time.Duration
	slowTimeout time.Duration
	connections int
	transport   http.RoundTripper
	dial        dialer
}

type dialer = func(ctx context.Context, network, address string) (net.Conn, error)

// Option configures a Caller.
type Option func(*settings)

// WithTimeout sets the timeout of each call until the header of the reply arrives, and again from there to the end of
// the body. The wait of a long poll and the time to send the body are added to the first, the time to receive
// the body to the second. A call takes longer, by 2 s at most, while timers of this process fire late.
func WithTimeout(d time.Duration) Option { return func(s *settings) { s.timeout = d } }

// WithSlowTimeout lets the timeout grow up to a duration while the service replies slowly: to twice its slowest reply of the
// last seconds. A service that does not reply at all gets the usual one.
func WithSlowTimeout(d time.Duration) Option { return func(s *settings) { s.slowTimeout = d } }

// WithConnections bounds the connections to the base URL; the least bound is 3.
func WithConnections(n int) Option {
	return func(s *settings) { s.connections = max(n, minConnections) }
}

// WithTransport replaces the HTTP transport. The transport must report GotConn to the context's httptrace.ClientTrace
// before a request can take effect; a failure without that report is ErrNotSent.
func WithTransport(t http.RoundTripper) Option { return func(s *settings) { s.transport = t } }

// WithDial replaces the dialer.
func WithDial(d func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(s *settings) { s.dial = d }
}

// NewCaller returns a caller for a base URL such as "http://127.0.0.1:8080".
func NewCaller(base string, options ...Option) *Caller {
	s := settings{timeout: DefaultTimeout, connections: DefaultConnections}
	for _, o := range options {
		o(&s)
	}
	unpooled := max(1, s.connections/10)
	pooled := s.connections - unpooled
	c := &Caller{
		base: strings.TrimSuffix(base, "/"), timeout: s.timeout, slowTimeout: s.slowTimeout, after: time.AfterFunc, pooled: s.transport, unpooled: s.transport,
		polls: make(chan struct{}, pooled-1),
	}
	if s.dial == nil {
		// Without a timeout a dial could outlive the request that started it and still count as a connection.
		s.dial = (&net.Dialer{Timeout: s.timeout}).DialContext
	}
	if s.transport == nil {
		dial := limitConnections(s.dial, s.connections)
		c.pooled = newTransport(dial, pooled, false)
		c.unpooled = newTransport(dial, unpooled, true)
	}
	return c
}

func newTransport(dial dialer, connections int, singleUse bool) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     30 * time.Second,
		DisableKeepAlives:   singleUse,
		DisableCompression:  true,
	}
}

// Request is one call.
type Request struct {
	Method, Path string
	// In is encoded as JSON, Body is sent unchanged; at most one of them is set.
	In   any
	Body []byte
	// Wait is the longest wait of a long poll; it is added to the timeout.
	Wait time.Duration
	// Fresh requires a new connection, which is not reused.
	Fresh bool
	// Digest is the value of DigestHeader for Body; if it is "", the field is not sent.
	Digest string
	// Header holds additional header fields.
	Header http.Header
}

// Reply is the complete reply to a successful call.
type Reply struct {
	Body   []byte
	Header http.Header
}

// CloseIdle closes the idle connections.
func (c *Caller) CloseIdle() {
	if t, ok := c.pooled.(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
}

// JSON makes a call and decodes the reply into out unless out is nil. Its errors are those of Do; a reply that can't be
// decoded is ErrNoReply.
func (c *Caller) JSON(ctx context.Context, q Request, out any) error {
	r, err := c.Do(ctx, q)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(r.Body, out); err != nil {
		return fmt.Errorf("%w: %s %s: %w", ErrNoReply, q.Method, q.Path, err)
	}
	return nil
}

// Do makes a call. Its error is ErrNotSent, ErrNoReply, a *Problem if the call was declined, or another one if In can't
// be encoded.
func (c *Caller) Do(ctx context.Context, q Request) (Reply, error) {
	body, err := q.payload()
	if err != nil {
		return Reply{}, err
	}
	if q.Wait > 0 {
		select {
		case c.polls <- struct{}{}:
			defer func() { <-c.polls }()
		case <-ctx.Done():
			return Reply{}, fmt.Errorf("%w: %s %s: %w", ErrNotSent, q.Method, q.Path, ctx.Err())
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	began := time.Now()
	timer := newCallTimer(c.after, c.callTimeout()+q.Wait+transferTime(int64(len(body))), func() { cancel(errTimeout) })
	defer timer.stop()
	reply, sent, err := c.exchange(ctx, q, body, timer)
	if err == nil {
		if q.Wait == 0 {
			c.replies.add(time.Since(began))
		}
		return reply, nil
	}
	if p := (*Problem)(nil); errors.As(err, &p) {
		return Reply{}, err
	}
	return Reply{}, c.callError(ctx, q, sent, err)
}

func (c *Caller) callError(ctx context.Context, q Request, sent bool, err error) error {
	kind := ErrNotSent
	if sent {
		kind = ErrNoReply
	}
	cause := context.Cause(ctx)
	if errors.Is(cause, errTimeout) {
		// The other connections to this address may be broken in the same way.
		c.CloseIdle()
		return fmt.Errorf("%w: %s %s: %w", kind, q.Method, q.Path, cause)
	}
	return fmt.Errorf("%w: %s %s: %w", kind, q.Method, q.Path, err)
}

func (c *Caller) exchange(ctx context.Context, q Request, body []byte, timer *callTimer) (Reply, bool, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	r, err := http.NewRequestWithContext(ctx, q.Method, c.base+q.Path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, false, err
	}
	if q.In != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	if q.Digest != "" {
		r.Header.Set(DigestHeader, q.Digest)
	}
	for name, values := range q.Header {
		r.Header[name] = values
	}
	t := c.pooled
	if q.Fresh {
		t = c.unpooled
	}
	res, err := t.RoundTrip(r)
	if err != nil {
		return Reply{}, sent.Load(), err
	}
	defer func() { _ = res.Body.Close() }()
	timer.reset(c.timeout + transferTime(res.ContentLength))
	reply, err := read(res)
	return reply, true, err
}

func read(res *http.Response) (Reply, error) {
	b, err := io.ReadAll(io.LimitReader(res.Body, maxReplySize+1))
	if err != nil {
		return Reply{}, err
	}
	if len(b) > maxReplySize {
		return Reply{}, fmt.Errorf("reply over %d bytes", maxReplySize)
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return Reply{}, decodeProblem(res.StatusCode, b)
	}
	return Reply{Body: b, Header: res.Header}, nil
}

func (q Request) payload() ([]byte, error) {
	if q.In == nil {
		return q.Body, nil
	}
	b, err := json.Marshal(q.In)
	if err != nil {
		return nil, fmt.Errorf("rest: encode %s: %w", q.Path, err)
	}
	return b, nil
}

func transferTime(length int64) time.Duration {
	return time.Duration(max(length, 0)) * time.Second / minTransferRate
}
