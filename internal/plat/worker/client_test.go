package worker_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/input"
	"github.com/yuccahaven/yuccahaven/internal/lab/port"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	lab "github.com/yuccahaven/yuccahaven/internal/lab/worker"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/rest"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
)

// longTimeout is not reached on a busy machine either.
const longTimeout = time.Minute

func serve(t *testing.T, slots int) (*lab.Worker, *port.TCP) {
	t.Helper()
	w := lab.New(roster.Listing{ID: "w1", Slots: slots}, &record.Log[record.Journal]{})
	p, err := w.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Refuse)
	return w, p
}

func startTask(t *testing.T, c *worker.Client, address string, id fleet.TaskID, h input.Header) {
	t.Helper()
	r := worker.Reservation{Task: id, Team: "t", Pool: "p", Slots: 1, TTL: longTimeout}
	if err := c.Reserve(t.Context(), address, r); err != nil {
		t.Fatal(err)
	}
	if err := c.Start(t.Context(), address,
		worker.Start{Task: id, Lease: longTimeout, Input: input.Encode(h, nil)}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a client that keeps using connections that accept requests but never carry a reply.
func TestSilentConnections(t *testing.T) {
	_, p := serve(t, 0)
	w := p.Address()
	setup := worker.NewClient(rest.WithTimeout(longTimeout))
	startTask(t, setup, w, "a.1", input.Header{Size: 1 << 20})
	startTask(t, setup, w, "b.1", input.Header{Run: longTimeout.Milliseconds()})
	if _, err := setup.Await(t.Context(), w, "a.1", longTimeout); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		call func(context.Context, *worker.Client) error
		want error
	}{
		{"result uses a second connection", func(ctx context.Context, c *worker.Client) error {
			b, err := c.Result(ctx, w, "a.1")
			if err == nil && len(b) != 1<<20 {
				err = fmt.Errorf("%d bytes", len(b))
			}
			return err
		}, nil},
		{"renewal never meets a silent connection", func(ctx context.Context, c *worker.Client) error {
			_, err := c.Renew(ctx, w, longTimeout, []fleet.TaskID{"b.1"})
			return err
		}, nil},
		{"a start may have taken effect", func(ctx context.Context, c *worker.Client) error {
			return c.Start(ctx, w, worker.Start{Task: "b.1"})
		}, worker.ErrNoReply},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := worker.NewClient()
			if _, err := client.Report(t.Context(), w); err != nil {
				t.Fatal(err)
			}
			p.Silence()
			if err := c.call(t.Context(), client); !errors.Is(err, c.want) {
				t.Fatalf("error %v, want %v", err, c.want)
			}
			if c.want == nil {
				return
			}
			if _, err := client.Report(t.Context(), w); err != nil {
				t.Fatalf("call after a timeout: %v", err)
			}
		})
	}
}

// connCounter counts a client's open connections. The worker's count is not exact, because it notices late that a
// connection was closed.
type connCounter struct {
	open, peak atomic.Int64
}

func (o *connCounter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	for n, peak := o.open.Add(1), o.peak.Load(); n > peak && !o.peak.CompareAndSwap(peak, n); peak = o.peak.Load() {
	}
	return &countedConn{Conn: c, closed: sync.OnceFunc(func() { o.open.Add(-1) })}, nil
}

type countedConn struct {
	net.Conn
	closed func()
}

func (c *countedConn) Close() error {
	defer c.closed()
	return c.Conn.Close()
}

// Guards against an entry instance that opens more than its share of a worker's connections, and against short calls
// that wait for long polls.
func TestConnectionsAreBounded(t *testing.T) {
	const tasks = 3 * worker.DefaultConnections
	w, p := serve(t, tasks)
	var conns connCounter
	c := worker.NewClient(rest.WithTimeout(longTimeout), rest.WithDial(conns.dial))
	for i := range tasks {
		startTask(t, c, p.Address(), fleet.TaskID(fmt.Sprintf("a%d.1", i)), input.Header{Run: longTimeout.Milliseconds()})
	}
	var g sync.WaitGroup
	for i := range tasks {
		g.Go(func() {
			s, err := c.Await(t.Context(), p.Address(), fleet.TaskID(fmt.Sprintf("a%d.1", i)), longTimeout)
			if err != nil || s.State != worker.Stopped {
				t.Errorf("await: state %s, error %v", s.State, err)
			}
		})
	}
	for i := range tasks {
		if _, err := c.Renew(t.Context(), p.Address(), longTimeout, nil); err != nil {
			t.Error(err)
		}
		if _, err := c.Stop(t.Context(), p.Address(), fleet.TaskID(fmt.Sprintf("a%d.1", i)), false); err != nil {
			t.Error(err)
		}
	}
	g.Wait()
	if n := conns.peak.Load(); n > worker.DefaultConnections {
		t.Errorf("%d simultaneous connections, want at most %d (the worker counted %d)", n, worker.DefaultConnections,
			p.Peak())
	}
	if r := w.Report(); r.Used != 0 {
		t.Errorf("%d slots used after every task was stopped", r.Used)
	}
}

// closedPort refuses connections: the system never assigns a port below 1024 to a listener on an arbitrary port.
const closedPort = "127.0.0.1:1"

// Guards against a truncated or wrong result that is accepted, and against a failure after sending that is reported as
// if the request had no effect.
func TestReplies(t *testing.T) {
	whole := []byte("answer")
	for _, c := range []struct {
		name string
		h    http.HandlerFunc
		want error
	}{
		{"whole", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(rest.DigestHeader, rest.Digest(whole))
			_, _ = w.Write(whole)
		}, nil},
		{"another answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(rest.DigestHeader, rest.Digest([]byte("other")))
			_, _ = w.Write(whole)
		}, worker.ErrDamaged},
		{"no digest", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(whole) }, worker.ErrDamaged},
		{"cut off", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write(whole)
		}, worker.ErrNoReply},
		{"broken off", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, worker.ErrNoReply},
		{"intermediary", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusBadGateway)
		}, worker.ErrNoReply},
		{"unknown", func(w http.ResponseWriter, _ *http.Request) {
			rest.WriteProblem(w, rest.Problem{Status: http.StatusNotFound, Code: worker.CodeUnknown})
		}, worker.ErrUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, err := port.Listen("127.0.0.1:0", 0, c.h)
			if err != nil {
				t.Fatal(err)
			}
			defer p.Refuse()
			_, err = worker.NewClient(rest.WithTimeout(longTimeout)).Result(t.Context(), p.Address(), "a.1")
			if !errors.Is(err, c.want) {
				t.Fatalf("error %v, want %v", err, c.want)
			}
		})
	}
	err := worker.NewClient(rest.WithTimeout(longTimeout)).Start(t.Context(), closedPort, worker.Start{Task: "a.1"})
	if !errors.Is(err, worker.ErrRefused) {
		t.Fatalf("error %v, want %v", err, worker.ErrRefused)
	}
}
