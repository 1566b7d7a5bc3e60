package matrix

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
)

// message is one request of an entry instance, or one that it receives from a caller.
type message struct {
	entry *Entry
	// step names the receiver and the operation, such as "worker.start" or "table.commit.grant".
	step string
	// host is the worker, service or entry instance that receives the message; it is callerHost for a caller's message.
	host   string
	target bool // whether it concerns the task of the row's own request
}

// transport is the http.RoundTripper of an entry instance for the store, the roster and the workers.
type transport struct{ entry *Entry }

// RoundTrip sends a request under the faults of the cell.
func (l *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	cl, e := l.entry.cluster, l.entry
	if err := e.process.awaitRunning(); err != nil {
		return nil, err
	}
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	m := cl.messageOf(e, r, body)
	if cl.isCut(e.name) && !cl.isWorker(m.host) {
		return nil, connectionRefused()
	}
	if t := httptrace.ContextClientTrace(r.Context()); t != nil && t.GotConn != nil {
		t.GotConn(httptrace.GotConnInfo{})
	}
	if cl.isSilent(e.name, m.host) && m.step != "worker.renew" {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	res, err := exchange(r.Context(), cl, m, func(ctx context.Context) (*http.Response, error) {
		time.Sleep(cl.latency(e.name, m.host+m.step))
		c := r.Clone(ctx)
		c.Body = io.NopCloser(bytes.NewReader(body))
		return cl.net.RoundTrip(c)
	})
	if ended := e.process.awaitRunning(); ended != nil {
		return nil, ended
	}
	return res, err
}

// CloseIdleConnections closes the unresponsive connections; the platform's adapter calls it after a timeout.
func (l *transport) CloseIdleConnections() { l.entry.cluster.clearSilent(l.entry.name) }

func readBody(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	defer func() { _ = r.Body.Close() }()
	return io.ReadAll(r.Body)
}

// messageOf describes an HTTP request of an entry instance.
func (cl *Cluster) messageOf(e *Entry, r *http.Request, body []byte) message {
	m := message{entry: e, host: r.URL.Host}
	path := strings.TrimPrefix(r.URL.Path, "/v1/")
	switch m.host {
	case "table":
		m.step = "table." + strings.TrimPrefix(path, "table/")
		if r.URL.Path == table.PathCommit && cl.hasTrigger() {
			m.step += "." + commitKind(body)
		}
	case "object":
		m.step = "object." + strings.ToLower(r.Method)
	case "roster":
		m.step = "roster.list"
		if r.Method == http.MethodPost {
			m.step = "roster.reboot"
		}
	default:
		m.step = "worker." + workerStep(r, path)
		m.target = cl.isTarget(r, body)
	}
	return m
}

func workerStep(r *http.Request, path string) string {
	switch {
	case !strings.HasPrefix(path, "tasks/"):
		return path
	case r.Method == http.MethodGet && !strings.HasSuffix(path, "/result"):
		return "await"
	}
	return path[strings.LastIndexByte(path, '/')+1:]
}

// commitKind returns the kind of the first record of a known kind that a transaction writes, "" if there is none.
func commitKind(body []byte) string {
	var t table.Transaction
	if json.Unmarshal(body, &t) != nil {
		return ""
	}
	for _, x := range t.Writes {
		for _, kind := range []string{"grant/", "task/", "view/member/", "view/section/", "view/pool/"} {
			if strings.HasPrefix(x.Key, kind) {
				return strings.TrimPrefix(strings.TrimSuffix(kind, "/"), "view/")
			}
		}
	}
	return ""
}

// isTarget records the task ids that are reserved for the row's own request, and reports whether a call concerns one of
// them.
func (cl *Cluster) isTarget(r *http.Request, body []byte) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if r.URL.Path == worker.PathReserve {
		var q worker.Reservation
		if json.Unmarshal(body, &q) == nil && q.Queue == targetQueue {
			cl.targetTasks = append(cl.targetTasks, string(q.Task))
		}
	}
	for _, id := range cl.targetTasks {
		if strings.Contains(r.URL.Path, id) || bytes.Contains(body, []byte(id)) {
			return true
		}
	}
	return false
}

const (
	// lateBreakDelay is the time until the sender of a late message loses its connection.
	lateBreakDelay = 50 * time.Millisecond
	// lateDelay is the time until a late message arrives. It is shorter than a reservation of 1 s, so that a late start
	// is not refused because its reservation has expired.
	lateDelay = 600 * time.Millisecond
	// callerReadTimeout is how long a caller waits on an unresponsive connection.
	callerReadTimeout = 3 * time.Second
	// yieldDuration is long enough for racing operators to base their changes on the same revision and commit first.
	yieldDuration = 10 * time.Millisecond
	// duplicateDelay separates the two copies of a duplicated message.
	duplicateDelay = 30 * time.Millisecond
	// overtakeTimeout bounds how long a reordered message waits for a later one that overtakes it.
	overtakeTimeout = 800 * time.Millisecond
)

// callerHost is the host of messages that are exchanged with callers and operators.
const callerHost = "caller"

// delivery is how one message is delivered.
type delivery int

const (
	deliver         delivery = iota
	holdWhileFrozen          // send after the sender is resumed
	yield                    // send after the messages of others that were caused at the same time
	delayAndBreak            // break the connection first and let the message arrive later
	duplicate                // send twice
	reorder                  // send after a later message
	breakReply               // send, and break the connection before the reply
	silenceReply             // send, and never reply
)

// exchange sends a message, with the cell's fault if the trigger matches it.
func exchange[R any](ctx context.Context, cl *Cluster, m message, send func(context.Context) (R, error)) (R, error) {
	var none R
	detached := context.WithoutCancel(ctx)
	switch cl.intercept(m) {
	case holdWhileFrozen:
		if err := m.entry.process.awaitRunning(); err != nil {
			return none, err
		}
		// The message was on its way to the network when the freeze began, so it is sent even if its sender no longer
		// waits for the reply.
		r, err := send(detached)
		if ctx.Err() != nil {
			return none, ctx.Err()
		}
		return r, err
	case yield:
		time.Sleep(yieldDuration)
	case delayAndBreak:
		time.AfterFunc(lateDelay, func() { _, _ = send(detached) })
		time.Sleep(lateBreakDelay)
		return none, connectionReset()
	case duplicate:
		time.AfterFunc(duplicateDelay, func() { _, _ = send(detached) })
	case reorder:
		cl.awaitOvertaking(m)
		r, err := send(detached)
		if ctx.Err() != nil {
			return none, ctx.Err()
		}
		return r, err
	case breakReply:
		_, _ = send(detached)
		return none, connectionReset()
	case silenceReply:
		_, _ = send(detached)
		if m.host == callerHost {
			time.Sleep(callerReadTimeout)
			return none, connectionReset()
		}
		<-ctx.Done()
		return none, ctx.Err()
	}
	defer cl.releaseReordered(m)
	return send(ctx)
}
