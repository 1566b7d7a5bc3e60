package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/serve/relay"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/state/rowlog"
)

// countingWorkers counts the calls.
type countingWorkers struct{ calls int }

// Execute implements Workers.
func (w *countingWorkers) Execute(context.Context, engine.Command, int64) engine.Outcome {
	w.calls++
	return engine.Applied
}

// Renew implements Workers.
func (w *countingWorkers) Renew(context.Context, engine.Renewal, int64) (work.RenewalReply, engine.Outcome) {
	w.calls++
	return work.RenewalReply{}, engine.Applied
}

// Guards against a former leader whose process was frozen, and which then sends the commands and renewals that it had
// planned before.
func TestNothingIsSentWithoutAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, err := elect.Acquire(t.Context(), fakes.NewTable().Link(), elect.Identity{Name: "a", Boot: "a.1", Address: "a"},
			table.Item{})
		if err != nil {
			t.Fatal(err)
		}
		var workers countingWorkers
		s := newSession(New(Options{Workers: &workers, Scheduler: engine.DefaultOptions(), Log: zap.NewNop()}), l, rowlog.New(1))
		send := func() {
			s.execute(t.Context(), relay.Order{Command: engine.Start{Worker: "w"}})
			s.execute(t.Context(), relay.Order{Command: engine.Stop{Worker: "w"}})
			s.execute(t.Context(), relay.Order{Renewal: engine.Renewal{Worker: "w"}})
		}
		send()
		if workers.calls != 3 {
			t.Errorf("%d calls with authority", workers.calls)
		}
		time.Sleep(2100 * time.Millisecond)
		send()
		if workers.calls != 3 {
			t.Errorf("%d calls without authority", workers.calls-3)
		}
	})
}
