package inlet

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// lateReader returns the end of a body after the connection of the request has been closed in favour of another one.
type lateReader struct{ evict func() }

// Read implements io.Reader.
func (l lateReader) Read([]byte) (int, error) {
	l.evict()
	return 0, io.EOF
}

// Guards against running work whose connection has been closed in favour of another one: what is closed has not run.
func TestClosedConnectionsHaveNotRun(t *testing.T) {
	i := New(Limits{Connections: 1, Headers: 1 << 20, Bodies: 1 << 20}, metrics.NewRegistry(), zap.NewNop())
	open := func() *connection {
		c, _ := net.Pipe()
		x := &connection{Conn: c, inlet: i}
		if !i.admit(x) {
			t.Fatal("no place")
		}
		return x
	}
	q := httptest.NewRequest(http.MethodPost, "/", lateReader{func() { open() }})
	q = q.WithContext(withConnection(context.Background(), open()))
	body, err := i.ReadBody(httptest.NewRecorder(), q, bodyLimit)
	body.Release()
	if err == nil {
		t.Error("a body is handed on whose connection has been closed")
	}
}
