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

// DefaultConnections is an entry instance's part of a worker's 64 connections, shared by six entry instances.
const DefaultConnections = 10

// idleCaller is how long the connections to an address are kept after its last call, so that replaced workers are forgotten.
const idleCaller = 5 * time.Minute

// Paths of a worker; PathTasks is followed by an escaped task id.
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
	CodeBusy: ErrBusy, CodeLeaving: ErrLeaving, CodeExpired: ErrReservationExpired, CodeFenced: ErrFenced, CodeUnknown: ErrUnknown,
}

// RenewRequest renews the leases of tasks that run on one worker.
type RenewRequest struct {
	Lease time.Duration  `json:"lease"`
	Tasks []fleet.TaskID `json:"tasks"`
}

// RenewReply is the status of every task the worker knows among those of a RenewRequest.
type RenewReply struct {
	Tasks []Status `json:"tasks"`
}

// Client calls workers over HTTP, each over a bounded number of connections.
type Client struct {
	options []rest.Option
	mu      sync.Mutex
	callers map[string]*entry
}

type entry struct {
	caller *rest.Caller
	used   time.Time
}

// NewClient returns a client for any number of workers.
func NewClient(options ...rest.Option) *Client {
	return &Client{
		options: append([]rest.Option{rest.WithConnections(DefaultConnections)}, options...),
		callers: map[string]*entry{},
	}
}

// Reserve holds slots for a task until the reservation's TTL passes by the worker's clock.
// It returns ErrBusy, ErrLeaving, ErrFenced, ErrRefused or ErrNoReply.
func (c *Client) Reserve(ctx context.Context, address string, r Reservation) error {
	return c.json(ctx, address, rest.Request{Method: http.MethodPost, Path: PathReserve, In: r}, nil)
}

// Start runs a reserved task; a repeated start of the same task has no further effect.
// It returns ErrReservationExpired, ErrFenced, ErrRefused or ErrNoReply.
func (c *Client) Start(ctx context.Context, address string, s Start) error {
	return c.json(ctx, address, rest.Request{Method: http.MethodPost, Path: PathStart, In: s}, nil)
}

// Await returns a task's status as soon as it has ended, at the latest after wait.
func (c *Client) Await(ctx context.Context, address string, id fleet.TaskID, wait time.Duration) (Status, error) {
	var s Status
	q := rest.Request{Method: http.MethodGet, Path: taskPath(id, "") + "?wait=" + wait.String(), Wait: wait}
	err := c.json(ctx, address, q, &s)
	return s, err
}

// Result returns the whole answer of a done task, verified by length and digest; ErrDamaged if they differ.
// A connection without a reply is given up, and the answer fetched once more over a new one.
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

// Renew extends the leases of running tasks and returns the status of every task the worker knows.
// It always uses a new connection, since one that went silent would cost several tasks their lease.
func (c *Client) Renew(ctx context.Context, address string, lease time.Duration, ids []fleet.TaskID) ([]Status, error) {
	var r RenewReply
	in := RenewRequest{Lease: lease, Tasks: ids}
	err := c.json(ctx, address, rest.Request{Method: http.MethodPost, Path: PathRenew, In: in, Fresh: true}, &r)
	return r.Tasks, err
}

// Stop ends a running task, with its checkpoint on request, and fences an id that never started.
func (c *Client) Stop(ctx context.Context, address string, id fleet.TaskID, checkpoint bool) (Status, error) {
	var s Status
	path := taskPath(id, "/stop") + "?checkpoint=" + strconv.FormatBool(checkpoint)
	err := c.json(ctx, address, rest.Request{Method: http.MethodPost, Path: path}, &s)
	return s, err
}

// Acknowledge lets the worker forget a task's result.
func (c *Client) Acknowledge(ctx context.Context, address string, id fleet.TaskID) error {
	return c.json(ctx, address, rest.Request{Method: http.MethodPost, Path: taskPath(id, "/acknowledge")}, nil)
}

// Report returns a worker's own status.
func (c *Client) Report(ctx context.Context, address string) (Report, error) {
	var r Report
	err := c.json(ctx, address, rest.Request{Method: http.MethodGet, Path: PathReport}, &r)
	return r, err
}

func (c *Client) json(ctx context.Context, address string, q rest.Request, out any) error {
	return mapError(c.caller(address).JSON(ctx, q, out))
}

func (c *Client) caller(address string) *rest.Caller {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.callers[address]
	if !ok {
		c.forget(now)
		e = &entry{caller: rest.NewCaller("http://"+address, c.options...)}
		c.callers[address] = e
	}
	e.used = now
	return e.caller
}

func (c *Client) forget(now time.Time) {
	for address, e := range c.callers {
		if now.Sub(e.used) > idleCaller {
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
	case errors.Is(err, rest.ErrNoReply), rest.Faulty(err):
		return fmt.Errorf("%w: %w", ErrNoReply, err)
	}
	return fmt.Errorf("worker: %w", err)
}

func taskPath(id fleet.TaskID, action string) string {
	return PathTasks + url.PathEscape(string(id)) + action
}
