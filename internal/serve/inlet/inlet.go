// Package inlet bounds what callers that the system does not control can make a process hold: connections, bytes that are
// received and not read yet, request headers and bodies.
//
// A connection that waits for its caller (for a request, the rest of a header or of a body) is closed when another one needs
// its place, the longest waiting first: an ordinary request arrives within milliseconds. One whose request has been received is
// never closed until its response has been sent. Closing says nothing of the request, which has not run.
package inlet

import (
	"container/list"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

const (
	// logInterval is the least time between two lines of the log about closed connections.
	logInterval = time.Second
	// leastWait is how long a connection may wait for its caller in any case. It covers the time in which this process does
	// not get to read what has arrived.
	leastWait = 100 * time.Millisecond
)

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
	// headers and bodies are the reserved bytes of request headers and bodies, doomed those of the bodies whose connections have
	// been closed.
	headers, bodies, doomed int64
	// changed is signalled when bytes of bodies are released, and when a connection is closed or begins or ends to wait.
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
	log.Info("inlet: limits of callers' connections", zap.Int("connections", l.Connections),
		zap.Int64("headers", l.Headers), zap.Int64("bodies", l.Bodies))
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
	for len(i.connections) >= i.limits.Connections {
		first := i.waiting.Front()
		if first == nil {
			i.refused.Inc(1)
			i.report()
			return false
		}
		if x := first.Value.(*connection); !i.letWait(x.since) {
			i.evict(x)
		}
	}
	i.connections[c] = struct{}{}
	i.push(c)
	return true
}

// letWait waits for a change if leastWait has not passed since a time, and reports whether it did; i.mu must be held.
func (i *Inlet) letWait(since time.Time) bool {
	left := leastWait - time.Since(since)
	if left <= 0 {
		return false
	}
	timer := time.AfterFunc(left, i.changed.Broadcast)
	defer timer.Stop()
	i.changed.Wait()
	return true
}

// push records that a connection waits for its caller from now on; i.mu must be held.
func (i *Inlet) push(c *connection) {
	c.since = time.Now()
	c.place = i.waiting.PushBack(c)
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
	i.setHeader(c, 0)
	i.stopWaiting(c)
}

// setHeader sets what the header of a connection's request takes; i.mu must be held.
func (i *Inlet) setHeader(c *connection, n int64) {
	i.headers += n - c.header
	c.header = n
}

// receiveHeader records that a number of bytes of a header have arrived. While there is too little memory for all headers it
// closes the connections that have waited longest for the end of theirs.
func (i *Inlet) receiveHeader(c *connection, n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if c.gone || !c.heading {
		return
	}
	i.setHeader(c, c.header+int64(n)*headerFactor)
	for e := i.waiting.Front(); e != nil && i.headers > i.limits.Headers; {
		x := e.Value.(*connection)
		e = e.Next()
		if x.heading && x.header > 0 {
			i.evict(x)
		}
	}
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
	i.changed.Broadcast()
}

// wait records that a connection waits for its caller from now on.
func (i *Inlet) wait(c *connection) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !c.gone && c.place == nil {
		i.push(c)
		i.changed.Broadcast()
	}
}

// serve records that a connection does not wait for its caller any more, and reports whether it is still open.
func (i *Inlet) serve(c *connection) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopWaiting(c)
	return !c.gone
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
		zap.Int64("headers", i.headers), zap.Int64("bodies", i.bodies))
	i.loggedAt, i.loggedClosed, i.loggedRefused = now, closed, refused
}
