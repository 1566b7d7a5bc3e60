package matrix

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/input"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
)

const (
	secret = "s0123456789abcdef0123456789abcdef"
	salt   = "00112233445566778899aabbccddeeff"
	// answerWithin bounds one attempt of a caller: the queue's timeout of 20 s and the longest freeze.
	answerWithin = 40 * time.Second
	// retryFor is how long after healing callers still repeat requests.
	retryFor   = 10 * time.Second
	retryPause = 300 * time.Millisecond
	// submitPause separates requests that are submitted together.
	submitPause = 3 * time.Millisecond
)

func keyHash() (string, string) {
	raw, _ := hex.DecodeString(salt)
	sum := sha256.Sum256(append(raw, secret...))
	return `"` + salt + `"`, `"` + hex.EncodeToString(sum[:]) + `"`
}

// request is what a caller wants done.
type request struct {
	key   string
	queue fleet.QueueName
	once  bool
	async bool
	run   time.Duration
	at    string // the entry instance that gets the first attempt
}

func (q request) input() []byte {
	return input.Encode(input.Header{Run: q.run.Milliseconds(), Size: 64}, []byte(q.key))
}

// call sends a request and repeats it until it is answered, or until it may not be repeated.
func (w *Cluster) call(q request) {
	body := q.input()
	sum := sha256.Sum256(input.Answer(body))
	known := record.Call{ID: q.key, Team: team, Queue: q.queue, Key: q.key, Once: q.once, Length: 64, Digest: hex.EncodeToString(sum[:])}
	healed := time.Time{}
	for n := 0; ; n++ {
		at := w.target(q.at, n)
		sent := known
		sent.Event, sent.Time = record.Submitted, record.Now()
		w.calls.Write(sent)
		final := w.attempt(q, at, body, known)
		final.Time = record.Now()
		w.calls.Write(final)
		w.note("call %s at %s: %s %s %s", q.key, at, final.Event, final.Kind, final.Work)
		if final.Event == record.Answered || final.Event == record.Refused && final.Work == reject.WorkRun {
			return
		}
		if w.isHealed() && healed.IsZero() {
			healed = time.Now()
		}
		if !healed.IsZero() && time.Since(healed) > retryFor || w.over() {
			return
		}
		time.Sleep(retryPause + w.spread(q.key))
	}
}

// spread keeps callers that were answered at the same moment from coming back at the same moment: the order of
// goroutines that are ready together is not reproducible.
func (w *Cluster) spread(key string) time.Duration { return 97 * w.latency(key, "") }

// target returns the entry instance for an attempt: the first one's own, then the others in turn.
func (w *Cluster) target(first string, n int) string {
	names := []string{"a", "b", "c"}
	for i, name := range names {
		if name == first {
			return names[(i+n)%len(names)]
		}
	}
	return first
}

func (w *Cluster) attempt(q request, at string, body []byte, known record.Call) record.Call {
	ctx, cancel := context.WithTimeout(context.Background(), answerWithin+q.run)
	defer cancel()
	h := http.Header{"Idempotency-Key": {q.key}}
	if q.once {
		h.Set("Idempotent", "?0")
	}
	if q.async {
		h.Set("Prefer", "respond-async")
	}
	if q.queue == targetQueue {
		h.Set("Target", "1")
	}
	res, reply, err := w.send(ctx, http.MethodPost, at, "/v1/queues/"+string(q.queue)+"/tasks", h, body)
	if err == nil && res.StatusCode == http.StatusAccepted {
		accepted := known
		accepted.Event, accepted.Time = record.Accepted, record.Now()
		w.calls.Write(accepted)
		res, reply, err = w.fetch(ctx, at, res.Header.Get("Location"))
	}
	return outcome(known, res, reply, err)
}

// fetch polls for the result of an asynchronous task until it has ended.
func (w *Cluster) fetch(ctx context.Context, at, location string) (*http.Response, []byte, error) {
	for n := 0; ; n++ {
		res, reply, err := w.send(ctx, http.MethodGet, w.target(at, n), location, http.Header{"Prefer": {"wait=2"}}, nil)
		if err == nil && res.StatusCode != http.StatusAccepted && res.StatusCode != http.StatusServiceUnavailable {
			return res, reply, nil
		}
		if ctx.Err() != nil {
			return res, reply, ctx.Err()
		}
		time.Sleep(retryPause)
	}
}

func outcome(known record.Call, res *http.Response, reply []byte, err error) record.Call {
	known.Length, known.Digest = 0, ""
	switch {
	case err != nil:
		// A refused connection is no answer of the system either: an earlier attempt may have run.
		known.Event = record.Unknown
	case res.StatusCode == http.StatusOK:
		sum := sha256.Sum256(reply)
		known.Event, known.Task = record.Answered, res.Header.Get("Task-Id")
		known.Length, known.Digest = int64(len(reply)), hex.EncodeToString(sum[:])
	default:
		var p struct {
			Kind reject.Kind `json:"kind"`
			Work reject.Work `json:"work"`
		}
		_ = json.Unmarshal(reply, &p)
		known.Event, known.Kind, known.Work = record.Refused, p.Kind, p.Work
		if p.Work == reject.WorkUnknown || p.Work == "" {
			known.Event = record.Unknown
		}
	}
	return known
}

// send makes one request of a caller or operator.
func (w *Cluster) send(ctx context.Context, method, at, path string, h http.Header, body []byte) (*http.Response, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	r.Header = h
	if h.Get("Authorization") == "" {
		h.Set("Authorization", "Bearer yh_k_"+secret)
	}
	time.Sleep(w.latency("caller", at))
	res, err := w.net.RoundTrip(r)
	if err != nil {
		return nil, nil, err
	}
	reply, err := io.ReadAll(res.Body)
	return res, reply, err
}

// submit starts requests at an entry instance.
func (w *Cluster) submit(n int, q request) {
	for i := range n {
		c := q
		if c.key == "" {
			w.mu.Lock()
			w.requests++
			c.key = fmt.Sprintf("r%d", w.requests)
			w.mu.Unlock()
		} else if n > 1 {
			c.key = fmt.Sprintf("%s%d", q.key, i+1)
		}
		w.running.Go(func() { w.call(c) })
		time.Sleep(submitPause)
	}
}
