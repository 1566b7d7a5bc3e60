package yuccahaven_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven"
)

// Guards against a retry that could run a non-idempotent job twice, and against a missing retry where it is safe.
func TestRetryOnlyWhereSafe(t *testing.T) {
	for _, c := range []struct {
		name  string
		job   yuccahaven.Job
		kind  yuccahaven.Kind
		work  yuccahaven.Work
		calls int64
	}{
		{"idempotent, work unknown", yuccahaven.Job{}, yuccahaven.KindLost, yuccahaven.WorkUnknown, 3},
		{"once without key, work unknown", yuccahaven.Job{Once: true}, yuccahaven.KindLost, yuccahaven.WorkUnknown, 1},
		{"once with key, work unknown", yuccahaven.Job{Once: true, Key: "k"}, yuccahaven.KindLost, yuccahaven.WorkUnknown, 3},
		{"once without key, not run", yuccahaven.Job{Once: true}, yuccahaven.KindFull, yuccahaven.WorkNotRun, 3},
		{"wrong key", yuccahaven.Job{}, yuccahaven.KindKey, yuccahaven.WorkNotRun, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var calls atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				calls.Add(1)
				w.Header().Set("Content-Type", "application/problem+json")
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = fmt.Fprintf(w, `{"kind":%q,"work":%q}`, c.kind, c.work)
			}))
			defer s.Close()
			client, err := yuccahaven.NewClient([]string{s.URL}, yuccahaven.WithTries(3), yuccahaven.WithPause(time.Nanosecond))
			if err != nil {
				t.Fatal(err)
			}
			c.job.Queue = "q"
			if _, err := client.Submit(context.Background(), c.job); err == nil || calls.Load() != c.calls {
				t.Fatalf("error %v after %d calls, want a rejection after %d", err, calls.Load(), c.calls)
			}
		})
	}
}

// Guards against a rejection with "not-run" although an earlier attempt may have run the work, and against retries by
// the transport itself when a connection breaks.
func TestNotRunAfterBrokenConnection(t *testing.T) {
	for _, c := range []struct {
		name  string
		tries int
		input []byte
		work  yuccahaven.Work
	}{
		{"rejected at once", 1, nil, yuccahaven.WorkNotRun},
		{"rejected after a broken connection", 2, nil, yuccahaven.WorkUnknown},
		{"the same with an input", 2, []byte("rope"), yuccahaven.WorkUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			var calls atomic.Int64
			breaks := int64(c.tries - 1)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				if q.Method == http.MethodGet {
					return
				}
				if calls.Add(1) <= breaks {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("Content-Type", "application/problem+json")
				w.WriteHeader(http.StatusUnauthorized)
				_, _ = w.Write([]byte(`{"kind":"key","work":"not-run"}`))
			}))
			defer s.Close()
			client, err := yuccahaven.NewClient([]string{s.URL}, yuccahaven.WithTries(c.tries), yuccahaven.WithPause(time.Nanosecond))
			if err != nil {
				t.Fatal(err)
			}
			// The transport retries a request only on a reused connection.
			_, _ = client.Poll(context.Background(), "t", 0)
			_, err = client.Submit(context.Background(), yuccahaven.Job{Queue: "q", Key: "k", Input: c.input})
			var e *yuccahaven.Error
			if !errors.As(err, &e) || e.Work != c.work || calls.Load() != int64(c.tries) {
				t.Fatalf("%v after %d calls, want work %s after %d", err, calls.Load(), c.work, c.tries)
			}
		})
	}
}

// Guards against accepting a damaged result.
func TestDamagedAnswer(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Repr-Digest", "sha-256=:AAAA:")
		_, _ = w.Write([]byte("half"))
	}))
	defer s.Close()
	client, err := yuccahaven.NewClient([]string{s.URL}, yuccahaven.WithTries(1))
	if err != nil {
		t.Fatal(err)
	}
	if r, err := client.Submit(context.Background(), yuccahaven.Job{Queue: "q"}); err == nil {
		t.Fatalf("accepted %q", r.Body)
	}
}
