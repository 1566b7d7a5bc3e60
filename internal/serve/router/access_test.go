package router

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/state/rules"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// keyLeader keeps the last submission and answers each with one result.
type keyLeader struct {
	fakeLeader
	last   peer.SubmitRequest
	result peer.Result
}

// Submit implements LocalLeader.
func (l *keyLeader) Submit(_ context.Context, q peer.SubmitRequest) peer.JobReply {
	l.last = q
	return peer.JobReply{Result: l.result}
}

// Load pattern: keys are granted and withdrawn while some instances are cut off from the store. Guards against callers with
// a new key who are told by such an instance that it is unknown, so that they don't try another one, and against a withdrawn
// key that goes on working there.
func TestOutdatedRules(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cache := rules.NewCache()
		cache.Configure(work.NewConfig(work.Config{Version: 4,
			Queues:    []work.Queue{{Name: "q", Host: "h", Prefix: "/q/"}, {Name: "open", Host: "h", Prefix: "/o/", Open: true}},
			Customers: map[string]work.Customer{"c": {Name: "c", Keys: []string{"known"}}}}))
		cache.Confirm(time.Now())
		l := &keyLeader{result: peer.Accepted}
		if _, err := New("e1", rules.NewCache(), l, nil, zap.NewNop()).Admit("h", "/q/a", "known"); err == nil {
			t.Error("a process that has read no config since its start accepted a key")
		}
		r := New("e1", cache, l, nil, zap.NewNop())
		kind := func(path, key string) reject.Kind {
			a, err := r.Admit("h", path, key)
			if err == nil {
				err = r.Submit(t.Context(), a, work.Job{ID: "a", Queue: a.Queue.Name, Customer: a.Customer})
			}
			var rejection *reject.Error
			if errors.As(err, &rejection) {
				return rejection.Kind
			}
			return ""
		}
		check := func(name string, got, want reject.Kind) {
			t.Helper()
			if got != want {
				t.Errorf("%s: %q, want %q", name, got, want)
			}
		}
		check("current rules, known key", kind("/q/a", "known"), "")
		if l.last.Access != nil || l.last.Job.Customer != "c" {
			t.Errorf("with current rules: %+v", l.last)
		}
		check("current rules, unknown key", kind("/q/a", "new"), reject.KindKey)
		check("current rules, unknown queue", kind("/x/a", "known"), reject.KindQueue)
		time.Sleep(3 * time.Second)
		for _, key := range []string{"known", "new"} {
			l.result = peer.Accepted
			check("outdated rules, accepted by the leader", kind("/q/a", key), "")
			if want := (peer.Access{Queue: "q", Host: "h", Path: "/q/a", Key: key, Version: 4}); l.last.Access == nil || *l.last.Access != want || l.last.Job.Queue != "" ||
				l.last.Job.Customer != "" || l.last.Version != 4 {
				t.Errorf("with outdated rules: %+v", l.last)
			}
			l.result = peer.WrongKey
			check("outdated rules, unknown to the leader", kind("/q/a", key), reject.KindKey)
		}
		l.result = peer.NoQueue
		check("a queue that the leader does not have", kind("/q/a", "known"), reject.KindQueue)
		check("outdated rules, unknown queue", kind("/x/a", "known"), reject.KindStale)
		l.result = peer.Accepted
		check("outdated rules, open queue", kind("/o/a", ""), "")
		l.result = peer.NoQueue
		check("an open queue that the leader does not have", kind("/o/a", ""), reject.KindQueue)
		if l.last.Access == nil || l.last.Access.Queue != "open" {
			t.Errorf("outdated rules, open queue: %+v, the leader is not asked for the queue", l.last)
		}
		cache.Confirm(time.Now())
		check("current again, unknown key", kind("/q/a", "new"), reject.KindKey)
	})
}
