// Package inlet bounds what callers that the system does not control can make a process hold: connections, bytes that are
// received and not read yet, and request bodies.
//
// A connection that waits for its caller (for a request, the rest of a header or of a body) is closed when another one needs
// its place, the longest waiting first: an ordinary request arrives within milliseconds. One whose request has been received is
// never closed. Closing says nothing of the request, which has not run.
package inlet

import (
	"container/list"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// logInterval is the least time between two lines of the log about closed connections.
const logInterval = time.Second

// Inlet holds the connections of callers and the memory for their requests. It is safe for concurrent use.
type Inlet struct {
	limits Limits
	log    *zap.Logger
	// closed, refused and rejected count the connections closed in favour of another one, those refused at once, and the
	// requests rejected because there was no memory for their bodies.
	closed, refused, rejected metrics.Counter

	mu sync.Mutex
	// connections are the open ones.
	connections map[*connection]struct{}
	// waiting are those that wait for their caller, uploads the incomplete bodies in memory, the longest first.
	waiting, uploads *list.List
	// bodies are the reserved bytes of request bodies, doomed those of them whose connections have been closed.
	bodies, doomed int64
	// changed is signalled when bytes of bodies are released and when a connection is closed in favour of another one.
	changed  *sync.Cond
	loggedAt time.Time
	// loggedClosed and loggedRefused are the counts at the last line of the log.
	loggedClosed, loggedRefused int64
}

// New returns an inlet without connections.
func New(l Limits, r metrics.Registry, log *zap.Logger) *Inlet {
	i := &Inlet{limits: l, log: log, connections: map[*connection]struct{}{}, waiting: list.New(), uploads: list.New(),
		closed:   metrics.GetOrRegisterCounter("caller_connections_closed", r),
		refused:  metrics.GetOrRegisterCounter("caller_connections_refused", r),
		rejected: metrics.GetOrRegisterCounter("caller_bodies_rejected", r)}
	i.changed = sync.NewCond(&i.mu)
	r.GetOrRegister("caller_connections", metrics.NewFunctionalGauge(i.open))
	r.GetOrRegister("caller_body_bytes", metrics.NewFunctionalGauge(i.reserved))
	log.Info("inlet: limits of callers' connections", zap.Int("connections", l.Connections), zap.Int64("bodies", l.Bodies))
	return i
}

func (i *Inlet) open() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return int64(len(i.connections))
}

func (i *Inlet) reserved() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.bodies
}

// admit takes a new connection in. If the limit is reached it closes the one that has waited longest, or returns false if
// none waits.
func (i *Inlet) admit(c *connection) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.connections) >= i.limits.Connections {
		first := i.waiting.Front()
		if first == nil {
			i.refused.Inc(1)
			i.report()
			return false
		}
		i.evict(first.Value.(*connection))
	}
	i.connections[c] = struct{}{}
	c.place = i.waiting.PushBack(c)
	return true
}

// evict closes a connection in favour of another one; i.mu must be held.
func (i *Inlet) evict(c *connection) {
	i.remove(c)
	// The descriptor is free at once; the goroutine that serves the connection sees the end of it and releases the body.
	_ = c.Conn.Close()
	i.closed.Inc(1)
	i.report()
	i.changed.Broadcast()
}

// remove takes a connection out of all lists; i.mu must be held.
func (i *Inlet) remove(c *connection) {
	delete(i.connections, c)
	if b := c.body; b != nil && !c.gone {
		i.doomed += b.reserved
	}
	c.gone = true
	i.stopWaiting(c)
}

// stopWaiting takes a connection out of the lists of those that wait; i.mu must be held.
func (i *Inlet) stopWaiting(c *connection) {
	if c.place != nil {
		i.waiting.Remove(c.place)
		c.place = nil
	}
	if c.upload != nil {
		i.uploads.Remove(c.upload)
		c.upload = nil
	}
}

// wait records that a connection waits for its caller from now on.
func (i *Inlet) wait(c *connection) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !c.gone && c.place == nil {
		c.place = i.waiting.PushBack(c)
	}
}

// serve records that a connection does not wait for its caller any more.
func (i *Inlet) serve(c *connection) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopWaiting(c)
}

// report logs what was closed and refused since the last line, once per logInterval; i.mu must be held.
func (i *Inlet) report() {
	now := time.Now()
	if now.Sub(i.loggedAt) < logInterval {
		return
	}
	closed, refused := i.closed.Count(), i.refused.Count()
	i.log.Warn("inlet: closing connections, callers hold too many or too much",
		zap.Int64("closed", closed-i.loggedClosed), zap.Int64("refused", refused-i.loggedRefused),
		zap.Int("open", len(i.connections)), zap.Int("waiting", i.waiting.Len()), zap.Int("uploads", i.uploads.Len()),
		zap.Int64("bodies", i.bodies))
	i.loggedAt, i.loggedClosed, i.loggedRefused = now, closed, refused
}
