package yuccahaven

import (
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Job is a request for work.
type Job struct {
	Queue string
	Input []byte
	// Key is the idempotency key: requests with the same key are one request. A non-idempotent job without a key
	// is sent again only if the service says that it was not run.
	Key string
	// Once marks a non-idempotent job, which runs at most once.
	Once   bool
	Urgent bool
	// Slots is the number of worker slots; 0 means the queue's own number.
	Slots int
	// Timeout is the time until the answer; 0 means the queue's own limit.
	Timeout time.Duration
}

func (j Job) path() string { return "/v1/queues/" + url.PathEscape(j.Queue) + "/tasks" }

// isRepeatable reports whether sending the job again can't run it twice with effect.
func (j Job) isRepeatable() bool { return !j.Once || j.Key != "" }

func (j Job) header(async bool) http.Header {
	h := http.Header{}
	h.Set("Content-Type", "application/octet-stream")
	if j.Key != "" {
		h.Set("Idempotency-Key", j.Key)
	}
	if j.Once {
		h.Set("Idempotent", "?0")
	}
	if j.Urgent {
		h.Set("Urgent", "?1")
	}
	if j.Slots > 0 {
		h.Set("Slots", strconv.Itoa(j.Slots))
	}
	if j.Timeout > 0 {
		h.Set("Timeout", strconv.FormatFloat(j.Timeout.Seconds(), 'f', -1, 64))
	}
	if async {
		h.Set("Prefer", "respond-async")
	}
	return h
}

// Result is the complete answer of a task; its length and digest were verified.
type Result struct {
	Task string
	Body []byte
}

// State is how far a task has come.
type State string

// The states of a task that has not been refused.
const (
	StateWaiting State = "waiting"
	StateRunning State = "running"
	StateDone    State = "done"
)

// Status is what a poll found; Result is set once State is StateDone.
type Status struct {
	Task   string
	State  State
	Result Result
}
