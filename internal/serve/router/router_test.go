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

// holder gives scripted verdicts, one a call; the last one stays.
type holder struct{ verdicts []peer.Result }

func (h *holder) next() peer.JobReply {
	v := h.verdicts[0]
	if len(h.verdicts) > 1 {
		h.verdicts = h.verdicts[1:]
	}
	return peer.JobReply{Result: v, State: work.Running}
}

func (h *holder) IsLeader() bool                                           { return true }
func (h *holder) Submit(context.Context, peer.SubmitRequest) peer.JobReply { return h.next() }
func (h *holder) Job(context.Context, peer.JobRequest) peer.JobReply       { return h.next() }
func (h *holder) Waiting(string) peer.WaitingReply                         { return peer.WaitingReply{} }
func (h *holder) HandleHeartbeat(peer.HeartbeatRequest) peer.HeartbeatReply {
	return peer.HeartbeatReply{}
}

// Guards against refusals that say "not run" although an earlier try of the same request may have been stored, and
// against waiting for a holder until the caller's deadline.
func TestVerdicts(t *testing.T) {
	datadriven.RunTest(t, "testdata/verdicts.txt", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			var h holder
			for _, v := range strings.Fields(line) {
				h.verdicts = append(h.verdicts, peer.Result(v))
			}
			synctest.Test(t, func(t *testing.T) {
				g := New("e1", nil, &h, nil, zap.NewNop())
				ctx, cancel := RequestContext(t.Context(), 0)
				defer cancel()
				began := time.Now()
				var err error
				switch d.Cmd {
				case "submit":
					err = g.Submit(ctx, Admission{}, work.Job{ID: "a"})
				case "cancel":
					err = g.Cancel(ctx, "a")
				case "state":
					_, err = g.State(ctx, "a")
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

// pokes counts how often the row of the seat is to be looked at.
type pokes int

func (p *pokes) Leader() (elect.LeaderRecord, bool) { return elect.LeaderRecord{Term: 3}, true }
func (p *pokes) ObserveLeader(elect.LeaderRecord)   {}
func (p *pokes) Wake()                              { *p++ }

// Guards against a holder that is believed fit although it can't confirm the seat, and against one that is replaced for
// a single refused transaction.
func TestHear(t *testing.T) {
	tests := []struct {
		name                        string
		reply                       peer.HeartbeatReply
		err                         error
		alive, ended, refused, poke bool
	}{
		{name: "well", reply: peer.HeartbeatReply{IsLeader: true, Term: 3, SinceConfirmed: 100 * time.Millisecond}, alive: true},
		{name: "refused once", reply: peer.HeartbeatReply{IsLeader: true, Term: 3, StoreRefusedFor: 50 * time.Millisecond}, alive: true},
		{name: "refused", reply: peer.HeartbeatReply{IsLeader: true, Term: 3, StoreRefusedFor: 350 * time.Millisecond}, refused: true, poke: true},
		{name: "not confirmed", reply: peer.HeartbeatReply{IsLeader: true, Term: 3, SinceConfirmed: 2 * time.Second}, poke: true},
		{name: "another process", reply: peer.HeartbeatReply{}, ended: true, poke: true},
		{name: "silent", err: context.DeadlineExceeded, poke: true},
		{name: "ended", err: syscall.ECONNREFUSED, ended: true, poke: true},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			var p pokes
			g := New("e1", nil, &holder{}, nil, zap.NewNop())
			g.SetLeaderTracker(&p)
			g.hear(elect.LeaderRecord{Term: 3}, x.reply, x.err)
			if g.Alive(3) != x.alive || g.ProcessExited(3) != x.ended || g.StoreRefused(3) != x.refused || (p > 0) != x.poke {
				t.Errorf("alive %t, ended %t, refused %t, %d looks", g.Alive(3), g.ProcessExited(3), g.StoreRefused(3), p)
			}
		})
	}
}
