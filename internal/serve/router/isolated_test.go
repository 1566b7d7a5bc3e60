package router

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/state/rules"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// cutLeader is the leader service of a process that still takes itself for the leader although it is cut off: nothing that
// it is sent gets stored.
type cutLeader struct {
	fakeLeader
	authority atomic.Bool
}

// HasAuthority implements LocalLeader.
func (l *cutLeader) HasAuthority() bool { return l.authority.Load() }

// Load pattern: single instances are cut off for seconds and go on receiving callers' requests. Guards against requests that
// wait there until the callers' deadlines, although other instances could serve them: they are rejected at once, as not run
// if nothing was sent.
func TestIsolatedInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cache := rules.NewCache()
		cache.Confirm(time.Now())
		l := &cutLeader{fakeLeader: fakeLeader{results: []peer.Result{peer.Unknown}}}
		l.authority.Store(true)
		r := New("e1", cache, l, nil, zap.NewNop())
		submit := func() (string, time.Duration) {
			ctx, cancel := RequestContext(t.Context(), 0)
			defer cancel()
			began := time.Now()
			err := r.Submit(ctx, Admission{}, work.Job{ID: "a"})
			return outcome(err), time.Since(began)
		}
		time.Sleep(time.Second)
		time.AfterFunc(1500*time.Millisecond, func() { l.authority.Store(false) })
		// The cut has begun, and is noticed when the rules are 1.5 s old and authority has ended.
		if got, took := submit(); got != "unconfirmed, work unknown" || took > 1700*time.Millisecond {
			t.Errorf("a request in flight: %s after %v", got, took)
		}
		if got, took := submit(); got != "stale, work not-run" || took > 0 {
			t.Errorf("a request to an isolated instance: %s after %v", got, took)
		}
		cache.Confirm(time.Now())
		if r.Isolated() {
			t.Error("isolated although the store answers")
		}
	})
}

// Guards against an instance that counts as isolated while it reaches the leader, or while it has just started.
func TestNotIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tracker fakeTracker
		cache := rules.NewCache()
		r := New("e1", cache, &notLeader{}, nil, zap.NewNop())
		r.SetLeaderTracker(&tracker)
		check := func(when string, want bool) {
			t.Helper()
			if got := r.Isolated(); got != want {
				t.Errorf("%s: isolated %t", when, got)
			}
		}
		check("after the start", false)
		time.Sleep(5 * time.Second)
		check("without the store and the leader", true)
		r.handleHeartbeat(elect.LeaderRecord{Term: 3}, peer.HeartbeatReply{IsLeader: true, Term: 3}, nil)
		check("the leader has replied", false)
		time.Sleep(5 * time.Second)
		check("the leader is silent again", true)
		cache.Confirm(time.Now())
		check("the store answers", false)
	})
}
