package gate_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/serve/gate"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// holder gives scripted verdicts, one a call; the last one stays.
type holder struct{ verdicts []peer.Verdict }

func (h *holder) next() peer.JobReply {
	v := h.verdicts[0]
	if len(h.verdicts) > 1 {
		h.verdicts = h.verdicts[1:]
	}
	return peer.JobReply{Verdict: v, State: work.Running}
}

func (h *holder) Holds() bool                                              { return true }
func (h *holder) Submit(context.Context, peer.SubmitRequest) peer.JobReply { return h.next() }
func (h *holder) Job(context.Context, peer.JobRequest) peer.JobReply       { return h.next() }
func (h *holder) Waiting(string) peer.WaitingReply                         { return peer.WaitingReply{} }
func (h *holder) Beat(peer.BeatRequest) peer.BeatReply                     { return peer.BeatReply{} }

// Guards against refusals that say "not run" although an earlier try of the same request may have been stored, and
// against waiting for a holder until the caller's deadline.
func TestVerdicts(t *testing.T) {
	datadriven.RunTest(t, "testdata/verdicts.txt", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			var h holder
			for _, v := range strings.Fields(line) {
				h.verdicts = append(h.verdicts, peer.Verdict(v))
			}
			synctest.Test(t, func(t *testing.T) {
				g := gate.New("e1", nil, &h, nil, zap.NewNop())
				ctx, cancel := gate.Patience(t.Context(), 0)
				defer cancel()
				began := time.Now()
				var err error
				switch d.Cmd {
				case "submit":
					err = g.Submit(ctx, gate.Pass{}, work.Job{ID: "a"})
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
