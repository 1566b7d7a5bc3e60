package worker_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/rest"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
)

// cannedReply is a transport that answers every request with the same status, digest and body.
type cannedReply struct {
	status int
	digest string
	body   []byte
}

// RoundTrip implements http.RoundTripper.
func (s cannedReply) RoundTrip(q *http.Request) (*http.Response, error) {
	if q.Body != nil {
		_ = q.Body.Close()
	}
	h := http.Header{}
	h.Set(rest.DigestHeader, s.digest)
	return &http.Response{StatusCode: s.status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: h, Request: q,
		ContentLength: int64(len(s.body)), Body: io.NopCloser(bytes.NewReader(s.body))}, nil
}

// Guards against replies of workers or the table service, and task ids, that crash an adapter, and against results that
// are accepted with a wrong digest.
func FuzzReplies(f *testing.F) {
	f.Add(uint16(200), rest.Digest([]byte("x")), []byte("x"), "t.1")
	f.Add(uint16(200), "", []byte(`{"task":"t.1","state":"done","length":-1}`), "../report")
	f.Add(uint16(409), "", []byte(`{"code":"fenced"}`), "")
	f.Add(uint16(200), "", []byte(`{"tasks":[null],"items":[{"key":"k"}]}`), "a/b?c#d%2e")
	f.Add(uint16(503), "sha-256=:=:", []byte(`[`), "\x00")
	f.Fuzz(func(t *testing.T, status uint16, digest string, body []byte, task string) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		// A transport never returns informational responses (1xx).
		via := rest.WithTransport(cannedReply{status: 200 + int(status%400), digest: digest, body: body})
		c, id := worker.NewClient(via), fleet.TaskID(task)
		if b, err := c.Result(ctx, "w", id); err == nil && rest.Digest(b) != digest {
			t.Errorf("result %q accepted with digest %q", b, digest)
		}
		_, _ = c.Await(ctx, "w", id, 0)
		_, _ = c.Renew(ctx, "w", time.Second, []fleet.TaskID{id})
		_, _ = c.Stop(ctx, "w", id, true)
		_, _ = c.Report(ctx, "w")
		_ = c.Reserve(ctx, "w", worker.Reservation{Task: id})
		_ = c.Start(ctx, "w", worker.Start{Task: id})
		s := table.NewClient("http://table", via)
		_, _ = s.Get(ctx, "k")
		_, _ = s.Commit(ctx, table.Transaction{})
	})
}

// pathRecorder is a transport that records the paths of requests.
type pathRecorder struct{ paths *[]string }

// RoundTrip implements http.RoundTripper.
func (w pathRecorder) RoundTrip(q *http.Request) (*http.Response, error) {
	*w.paths = append(*w.paths, q.URL.EscapedPath())
	return cannedReply{status: 404}.RoundTrip(q)
}

// Guards against a task id that changes which path of a worker is called.
func FuzzTaskIDs(f *testing.F) {
	for _, s := range []string{"01k.1", "../report", "a/b", "a?b", "%2f", "", ".."} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, task string) {
		var paths []string
		c := worker.NewClient(rest.WithTransport(pathRecorder{&paths}))
		_, _ = c.Result(t.Context(), "w", "x")
		_, _ = c.Result(t.Context(), "w", fleet.TaskID(task))
		if len(paths) == 2 && strings.Count(paths[0], "/") != strings.Count(paths[1], "/") {
			t.Errorf("id %q calls path %s, want one like %s", task, paths[1], paths[0])
		}
	})
}
