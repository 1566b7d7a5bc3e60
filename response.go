package yuccahaven

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// response is a response whose body was read completely.
type response struct {
	status int
	header http.Header
	body   []byte
}

func (c *Client) send(ctx context.Context, method, target string, header http.Header, body []byte) (response, error) {
	q, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return response{}, fmt.Errorf("yuccahaven: %w", err)
	}
	// Without GetBody the transport does not retry a request with an Idempotency-Key by itself when its connection
	// breaks. Such an attempt, unknown to the client, could make a later "not-run" wrong. The transport also retries
	// requests whose body is http.NoBody, so an empty body is replaced.
	q.GetBody = nil
	if len(body) == 0 && method == http.MethodPost {
		q.Body, q.ContentLength = io.NopCloser(bytes.NewReader(nil)), 0
	}
	for name, values := range header {
		q.Header[name] = values
	}
	if c.key != "" {
		q.Header.Set("Authorization", "Bearer "+c.key)
	}
	p, err := c.http.Do(q)
	if err != nil {
		return response{}, fmt.Errorf("yuccahaven: %w", err)
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(p.Body, maxResponseSize+1))
	if err != nil || len(b) > maxResponseSize {
		return response{}, fmt.Errorf("%w: the body is incomplete or too large: %v", ErrAnswer, err)
	}
	r := response{status: p.StatusCode, header: p.Header, body: b}
	return r, r.rejection()
}

// rejection returns nil for a success status, otherwise the *Error in the response or an ErrAnswer if it has none.
func (r response) rejection() error {
	if r.status >= http.StatusOK && r.status < http.StatusMultipleChoices {
		return nil
	}
	media, _, _ := mime.ParseMediaType(r.header.Get("Content-Type"))
	e := &Error{}
	if media != "application/problem+json" || json.Unmarshal(r.body, e) != nil || e.Kind == "" {
		return fmt.Errorf("%w: status %d without a problem document", ErrAnswer, r.status)
	}
	e.Status = r.status
	if n, err := strconv.Atoi(r.header.Get("Retry-After")); err == nil {
		e.RetryAfter = time.Duration(n) * time.Second
	}
	return e
}

// result returns the task's result after verifying its digest, so that a truncated or wrong body is never accepted.
func (r response) result() (Result, error) {
	if r.status != http.StatusOK {
		return Result{}, fmt.Errorf("%w: status %d instead of 200", ErrAnswer, r.status)
	}
	sum := sha256.Sum256(r.body)
	want := "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
	if got := strings.TrimSpace(r.header.Get("Repr-Digest")); got != want {
		return Result{}, fmt.Errorf("%w: digest %q, want %q", ErrAnswer, got, want)
	}
	return Result{Task: r.header.Get("Task-Id"), Body: r.body}, nil
}

func (r response) taskStatus(id string) (Status, error) {
	if r.status == http.StatusOK {
		result, err := r.result()
		return Status{Task: id, State: StateDone, Result: result}, err
	}
	var p struct {
		State State `json:"state"`
	}
	if err := json.Unmarshal(r.body, &p); err != nil {
		return Status{}, fmt.Errorf("%w: %w", ErrAnswer, err)
	}
	return Status{Task: id, State: p.State}, nil
}
