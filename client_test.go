package yuccahaven_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven"
)

// Guards against a retry that could run a non-idempotent job twice, and against giving up where a retry is safe.
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
				t.Fatalf("error %v after %d calls, want a refusal after %d", err, calls.Load(), c.calls)
			}
		})
	}
}

// Guards against taking a damaged answer for the whole one.
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
