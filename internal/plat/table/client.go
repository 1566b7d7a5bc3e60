package table

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/yuccahaven/yuccahaven/internal/plat/rest"
)

// Paths of the table service; every call is a POST with a JSON body.
const (
	PathGet    = "/v1/table/get"
	PathScan   = "/v1/table/scan"
	PathCommit = "/v1/table/commit"
)

// Codes of the table service.
const (
	CodeConflict    rest.Code = "conflict"
	CodeUnavailable rest.Code = "unavailable"
)

// GetRequest requests the items of keys.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest requests the items whose key has a prefix.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// ItemsReply is the reply to a GetRequest or ScanRequest.
type ItemsReply struct {
	Items []Item `json:"items"`
}

// CommitReply is the reply to a Transaction that was applied.
type CommitReply struct {
	Commit uint64 `json:"commit"`
}

// Client calls the table service over HTTP.
type Client struct {
	caller *rest.Caller
}

var _ Table = (*Client)(nil)

// NewClient returns a client for a base URL.
func NewClient(base string, options ...rest.Option) *Client {
	return &Client{caller: rest.NewCaller(base, options...)}
}

// Get returns the present items among the keys; a failure is ErrUnavailable unless the request is invalid.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Item, error) {
	return c.read(ctx, PathGet, GetRequest{Keys: keys})
}

// Scan returns up to limit items whose key has the prefix, sorted, from the first key after "after".
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Item, error) {
	return c.read(ctx, PathScan, ScanRequest{Prefix: prefix, After: after, Limit: limit})
}

func (c *Client) read(ctx context.Context, path string, in any) ([]Item, error) {
	var r ItemsReply
	err := c.caller.JSON(ctx, rest.Request{Method: http.MethodPost, Path: path, In: in}, &r)
	switch {
	case err == nil:
		return r.Items, nil
	case errors.Is(err, rest.ErrNotSent), errors.Is(err, rest.ErrNoReply),
		rest.CodeOf(err) == CodeUnavailable, rest.IsUncodedServerError(err):
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil, fmt.Errorf("table: read: %w", err)
}

// Commit applies a transaction and returns its commit number.
// It returns ErrConflict or ErrUnavailable if nothing was written, and ErrUnknown if there was no reply after sending,
// or a server error without a code.
func (c *Client) Commit(ctx context.Context, t Transaction) (uint64, error) {
	var r CommitReply
	err := c.caller.JSON(ctx, rest.Request{Method: http.MethodPost, Path: PathCommit, In: t}, &r)
	switch {
	case err == nil:
		return r.Commit, nil
	case rest.CodeOf(err) == CodeConflict:
		return 0, fmt.Errorf("%w: %w", ErrConflict, err)
	case errors.Is(err, rest.ErrNotSent), rest.CodeOf(err) == CodeUnavailable:
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case errors.Is(err, rest.ErrNoReply), rest.IsUncodedServerError(err):
		return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return 0, fmt.Errorf("table: commit: %w", err)
}
