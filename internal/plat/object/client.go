package object

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"github.com/yuccahaven/yuccahaven/internal/plat/rest"
)

// PathObjects is the path of the object store; it is followed by an escaped name.
const PathObjects = "/v1/objects/"

// Codes of the object store.
const (
	CodeAbsent      rest.Code = "absent"
	CodeUnavailable rest.Code = "unavailable"
)

// Client calls the object store over HTTP.
type Client struct {
	caller *rest.Caller
}

var _ Store = (*Client)(nil)

// NewClient returns a client for a base URL.
func NewClient(base string, options ...rest.Option) *Client {
	return &Client{caller: rest.NewCaller(base, options...)}
}

// Put stores an object. After ErrUnavailable the object may or may not be stored, and the Put may be repeated.
func (c *Client) Put(ctx context.Context, name string, body []byte) error {
	_, err := c.do(ctx, rest.Request{Method: http.MethodPut, Path: path(name), Body: body, Digest: rest.Digest(body)})
	return err
}

// Get returns an object after verifying it against the digest from the store, or ErrAbsent if there is none.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	r, err := c.do(ctx, rest.Request{Method: http.MethodGet, Path: path(name)})
	if err != nil {
		return nil, err
	}
	if !r.Intact() {
		return nil, fmt.Errorf("%w: %q does not match its digest", ErrUnavailable, name)
	}
	return r.Body, nil
}

// Delete deletes an object; it is no error if the object is absent.
func (c *Client) Delete(ctx context.Context, name string) error {
	_, err := c.do(ctx, rest.Request{Method: http.MethodDelete, Path: path(name)})
	if errors.Is(err, ErrAbsent) {
		return nil
	}
	return err
}

func (c *Client) do(ctx context.Context, q rest.Request) (rest.Reply, error) {
	r, err := c.caller.Do(ctx, q)
	switch {
	case err == nil:
		return r, nil
	case rest.CodeOf(err) == CodeAbsent:
		return r, fmt.Errorf("%w: %w", ErrAbsent, err)
	case errors.Is(err, rest.ErrNotSent), errors.Is(err, rest.ErrNoReply),
		rest.CodeOf(err) == CodeUnavailable, rest.IsUncodedServerError(err):
		return r, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return r, fmt.Errorf("object: %w", err)
}

func path(name string) string { return PathObjects + url.PathEscape(name) }
