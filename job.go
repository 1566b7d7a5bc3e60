package yuccahaven

import (
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Job is a job to submit to a queue.
type Job struct {
	Queue string
	Input []byte
	// Key is the idempotency key: requests with the same key count as one. A non-idempotent job without a key is sent
	// again only if the service reports that it was not run.
	Key string
	// Once marks a non-idempotent job, which runs at most once.
	Once bool
	// Urgent jobs start before the other waiting jobs of their team.
	Urgent bool
	// Slots is the number of worker slots; 0 means the queue's default.
	Slots int
	// Timeout bounds the time until the result; 0 means the queue's limit.
	Timeout time.Duration
}

func (j Job) path() string { return "/v1/queues/" + url.PathEscape(j.Queue) + "/tasks" }

// isRepeatable reports whether the job can be sent again without the effect of a second run.
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

// Result is the complete result of a task; its length and digest are verified.
type Result struct {
	Task string
	Body []byte
}

// State is the progress of a task.
type State string

// States of a task that has not been rejected.
const (
	StateWaiting State = "waiting"
	StateRunning State = "running"
	StateDone    State = "done"
)

// Status is the result of a poll; Result is set if State is StateDone.
type Status struct {
	Task   string
	State  State
	Result Result
}
