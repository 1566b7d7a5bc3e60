package rest

import (
	"math"
	"sync"
	"time"
)

const (
	// slowFactor is the time-out of a service that replies slowly, as a multiple of its slowest recent reply.
	slowFactor = 2
	// slowHalfLife is the time in which a slow reply counts half.
	slowHalfLife = time.Second
)

// replyTimes holds the slowest recent reply, which counts less the older it is. It is safe for concurrent use.
type replyTimes struct {
	mu      sync.Mutex
	slowest time.Duration
	at      time.Time
}

// add records that a reply took a duration.
func (t *replyTimes) add(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if took >= t.decayed(now) {
		t.slowest, t.at = took, now
	}
}

// recent returns the slowest recent reply.
func (t *replyTimes) recent() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.decayed(time.Now())
}

func (t *replyTimes) decayed(now time.Time) time.Duration {
	return time.Duration(float64(t.slowest) * math.Exp2(-float64(now.Sub(t.at))/float64(slowHalfLife)))
}

// callTimeout returns the time-out of a call: the configured one, or a longer one while the service replies slowly.
func (c *Caller) callTimeout() time.Duration {
	if c.slowTimeout <= c.timeout {
		return c.timeout
	}
	return min(max(c.timeout, slowFactor*c.replies.recent()), c.slowTimeout)
}
