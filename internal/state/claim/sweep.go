package claim

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/object"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

const (
	// bucketWidth is how long an entry instance adds records to the same retention bucket.
	bucketWidth = time.Minute
	// SweepInterval is the recommended time between two calls of Sweep.
	SweepInterval = 30 * time.Second

	sweepPageSize = 100
	// lastByte sorts after every character of a name.
	lastByte = "\x7f"
)

// retentionBuckets names the retention buckets of this process and records when it first read each bucket in the store.
// Ages are measured from that time on the clock of this process: clocks of different machines are never compared.
type retentionBuckets struct {
	mu        sync.Mutex
	name      string
	openedAt  time.Time
	number    int
	owner     fleet.EntryID
	firstSeen map[string]time.Time
}

func (b *retentionBuckets) current(self fleet.EntryID, now time.Time) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.name == "" || b.owner != self || now.Sub(b.openedAt) >= bucketWidth {
		b.number++
		b.owner, b.openedAt = self, now
		b.name = string(self) + "." + strconv.Itoa(b.number)
	}
	return b.name
}

// expired records a bucket and reports whether every record in it is older than the retention. A bucket may receive
// records for bucketWidth after it was first seen, and the last of these writes may take effect up to resolveTimeout
// later.
func (b *retentionBuckets) expired(bucket string, retention time.Duration, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	first, ok := b.firstSeen[bucket]
	if !ok {
		b.firstSeen[bucket] = now
		return false
	}
	return now.Sub(first) >= retention+bucketWidth+resolveTimeout
}

func (b *retentionBuckets) removeAbsent(present map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.firstSeen {
		if !present[name] {
			delete(b.firstSeen, name)
		}
	}
}

// Orphans returns the open asynchronous records whose owner is not live. At the first key of a live owner it skips to
// the next owner; it reads only the records of owners that are not live.
func (rp *Repository) Orphans(ctx context.Context, live func(fleet.EntryID) bool) ([]Record, error) {
	var orphans []Record
	after := ""
	for {
		page, err := rp.table.Scan(ctx, ownerPrefix, after, sweepPageSize)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		var keys []string
		skip := ""
		for _, i := range page {
			after = i.Key
			owner, t, id, ok := parseIndex(ownerPrefix, i.Key)
			if ok && live(fleet.EntryID(owner)) {
				skip = ownerPrefix + owner + "/" + lastByte
				break
			}
			if ok {
				keys = append(keys, taskKey(t, id))
			}
		}
		found, err := rp.orphaned(ctx, keys, live)
		if err != nil {
			return nil, err
		}
		orphans = append(orphans, found...)
		if skip != "" {
			after = skip
		} else if len(page) < sweepPageSize {
			return orphans, nil
		}
	}
}

func (rp *Repository) orphaned(ctx context.Context, keys []string, live func(fleet.EntryID) bool) ([]Record, error) {
	if len(keys) == 0 {
		return nil, nil
	}
	found, err := rp.get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	var orphans []Record
	for _, key := range keys {
		if r, ok := found[key]; ok && r.Async && !r.Final() && !live(r.Owner) {
			orphans = append(orphans, r)
		}
	}
	return orphans, nil
}

// Sweep deletes the records whose last write is older than the retention, and their objects: those of this entry
// instance, and those of entry instances that are not live if this one is responsible for the bucket. An open record is
// kept if its owner is live or it awaits adoption.
func (rp *Repository) Sweep(ctx context.Context, live, responsible func(fleet.EntryID) bool) error {
	present := map[string]bool{}
	after := ""
	for {
		page, err := rp.table.Scan(ctx, bucketPrefix, after, 1)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		if len(page) == 0 {
			rp.buckets.removeAbsent(present)
			return nil
		}
		bucket, _, _, _ := parseIndex(bucketPrefix, page[0].Key)
		present[bucket] = true
		after = bucketPrefix + bucket + "/" + lastByte
		owner := fleet.EntryID(bucket[:max(0, strings.LastIndexByte(bucket, '.'))])
		if !rp.buckets.expired(bucket, rp.retention, time.Now()) ||
			owner != rp.self() && (live(owner) || !responsible(owner)) {
			continue
		}
		if err := rp.deleteBucket(ctx, bucket, live); err != nil {
			return err
		}
	}
}

func (rp *Repository) deleteBucket(ctx context.Context, bucket string, live func(fleet.EntryID) bool) error {
	prefix, after := bucketPrefix+bucket+"/", ""
	for {
		page, err := rp.table.Scan(ctx, prefix, after, sweepPageSize)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		if len(page) == 0 {
			return nil
		}
		after = page[len(page)-1].Key
		if err := rp.deletePage(ctx, bucket, page, live); err != nil {
			return err
		}
	}
}

// deletePage deletes the records on a page of a bucket in one transaction. If a record changes meanwhile, the whole
// transaction fails and the next sweep retries it.
func (rp *Repository) deletePage(
	ctx context.Context, bucket string, page []table.Item, live func(fleet.EntryID) bool,
) error {
	var keys []string
	for _, i := range page {
		if _, t, id, ok := parseIndex(bucketPrefix, i.Key); ok {
			keys = append(keys, taskKey(t, id))
		}
	}
	found, err := rp.get(ctx, keys...)
	if err != nil {
		return err
	}
	var t table.Transaction
	var deletable []Record
	for _, i := range page {
		_, team, id, _ := parseIndex(bucketPrefix, i.Key)
		r, ok := found[taskKey(team, id)]
		if ok && r.Bucket == bucket && !r.Final() && (r.Async || live(r.Owner)) {
			continue
		}
		t.Writes = append(t.Writes, table.Write{Key: i.Key, Delete: true})
		if !ok || r.Bucket != bucket {
			continue
		}
		t.Conditions = append(t.Conditions, table.Condition{Key: r.key(), Version: r.version})
		t.Writes = append(t.Writes, table.Write{Key: r.key(), Delete: true})
		if key := r.ownerKey(); key != "" {
			t.Writes = append(t.Writes, table.Write{Key: key, Delete: true})
		}
		deletable = append(deletable, r)
	}
	return rp.deleteRecords(ctx, t, deletable)
}

// deleteRecords deletes the objects before the records, so that an object whose deletion fails is still named by a
// record and its deletion is retried.
func (rp *Repository) deleteRecords(ctx context.Context, t table.Transaction, deletable []Record) error {
	if len(t.Writes) == 0 {
		return nil
	}
	for _, r := range deletable {
		for _, name := range []string{r.Input, r.Result} {
			if name == "" {
				continue
			}
			if err := rp.objects.Delete(ctx, name); err != nil && !errors.Is(err, object.ErrAbsent) {
				return fmt.Errorf("claim: delete object %s: %w", name, err)
			}
		}
	}
	if err := rp.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("claim: sweep: wait for the rate limit: %w", err)
	}
	if _, err := rp.commit(ctx, t); err != nil && !errors.Is(err, table.ErrConflict) {
		return fmt.Errorf("claim: sweep: delete records: %w", err)
	}
	return nil
}
