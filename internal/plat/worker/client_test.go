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

// patient is a timeout that a busy machine does not reach.
const patient = time.Minute

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

func begin(t *testing.T, c *worker.Client, address string, id fleet.TaskID, h input.Header) {
	t.Helper()
	r := worker.Reservation{Task: id, Team: "t", Pool: "p", Slots: 1, TTL: patient}
	if err := c.Reserve(t.Context(), address, r); err != nil {
		t.Fatal(err)
	}
	if err := c.Start(t.Context(), address, worker.Start{Task: id, Lease: patient, Input: input.Encode(h, nil)}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a client that goes on using connections that went silent for good.
func TestSilentConnections(t *testing.T) {
	_, p := serve(t, 0)
	w := p.Address()
	setup := worker.NewClient(rest.WithTimeout(patient))
	begin(t, setup, w, "a.1", input.Header{Size: 1 << 20})
	begin(t, setup, w, "b.1", input.Header{Run: patient.Milliseconds()})
	if _, err := setup.Await(t.Context(), w, "a.1", patient); err != nil {
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
			_, err := c.Renew(ctx, w, patient, []fleet.TaskID{"b.1"})
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
				t.Fatalf("next call after a timeout: %v", err)
			}
		})
	}
}

// openConns counts the connections that a client holds open. The worker can't: it notices a closed connection late.
type openConns struct {
	now, peak atomic.Int64
}

func (o *openConns) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	for n, peak := o.now.Add(1), o.peak.Load(); n > peak && !o.peak.CompareAndSwap(peak, n); peak = o.peak.Load() {
	}
	return &countedConn{Conn: c, closed: sync.OnceFunc(func() { o.now.Add(-1) })}, nil
}

type countedConn struct {
	net.Conn
	closed func()
}

func (c *countedConn) Close() error {
	defer c.closed()
	return c.Conn.Close()
}

// Guards against one entry instance taking more than its part of a worker's connections, and against short calls
// that wait behind long polls.
func TestConnectionsAreBounded(t *testing.T) {
	const tasks = 3 * worker.DefaultConnections
	w, p := serve(t, tasks)
	var open openConns
	c := worker.NewClient(rest.WithTimeout(patient), rest.WithDial(open.dial))
	for i := range tasks {
		begin(t, c, p.Address(), fleet.TaskID(fmt.Sprintf("a%d.1", i)), input.Header{Run: patient.Milliseconds()})
	}
	var g sync.WaitGroup
	for i := range tasks {
		g.Go(func() {
			s, err := c.Await(t.Context(), p.Address(), fleet.TaskID(fmt.Sprintf("a%d.1", i)), patient)
			if err != nil || s.State != worker.Stopped {
				t.Errorf("await: state %s, error %v", s.State, err)
			}
		})
	}
	for i := range tasks {
		if _, err := c.Renew(t.Context(), p.Address(), patient, nil); err != nil {
			t.Error(err)
		}
		if _, err := c.Stop(t.Context(), p.Address(), fleet.TaskID(fmt.Sprintf("a%d.1", i)), false); err != nil {
			t.Error(err)
		}
	}
	g.Wait()
	if n := open.peak.Load(); n > worker.DefaultConnections {
		t.Errorf("%d connections at once, want at most %d (the worker saw %d)", n, worker.DefaultConnections, p.Peak())
	}
	if r := w.Report(); r.Used != 0 {
		t.Errorf("%d slots used after every task was stopped", r.Used)
	}
}

// closedPort refuses connections: the system never gives a port below 1024 to a listener that asks for any.
const closedPort = "127.0.0.1:1"

// Guards against an answer that is not whole, and against a refusal after sending that reads as nothing happened.
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
		{"intermediary", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, worker.ErrNoReply},
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
			_, err = worker.NewClient(rest.WithTimeout(patient)).Result(t.Context(), p.Address(), "a.1")
			if !errors.Is(err, c.want) {
				t.Fatalf("error %v, want %v", err, c.want)
			}
		})
	}
	err := worker.NewClient(rest.WithTimeout(patient)).Start(t.Context(), closedPort, worker.Start{Task: "a.1"})
	if !errors.Is(err, worker.ErrRefused) {
		t.Fatalf("error %v, want %v", err, worker.ErrRefused)
	}
}
