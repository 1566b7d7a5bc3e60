package yuccahaven

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

const (
	defaultTries    = 4
	defaultPause    = 100 * time.Millisecond
	maxPause        = 10 * time.Second
	maxResponseSize = 64 << 20 // bytes
)

// Client submits jobs to the entry instances of one deployment. It is safe for concurrent use.
type Client struct {
	bases []string
	next  atomic.Uint64
	http  *http.Client
	key   string
	tries int
	pause time.Duration
}

// Option changes a Client.
type Option func(*Client)

// WithKey sets the key sent with every request, as "yh_<id>_<secret>".
func WithKey(key string) Option { return func(c *Client) { c.key = key } }

// WithHTTPClient replaces the HTTP client, for example for TLS settings and proxies.
func WithHTTPClient(h *http.Client) Option { return func(c *Client) { c.http = h } }

// WithTries sets the maximum number of attempts per request; the default is 4.
func WithTries(n int) Option { return func(c *Client) { c.tries = max(1, n) } }

// WithPause sets the longest pause before the first retry; it doubles with each further retry, and the default is
// 100 ms. The actual pause is random, at least half of that and at least the time that the service asks for.
func WithPause(d time.Duration) Option { return func(c *Client) { c.pause = d } }

// ErrEndpoint is returned for an endpoint that is not an HTTP URL.
var ErrEndpoint = errors.New("yuccahaven: bad endpoint")

// NewClient returns a client of the entry instances at the endpoints, such as "https://jobs.example:8443". Retries go
// to the next endpoint.
func NewClient(endpoints []string, options ...Option) (*Client, error) {
	c := &Client{http: &http.Client{}, tries: defaultTries, pause: defaultPause}
	for _, e := range endpoints {
		u, err := url.Parse(e)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, fmt.Errorf("%w: %q", ErrEndpoint, e)
		}
		c.bases = append(c.bases, strings.TrimSuffix(e, "/"))
	}
	if len(c.bases) == 0 {
		return nil, fmt.Errorf("%w: none given", ErrEndpoint)
	}
	for _, o := range options {
		o(c)
	}
	return c, nil
}

// Submit runs a job and returns its complete, verified result. The error is an *Error if the request was rejected.
func (c *Client) Submit(ctx context.Context, j Job) (Result, error) {
	var r Result
	err := c.retry(ctx, j.isRepeatable(), func(base string) error {
		res, err := c.send(ctx, http.MethodPost, base+j.path(), j.header(false), j.Input)
		if err != nil {
			return err
		}
		r, err = res.result()
		return err
	})
	return r, err
}

// SubmitAsync submits a job and returns the id of its task once the task is recorded.
func (c *Client) SubmitAsync(ctx context.Context, j Job) (string, error) {
	var id string
	err := c.retry(ctx, j.Key != "", func(base string) error {
		res, err := c.send(ctx, http.MethodPost, base+j.path(), j.header(true), j.Input)
		if err != nil {
			return err
		}
		if res.status != http.StatusAccepted {
			return fmt.Errorf("%w: status %d instead of 202", ErrAnswer, res.status)
		}
		id = res.header.Get("Task-Id")
		return nil
	})
	return id, err
}

// Poll returns the status of a task. It waits up to the given time, in whole seconds, for the task's end. For a
// rejected task the error is its *Error.
func (c *Client) Poll(ctx context.Context, id string, wait time.Duration) (Status, error) {
	var s Status
	header := http.Header{}
	if n := int(wait / time.Second); n > 0 {
		header.Set("Prefer", fmt.Sprintf("wait=%d", n))
	}
	err := c.retry(ctx, true, func(base string) error {
		res, err := c.send(ctx, http.MethodGet, base+"/v1/tasks/"+url.PathEscape(id), header, nil)
		if err != nil {
			return err
		}
		s, err = res.taskStatus(id)
		return err
	})
	return s, err
}

// Cancel cancels a task.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.retry(ctx, true, func(base string) error {
		_, err := c.send(ctx, http.MethodDelete, base+"/v1/tasks/"+url.PathEscape(id), nil, nil)
		return err
	})
}

// retry calls f for one endpoint after another until f succeeds, the error allows no retry, no attempts are left, or
// the wait before the next attempt would exceed maxPause.
func (c *Client) retry(ctx context.Context, repeatable bool, f func(base string) error) error {
	pause, mayHaveRun := c.pause, false
	for attempt := 1; ; attempt++ {
		err := withUnknownWork(f(c.bases[c.next.Add(1)%uint64(len(c.bases))]), mayHaveRun)
		mayHaveRun = mayHaveRun || !isNotRun(err)
		if err == nil || attempt >= c.tries || !mayRetry(err, repeatable) {
			return err
		}
		wait := max(retryAfter(err), pause/2+rand.N(pause/2+1))
		if wait > maxPause {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		case <-time.After(wait):
		}
		pause = min(2*pause, maxPause)
	}
}
