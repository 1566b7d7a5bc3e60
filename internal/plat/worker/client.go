package worker

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/rest"
)

// DefaultConnections is one entry instance's share of a worker's 64 connections, which six entry instances use.
const DefaultConnections = 10

// idleTimeout is how long after the last call to an address its connections may be removed. They are removed at the
// next call to a new address, so that those to replaced workers don't stay.
const idleTimeout = 5 * time.Minute

// Paths of a worker's HTTP interface; PathTasks is followed by an escaped task id.
const (
	PathReserve = "/v1/reserve"
	PathStart   = "/v1/start"
	PathRenew   = "/v1/renew"
	PathReport  = "/v1/report"
	PathTasks   = "/v1/tasks/"
)

// Codes with which a worker declines a call.
const (
	CodeBusy    rest.Code = "busy"
	CodeLeaving rest.Code = "leaving"
	CodeExpired rest.Code = "lapsed"
	CodeFenced  rest.Code = "fenced"
	CodeUnknown rest.Code = "unknown"
)

var codeErrors = map[rest.Code]error{
	CodeBusy: ErrBusy, CodeLeaving: ErrLeaving, CodeExpired: ErrReservationExpired, CodeFenced: ErrFenced,
	CodeUnknown: ErrUnknown,
}

// RenewRequest renews the leases of tasks that run on one worker.
type RenewRequest struct {
	Lease time.Duration  `json:"lease"`
	Tasks []fleet.TaskID `json:"tasks"`
}

// RenewReply holds the status of each task of a RenewRequest that the worker knows.
type RenewReply struct {
	Tasks []Status `json:"tasks"`
}

// Client calls workers over HTTP, each over a bounded number of connections. It is safe for concurrent use.
type Client struct {
	options []rest.Option
	mu      sync.Mutex
	callers map[string]*cachedCaller
}

type cachedCaller struct {
	caller   *rest.Caller
	lastUsed time.Time
}

// NewClient returns a client for any number of workers.
func NewClient(options ...rest.Option) *Client {
	return &Client{
		options: append([]rest.Option{rest.WithConnections(DefaultConnections)}, options...),
		callers: map[string]*cachedCaller{},
	}
}

// Reserve reserves slots for a task until the reservation's TTL expires by the worker's clock.
// It returns ErrBusy, ErrLeaving, ErrFenced, ErrRefused or ErrNoReply.
func (c *Client) Reserve(ctx context.Context, address string, r Reservation) error {
	return c.call(ctx, address, rest.Request{Method: http.MethodPost, Path: PathReserve, In: r}, nil)
}

// Start runs a reserved task; a repeated start of the same task has no further effect.
// It returns ErrReservationExpired, ErrFenced, ErrRefused or ErrNoReply.
func (c *Client) Start(ctx context.Context, address string, s Start) error {
	return c.call(ctx, address, rest.Request{Method: http.MethodPost, Path: PathStart, In: s}, nil)
}

// Await returns a task's status when the task has ended, or after wait.
func (c *Client) Await(ctx context.Context, address string, id fleet.TaskID, wait time.Duration) (Status, error) {
	var s Status
	q := rest.Request{Method: http.MethodGet, Path: taskPath(id, "") + "?wait=" + wait.String(), Wait: wait}
	err := c.call(ctx, address, q, &s)
	return s, err
}

// Result returns the result of a done task, or ErrDamaged if its length or digest is wrong.
// After ErrNoReply or ErrDamaged it is fetched once more, over a new connection, unless the context has ended.
func (c *Client) Result(ctx context.Context, address string, id fleet.TaskID) ([]byte, error) {
	b, err := c.result(ctx, address, id, false)
	if ctx.Err() == nil && (errors.Is(err, ErrNoReply) || errors.Is(err, ErrDamaged)) {
		b, err = c.result(ctx, address, id, true)
	}
	return b, err
}

func (c *Client) result(ctx context.Context, address string, id fleet.TaskID, fresh bool) ([]byte, error) {
	q := rest.Request{Method: http.MethodGet, Path: taskPath(id, "/result"), Fresh: fresh}
	r, err := c.caller(address).Do(ctx, q)
	if err != nil {
		return nil, mapError(err)
	}
	if length := r.Header.Get("Content-Length"); length != strconv.Itoa(len(r.Body)) || !r.Intact() {
		return nil, fmt.Errorf("%w: task %s at %s: %d bytes of %s", ErrDamaged, id, address, len(r.Body), length)
	}
	return r.Body, nil
}

// Renew extends the leases of running tasks and returns the status of each task that the worker knows. It always uses a
// new connection, because on one that no longer carries replies the leases of several tasks would expire.
func (c *Client) Renew(ctx context.Context, address string, lease time.Duration, ids []fleet.TaskID) ([]Status, error) {
	var r RenewReply
	in := RenewRequest{Lease: lease, Tasks: ids}
	err := c.call(ctx, address, rest.Request{Method: http.MethodPost, Path: PathRenew, In: in, Fresh: true}, &r)
	return r.Tasks, err
}

// Stop stops a running task, with a checkpoint on request, and prevents a task that has not started from ever starting.
func (c *Client) Stop(ctx context.Context, address string, id fleet.TaskID, checkpoint bool) (Status, error) {
	var s Status
	path := taskPath(id, "/stop") + "?checkpoint=" + strconv.FormatBool(checkpoint)
	err := c.call(ctx, address, rest.Request{Method: http.MethodPost, Path: path}, &s)
	return s, err
}

// Acknowledge allows the worker to delete a task's result.
func (c *Client) Acknowledge(ctx context.Context, address string, id fleet.TaskID) error {
	return c.call(ctx, address, rest.Request{Method: http.MethodPost, Path: taskPath(id, "/acknowledge")}, nil)
}

// Report returns a worker's own status.
func (c *Client) Report(ctx context.Context, address string) (Report, error) {
	var r Report
	err := c.call(ctx, address, rest.Request{Method: http.MethodGet, Path: PathReport}, &r)
	return r, err
}

func (c *Client) call(ctx context.Context, address string, q rest.Request, out any) error {
	return mapError(c.caller(address).JSON(ctx, q, out))
}

func (c *Client) caller(address string) *rest.Caller {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.callers[address]
	if !ok {
		c.removeIdle(now)
		e = &cachedCaller{caller: rest.NewCaller("http://"+address, c.options...)}
		c.callers[address] = e
	}
	e.lastUsed = now
	return e.caller
}

func (c *Client) removeIdle(now time.Time) {
	for address, e := range c.callers {
		if now.Sub(e.lastUsed) > idleTimeout {
			e.caller.CloseIdle()
			delete(c.callers, address)
		}
	}
}

func mapError(err error) error {
	if err == nil {
		return nil
	}
	if known, ok := codeErrors[rest.CodeOf(err)]; ok {
		return fmt.Errorf("%w: %w", known, err)
	}
	switch {
	case errors.Is(err, rest.ErrNotSent):
		return fmt.Errorf("%w: %w", ErrRefused, err)
	case errors.Is(err, rest.ErrNoReply), rest.IsUncodedServerError(err):
		return fmt.Errorf("%w: %w", ErrNoReply, err)
	}
	return fmt.Errorf("worker: %w", err)
}

func taskPath(id fleet.TaskID, action string) string {
	return PathTasks + url.PathEscape(string(id)) + action
}
