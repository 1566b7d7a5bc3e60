package inlet

import (
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Guards against callers that hold memory without end before their connections have been accepted, since bytes that have
// arrived count from then on: while the process is busy or suspended no more connections may wait than callers may hold.
func TestQueueIsBounded(t *testing.T) {
	const places, callers = 16, 64
	i := New(Limits{Connections: places, Headers: 1 << 20, Bodies: 1 << 20}, metrics.NewRegistry(), zap.NewNop())
	l, err := i.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	waiting := 0
	for range callers {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
		if err != nil {
			break
		}
		defer func() { _ = c.Close() }()
		waiting++
	}
	// The kernel adds one to the length of the queue.
	if waiting > places+1 {
		t.Errorf("%d connections wait to be accepted, callers may hold %d", waiting, places)
	}
}
