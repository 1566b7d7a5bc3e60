package engine

import (
	"fmt"
	"testing"
	"testing/synctest"
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

// Load pattern: many relays, each of which bears hundreds of starts, and workers that don't reply. Guards against a record of starts
// that is too large for a transaction, which the store would refuse from every leader.
func TestOpenStartsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := newTestScheduler(t, work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p"}}},
			[]work.Worker{{ID: "w1", Pool: "p", Capacity: work.Need{CPU: 10000}}})
		sc.SetRelays(1000)
		if _, err := sc.Submit(work.Job{ID: "00000000000000aa", Queue: "q", Accepted: time.Now().UnixMilli(),
			Steps: []work.Step{{Count: 6000, Need: work.Need{CPU: 1}}}}); err != nil {
			t.Fatal(err)
		}
		store(t, sc)
		size, starts := 0, 0
		for range 3 {
			rows := map[string][]byte{}
			sc.Commands()
			for _, c := range recordStarts(sc, rows) {
				starts++
				sc.HandleOutcome(c, RelayLost, time.Now())
			}
			for _, v := range rows {
				size += len(v)
			}
		}
		if starts != maxOpenStarts || size > 400<<10 {
			t.Errorf("%d starts, %d bytes", starts, size)
		}
	})
}

// Load pattern: a backlog while the store is slow to record starts. Guards against starting all of it at once when the store has
// recorded it, instead of by its rank.
func TestPlannedStartsCountTowardsTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := newTestScheduler(t, work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p"}}},
			[]work.Worker{{ID: "w1", Pool: "p", Capacity: work.Need{CPU: 1000}}})
		if _, err := sc.Submit(work.Job{ID: "00000000000000aa", Queue: "q", Accepted: time.Now().UnixMilli(),
			Steps: []work.Step{{Count: 500, Need: work.Need{CPU: 1}}}}); err != nil {
			t.Fatal(err)
		}
		store(t, sc)
		for range 5 {
			sc.Commands()
			time.Sleep(2 * pendingStartTimeout)
		}
		if n := len(recordStarts(sc, map[string][]byte{})); n != minPendingStarts {
			t.Errorf("%d starts at once, want %d", n, minPendingStarts)
		}
	})
}
