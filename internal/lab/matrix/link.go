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
	// host is the worker, service or entry instance that receives the message.
	host   string
	target bool // it concerns the task of the row's own request
}

// link carries an entry instance's HTTP calls to the store, the roster and the workers. It implements http.RoundTripper.
type link struct{ entry *Entry }

// RoundTrip carries a call out with the faults of the cell.
func (l *link) RoundTrip(r *http.Request) (*http.Response, error) {
	w, e := l.entry.world, l.entry
	if err := e.gate.pass(); err != nil {
		return nil, err
	}
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	m := w.name(e, r, body)
	if w.isCut(e.name) && !w.isWorker(m.host) {
		return nil, refused()
	}
	if t := httptrace.ContextClientTrace(r.Context()); t != nil && t.GotConn != nil {
		t.GotConn(httptrace.GotConnInfo{})
	}
	if w.isSilent(e.name, m.host) && m.step != "worker.renew" {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	res, err := exchange(r.Context(), w, m, func(ctx context.Context) (*http.Response, error) {
		time.Sleep(w.latency(e.name, m.host+m.step))
		c := r.Clone(ctx)
		c.Body = io.NopCloser(bytes.NewReader(body))
		return w.net.RoundTrip(c)
	})
	if gone := e.gate.pass(); gone != nil {
		return nil, gone
	}
	return res, err
}

// CloseIdleConnections ends the use of connections that went silent; the adapter calls it after a timeout.
func (l *link) CloseIdleConnections() { l.entry.world.unsilence(l.entry.name) }

func readBody(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	defer func() { _ = r.Body.Close() }()
	return io.ReadAll(r.Body)
}

// name returns the message of a call.
func (w *Cluster) name(e *Entry, r *http.Request, body []byte) message {
	m := message{entry: e, host: r.URL.Host}
	path := strings.TrimPrefix(r.URL.Path, "/v1/")
	switch m.host {
	case "table":
		m.step = "table." + strings.TrimPrefix(path, "table/")
		if r.URL.Path == table.PathCommit && w.isArmed() {
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
		m.target = w.isTarget(r, body)
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

// commitKind returns what a transaction writes.
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

// isTarget notes the task ids reserved for the row's own request and reports whether a call concerns one.
func (w *Cluster) isTarget(r *http.Request, body []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.URL.Path == worker.PathReserve {
		var q worker.Reservation
		if json.Unmarshal(body, &q) == nil && q.Queue == targetQueue {
			w.targets = append(w.targets, string(q.Task))
		}
	}
	for _, id := range w.targets {
		if strings.Contains(r.URL.Path, id) || bytes.Contains(body, []byte(id)) {
			return true
		}
	}
	return false
}

const (
	// brokenAfter is when the sender of a late message loses its connection; lateBy when the message arrives. It is
	// within the life of a reservation, so that a late start is not refused for that reason.
	brokenAfter = 50 * time.Millisecond
	lateBy      = 600 * time.Millisecond
	// callerPatience is how long a caller waits on a silent connection.
	callerPatience = 3 * time.Second
	// yieldFor lets racing operators base their changes on the same revision and commit first.
	yieldFor = 10 * time.Millisecond
	// doubledBy separates the copies of a doubled message.
	doubledBy = 30 * time.Millisecond
	// overtakenBy bounds the wait of a reordered message for a later one that overtakes it.
	overtakenBy = 800 * time.Millisecond
)

// callerHost stands for callers and operators as the other end of a message.
const callerHost = "caller"

// treatment is what becomes of one message.
type treatment int

const (
	deliver treatment = iota
	hold              // until the end of the sender's freeze
	yield             // to the messages of others that were caused at the same time
	late
	double
	reorder
	breakReply
	silenceReply
)

// exchange delivers a message under the treatment that the cell has for it.
func exchange[R any](ctx context.Context, w *Cluster, m message, send func(context.Context) (R, error)) (R, error) {
	var none R
	lasting := context.WithoutCancel(ctx)
	switch w.spring(m) {
	case hold:
		if err := m.entry.gate.pass(); err != nil {
			return none, err
		}
		// The message was on its way to the network when the freeze began, so it leaves even if its sender no
		// longer waits.
		r, err := send(lasting)
		if ctx.Err() != nil {
			return none, ctx.Err()
		}
		return r, err
	case yield:
		time.Sleep(yieldFor)
	case late:
		time.AfterFunc(lateBy, func() { _, _ = send(lasting) })
		time.Sleep(brokenAfter)
		return none, broken()
	case double:
		time.AfterFunc(doubledBy, func() { _, _ = send(lasting) })
	case reorder:
		w.awaitOvertaking(m)
		r, err := send(lasting)
		if ctx.Err() != nil {
			return none, ctx.Err()
		}
		return r, err
	case breakReply:
		_, _ = send(lasting)
		return none, broken()
	case silenceReply:
		_, _ = send(lasting)
		if m.host == callerHost {
			time.Sleep(callerPatience)
			return none, broken()
		}
		<-ctx.Done()
		return none, ctx.Err()
	}
	defer w.overtake(m)
	return send(ctx)
}
