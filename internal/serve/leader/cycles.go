package leader

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/plan/cycle"
	"github.com/yuccahaven/yuccahaven/internal/plan/shift"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

const (
	// prefixCycle is the key prefix of the row with the learned cycle of the pools' demand, keyCycle its key.
	prefixCycle = "cycle/"
	keyCycle    = prefixCycle + "pools"
	// cycleStoreInterval is the least time between two writes of that row.
	cycleStoreInterval = 2 * time.Second
	// maxWritesBesideCycle is the number of other writes beyond those of the scheduler with which the row has room in a
	// transaction.
	maxWritesBesideCycle = maxWaveWrites
)

// cycleLog stores the learned cycle of the pools' demand for the next leader. The session's mu guards it. A nil cycleLog
// stores nothing.
type cycleLog struct {
	model *cycle.Model
	clock table.Clock
	log   *zap.Logger
	// stored and logged are the revisions of the model that were last written and logged.
	stored, logged int
	storedAt       time.Time
	// prepared is the planner's number of prepared machines that the metric holds.
	prepared int64
}

func newCycleLog(o shift.Options, clock table.Clock, log *zap.Logger) *cycleLog {
	if !o.Cycles {
		return nil
	}
	return &cycleLog{model: cycle.New(), clock: clock, log: log}
}

// restore takes over what a former leader has stored. The row is only a hint, so that a damaged one is ignored.
func (l *cycleLog) restore(items []table.Item) {
	if l == nil {
		return
	}
	for _, i := range items {
		if !strings.HasPrefix(i.Key, prefixCycle) {
			continue
		}
		_, at, ok := l.clock.Now()
		if i.Key != keyCycle || !ok {
			l.log.Warn("leader: stored cycle of pools can't be used, learning it again", zap.String("key", i.Key),
				zap.Bool("clock", ok))
			continue
		}
		m, err := cycle.Decode(i.Value, time.Now(), at)
		if err != nil {
			l.log.Error("leader: stored cycle of pools is invalid, learning it again", zap.Error(err))
			continue
		}
		l.model, l.stored = m, m.Revision()
	}
}

// takeWrites returns the write of the changed row for the next transaction, which has a number of others beyond those of
// the scheduler.
func (l *cycleLog) takeWrites(others int) []table.Write {
	if l == nil || l.model.Revision() == l.stored || time.Since(l.storedAt) < cycleStoreInterval || others >= maxWritesBesideCycle {
		return nil
	}
	_, at, ok := l.clock.Now()
	if !ok {
		return nil
	}
	l.stored, l.storedAt = l.model.Revision(), time.Now()
	value, err := l.model.Encode(time.Now(), at)
	if err != nil {
		l.log.Error("leader: encoding the cycle of pools failed, not stored", zap.Error(err))
		return nil
	}
	return []table.Write{{Key: keyCycle, Value: value}}
}

// confidence returns the confidence of the predictions, in thousandths.
func (l *cycleLog) confidence() int64 {
	if l == nil {
		return 0
	}
	return int64(l.model.Confidence() * 1000)
}

// newPlanner returns the planner of moves, which continues the learned cycle.
func (s *session) newPlanner() *shift.Planner {
	if s.cycles == nil {
		return shift.New(s.service.Moves.Shift)
	}
	return shift.NewWithCycle(s.service.Moves.Shift, s.cycles.model)
}

// observeCycle logs the learned cycle when it has changed and counts the machines that moved ahead of a burst; s.mu must be
// held.
func (s *session) observeCycle(p *shift.Planner) {
	l := s.cycles
	if l == nil {
		return
	}
	s.service.gauges.prepared.Inc(p.Prepared() - l.prepared)
	l.prepared = p.Prepared()
	if l.model.Revision() == l.logged {
		return
	}
	l.logged = l.model.Revision()
	var order []string
	var lengths []time.Duration
	var heights []int64
	for _, x := range l.model.Profiles() {
		order, lengths, heights = append(order, x.Pool), append(lengths, x.Length), append(heights, int64(x.Mean))
	}
	s.log.Info("leader: cycle of pools", zap.Strings("order", order), zap.Durations("lengths", lengths),
		zap.Int64s("heights", heights), zap.Float64("confidence", l.model.Confidence()), zap.Bool("discarded", l.model.Discarded()))
}
