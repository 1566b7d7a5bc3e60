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
	// bucketWidth is how long an entry instance puts records into the same retention bucket.
	bucketWidth = time.Minute
	// SweepInterval is a suitable time between two calls of Sweep.
	SweepInterval = 30 * time.Second

	sweepPage = 100
	// lastByte sorts after every character of a name.
	lastByte = "\x7f"
)

// buckets names the retention buckets of this process and remembers when it first saw each bucket in the
// store. Ages are measured from there on this process's own clock: clocks of different machines are never compared.
type buckets struct {
	mu     sync.Mutex
	name   string
	opened time.Time
	number int
	owner  fleet.EntryID
	seen   map[string]time.Time
}

func (b *buckets) current(self fleet.EntryID, now time.Time) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.name == "" || b.owner != self || now.Sub(b.opened) >= bucketWidth {
		b.number++
		b.owner, b.opened = self, now
		b.name = string(self) + "." + strconv.Itoa(b.number)
	}
	return b.name
}

// expired notes a bucket and reports whether every record in it is older than the retention. A bucket may
// receive records for bucketWidth after it was first seen, and those written at the end for the time of a write.
func (b *buckets) expired(bucket string, retention time.Duration, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	first, ok := b.seen[bucket]
	if !ok {
		b.seen[bucket] = now
		return false
	}
	return now.Sub(first) >= retention+bucketWidth+settleWithin
}

func (b *buckets) forget(present map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.seen {
		if !present[name] {
			delete(b.seen, name)
		}
	}
}

// Orphans returns the open asynchronous records whose owner is not live. It reads one key per live owner
// and the records of the others.
func (l *Repository) Orphans(ctx context.Context, live func(fleet.EntryID) bool) ([]Record, error) {
	var orphans []Record
	after := ""
	for {
		page, err := l.table.Scan(ctx, ownerPrefix, after, sweepPage)
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
		found, err := l.orphaned(ctx, keys, live)
		if err != nil {
			return nil, err
		}
		orphans = append(orphans, found...)
		if skip != "" {
			after = skip
		} else if len(page) < sweepPage {
			return orphans, nil
		}
	}
}

func (l *Repository) orphaned(ctx context.Context, keys []string, live func(fleet.EntryID) bool) ([]Record, error) {
	if len(keys) == 0 {
		return nil, nil
	}
	found, err := l.get(ctx, keys...)
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

// Sweep deletes the records that were last written longer than the retention ago: those of this entry
// instance, and those of entries that are not live if this one is responsible for the bucket. A record that
// is still open is kept if its owner is live or it awaits adoption.
func (l *Repository) Sweep(ctx context.Context, live, responsible func(fleet.EntryID) bool) error {
	present := map[string]bool{}
	after := ""
	for {
		page, err := l.table.Scan(ctx, bucketPrefix, after, 1)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		if len(page) == 0 {
			l.buckets.forget(present)
			return nil
		}
		bucket, _, _, _ := parseIndex(bucketPrefix, page[0].Key)
		present[bucket] = true
		after = bucketPrefix + bucket + "/" + lastByte
		owner := fleet.EntryID(bucket[:max(0, strings.LastIndexByte(bucket, '.'))])
		if !l.buckets.expired(bucket, l.retention, time.Now()) || owner != l.self() && (live(owner) || !responsible(owner)) {
			continue
		}
		if err := l.deleteBucket(ctx, bucket, live); err != nil {
			return err
		}
	}
}

func (l *Repository) deleteBucket(ctx context.Context, bucket string, live func(fleet.EntryID) bool) error {
	prefix, after := bucketPrefix+bucket+"/", ""
	for {
		page, err := l.table.Scan(ctx, prefix, after, sweepPage)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		if len(page) == 0 {
			return nil
		}
		after = page[len(page)-1].Key
		if err := l.deletePage(ctx, bucket, page, live); err != nil {
			return err
		}
	}
}

// deletePage deletes the records that a page of a bucket names in one transaction. A record that changes
// meanwhile makes the transaction fail as a whole; the next sweep tries again.
func (l *Repository) deletePage(ctx context.Context, bucket string, page []table.Item, live func(fleet.EntryID) bool) error {
	var keys []string
	for _, i := range page {
		if _, t, id, ok := parseIndex(bucketPrefix, i.Key); ok {
			keys = append(keys, taskKey(t, id))
		}
	}
	found, err := l.get(ctx, keys...)
	if err != nil {
		return err
	}
	var t table.Transaction
	var dead []Record
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
		dead = append(dead, r)
	}
	return l.deleteRecords(ctx, t, dead)
}

// deleteRecords deletes the objects first, so that an object never outlives the record that names it
// for want of a second attempt.
func (l *Repository) deleteRecords(ctx context.Context, t table.Transaction, dead []Record) error {
	if len(t.Writes) == 0 {
		return nil
	}
	for _, r := range dead {
		for _, name := range []string{r.Input, r.Result} {
			if name == "" {
				continue
			}
			if err := l.objects.Delete(ctx, name); err != nil && !errors.Is(err, object.ErrAbsent) {
				return fmt.Errorf("claim: object %s: %w", name, err)
			}
		}
	}
	if err := l.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("claim: sweep: %w", err)
	}
	if _, err := l.commit(ctx, t); err != nil && !errors.Is(err, table.ErrConflict) {
		return fmt.Errorf("claim: sweep: %w", err)
	}
	return nil
}
