package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
)

// fate is what becomes of one copy of an order.
type fate struct {
	executed, panics bool
	// after is the time until the outcome, unless the context ends first.
	after   time.Duration
	outcome engine.Outcome
}

// fatedWorkers handle each copy as its fate says.
type fatedWorkers struct {
	mu    sync.Mutex
	fates []fate
	// executed means that a copy was executed.
	executed bool
}

// Execute implements Workers.
func (w *fatedWorkers) Execute(ctx context.Context, _ engine.Command, _ int64) engine.Outcome {
	w.mu.Lock()
	f := w.fates[0]
	w.fates = w.fates[1:]
	w.executed = w.executed || f.executed
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	select {
	case <-time.After(f.after):
		if f.panics {
			panic("a copy panics")
		}
		return f.outcome
	case <-ctx.Done():
		if f.outcome == engine.NotSent {
			return engine.NotSent
		}
		return engine.NoReply
	}
}

// Renew implements Workers.
func (w *fatedWorkers) Renew(context.Context, engine.Renewal, int64) (work.RenewalReply, engine.Outcome) {
	return work.RenewalReply{}, engine.Invalid
}

// Guards against a start that counts as not executed although a copy of it was, with copies whose fates, permissions and
// contexts are random, against one of which two copies were sent that counts as sent once, and against one that never gets an
// outcome.
func TestOutcomeOfRandomCopies(t *testing.T) {
	declines := []engine.Outcome{engine.NotSent, engine.Unhealthy, engine.Full, engine.Outdated, engine.LeaseExpired, engine.Fenced,
		engine.TicketRequired, engine.Invalid}
	random := rand.New(rand.NewPCG(1, 2))
	for n := range 5000 {
		synctest.Test(t, func(t *testing.T) {
			w := &fatedWorkers{}
			for range 2 {
				f := fate{executed: random.IntN(2) == 0, panics: random.IntN(10) == 0,
					after: time.Duration(random.IntN(130)) * 5 * time.Millisecond, outcome: engine.NoReply}
				switch {
				case random.IntN(3) == 0:
				case f.executed:
					f.outcome = engine.Applied
				default:
					f.outcome = declines[random.IntN(len(declines))]
				}
				w.fates = append(w.fates, f)
			}
			fates := slices.Clone(w.fates)
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(20+random.IntN(400))*5*time.Millisecond)
			defer cancel()
			may := random.IntN(5) > 0
			began := time.Now()
			r := NewExecutor(w, zap.NewNop()).Run(ctx, Order{Command: engine.Start{Worker: "w"}}, func() bool { return may })
			took := time.Since(began)
			synctest.Wait()
			if w.executed && slices.Contains(declines, r.Outcome) || took > 2*testTimeout {
				t.Errorf("start %d: %s after %v of copies %+v", n, r.Outcome, took, fates)
			}
			once := r.Outcome == engine.Applied || r.Outcome == engine.NoReply
			if once && len(w.fates) == 0 && fates[0].outcome != engine.NotSent && fates[1].outcome != engine.NotSent {
				t.Errorf("start %d: %s of two copies %+v", n, r.Outcome, fates)
			}
		})
	}
}
