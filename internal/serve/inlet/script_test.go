package inlet

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/reject"
)

// bodyLimit is the largest legal body of the scripts.
const bodyLimit = 200000

// caller is a caller's connection in a script.
type caller struct {
	name   string
	writes chan []byte
	// reads is closed when the caller begins to read.
	reads chan struct{}

	mu     sync.Mutex
	events []string
}

func (c *caller) note(event string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, event)
}

// script runs callers against an HTTP server behind an inlet.
type script struct {
	t       *testing.T
	inlet   *Inlet
	accept  chan net.Conn
	server  *http.Server
	callers map[string]*caller
	answers map[string]chan struct{}
	names   []string
}

// Accept, Close and Addr implement net.Listener.
func (s *script) Accept() (net.Conn, error) {
	c, ok := <-s.accept
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener.
func (s *script) Close() error { return nil }

// Addr implements net.Listener.
func (s *script) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against callers that hold connections or memory without end, and against closing those whose requests have been
// received; the head of each script says which failure it covers.
func TestScripts(t *testing.T) {
	// The first meter of a process starts a goroutine that never ends, which must not belong to the bubble.
	metrics.NewTimer().Stop()
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &script{t: t, accept: make(chan net.Conn), callers: map[string]*caller{}, answers: map[string]chan struct{}{}}
			datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
				out := s.run(d)
				synctest.Wait()
				return out
			})
			s.end()
		})
	})
}

// run executes one command: "limits" starts the server, "open" opens connections, "mute" one
// whose caller does not read until "read", "post" sends the header of a submission
// with a body of a length, "chunked" one of unknown length, "body" sends bytes of it, "last" ends a chunked body, "header"
// sends that many bytes of a header without its end, "get"
// sends a request without one, "answer" lets its handler respond, "hang" closes a connection; "state" prints what the
// callers have seen and what the inlet holds.
func (s *script) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "limits":
		var connections int
		var bodies int64
		d.ScanArgs(s.t, "connections", &connections)
		d.ScanArgs(s.t, "bodies", &bodies)
		headers := int64(1 << 20)
		d.MaybeScanArgs(s.t, "headers", &headers)
		s.start(Limits{Connections: connections, Headers: headers, Bodies: bodies})
	case "open":
		for _, a := range d.CmdArgs {
			s.open(a.Key, true)
			synctest.Wait()
		}
	case "mute":
		s.open(d.CmdArgs[0].Key, false)
	case "read":
		close(s.callers[d.CmdArgs[0].Key].reads)
	case "post":
		name := d.CmdArgs[0].Key
		s.send(name, "POST /"+name+" HTTP/1.1\r\nHost: h\r\nContent-Length: "+d.CmdArgs[1].Key+"\r\n\r\n")
	case "chunked":
		name := d.CmdArgs[0].Key
		s.send(name, "POST /"+name+" HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	case "body":
		n, err := strconv.Atoi(d.CmdArgs[1].Key)
		if err != nil {
			s.t.Fatal(err)
		}
		text := strings.Repeat("x", n)
		if d.HasArg("chunk") {
			text = fmt.Sprintf("%x\r\n%s\r\n", n, text)
		}
		s.send(d.CmdArgs[0].Key, text)
	case "header":
		n, err := strconv.Atoi(d.CmdArgs[1].Key)
		if err != nil {
			s.t.Fatal(err)
		}
		name := d.CmdArgs[0].Key
		s.send(name, "GET /"+name+" HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", n))
	case "last":
		s.send(d.CmdArgs[0].Key, "0\r\n\r\n")
	case "get":
		name := d.CmdArgs[0].Key
		s.send(name, "GET /"+name+" HTTP/1.1\r\nHost: h\r\n\r\n")
	case "answer":
		close(s.answers["/"+d.CmdArgs[0].Key])
		s.answers["/"+d.CmdArgs[0].Key] = make(chan struct{})
	case "hang":
		close(s.callers[d.CmdArgs[0].Key].writes)
	case "wait":
		pause, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			s.t.Fatal(err)
		}
		time.Sleep(pause)
	case "state":
		return s.state()
	default:
		s.t.Fatalf("unknown command %q", d.Cmd)
	}
	return ""
}

func (s *script) start(l Limits) {
	s.inlet = New(l, metrics.NewRegistry(), zap.NewNop())
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadTimeout: 8 * time.Second}
	go func() { _ = s.inlet.Serve(s.server, s.inlet.Wrap(s)) }()
}

// serve reads the body of a submission and responds to any request when the script says so.
func (s *script) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		body, err := s.inlet.ReadBody(w, r, bodyLimit)
		defer body.Release()
		if rejection := (*reject.Error)(nil); errors.As(err, &rejection) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(rejection.Status())
			return
		}
		if n := len(body.Bytes()); n != body.size {
			s.t.Errorf("%d bytes of %d", n, body.size)
		}
	}
	<-s.answers[r.URL.Path]
	w.WriteHeader(http.StatusOK)
}

func (s *script) open(name string, reads bool) {
	ours, theirs := net.Pipe()
	c := &caller{name: name, writes: make(chan []byte, 100), reads: make(chan struct{})}
	if reads {
		close(c.reads)
	}
	s.callers[name], s.answers["/"+name] = c, make(chan struct{})
	s.names = append(s.names, name)
	go func() {
		for b := range c.writes {
			// The server may have closed the connection.
			_, _ = ours.Write(b)
		}
		_ = ours.Close()
	}()
	go func() {
		<-c.reads
		from := bufio.NewReader(ours)
		for {
			response, err := http.ReadResponse(from, nil)
			if err != nil {
				c.note("closed")
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			c.note(strconv.Itoa(response.StatusCode))
		}
	}()
	s.accept <- theirs
}

func (s *script) send(name, text string) { s.callers[name].writes <- []byte(text) }

func (s *script) state() string {
	var b strings.Builder
	for _, name := range s.names {
		c := s.callers[name]
		c.mu.Lock()
		seen := strings.Join(c.events, " ")
		c.mu.Unlock()
		if seen == "" {
			seen = "open"
		}
		fmt.Fprintf(&b, "%s: %s\n", name, seen)
	}
	fmt.Fprintf(&b, "%d open, %d bytes\n", s.inlet.open(), s.inlet.reserved())
	return b.String()
}

// end closes all connections and checks that nothing is held any more.
func (s *script) end() {
	for _, x := range s.answers {
		close(x)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	close(s.accept)
	_ = s.server.Shutdown(ctx)
	_ = s.server.Close()
	for _, c := range s.callers {
		select {
		case <-c.reads:
		default:
			close(c.reads)
		}
		func() {
			// The script may have closed it.
			defer func() { _ = recover() }()
			close(c.writes)
		}()
	}
	time.Sleep(time.Minute)
	synctest.Wait()
	if n, bodies := s.inlet.open(), s.inlet.reserved(); n != 0 || bodies != 0 {
		s.t.Errorf("%d connections and %d bytes are left", n, bodies)
	}
}
