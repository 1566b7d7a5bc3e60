package rest

import (
	"runtime"
	"sync"
	"time"
)

const (
	// maxTimerDelay is how late a timer fires at most in a process that gets enough processor time.
	maxTimerDelay = 20 * time.Millisecond
	// replyHandoffs is how many goroutines a reply passes from the connection to the caller.
	replyHandoffs = 3
	// maxOverrun bounds the time that a call gets beyond its time-out because this process is short of processor time.
	maxOverrun = 2 * time.Second
)

// afterFunc calls a function after a duration, as time.AfterFunc does.
type afterFunc func(d time.Duration, f func()) *time.Timer

// callTimer ends a call that has timed out. A timer that fires late shows that this process is short of processor time,
// so that a reply may have arrived that it has not read yet: the call then gets as much longer as the timer was late.
// Otherwise a process with more work than processor time would take services that reply in time for unresponsive.
type callTimer struct {
	expire func()

	mu    sync.Mutex
	timer *time.Timer
	due   time.Time
	// overrun is how much longer the call has got.
	overrun time.Duration
}

func newCallTimer(after afterFunc, d time.Duration, expire func()) *callTimer {
	t := &callTimer{expire: expire, due: time.Now().Add(d)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = after(d, t.fire)
	return t
}

// fire lets the goroutines that are ready run first, so that it counts as late as those that read replies.
func (t *callTimer) fire() {
	for range replyHandoffs {
		runtime.Gosched()
	}
	if !t.extend(time.Now()) {
		t.expire()
	}
}

// extend prolongs the call if the timer has fired late at a time, and reports whether it did.
func (t *callTimer) extend(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	late := min(now.Sub(t.due), maxOverrun-t.overrun)
	if late <= maxTimerDelay {
		return false
	}
	t.overrun += late
	t.due = now.Add(late)
	t.timer.Reset(late)
	return true
}

// reset lets the call time out after a duration from now.
func (t *callTimer) reset(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.due = time.Now().Add(d)
	t.timer.Reset(d)
}

func (t *callTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
}
