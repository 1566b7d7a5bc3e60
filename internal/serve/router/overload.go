package router

import (
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/reject"
)

// overloads are the leader's recent refusals of jobs. An instance repeats them by itself for a while, which spares a leader
// that is short of processor time the calls. The zero value holds none; it is safe for concurrent use.
type overloads struct {
	mu   sync.Mutex
	held map[overloadKey]heldOverload
}

type overloadKey struct{ queue, customer string }

// heldOverload is a refusal that is repeated until a time; callers may come back at another.
type heldOverload struct{ until, returnAt time.Time }

// check returns the refusal of a job of a queue and a customer, nil if the leader has refused none lately.
func (o *overloads) check(queue, customer string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	h, ok := o.held[overloadKey{queue, customer}]
	if !ok || time.Now().After(h.until) {
		return nil
	}
	return overloadError(time.Until(h.returnAt))
}

// add records a refusal by the leader and returns it.
func (o *overloads) add(queue, customer string, retryAfter time.Duration) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for k, h := range o.held {
		if now.After(h.until) {
			delete(o.held, k)
		}
	}
	if o.held == nil {
		o.held = map[overloadKey]heldOverload{}
	}
	// The leader itself names the customer of a caller whose key it checks.
	if queue != "" {
		o.held[overloadKey{queue, customer}] = heldOverload{now.Add(overloadHold), now.Add(retryAfter)}
	}
	return overloadError(retryAfter)
}

func overloadError(retryAfter time.Duration) error {
	return reject.New(reject.KindOverload, reject.WorkNotRun, "more work than can be done in time").
		WithRetryAfter(max(retryAfter, time.Second))
}
