package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/input"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/plat/rest"
)

// Timeouts, intervals and limits of a caller.
const (
	// answerMargin is added to a request's own timeout to bound the wait for its answer; it also bounds a dial.
	answerMargin = 3 * time.Second
	// pollWaitSeconds is the duration of one long poll for the answer to an asynchronous request.
	pollWaitSeconds = 2
	// retryInterval is the pause before a request is submitted or polled again.
	retryInterval = 200 * time.Millisecond
	maxAnswerSize = input.MaxSize + 1
)

// Job is one request of a caller.
type Job struct {
	// ID is unique in a trial and the same for every retry.
	ID    string
	Team  fleet.TeamName
	Queue fleet.QueueName
	// Secret is the submit key "yh_<id>_<secret>"; it is empty for open queues.
	Secret string
	// Key is the idempotency key; it may be empty.
	Key string
	// Once marks a non-idempotent request, whose task may run only once.
	Once bool
	// Async requests that the answer is polled for.
	Async bool
	// Urgent makes the task start before the team's other work.
	Urgent bool
	// Slots is the number of slots of the task; 0 means the queue's default.
	Slots int
	// Timeout bounds the time until the answer.
	Timeout time.Duration
	// Input is the task's input, as from input.Encode; the expected answer follows from it.
	Input []byte
}

// Outcome is the outcome of a request.
type Outcome struct {
	// Event is the final event, or empty if no answer came.
	Event record.CallEvent
	Kind  reject.Kind
}

// Caller submits jobs to the entry instances in round-robin order and records every event.
type Caller struct {
	endpoints    []string
	client       *http.Client
	sink         record.Sink[record.Call]
	maxTries     int
	nextEndpoint atomic.Uint64
}

// NewCaller returns a caller for base URLs. A request without an answer, or with an unknown outcome, is submitted again
// to another endpoint with the same key, up to maxTries times in all.
func NewCaller(endpoints []string, maxTries int, sink record.Sink[record.Call]) *Caller {
	t := &http.Transport{
		DialContext: (&net.Dialer{Timeout: answerMargin}).DialContext, MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute,
	}
	return &Caller{endpoints: endpoints, client: &http.Client{Transport: t}, sink: sink, maxTries: max(maxTries, 1)}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Do submits a job until it has an answer, no try is left or the context ends.
func (c *Caller) Do(ctx context.Context, j Job) Outcome {
	want := input.Answer(j.Input)
	digest := rest.HexDigest(want)
	var last Outcome
	for try := 0; try < c.maxTries && ctx.Err() == nil; try++ {
		if try > 0 {
			sleep(ctx, retryInterval)
		}
		c.writeRecord(j, record.Call{Event: record.Submitted, Urgent: j.Urgent, Length: int64(len(want)), Digest: digest})
		o, err := c.submit(ctx, c.endpoint(), j)
		if err == nil {
			last = o
		}
		if !shouldResubmit(j, o, err) {
			break
		}
	}
	return last
}

// shouldResubmit reports whether the outcome is still unknown and another submission is allowed. A non-idempotent job
// without a key is never submitted twice.
func shouldResubmit(j Job, o Outcome, err error) bool {
	if j.Once && j.Key == "" {
		return false
	}
	return err != nil || o.Event == record.Unknown
}

func (c *Caller) endpoint() string {
	return c.endpoints[c.nextEndpoint.Add(1)%uint64(len(c.endpoints))]
}

func (c *Caller) submit(ctx context.Context, base string, j Job) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, j.Timeout+answerMargin)
	defer cancel()
	r, err := c.post(ctx, base, j)
	if err != nil {
		return Outcome{}, err
	}
	if r.status != http.StatusAccepted {
		return c.recordAnswer(j, r), nil
	}
	location := r.header.Get("Location")
	task := taskID(r)
	c.writeRecord(j, record.Call{Event: record.Accepted, Task: task})
	return c.poll(ctx, base, location, j)
}

