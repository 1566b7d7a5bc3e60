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
	// attemptTimeout bounds one attempt of a caller. It exceeds the queue's timeout of 20 s plus the longest freeze.
	attemptTimeout = 40 * time.Second
	// retryDuration is how long callers continue to retry after all faults are healed.
	retryDuration = 10 * time.Second
	retryInterval = 300 * time.Millisecond
	// submitInterval separates the requests of one submit command.
	submitInterval = 3 * time.Millisecond
)

func keyHash() (string, string) {
	raw, _ := hex.DecodeString(salt)
	sum := sha256.Sum256(append(raw, secret...))
	return `"` + salt + `"`, `"` + hex.EncodeToString(sum[:]) + `"`
}

// request is one task that a caller submits.
type request struct {
	key     string
	queue   fleet.QueueName
	once    bool
	async   bool
	runTime time.Duration
	at      string // the entry instance that receives the first attempt
}

func (q request) input() []byte {
	return input.Encode(input.Header{Run: q.runTime.Milliseconds(), Size: 64}, []byte(q.key))
}

// call sends a request and retries it until it is answered or is refused after its work ran, or until retryDuration has
// passed since all faults were healed.
func (cl *Cluster) call(q request) {
	body := q.input()
	sum := sha256.Sum256(input.Answer(body))
	base := record.Call{ID: q.key, Team: team, Queue: q.queue, Key: q.key, Once: q.once,
		Length: 64, Digest: hex.EncodeToString(sum[:])}
	healed := time.Time{}
	for n := 0; ; n++ {
		at := cl.entryForAttempt(q.at, n)
		sent := base
		sent.Event, sent.Time = record.Submitted, record.Now()
		cl.calls.Write(sent)
		final := cl.attempt(q, at, body, base)
		final.Time = record.Now()
		cl.calls.Write(final)
		cl.note("call %s at %s: %s %s %s", q.key, at, final.Event, final.Kind, final.Work)
		if final.Event == record.Answered || final.Event == record.Refused && final.Work == reject.WorkRun {
			return
		}
		if cl.isHealed() && healed.IsZero() {
			healed = time.Now()
		}
		if !healed.IsZero() && time.Since(healed) > retryDuration || cl.hasEnded() {
			return
		}
		time.Sleep(retryInterval + cl.jitter(q.key))
	}
}

// jitter is the extra pause before a retry, by request key. Without it callers that were answered at the same moment
// would retry at the same moment, and the order of goroutines that become ready together is not reproducible. It is 19
// to 97 ms, since a latency is 0.2 to 1 ms.
func (cl *Cluster) jitter(key string) time.Duration { return 97 * cl.latency(key, "") }

// entryForAttempt returns the entry instance for the n-th attempt: the first one at a given entry instance, the next
// ones at the others in turn.
func (cl *Cluster) entryForAttempt(first string, n int) string {
	names := []string{"a", "b", "c"}
	for i, name := range names {
		if name == first {
			return names[(i+n)%len(names)]
		}
	}
	return first
}

func (cl *Cluster) attempt(q request, at string, body []byte, base record.Call) record.Call {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout+q.runTime)
	defer cancel()
	h := http.Header{"Idempotency-Key": {q.key}}
	if q.once {
		h.Set("Idempotent", "?0")
	}
	if q.async {
		h.Set("Prefer", "respond-async")
	}
	if q.queue == targetQueue {
		// Entry.handler marks the message as the row's own by this header.
		h.Set("Target", "1")
	}
	res, reply, err := cl.send(ctx, http.MethodPost, at, "/v1/queues/"+string(q.queue)+"/tasks", h, body)
	if err == nil && res.StatusCode == http.StatusAccepted {
		accepted := base
		accepted.Event, accepted.Time = record.Accepted, record.Now()
		cl.calls.Write(accepted)
		res, reply, err = cl.fetch(ctx, at, res.Header.Get("Location"))
	}
	return outcome(base, res, reply, err)
}

// fetch polls for the result of an asynchronous task until the task or the context has ended.
func (cl *Cluster) fetch(ctx context.Context, at, location string) (*http.Response, []byte, error) {
	for n := 0; ; n++ {
		res, reply, err := cl.send(ctx, http.MethodGet, cl.entryForAttempt(at, n), location,
			http.Header{"Prefer": {"wait=2"}}, nil)
		if err == nil && res.StatusCode != http.StatusAccepted && res.StatusCode != http.StatusServiceUnavailable {
			return res, reply, nil
		}
		if ctx.Err() != nil {
			return res, reply, ctx.Err()
		}
		time.Sleep(retryInterval)
	}
}

// outcome returns the record of an attempt's end.
func outcome(base record.Call, res *http.Response, reply []byte, err error) record.Call {
	base.Length, base.Digest = 0, ""
	switch {
	case err != nil:
		// A refused connection leaves the outcome unknown too: an earlier attempt may have run.
		base.Event = record.Unknown
	case res.StatusCode == http.StatusOK:
		sum := sha256.Sum256(reply)
		base.Event, base.Task = record.Answered, res.Header.Get("Task-Id")
		base.Length, base.Digest = int64(len(reply)), hex.EncodeToString(sum[:])
	default:
		var p struct {
			Kind reject.Kind `json:"kind"`
			Work reject.Work `json:"work"`
		}
		_ = json.Unmarshal(reply, &p)
		base.Event, base.Kind, base.Work = record.Refused, p.Kind, p.Work
		if p.Work == reject.WorkUnknown || p.Work == "" {
			base.Event = record.Unknown
		}
	}
	return base
}

// send makes one HTTP request of a caller or an operator.
func (cl *Cluster) send(ctx context.Context, method, at, path string, h http.Header,
	body []byte) (*http.Response, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	r.Header = h
	if h.Get("Authorization") == "" {
		h.Set("Authorization", "Bearer yh_k_"+secret)
	}
	time.Sleep(cl.latency("caller", at))
	res, err := cl.net.RoundTrip(r)
	if err != nil {
		return nil, nil, err
	}
	reply, err := io.ReadAll(res.Body)
	return res, reply, err
}

// submit starts n requests in the background.
func (cl *Cluster) submit(n int, q request) {
	for i := range n {
		c := q
		if c.key == "" {
			cl.mu.Lock()
			cl.requests++
			c.key = fmt.Sprintf("r%d", cl.requests)
			cl.mu.Unlock()
		} else if n > 1 {
			c.key = fmt.Sprintf("%s%d", q.key, i+1)
		}
		cl.running.Go(func() { cl.call(c) })
		time.Sleep(submitInterval)
	}
}
