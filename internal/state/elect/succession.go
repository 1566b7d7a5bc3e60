package elect

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/plan/detect"
	"github.com/yuccahaven/yuccahaven/internal/plat/hedge"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

const (
	// confirmInterval is the longest time between two transactions of a leader, successionConfirmInterval the same with
	// succession on: a successor takes over when the record has been unchanged for 250 ms.
	confirmInterval           = 500 * time.Millisecond
	successionConfirmInterval = 150 * time.Millisecond
	// successionTakeoverTime is the least age of the leader record at which a designated successor takes over from a
	// leader whose process may run.
	successionTakeoverTime = 250 * time.Millisecond
	// recentReads is the number of reads of the leader record whose duration is kept.
	recentReads = 8
	// slowRead is the duration from which a read counts as one that the store did not answer.
	slowRead = 300 * time.Millisecond
)

// ConfirmInterval returns the longest time between two transactions of a leader that designates successors or not.
func ConfirmInterval(succession bool) time.Duration {
	if succession {
		return successionConfirmInterval
	}
	return confirmInterval
}

// LeastTakeoverTime returns the least time between the sending of a leader's last confirmed transaction and the acquisition
// of leadership by another instance while the leader's process runs and offers leadership to nobody. It depends on whether
// the leader designates successors: other instances take over later, whatever their own setting is.
func LeastTakeoverTime(succession bool) time.Duration {
	if succession {
		return successionTakeoverTime
	}
	return refusedTakeoverTimeout
}

// Checker checks a leader that does not answer, or that the store does not confirm, and decides whether it is lost.
type Checker interface {
	// Check returns the decision of the check of the leader of a term, given what the reads of the leader record show; the zero
	// Decision means that there is none.
	Check(term int64, r detect.Record) detect.Decision
	// ActsByRank reports whether this instance is a designated successor of the leader of a term.
	ActsByRank(term int64) bool
	// LastReply returns when a leader last replied to this instance.
	LastReply() time.Time
}

// readTimes are how long the last reads of the leader record took.
type readTimes struct {
	pacer  *hedge.Pacer
	recent []time.Duration
	// failedAt is when the store last failed to answer; the zero time means never.
	failedAt time.Time
}

func (t *readTimes) observe(took time.Duration, err error) {
	if err != nil || took >= slowRead {
		t.failedAt = time.Now()
	}
	if err != nil {
		return
	}
	if len(t.recent) == recentReads {
		t.recent = t.recent[1:]
	}
	t.recent = append(t.recent, took)
}

// record returns what the reads show of a record that has been unchanged for a time.
func (t *readTimes) record(age time.Duration) detect.Record {
	answeredFor := time.Duration(math.MaxInt64)
	if !t.failedAt.IsZero() {
		answeredFor = time.Since(t.failedAt)
	}
	return detect.Record{Known: true, Age: max(age, 0), SlowestRead: slices.Max(t.recent), AnsweredFor: answeredFor}
}

// StartCheck brings the next read of the leader record forward to now, for a check of the leader.
func (e *Elector) StartCheck() {
	select {
	case e.checks <- struct{}{}:
	default:
	}
}

func (e *Elector) checksLeader() bool { return e.Succession && e.Checker != nil }

// get reads the leader record. During a check a lost reply must not hold up the next read.
func (e *Elector) get(ctx context.Context) ([]table.Item, error) {
	if !e.checksLeader() {
		return e.Store.Get(ctx, LeaderKey)
	}
	began := time.Now()
	items, err := hedge.Do(ctx, e.reads.pacer, isConclusive, func(ctx context.Context, _ int) ([]table.Item, error) {
		return e.Store.Get(ctx, LeaderKey)
	})
	e.reads.observe(time.Since(began), err)
	return items, err
}

// checkLost reports whether the check in progress finds that the leader of a term is lost, after a read that was sent at a
// time.
func (e *Elector) checkLost(term int64, sent time.Time) bool {
	if !e.checksLeader() {
		return false
	}
	e.check = e.Checker.Check(term, e.reads.record(sent.Sub(e.unchangedSince)))
	return e.check.TakesOver()
}

// checkUnread tells the check in progress that the leader record could not be read.
func (e *Elector) checkUnread() {
	if e.checksLeader() {
		e.check = e.Checker.Check(e.knownTerm(), detect.Record{})
	}
}

// actsByRank reports whether this instance takes over after a check as a designated successor, whose attempts the delay by
// rank spreads already.
func (e *Elector) actsByRank() bool {
	return e.check.TakesOver() && e.Checker.ActsByRank(e.knownTerm())
}

// observeTakeover records how long it took from the last sign of life of the former leader, if a check found it lost.
func (e *Elector) observeTakeover() {
	if !e.check.TakesOver() {
		return
	}
	alive := e.Checker.LastReply()
	if alive.IsZero() || e.check.Verdict == detect.CutOff {
		alive = e.unchangedSince
	}
	e.check = detect.Decision{}
	took := time.Since(alive)
	e.Log.Info("elect: leadership taken over from a lost leader", zap.Duration("took", took))
	if e.TakeoverTime != nil {
		e.TakeoverTime.Update(took.Milliseconds())
	}
}

// abandonFor ends the leadership of this process if a leader of a later term has announced itself. The transaction in
// progress may wait for a store that does not answer.
func (e *Elector) abandonFor(r LeaderRecord) {
	l := e.leading.Load()
	if !e.Succession || l == nil || r.Term <= l.Term() {
		return
	}
	if !l.Lost() {
		e.Log.Warn("elect: a later leader has announced itself, leadership is lost", zap.String("leader", r.Name),
			zap.Int64("term", r.Term))
	}
	l.Abandon()
}

// sleepUntilRead sleeps until the next read of a check.
func (e *Elector) sleepUntilRead(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.offered:
	case <-ctx.Done():
	}
}

// pauseUntilCheck sleeps between half of a duration and the whole of it, or until a check starts.
func (e *Elector) pauseUntilCheck(ctx context.Context, longest time.Duration) {
	timer := time.NewTimer(longest/2 + rand.N(longest/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.checks:
	case <-ctx.Done():
	}
}
