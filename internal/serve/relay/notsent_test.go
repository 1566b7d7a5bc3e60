package relay

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
)

// slowDial is a worker to which the first copy of an order gets no connection. The second copy is executed, and answered
// after a time.
type slowDial struct {
	answerAfter time.Duration
	calls       atomic.Int64
	executed    atomic.Bool
}

func (w *slowDial) call(ctx context.Context) engine.Outcome {
	ctx, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	if w.calls.Add(1) == 1 {
		<-ctx.Done()
		return engine.NotSent
	}
	w.executed.Store(true)
	select {
	case <-time.After(w.answerAfter):
		return engine.Applied
	case <-ctx.Done():
		return engine.NoReply
	}
}

// Execute implements Workers.
func (w *slowDial) Execute(ctx context.Context, _ engine.Command, _ int64) engine.Outcome {
	return w.call(ctx)
}

// Renew implements Workers.
func (w *slowDial) Renew(ctx context.Context, _ engine.Renewal, _ int64) (work.RenewalReply, engine.Outcome) {
	o := w.call(ctx)
	if o != engine.Applied {
		return work.RenewalReply{}, o
	}
	return work.RenewalReply{Ended: []work.End{{Number: 1, How: work.Done}}}, o
}

// Guards against two runs of a task at once: the first copy of a start got no connection, the second one was executed, and
// the start counted as not sent, so that the task started elsewhere. A reply with ended runs was dropped in the same way.
func TestSecondCopyOfOrderNotSent(t *testing.T) {
	start, renewal := Order{Command: engine.Start{Worker: "w"}}, Order{Renewal: engine.Renewal{Worker: "w"}}
	for _, x := range []struct {
		name        string
		order       Order
		answerAfter time.Duration
		outcome     engine.Outcome
		ends        int
	}{
		{"start answered", start, testReply, engine.AppliedAgain, 0},
		{"answer to start lost", start, time.Minute, engine.NoReply, 0},
		{"renewal answered", renewal, testReply, engine.Applied, 1},
		{"answer to renewal lost", renewal, time.Minute, engine.NoReply, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &slowDial{answerAfter: x.answerAfter}
				r := NewExecutor(w, zap.NewNop()).Run(t.Context(), x.order, func() bool { return true })
				synctest.Wait()
				if !w.executed.Load() {
					t.Fatal("the second copy was not sent")
				}
				if r.Outcome != x.outcome || len(r.Reply.Ended) != x.ends {
					t.Errorf("%s with %d ends, want %s with %d", r.Outcome, len(r.Reply.Ended), x.outcome, x.ends)
				}
			})
		})
	}
}
