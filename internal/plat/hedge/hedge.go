// Package hedge sends further copies of calls that get no reply in the usual time, while the earlier copies are outstanding. It
// is for calls of which copies do no harm, to a service that loses replies.
package hedge

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// maxCopies is the largest number of copies of one call.
	maxCopies = 6
	// usualFactor is how long a call may take before the second copy is sent, as a multiple of the slowest of the last
	// recentReplies; minDelay and maxDelay bound that time, firstDelay is that before any reply. Further copies follow after half
	// of it.
	usualFactor   = 2
	recentReplies = 8
	minDelay      = 60 * time.Millisecond
	maxDelay      = 700 * time.Millisecond
	firstDelay    = 300 * time.Millisecond
	// copyShare is the number of further copies that each reply allows which came before a second copy was due, and maxSaved
	// the largest number that may be saved up: a service that has become slow for all calls gets few copies.
	copyShare = 1
	maxSaved  = 16
)

// Pacer knows how long replies of a service usually take and how many copies may be sent. It is safe for concurrent use.
type Pacer struct {
	mu sync.Mutex
	// recent are how long the last replies took, at most recentReplies.
	recent []time.Duration
	saved  float64
}

// NewPacer returns a pacer that knows no replies yet.
func NewPacer() *Pacer { return &Pacer{saved: maxSaved} }

// delay returns the time after which the second copy of a call is due.
func (p *Pacer) delay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.recent) == 0 {
		return firstDelay
	}
	return min(max(usualFactor*slices.Max(p.recent), minDelay), maxDelay)
}

// observe records the reply to a copy, and whether it came before a second one was due.
func (p *Pacer) observe(took time.Duration, inTime bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.recent) == recentReplies {
		p.recent = p.recent[1:]
	}
	p.recent = append(p.recent, took)
	if inTime {
		p.saved = min(p.saved+copyShare, maxSaved)
	}
}

// allow reports whether a further copy may be sent now, and counts it.
func (p *Pacer) allow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.saved < 1 {
		return false
	}
	p.saved--
	return true
}

// reply is the reply to one copy.
type reply[A any] struct {
	value A
	err   error
	took  time.Duration
}

// Do makes a call and returns the first conclusive reply to any copy of it, after which it cancels the other copies. The call gets
// the number of the copy, from 0. An error is conclusive if isConclusive says so. Without a conclusive reply it returns the error
// of the copy that failed first.
func Do[A any](ctx context.Context, p *Pacer, isConclusive func(error) bool,
	call func(ctx context.Context, number int) (A, error)) (A, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan reply[A], maxCopies)
	send := func(number int) {
		sent := time.Now()
		go func() {
			value, err := call(ctx, number)
			replies <- reply[A]{value, err, time.Since(sent)}
		}()
	}
	send(0)
	copies, outstanding, inTime := 1, 1, true
	delay := p.delay()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var failed error
	for {
		select {
		case r := <-replies:
			outstanding--
			if r.err == nil || isConclusive(r.err) {
				p.observe(r.took, inTime)
				return r.value, r.err
			}
			if failed == nil {
				failed = r.err
			}
			if outstanding == 0 {
				return r.value, failed
			}
		case <-timer.C:
			inTime = false
			if copies < maxCopies && p.allow() {
				send(copies)
				copies++
				outstanding++
				timer.Reset(max(delay/2, minDelay))
			}
		}
	}
}
