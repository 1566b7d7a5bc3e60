package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// write commits requests in one transaction and sends each its outcome. If a condition doesn't hold, its request fails
// and the others are written in a later transaction.
func (rp *Repository) write(ctx context.Context, requests []*request, b *batch) {
	var again []*request
	defer func() { b.finishTransaction(requests, again) }()
	t, err := transaction(requests)
	if err != nil {
		fail(requests, err)
		return
	}
	version, err := rp.commit(ctx, t)
	switch {
	case err == nil:
		succeed(requests, version)
	case errors.Is(err, table.ErrUnavailable):
		fail(requests, fmt.Errorf("%w: %w", ErrUnavailable, err))
	case errors.Is(err, table.ErrConflict):
		again, err = rp.sortOutcomes(ctx, requests)
		if err != nil {
			fail(requests, err)
		}
	default:
		again = rp.resolve(ctx, requests, t)
	}
}

// resolve determines whether a transaction without a reply was applied. While it may still take effect, the same
// transaction is sent again: its conditions let only one of the two succeed. resolve returns the requests to write
// again.
func (rp *Repository) resolve(ctx context.Context, requests []*request, t table.Transaction) []*request {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	for {
		err := rp.limiter.Wait(ctx)
		if err != nil {
			fail(requests, fmt.Errorf("%w: %w", ErrUnknown, err))
			return nil
		}
		version, err := rp.commit(ctx, t)
		if err == nil {
			succeed(requests, version)
			return nil
		}
		if errors.Is(err, table.ErrConflict) {
			again, err := rp.sortOutcomes(ctx, requests)
			if err == nil {
				return again
			}
		}
		select {
		case <-time.After(resolveInterval):
		case <-ctx.Done():
			fail(requests, fmt.Errorf("%w: %w", ErrUnknown, err))
			return nil
		}
	}
}

// sortOutcomes reads the records of a transaction of which a condition did not hold. It sends the outcome to each
// request that was written or whose own condition doesn't hold, and returns the others, which are written again.
func (rp *Repository) sortOutcomes(ctx context.Context, requests []*request) ([]*request, error) {
	keys := make([]string, len(requests))
	for i, q := range requests {
		keys[i] = q.record.key()
	}
	found, err := rp.get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	var again []*request
	for _, q := range requests {
		present := found[q.record.key()]
		switch {
		case present.Write == q.record.Write:
			q.done <- outcome{record: present}
		case present.version == q.version:
			again = append(again, q)
		case q.version == 0:
			q.done <- outcome{record: present, err: ErrExists}
		case present.version == 0:
			q.done <- outcome{err: ErrAbsent}
		default:
			q.done <- outcome{record: present, err: ErrConflict}
		}
	}
	return again, nil
}

func (rp *Repository) commit(ctx context.Context, t table.Transaction) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rp.commits.Inc(1)
	return rp.table.Commit(ctx, t)
}

func transaction(requests []*request) (table.Transaction, error) {
	var t table.Transaction
	for _, q := range requests {
		value, err := json.Marshal(q.record)
		if err != nil {
			return t, fmt.Errorf("claim: %s: %w", q.record.key(), err)
		}
		t.Conditions = append(t.Conditions, table.Condition{Key: q.record.key(), Version: q.version})
		t.Writes = append(t.Writes, table.Write{Key: q.record.key(), Value: value})
		t.Writes = append(t.Writes, indexWrites(q.old, q.record)...)
	}
	return t, nil
}

// indexWrites returns the changes of the indexes when a record replaces another, or is new if old is empty.
func indexWrites(old, next Record) []table.Write {
	var writes []table.Write
	if old.version == 0 || old.bucketKey() != next.bucketKey() {
		writes = append(writes, table.Write{Key: next.bucketKey(), Value: []byte("{}")})
		if old.version != 0 {
			writes = append(writes, table.Write{Key: old.bucketKey(), Delete: true})
		}
	}
	before, after := "", next.ownerKey()
	if old.version != 0 {
		before = old.ownerKey()
	}
	if before != after && before != "" {
		writes = append(writes, table.Write{Key: before, Delete: true})
	}
	if before != after && after != "" {
		writes = append(writes, table.Write{Key: after, Value: []byte("{}")})
	}
	return writes
}

func succeed(requests []*request, version uint64) {
	for _, q := range requests {
		q.record.version = version
		q.done <- outcome{record: q.record}
	}
}

func fail(requests []*request, err error) {
	for _, q := range requests {
		q.done <- outcome{err: err}
	}
}
