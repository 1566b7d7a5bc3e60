package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Guards against a bound on the starts without a reply that leaves workers idle although this process could issue more,
// and against one that stays high although the process reads the replies late.
func TestBoundOnStartsAdapts(t *testing.T) {
	now := time.Now()
	p := newPendingStarts()
	// round issues as many starts as allowed and reports an outcome of all of them after some time.
	round := func(took time.Duration, result Outcome) (issued int) {
		p.prune(now)
		for ; p.allow(); issued++ {
			p.issued[work.RunKey{Task: work.TaskID{Job: work.JobID(fmt.Sprint(now.UnixNano())), Index: issued}}] = now
		}
		p.held = true
		sent := now
		now = now.Add(took)
		for key := range p.issued {
			p.handleOutcome(key, result, sent, now)
		}
		return issued
	}
	if n := round(5*time.Millisecond, Applied); n != minPendingStarts {
		t.Errorf("%d starts at first", n)
	}
	for range 100 {
		round(5*time.Millisecond, Applied)
	}
	if n := round(5*time.Millisecond, Applied); n != maxPendingStarts {
		t.Errorf("%d starts after replies in time", n)
	}
	round(450*time.Millisecond, NoReply)
	if n := round(150*time.Millisecond, Full); n != maxPendingStarts {
		t.Errorf("%d starts after starts without a reply", n)
	}
	for range 10 {
		round(150*time.Millisecond, Applied)
	}
	if n := round(150*time.Millisecond, Applied); n != minPendingStarts {
		t.Errorf("%d starts after many late replies", n)
	}
}
