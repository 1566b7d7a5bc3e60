package roster

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/rest"
)

// Errors of the roster. After ErrUnknown it is unknown whether the platform started a reboot; the others mean that it
// did not.
var (
	ErrUnavailable = errors.New("roster: service unavailable")
	ErrUnknown     = errors.New("roster: outcome unknown")
	ErrAbsent      = errors.New("roster: no such instance")
	ErrBusy        = errors.New("roster: instance is not idle")
)

// PathInstances is the path of the list of instances; the path of an instance's reboot begins with it.
const PathInstances = "/v1/instances"

// Codes of the roster.
const (
	CodeAbsent      rest.Code = "absent"
	CodeBusy        rest.Code = "busy"
	CodeUnavailable rest.Code = "unavailable"
)

// ListReply is the list of instances.
type ListReply struct {
	Instances []Listing `json:"instances"`
}

// RebootRequest names the system version with which an instance starts.
type RebootRequest struct {
	Version string `json:"version"`
}

// Client calls the roster over HTTP.
type Client struct {
	caller *rest.Caller
}

// NewClient returns a client for a base URL.
func NewClient(base string, options ...rest.Option) *Client {
	return &Client{caller: rest.NewCaller(base, options...)}
}

// List returns all listed instances; the list lags behind the instances.
func (c *Client) List(ctx context.Context) ([]Listing, error) {
	var r ListReply
	err := c.caller.JSON(ctx, rest.Request{Method: http.MethodGet, Path: PathInstances}, &r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return r.Instances, nil
}

// Reboot restarts an idle instance with a system version; the instance is unreachable meanwhile.
func (c *Client) Reboot(ctx context.Context, id fleet.InstanceID, version string) error {
	path := PathInstances + "/" + url.PathEscape(string(id)) + "/reboot"
	err := c.caller.JSON(ctx, rest.Request{Method: http.MethodPost, Path: path, In: RebootRequest{Version: version}}, nil)
	switch {
	case err == nil:
		return nil
	case rest.CodeOf(err) == CodeAbsent:
		return fmt.Errorf("%w: %w", ErrAbsent, err)
	case rest.CodeOf(err) == CodeBusy:
		return fmt.Errorf("%w: %w", ErrBusy, err)
	case errors.Is(err, rest.ErrNotSent), rest.CodeOf(err) == CodeUnavailable:
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	case errors.Is(err, rest.ErrNoReply), rest.IsUncodedServerError(err):
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	return fmt.Errorf("roster: reboot: %w", err)
}
