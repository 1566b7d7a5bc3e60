package yuccahaven_test

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"

	"github.com/yuccahaven/yuccahaven"
)

// fakeService answers like an entry instance: it returns the input as the result, and rejects jobs of the queue "full".
func fakeService() *httptest.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/queues/full/tasks", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/problem+json")
		w.Header().Set("Retry-After", "60")
		w.WriteHeader(http.StatusTooManyRequests)
		_, _ = io.WriteString(w, `{"kind":"full","work":"not-run","detail":"100 tasks wait"}`)
	})
	mux.HandleFunc("POST /v1/queues/rope/tasks", func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		if q.Header.Get("Prefer") == "respond-async" {
			w.Header().Set("Task-Id", "01j")
			w.WriteHeader(http.StatusAccepted)
			return
		}
		writeResult(w, body)
	})
	mux.HandleFunc("GET /v1/tasks/01j", func(w http.ResponseWriter, _ *http.Request) { writeResult(w, []byte("spliced")) })
	return httptest.NewServer(mux)
}

func writeResult(w http.ResponseWriter, body []byte) {
	sum := sha256.Sum256(body)
	w.Header().Set("Repr-Digest", "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	_, _ = w.Write(body)
}

func ExampleClient_Submit() {
	s := fakeService()
	defer s.Close()
	c, err := yuccahaven.NewClient([]string{s.URL}, yuccahaven.WithKey("yh_works_secret"))
	if err != nil {
		fmt.Println(err)
		return
	}
	r, err := c.Submit(context.Background(), yuccahaven.Job{Queue: "rope", Input: []byte("40 m"), Key: "order-7", Once: true})
	fmt.Println(string(r.Body), err)
	// Output: 40 m <nil>
}

func ExampleClient_SubmitAsync() {
	s := fakeService()
	defer s.Close()
	c, _ := yuccahaven.NewClient([]string{s.URL})
	id, err := c.SubmitAsync(context.Background(), yuccahaven.Job{Queue: "rope"})
	fmt.Println(id, err)
	status, err := c.Poll(context.Background(), id, 0)
	fmt.Println(status.State, string(status.Result.Body), err)
	// Output:
	// 01j <nil>
	// done spliced <nil>
}

func ExampleError() {
	s := fakeService()
	defer s.Close()
	c, _ := yuccahaven.NewClient([]string{s.URL})
	_, err := c.Submit(context.Background(), yuccahaven.Job{Queue: "full"})
	var rejection *yuccahaven.Error
	if errors.As(err, &rejection) {
		fmt.Println(rejection.Kind, rejection.Work, rejection.RetryAfter)
	}
	// Output: full not-run 1m0s
}
