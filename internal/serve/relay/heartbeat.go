package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

const (
	// checkInterval is the time between two checks for messages, maxMissed the number of checks in a row without one after
	// which the other side counts as silent. Counting checks instead of time keeps a process that is short of processor
	// time from taking the other side for silent.
	checkInterval = 100 * time.Millisecond
	maxMissed     = 6
)

var errSilent = errors.New("relay: no messages")

// heartbeat detects that no messages come any more on a stream whose other side sends them every 100 ms at least.
type heartbeat struct{ beaten atomic.Bool }

// beat records that a message has come.
func (h *heartbeat) beat() { h.beaten.Store(true) }

// await returns errSilent when no message has come for maxMissed checks in a row, and nil when the context ends.
func (h *heartbeat) await(ctx context.Context) error {
	for missed := 0; missed < maxMissed; {
		select {
		case <-time.After(checkInterval):
		case <-ctx.Done():
			return nil
		}
		if h.beaten.Swap(false) {
			missed = 0
		} else {
			missed++
		}
	}
	return errSilent
}
