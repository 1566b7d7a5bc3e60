package inlet

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Load pattern: more callers than there are places for connect while the process is busy or suspended; all have sent their
// requests whole when it goes on. Guards against closing connections before anything has been read from them: each caller
// gets a response, be it a refusal.
func TestBurstGetsResponses(t *testing.T) {
	const places, callers = 16, 64
	// An instance has one core, on which the loop that accepts connections runs ahead of those that serve them.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	i := New(Limits{Connections: places, Headers: 1 << 20, Bodies: 1 << 20}, metrics.NewRegistry(), zap.NewNop())
	// The queue of this listener holds them all.
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := i.Wrap(inner)
	var open []net.Conn
	for range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = i.Serve(s, l) }()
	defer func() { _ = s.Close() }()
	answered := 0
	for _, c := range open {
		if res, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			_ = res.Body.Close()
			answered++
		}
	}
	if answered != callers {
		t.Errorf("%d of %d callers got a response", answered, callers)
	}
}
