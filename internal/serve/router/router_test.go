package router

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// fakeLeader returns scripted results, one per call; the last one repeats. The result pendingResult is a reply after the time
// that the request allows.
type fakeLeader struct{ results []peer.Result }

const pendingResult peer.Result = "pending"

func (l *fakeLeader) next(wait time.Duration) peer.JobReply {
	result := l.results[0]
	if len(l.results) > 1 {
		l.results = l.results[1:]
	}
	if result == pendingResult {
		time.Sleep(wait)
		return peer.JobReply{Result: peer.Unknown, Pending: true}
	}
	return peer.JobReply{Result: result, State: work.Running}
}

func (l *fakeLeader) IsLeader() bool     { return true }
func (l *fakeLeader) HasAuthority() bool { return true }
func (l *fakeLeader) Submit(_ context.Context, q peer.SubmitRequest) peer.JobReply {
	return l.next(q.Wait)
}
func (l *fakeLeader) Job(_ context.Context, q peer.JobRequest) peer.JobReply { return l.next(q.Wait) }
func (l *fakeLeader) Waiting(peer.WaitingRequest) peer.WaitingReply          { return peer.WaitingReply{} }
func (l *fakeLeader) HandleHeartbeat(peer.HeartbeatRequest) peer.HeartbeatReply {
	return peer.HeartbeatReply{}
}

// Guards against replies that a request has not run although an earlier attempt of the same request may have been
// stored, and against requests that wait for a leader until the caller's deadline.
func TestResults(t *testing.T) {
	datadriven.RunTest(t, "testdata/verdicts.txt", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		var deadline time.Duration
		if d.HasArg("deadline") {
			var text string
			d.ScanArgs(t, "deadline", &text)
			var err error
			if deadline, err = time.ParseDuration(text); err != nil {
				t.Fatal(err)
			}
		}
		for _, line := range strings.Split(d.Input, "\n") {
			var l fakeLeader
			for _, result := range strings.Fields(line) {
				l.results = append(l.results, peer.Result(result))
			}
			synctest.Test(t, func(t *testing.T) {
				r := New("e1", nil, &l, nil, zap.NewNop())
				ctx, cancel := RequestContext(t.Context(), deadline)
				defer cancel()
				began := time.Now()
				var err error
				switch d.Cmd {
				case "submit":
					err = r.Submit(ctx, Admission{}, work.Job{ID: "a"})
				case "cancel":
					err = r.Cancel(ctx, Admission{}, "a")
				case "state":
					_, err = r.State(ctx, Admission{}, "a")
				}
				fmt.Fprintf(&out, "%s: %s after %v\n", line, outcome(err), time.Since(began))
			})
		}
		return out.String()
	})
}

func outcome(err error) string {
	var r *reject.Error
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &r):
		return fmt.Sprintf("%s, work %s", r.Kind, r.Work)
	}
	return err.Error()
}

// fakeTracker counts its wakes.
type fakeTracker int

func (t *fakeTracker) Leader() (elect.LeaderRecord, bool) { return elect.LeaderRecord{Term: 3}, true }
func (t *fakeTracker) ObserveLeader(elect.LeaderRecord)   {}
func (t *fakeTracker) Wake()                              { *t++ }

func (t *fakeTracker) AcceptOffer(elect.LeaderRecord, time.Duration) bool { return false }

// Guards against a leader that counts as alive although it can't confirm its leadership, and against one that is
// replaced after a single refused transaction.
func TestHandleHeartbeat(t *testing.T) {
	tests := []struct {
		name                          string
		reply                         peer.HeartbeatReply
		err                           error
		alive, exited, refused, wakes bool
	}{
		{name: "well", reply: peer.HeartbeatReply{IsLeader: true, Term: 3, SinceConfirmed: 100 * time.Millisecond},
			alive: true},
		{name: "refused once", reply: peer.HeartbeatReply{IsLeader: true, Term: 3, StoreRefusedFor: 50 * time.Millisecond},
			alive: true},
		{name: "refused", reply: peer.HeartbeatReply{IsLeader: true, Term: 3, StoreRefusedFor: 350 * time.Millisecond},
			refused: true, wakes: true},
		{name: "not confirmed", reply: peer.HeartbeatReply{IsLeader: true, Term: 3, SinceConfirmed: 2 * time.Second},
			wakes: true},
		{name: "another process", reply: peer.HeartbeatReply{Boot: "e0.2"}, exited: true, wakes: true},
		{name: "another process of a former build", reply: peer.HeartbeatReply{}, exited: true, wakes: true},
		{name: "does not know yet that it leads", reply: peer.HeartbeatReply{Boot: "e0.1"}, wakes: true},
		{name: "silent", err: context.DeadlineExceeded, wakes: true},
		{name: "ended", err: syscall.ECONNREFUSED, exited: true, wakes: true},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			var tracker fakeTracker
			r := New("e1", nil, &fakeLeader{}, nil, zap.NewNop())
			r.SetLeaderTracker(&tracker)
			r.handleHeartbeat(elect.LeaderRecord{Boot: "e0.1", Term: 3}, x.reply, x.err)
			if r.Alive(3) != x.alive || r.ProcessExited(3) != x.exited || r.StoreRefused(3) != x.refused ||
				(tracker > 0) != x.wakes {
				t.Errorf("alive %t, exited %t, refused %t, %d wakes", r.Alive(3), r.ProcessExited(3), r.StoreRefused(3), tracker)
			}
		})
	}
}

// Guards against heartbeats that echo another stamp than that of the last reply, so that the leader takes them as proof
// of what their sender knew at another time.
func TestHeartbeatEcho(t *testing.T) {
	var tracker fakeTracker
	r := New("e1", nil, &fakeLeader{}, nil, zap.NewNop())
	r.SetLeaderTracker(&tracker)
	check := func(stamp time.Duration, term int64) {
		t.Helper()
		if s, n := r.lastStamp(); s != stamp || n != term {
			t.Errorf("stamp %v of term %d, want %v of term %d", s, n, stamp, term)
		}
	}
	check(0, 0)
	r.handleHeartbeat(elect.LeaderRecord{Term: 3}, peer.HeartbeatReply{IsLeader: true, Term: 3, Stamp: time.Second}, nil)
	check(time.Second, 3)
	r.handleHeartbeat(elect.LeaderRecord{Term: 3}, peer.HeartbeatReply{}, context.DeadlineExceeded)
	check(time.Second, 3)
	r.handleHeartbeat(elect.LeaderRecord{Term: 3}, peer.HeartbeatReply{}, nil)
	check(0, 0)
}

// Guards against an instance that refuses by itself a job which the leader has accepted: a caller whose answer was lost sends the
// job again while the leader refuses others of the same queue and customer.
func TestAcceptedJobIsNotRefusedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLeader{results: []peer.Result{peer.Overloaded, peer.Accepted}}
		r := New("e1", nil, l, nil, zap.NewNop())
		submit := func(id work.JobID) string {
			ctx, cancel := RequestContext(t.Context(), 0)
			defer cancel()
			return outcome(r.Submit(ctx, Admission{}, work.Job{ID: id, Queue: "q", Customer: "c"}))
		}
		if o := submit("00000000000000aa"); o != "overload, work not-run" {
			t.Error(o)
		}
		if o := submit("00000000000000bb"); o != "ok" {
			t.Errorf("the job that the leader has accepted is answered %s", o)
		}
	})
}
