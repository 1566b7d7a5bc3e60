// Package claim stores the durable task records: it batches their writes, resolves writes of unknown outcome, finds
// records of lost owners and deletes expired records.
package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/object"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// Errors of the Repository. After ErrUnavailable nothing was written; after ErrUnknown the record may be written.
var (
	ErrExists      = errors.New("claim: the task has a record")
	ErrConflict    = errors.New("claim: the record was changed")
	ErrAbsent      = errors.New("claim: no such record")
	ErrUnavailable = errors.New("claim: the store is unavailable, nothing was written")
	ErrUnknown     = errors.New("claim: the record may or may not have been written")
)

const (
	// batchInterval is the least time between two transactions of one entry instance: six entry instances make at most
	// 240 writes per second.
	batchInterval = 25 * time.Millisecond
	// batchTolerance is how early a batch may be written, so that rounding in the limiter doesn't delay it by a whole
	// interval.
	batchTolerance = time.Millisecond
	// maxBatch bounds the records of one transaction.
	maxBatch = 100
	// Retention is how long a record is kept after its last write.
	Retention    = 10 * time.Minute
	storeTimeout = 2 * time.Second
	// resolveTimeout bounds the resolution of a write without a reply.
	resolveTimeout  = 5 * time.Second
	resolveInterval = 100 * time.Millisecond
)

// Repository reads and writes task records. Its methods may be called from any goroutine.
type Repository struct {
	table     table.Table
	objects   object.Store
	self      func() fleet.EntryID
	log       *zap.Logger
	commits   metrics.Counter
	retention time.Duration
	limiter   *rate.Limiter
	queue     chan *request
	buckets   retentionBuckets
}

// Option changes a Repository.
type Option func(*Repository)

// WithLog sets the logger.
func WithLog(l *zap.Logger) Option { return func(rp *Repository) { rp.log = l } }

// WithRetention sets how long records are kept after their last write.
func WithRetention(d time.Duration) Option { return func(rp *Repository) { rp.retention = d } }

// WithMetrics registers the count of the Repository's store writes as "claim.commits".
func WithMetrics(r metrics.Registry) Option {
	return func(rp *Repository) { rp.commits = metrics.GetOrRegisterCounter("claim.commits", r) }
}

// New returns a Repository; self returns the current identifier of this entry instance.
func New(self func() fleet.EntryID, t table.Table, o object.Store, options ...Option) *Repository {
	rp := &Repository{
		table: t, objects: o, self: self, log: zap.NewNop(), commits: metrics.NewCounter(),
		retention: Retention, queue: make(chan *request),
		limiter: rate.NewLimiter(rate.Every(batchInterval), 1),
		buckets: retentionBuckets{firstSeen: map[string]time.Time{}},
	}
	for _, f := range options {
		f(rp)
	}
	return rp
}

// request is one record to write on condition that its key is at a version.
type request struct {
	ctx     context.Context
	record  Record
	old     Record // the record that is replaced
	version uint64 // 0 for a new record
	done    chan outcome
}

type outcome struct {
	record Record
	err    error
}

// Claim writes a new record. It returns ErrExists with the stored record if the task has one.
func (rp *Repository) Claim(ctx context.Context, r Record) (Record, error) {
	if r.State == "" {
		r.State = Open
	}
	return rp.submit(ctx, &request{record: r})
}

// Replace replaces a record that a previous call returned. It returns ErrConflict with the stored record if that one
// was changed meanwhile, and ErrAbsent if it was deleted.
func (rp *Repository) Replace(ctx context.Context, old, next Record) (Record, error) {
	if old.version == 0 || old.Team != next.Team || old.ID != next.ID {
		return Record{}, fmt.Errorf("claim: task %s/%s cannot replace %s/%s", next.Team, next.ID, old.Team, old.ID)
	}
	return rp.submit(ctx, &request{record: next, old: old, version: old.version})
}

