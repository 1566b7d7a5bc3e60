package leader

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// prefixOperation is the key prefix of the rows with the machine operations that leaders were about to start.
const prefixOperation = "move/"

// operationTTL is how long the row of an operation is kept, on top of the takeover pause: it covers the time from the
// row's transaction to the end of the platform's call.
const operationTTL = 4 * time.Second

// operationRow names the machines on which a leader was about to start operations, and when at the latest by the store's
// clock.
type operationRow struct {
	Machines []string      `json:"machines"`
	At       time.Duration `json:"at"`
}

// operationLog records machine operations in the store before they start, so that the next leader knows on which
// machines this one may just have acted. While the store is slow, operations don't wait for that; the leader record then
// states that there may be operations without a record. The session's mu guards it.
type operationLog struct {
	log *zap.Logger
	// ttl is how long rows are kept.
	ttl time.Duration
	// next is the number of the row that the next transaction writes, pending are its machines.
	next    int64
	pending []string
	// confirmed is the number of the last row that the store holds; the row written is in a transaction, 0 if none is.
	confirmed, written int64
	// rows are the rows in the store, by number, with the times from which they are kept for ttl.
	rows map[int64]time.Time
	// former are the times by the store's clock at which former leaders last acted on machines, by machine.
	former map[string]time.Duration
	clock  table.Clock
	// unloggedUntil is how long an operation without a record can still matter to the next leader.
	unloggedUntil time.Time
	// slowUntil is until when the store counts as slow, so that operations don't wait for their records.
	slowUntil time.Time
}

// slowTTL is how long the store counts as slow after a slow transaction.
const slowTTL = time.Second

func newOperationLog(clock table.Clock, ttl time.Duration, log *zap.Logger) *operationLog {
	return &operationLog{clock: clock, log: log, ttl: ttl, next: 1, rows: map[int64]time.Time{},
		former: map[string]time.Duration{}, unloggedUntil: time.Now().Add(ttl)}
}

// restore takes over the rows of former leaders.
func (l *operationLog) restore(items []table.Item) {
	for _, i := range items {
		if !strings.HasPrefix(i.Key, prefixOperation) {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimPrefix(i.Key, prefixOperation), 10, 64)
		var r operationRow
		if err == nil {
			err = json.Unmarshal(i.Value, &r)
		}
		if err != nil {
			l.log.Error("leader: stored machine operation is invalid, ignoring it", zap.String("key", i.Key), zap.Error(err))
			continue
		}
		l.rows[n] = time.Now()
		l.next = max(l.next, n+1)
		for _, m := range r.Machines {
			l.former[m] = max(l.former[m], r.At)
		}
	}
	l.confirmed = l.next - 1
}

// restedFor reports whether no former leader has acted on a machine for a duration.
func (l *operationLog) restedFor(machine string, d time.Duration) bool {
	at, ok := l.former[machine]
	if !ok {
		return true
	}
	earliest, _, known := l.clock.Now()
	return known && earliest-at >= d
}

// add has the next transaction record an operation and returns the number of its row.
func (l *operationLog) add(machine string) int64 {
	l.pending = append(l.pending, machine)
	return l.next
}

// maxOperationDeletes bounds the rows that one transaction deletes, which it shares with the changes of jobs.
const maxOperationDeletes = 2

// takeWrites returns the writes for the next transaction: the row with the pending operations, and deletions of rows
// that are no longer needed.
func (l *operationLog) takeWrites() []table.Write {
	var writes []table.Write
	if len(l.pending) > 0 {
		_, latest, ok := l.clock.Now()
		if !ok {
			// The transactions so far have had no reply that shows the clock.
			return nil
		}
		value, err := json.Marshal(operationRow{l.pending, latest})
		if err != nil {
			l.log.Error("leader: encoding machine operations failed, not started", zap.Error(err))
			return nil
		}
		writes = append(writes, table.Write{Key: operationKey(l.next), Value: value})
		l.written, l.pending = l.next, nil
		l.rows[l.next] = time.Now()
		l.next++
	}
	deleted := 0
	for n, since := range l.rows {
		if deleted < maxOperationDeletes && time.Since(since) > l.ttl {
			writes = append(writes, table.Write{Key: operationKey(n), Delete: true})
			delete(l.rows, n)
			deleted++
		}
	}
	return writes
}

// confirm records that the transaction with the last writes has succeeded.
func (l *operationLog) confirm() { l.confirmed = max(l.confirmed, l.written) }

func operationKey(n int64) string { return prefixOperation + strconv.FormatInt(n, 10) }

// observeCommit decides by how long a transaction took whether operations wait for their records.
func (s *session) observeCommit(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	// A designated successor may take over before the leader notices, so that it must know each operation by its record.
	slow := took >= slowCommit && !s.service.Succession
	if slow {
		s.operations.unloggedUntil, s.operations.slowUntil = now.Add(s.operations.ttl), now.Add(slowTTL)
	}
	if logged := now.After(s.operations.unloggedUntil); logged || slow {
		s.leadership.SetLogged(logged)
	}
}

// recordOperation stores that an operation on a machine is about to start, unless the store is slow and the leader record
// states that there may be operations without a record. It returns false if the session or the context ends before the store has confirmed
// that.
func (s *session) recordOperation(ctx context.Context, machine string) bool {
	s.mu.Lock()
	if now := time.Now(); !s.service.Succession && s.leadership.StatesUnlogged() && now.Before(s.operations.slowUntil) {
		s.operations.unloggedUntil = now.Add(s.operations.ttl)
		s.mu.Unlock()
		return true
	}
	row := s.operations.add(machine)
	s.mu.Unlock()
	wake(s.commitWake)
	return s.awaitCommit(ctx, func() bool { return s.operations.confirmed >= row })
}
