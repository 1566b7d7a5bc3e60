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

// answer is a response that was read completely and is not a refusal.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (c *Client) send(ctx context.Context, method, target string, header http.Header, body []byte) (answer, error) {
	q, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return answer{}, fmt.Errorf("yuccahaven: %w", err)
	}
	// Without GetBody the transport does not repeat a request with an Idempotency-Key by itself when its connection
	// breaks: an attempt that the client does not know of could make a later "not-run" untrue.
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
		return answer{}, fmt.Errorf("yuccahaven: %w", err)
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(p.Body, maxAnswer+1))
	if err != nil || len(b) > maxAnswer {
		return answer{}, fmt.Errorf("%w: the body is incomplete or too large: %v", ErrAnswer, err)
	}
	a := answer{status: p.StatusCode, header: p.Header, body: b}
	return a, a.refusal()
}

// refusal returns the *Error in an answer that is none of the successful ones.
func (a answer) refusal() error {
	if a.status >= http.StatusOK && a.status < http.StatusMultipleChoices {
		return nil
	}
	media, _, _ := mime.ParseMediaType(a.header.Get("Content-Type"))
	e := &Error{}
	if media != "application/problem+json" || json.Unmarshal(a.body, e) != nil || e.Kind == "" {
		return fmt.Errorf("%w: status %d without a problem document", ErrAnswer, a.status)
	}
	e.Status = a.status
	if n, err := strconv.Atoi(a.header.Get("Retry-After")); err == nil {
		e.RetryAfter = time.Duration(n) * time.Second
	}
	return e
}

// result verifies the digest, so that a truncated or exchanged answer is never taken for the whole one.
func (a answer) result() (Result, error) {
	if a.status != http.StatusOK {
		return Result{}, fmt.Errorf("%w: status %d instead of 200", ErrAnswer, a.status)
	}
	sum := sha256.Sum256(a.body)
	want := "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
	if got := strings.TrimSpace(a.header.Get("Repr-Digest")); got != want {
		return Result{}, fmt.Errorf("%w: digest %q, want %q", ErrAnswer, got, want)
	}
	return Result{Task: a.header.Get("Task-Id"), Body: a.body}, nil
}

func (a answer) taskStatus(id string) (Status, error) {
	if a.status == http.StatusOK {
		r, err := a.result()
		return Status{Task: id, State: StateDone, Result: r}, err
	}
	var p struct {
		State State `json:"state"`
	}
	if err := json.Unmarshal(a.body, &p); err != nil {
		return Status{}, fmt.Errorf("%w: %w", ErrAnswer, err)
	}
	return Status{Task: id, State: p.State}, nil
}