// Find returns the stored record of a task, or ErrAbsent.
func (rp *Repository) Find(ctx context.Context, t fleet.TeamName, id string) (Record, error) {
	found, err := rp.get(ctx, taskKey(t, id))
	if err != nil {
		return Record{}, err
	}
	if r, ok := found[taskKey(t, id)]; ok {
		return r, nil
	}
	return Record{}, ErrAbsent
}

func (rp *Repository) get(ctx context.Context, keys ...string) (map[string]Record, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	items, err := rp.table.Get(ctx, keys...)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	found := make(map[string]Record, len(items))
	for _, i := range items {
		var r Record
		if err := json.Unmarshal(i.Value, &r); err != nil {
			return nil, fmt.Errorf("claim: %s: %w", i.Key, err)
		}
		r.version = i.Version
		found[i.Key] = r
	}
	return found, nil
}

// submit queues a record and waits until it is written in a batch. If the context ends after Run has received the
// request, the outcome is unknown to the caller.
func (rp *Repository) submit(ctx context.Context, q *request) (Record, error) {
	q.ctx, q.done = ctx, make(chan outcome, 1)
	q.record.Write = ulid.Make().String()
	q.record.Bucket = rp.buckets.current(rp.self(), time.Now())
	select {
	case rp.queue <- q:
	case <-ctx.Done():
		return Record{}, fmt.Errorf("%w: %w", ErrUnavailable, context.Cause(ctx))
	}
	select {
	case o := <-q.done:
		return o.record, o.err
	case <-ctx.Done():
		return Record{}, fmt.Errorf("%w: %w", ErrUnknown, context.Cause(ctx))
	}
}

// Run writes batches until the context ends.
func (rp *Repository) Run(ctx context.Context) {
	var g sync.WaitGroup
	defer g.Wait()
	t := time.NewTicker(batchInterval)
	defer t.Stop()
	var batch batch
	for {
		if rp.mayCommit(&batch) {
			if requests := batch.take(); len(requests) > 0 {
				g.Go(func() { rp.write(ctx, requests, &batch) })
			}
		}
		select {
		case q := <-rp.queue:
			batch.add(q)
		case <-t.C:
		case <-ctx.Done():
			batch.fail(fmt.Errorf("%w: %w", ErrUnavailable, context.Cause(ctx)))
			return
		}
	}
}

// mayCommit reports whether requests wait and the rate limit allows a transaction now, and takes its token if so.
func (rp *Repository) mayCommit(b *batch) bool {
	if b.empty() {
		return false
	}
	r := rp.limiter.Reserve()
	if r.Delay() <= batchTolerance {
		return true
	}
	r.Cancel()
	return false
}

// batch collects requests; a key is in at most one transaction in progress at a time.
type batch struct {
	mu      sync.Mutex
	waiting []*request
	writing map[string]bool
}

func (b *batch) add(q ...*request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, q...)
}

func (b *batch) empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting) == 0
}

// take returns the requests of the next transaction and fails those whose context has ended.
func (b *batch) take() []*request {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.writing == nil {
		b.writing = map[string]bool{}
	}
	var taken, later []*request
	for _, q := range b.waiting {
		key := q.record.key()
		switch {
		case q.ctx.Err() != nil:
			q.done <- outcome{err: fmt.Errorf("%w: %w", ErrUnavailable, context.Cause(q.ctx))}
		case len(taken) >= maxBatch || b.writing[key]:
			later = append(later, q)
		default:
			b.writing[key] = true
			taken = append(taken, q)
		}
	}
	b.waiting = later
	return taken
}

// finishTransaction ends the transaction of requests; those in again are written in a later one.
func (b *batch) finishTransaction(requests, again []*request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, q := range requests {
		delete(b.writing, q.record.key())
	}
	b.waiting = append(again, b.waiting...)
}

func (b *batch) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, q := range b.waiting {
		q.done <- outcome{err: err}
	}
	b.waiting = nil
}
