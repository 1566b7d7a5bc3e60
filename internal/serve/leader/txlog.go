package leader

import (
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
)

const (
	// txLogInterval is the time between two reports on the transactions in the log.
	txLogInterval = time.Second
	// slowCommit is the duration from which a transaction is logged as slow; the store usually takes about 10 ms.
	slowCommit = 300 * time.Millisecond
)

// txLog reports on the leader's transactions, so that a slow store, a slow process and a backlog can be told apart.
type txLog struct {
	log   *zap.Logger
	since time.Time
	// transactions, rows and changes are counts since then, longest and queued the longest times that a transaction took and
	// waited for others of the leader.
	transactions, rows, changes int
	longest, queued             time.Duration
	// oldestJob is the longest time from the acceptance of a job to the transaction with its record.
	oldestJob time.Duration
}

// record adds a transaction of some rows that has succeeded and began at a time, after which the store holds a number of log
// rows, and reports once per txLogInterval.
func (l *txLog) record(batch engine.Batch, rows, logRows int, began time.Time, queued time.Duration) {
	now := time.Now()
	took := now.Sub(began)
	if took >= slowCommit {
		l.log.Warn("leader: store transaction was slow", zap.Duration("took", took), zap.Duration("queued", queued),
			zap.Int("rows", rows), zap.Int("changes", len(batch.Writes)), zap.Int("bytes", batch.Size()))
	}
	l.transactions++
	l.rows += rows
	l.changes += len(batch.Writes)
	l.longest, l.queued = max(l.longest, took), max(l.queued, queued)
	if batch.NewJobs > 0 {
		l.oldestJob = max(l.oldestJob, began.Sub(batch.OldestNewJob))
	}
	if now.Sub(l.since) < txLogInterval {
		return
	}
	l.log.Info("leader: store transactions", zap.Int("count", l.transactions), zap.Int("rows", l.rows),
		zap.Int("changes", l.changes), zap.Int("logRows", logRows),
		zap.Duration("longest", l.longest), zap.Duration("queued", l.queued), zap.Duration("oldest", l.oldestJob),
		zap.Int("new", batch.NewJobs), zap.Int("left", batch.Left),
		zap.Int("ended", batch.Ended), zap.Int("leftEnded", batch.LeftEnded), zap.Int("unacknowledged", batch.Unacknowledged))
	*l = txLog{log: l.log, since: now}
}