func (c *Caller) post(ctx context.Context, base string, j Job) (reply, error) {
	path := base + "/v1/queues/" + url.PathEscape(string(j.Queue)) + "/tasks"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(j.Input))
	if err != nil {
		return reply{}, err
	}
	// With GetBody the transport would repeat a request with an idempotency key after its connection broke; every
	// submission must be recorded.
	r.GetBody = nil
	setHeader(r, "Idempotency-Key", j.Key)
	if j.Once {
		r.Header.Set("Idempotent", "?0")
	}
	if j.Async {
		r.Header.Set("Prefer", "respond-async")
	}
	if j.Urgent {
		r.Header.Set("Urgent", "?1")
	}
	if j.Slots > 0 {
		r.Header.Set("Slots", strconv.Itoa(j.Slots))
	}
	r.Header.Set("Timeout", strconv.FormatFloat(j.Timeout.Seconds(), 'f', -1, 64))
	return c.send(r, j)
}

// poll polls an accepted task until it has ended; after a failed request it continues at another endpoint.
func (c *Caller) poll(ctx context.Context, base, location string, j Job) (Outcome, error) {
	for ctx.Err() == nil {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+location, nil)
		if err != nil {
			return Outcome{}, err
		}
		r.Header.Set("Prefer", "wait="+strconv.Itoa(pollWaitSeconds))
		switch p, err := c.send(r, j); {
		case err != nil || p.status == http.StatusServiceUnavailable:
			sleep(ctx, retryInterval)
			base = c.endpoint()
		case p.status == http.StatusOK && p.header.Get(rest.DigestHeader) != "" || p.status >= http.StatusBadRequest:
			return c.recordAnswer(j, p), nil
		}
	}
	return Outcome{}, ctx.Err()
}

type reply struct {
	status int
	header http.Header
	body   []byte
}

func (c *Caller) send(r *http.Request, j Job) (reply, error) {
	setHeader(r, "Authorization", bearer(j.Secret))
	res, err := c.client.Do(r)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerSize))
	if err != nil {
		return reply{}, fmt.Errorf("load: read answer: %w", err)
	}
	return reply{status: res.StatusCode, header: res.Header, body: b}, nil
}

// recordAnswer records a final answer and returns its outcome.
func (c *Caller) recordAnswer(j Job, r reply) Outcome {
	if r.status == http.StatusOK {
		c.writeRecord(j, record.Call{
			Event: record.Answered, Task: taskID(r), Length: int64(len(r.body)), Digest: rest.HexDigest(r.body),
		})
		return Outcome{Event: record.Answered}
	}
	var p struct {
		Kind reject.Kind `json:"kind"`
		Work reject.Work `json:"work"`
	}
	if err := json.Unmarshal(r.body, &p); err != nil || p.Work == "" {
		p.Kind, p.Work = reject.Kind(fmt.Sprintf("status-%d", r.status)), reject.WorkUnknown
	}
	event := record.Refused
	if p.Work == reject.WorkUnknown {
		event = record.Unknown
	}
	c.writeRecord(j, record.Call{Event: event, Task: taskID(r), Kind: p.Kind, Work: p.Work})
	return Outcome{Event: event, Kind: p.Kind}
}

func (c *Caller) writeRecord(j Job, r record.Call) {
	r.Time, r.ID, r.Team, r.Queue, r.Key, r.Once = record.Now(), j.ID, j.Team, j.Queue, j.Key, j.Once
	c.sink.Write(r)
}

func taskID(r reply) string { return r.header.Get("Task-Id") }

func bearer(secret string) string {
	if secret == "" {
		return ""
	}
	return "Bearer " + secret
}

func setHeader(r *http.Request, name, value string) {
	if value != "" {
		r.Header.Set(name, value)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// ErrSettings is returned for settings that can't produce load.
var ErrSettings = errors.New("load: invalid settings")
