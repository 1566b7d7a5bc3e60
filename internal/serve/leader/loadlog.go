package leader

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/pace"
)

// loadLogInterval is the time between two reports on the leader's work in the log.
const loadLogInterval = time.Second

// loadLog counts the leader's work since the last report, so that too many tasks, slow planning and a process that gets
// too little processor time can be told apart. It is safe for concurrent use.
type loadLog struct {
	passes, orders, results, renewals atomic.Int64
	// planning and handling are the time in planning passes and in the handling of results, in nanoseconds.
	planning, handling atomic.Int64
}

// loadLoop logs the work since the last report once per loadLogInterval until the context ends.
func (s *session) loadLoop(ctx context.Context) {
	l := &s.work
	pace.After(ctx, loadLogInterval, func(context.Context) {
		s.mu.Lock()
		load, ends := s.scheduler.Load(), s.scheduler.TakeEndCounts()
		s.mu.Unlock()
		s.log.Info("leader: load", zap.Int64("passes", l.passes.Swap(0)), zap.Int64("orders", l.orders.Swap(0)),
			zap.Int64("renewals", l.renewals.Swap(0)), zap.Int64("results", l.results.Swap(0)),
			zap.Duration("planning", time.Duration(l.planning.Swap(0))),
			zap.Duration("handling", time.Duration(l.handling.Swap(0))), zap.Float64("cores", s.service.coresInUse()),
			zap.Int("unfinished", load.Unfinished), zap.Int("waiting", load.Waiting), zap.Int("runs", load.Runs),
			zap.Int("starting", load.OutstandingStarts), zap.Int("limit", load.StartLimit),
			zap.Int("unresponsive", load.Unresponsive), zap.Int("relisted", ends.Relisted), zap.Int("givenUp", ends.GivenUp),
			zap.Int("startedAgain", ends.StartedAgain))
		s.requests.report(s.log)
	})
}

// coresInUse returns the processor time that this process used in the last second, in cores.
func (s *Service) coresInUse() float64 {
	if s.Cores == nil {
		return 0
	}
	return s.Cores()
}
