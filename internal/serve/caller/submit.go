package caller

import (
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/serve/runner"
)

// submit answers POST /v1/queues/{queue}/tasks.
func (a *API) submit(w http.ResponseWriter, q *http.Request) {
	start := time.Now()
	o := Observation{Queue: fleet.QueueName(q.PathValue("queue"))}
	err := a.submitJob(w, q, &o)
	if err != nil {
		e := asRejection(err)
		o.Kind = e.Kind
		a.logCause(e)
		metrics.GetOrRegisterCounter("caller.refused."+string(e.Kind), a.registry).Inc(1)
		a.setWriteDeadline(w)
		WriteProblem(w, e)
	} else {
		metrics.GetOrRegisterCounter("caller.answered", a.registry).Inc(1)
	}
	o.Took = time.Since(start)
	a.observer.Observe(o)
}

func (a *API) submitJob(w http.ResponseWriter, q *http.Request, o *Observation) error {
	j, limit, err := a.admit(q, o)
	if err != nil {
		return rejectBeforeLookup(q, err)
	}
	size := bodyMemory(q, limit)
	if err := a.memory.Acquire(size); err != nil {
		return rejectBeforeLookup(q, err)
	}
	defer a.memory.Release(size)
	if j.Input, err = a.readBody(w, q, limit); err != nil {
		return rejectBeforeLookup(q, err)
	}
	if j.Team != "" && wantsAsync(q) {
		return a.submitAsync(w, q, j, o)
	}
	answer, err := a.tasks.Submit(q.Context(), j)
	if err != nil {
		return err
	}
	a.setWriteDeadline(w)
	writeAnswer(w, answer)
	return nil
}

// admit authorizes a submission and returns its job without the input, and the body limit in bytes.
func (a *API) admit(q *http.Request, o *Observation) (runner.Job, int64, error) {
	if err := a.views.Fresh(); err != nil {
		return runner.Job{}, 0, err
	}
	v := a.views.View()
	queue, team, err := a.authorize(q, v)
	if err != nil {
		return runner.Job{}, 0, err
	}
	o.Team = queue.Team
	j, err := parseJob(q)
	if err != nil {
		return j, 0, err
	}
	j.Team = team
	limit := maxBodyBytes(v)
	if q.ContentLength > limit {
		return j, 0, tooLarge(limit)
	}
	return j, limit, nil
}

// bodyMemory returns the bytes to reserve for a body; a body of unknown length may become as large as the limit.
func bodyMemory(q *http.Request, limit int64) int64 {
	if q.ContentLength < 0 {
		return limit
	}
	return q.ContentLength
}

// rejectBeforeLookup returns the rejection of a request whose record has not been looked up. Requests with an
// Idempotency-Key that are asynchronous or not idempotent are recorded; an earlier attempt of these may have run, so
// the state of their work is unknown.
func rejectBeforeLookup(q *http.Request, err error) error {
	e := asRejection(err)
	idempotent, parseErr := parseBool(q, "Idempotent", true)
	if q.Header.Get("Idempotency-Key") == "" || parseErr != nil || idempotent && !wantsAsync(q) {
		return e
	}
	return e.WithWork(reject.WorkUnknown)
}

func (a *API) submitAsync(w http.ResponseWriter, q *http.Request, j runner.Job, o *Observation) error {
	id, err := a.tasks.SubmitAsync(q.Context(), j)
	if err != nil {
		return err
	}
	o.Accepted = true
	h := w.Header()
	h.Set("Location", "/v1/tasks/"+id)
	h.Set("Task-Id", id)
	h.Set("Preference-Applied", "respond-async")
	h.Set("Content-Length", "0")
	w.WriteHeader(http.StatusAccepted)
	return nil
}

// authorize returns the queue and the team of the request's key, "" for an open queue. Only requests with a valid key
// learn whether a queue that is not open exists.
func (a *API) authorize(q *http.Request, v fleet.View) (fleet.QueueSection, fleet.TeamName, error) {
	name := fleet.QueueName(q.PathValue("queue"))
	queue, known := v.Document().Queues[name]
	if known && queue.Open {
		return queue, "", nil
	}
	team, err := a.keys.authenticate(q, v)
	switch {
	case err != nil:
		return queue, "", err
	case !known:
		return queue, "", reject.New(reject.KindQueue, reject.WorkNotRun, "unknown queue %q", string(name))
	case team != queue.Team:
		return queue, "", reject.New(reject.KindForbidden, reject.WorkNotRun, "the key's team has no queue %q", string(name))
	}
	return queue, team, nil
}

// maxBodyBytes returns the body limit of the document or the default, in bytes.
func maxBodyBytes(v fleet.View) int64 {
	if limit := v.Document().Limits.Body; limit > 0 {
		return limit
	}
	return defaultMaxBodyBytes
}

// readBody reads the whole body within the limit and the body timeout. It removes the read deadline afterwards, because
// the server keeps reading from the connection to detect that the caller has closed it.
func (a *API) readBody(w http.ResponseWriter, q *http.Request, limit int64) ([]byte, error) {
	c := http.NewResponseController(w)
	// Response writers in tests don't support deadlines.
	_ = c.SetReadDeadline(time.Now().Add(a.bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, limit))
	_ = c.SetReadDeadline(time.Time{})
	var size *http.MaxBytesError
	switch {
	case errors.As(err, &size):
		return nil, tooLarge(limit)
	case err != nil:
		return nil, reject.New(reject.KindRequest, reject.WorkNotRun, "the body did not arrive completely").WithCause(err)
	}
	return body, nil
}

func tooLarge(limit int64) error {
	return reject.New(reject.KindBody, reject.WorkNotRun, "the body is larger than %d bytes", limit)
}

// setWriteDeadline bounds how long a caller may take to read the answer.
func (a *API) setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

func writeAnswer(w http.ResponseWriter, answer runner.Answer) {
	sum := sha256.Sum256(answer.Body)
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	h.Set("Repr-Digest", "sha-256=:"+base64.StdEncoding.EncodeToString(sum[:])+":")
	h.Set("Task-Id", answer.ID)
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(answer.Body)
}
