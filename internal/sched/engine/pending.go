package engine

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

const (
	// minPendingStarts and maxPendingStarts are the limits of the bound on the starts whose replies are outstanding. The
	// bound makes a backlog wait in the plan, where it is ranked, and not in requests whose time-outs run. A gang may
	// exceed it.
	minPendingStarts, maxPendingStarts = 64, 512
	// pendingStartTimeout is how long a start counts towards the bound, so that workers that do not reply don't keep
	// tasks from others.
	pendingStartTimeout = 100 * time.Millisecond
	// lateReply is the time from which a reply shows that this process has more to do than it gets processor time for.
	// Workers reply within about 5 ms.
	lateReply = 50 * time.Millisecond
	// relayedLateReply and relayedStartTimeout are the same for orders through relays, which pass on replies in batches.
	relayedLateReply    = 150 * time.Millisecond
	relayedStartTimeout = 250 * time.Millisecond
	// startLimitGain is how much the bound grows with each reply in time while it holds starts back, startLimitLoss how
	// much it shrinks with each late one. It grows unless more than one in nine replies is late, as those of slow workers
	// are.
	startLimitGain, startLimitLoss = 1.0 / 8, 1
)

// SetRelays sets the number of relays through which orders are sent: each of them bears as many outstanding starts as this
// process, and their replies take longer.
func (sc *Scheduler) SetRelays(n int) {
	p := &sc.pending
	p.scale, p.lateReply, p.timeout = 1, lateReply, pendingStartTimeout
	if n > 0 {
		p.scale, p.lateReply, p.timeout = float64(n), relayedLateReply, relayedStartTimeout
	}
	p.limit = min(max(p.limit, minPendingStarts*p.scale), maxPendingStarts*p.scale)
}

// pendingStarts bounds the starts whose replies are outstanding. The bound adapts to the processor time that this process
// gets: it grows while most replies arrive in time, and shrinks while they are late.
type pendingStarts struct {
	// issued are the starts that count, with the times at which they were sent; zero for planned ones.
	issued map[work.RunKey]time.Time
	limit  float64
	// held means that the last planning pass ended at the limit.
	held bool
	// scale multiplies the limits of the bound; lateReply and timeout are those of the constants that apply.
	scale              float64
	lateReply, timeout time.Duration
}

func newPendingStarts() pendingStarts {
	return pendingStarts{issued: map[work.RunKey]time.Time{}, limit: minPendingStarts, scale: 1, lateReply: lateReply,
		timeout: pendingStartTimeout}
}

// prune removes the starts that no longer count.
func (p *pendingStarts) prune(now time.Time) {
	for key, at := range p.issued {
		if !at.IsZero() && now.Sub(at) >= p.timeout {
			delete(p.issued, key)
		}
	}
}

// allow reports whether the outstanding replies allow another start.
func (p *pendingStarts) allow() bool { return len(p.issued) < int(p.limit) }

// handleOutcome records the outcome of a start that was sent at a time. Without a reply it says nothing of this process.
func (p *pendingStarts) handleOutcome(key work.RunKey, result Outcome, sent, now time.Time) {
	delete(p.issued, key)
	switch {
	case result == NoReply || result == NotSent || result == RelayNoReply || result == RelayNotSent || result == RelayLost ||
		result.ofTwoCopies():
	case now.Sub(sent) < p.lateReply:
		if p.held {
			p.limit = min(p.limit+startLimitGain*p.scale, maxPendingStarts*p.scale)
		}
	default:
		p.limit = max(p.limit-startLimitLoss*p.scale, minPendingStarts*p.scale)
	}
}

// AwaitsStartReplies reports whether the last planning pass ended at the bound on outstanding starts, so that a reply
// calls for another pass.
func (sc *Scheduler) AwaitsStartReplies() bool { return sc.pending.held }
