package leader

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/sched/intent"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/state/rowlog"
)

const (
	// scanPageSize is the largest number of rows that the store returns in one scan.
	scanPageSize = 500
	// loadBackoff is the pause after a failed read of the stored state.
	loadBackoff = 200 * time.Millisecond
	// loadTimeout is how long one read is repeated; then the term ends.
	loadTimeout = 5 * time.Second
	// loadReaders is the number of reads at the same time.
	loadReaders = 8
	// releaseTimeout bounds the release of leadership after a failed load.
	releaseTimeout = time.Second
)

// splitRows is the size of a first page from which the rest of a prefix is read in several ranges at the same time.
const splitRows = 150

// rangeStarts are the ends of the ranges into which the rows of jobs are split: each follows all ids that begin with a
// hexadecimal digit. Capital digits lie between "9" and "a".
var rangeStarts = []string{"0z", "1z", "2z", "3z", "4z", "5z", "6z", "7z", "8z", "Z", "az", "bz", "cz", "dz", "ez"}

// loader reads the stored state.
type loader struct {
	service    *Service
	leadership *elect.Leadership
	fail       context.CancelCauseFunc
	// places bounds the reads at the same time.
	places chan struct{}
	reads  sync.WaitGroup

	mu    sync.Mutex
	items []table.Item
}

// load reads the whole stored state, and confirms leadership meanwhile. It repeats reads while the store is unavailable,
// until loadTimeout.
func (s *Service) load(ctx context.Context, l *elect.Leadership) ([]table.Item, error) {
	readCtx, fail := context.WithCancelCause(ctx)
	var confirming sync.WaitGroup
	confirming.Go(func() { s.confirmDuringLoad(readCtx, fail, l) })
	x := &loader{service: s, leadership: l, fail: fail, places: make(chan struct{}, loadReaders)}
	prefixes := []string{engine.PrefixJob, engine.PrefixRun, engine.PrefixWorker, rowlog.Prefix, prefixWave, prefixOperation, intent.Prefix}
	if s.Options.Scheduler.RunTimes {
		prefixes = append(prefixes, engine.PrefixLearn)
	}
	if s.Moves.Shift.Cycles {
		prefixes = append(prefixes, prefixCycle)
	}
	for _, prefix := range prefixes {
		x.reads.Go(func() { x.prefix(readCtx, prefix) })
	}
	x.reads.Wait()
	err := context.Cause(readCtx)
	fail(nil)
	confirming.Wait()
	if err != nil {
		return nil, err
	}
	// The rows are the newest only if nobody has taken over during the load.
	if _, err := l.Commit(ctx, nil); err != nil {
		return nil, err
	}
	return x.items, nil
}

// prefix reads the rows with a prefix.
func (x *loader) prefix(ctx context.Context, prefix string) {
	page, ok := x.page(ctx, prefix, "")
	if !ok || len(page) == 0 {
		return
	}
	x.add(page)
	last := page[len(page)-1].Key
	if len(page) < splitRows {
		x.rows(ctx, prefix, last, "")
		return
	}
	for _, start := range rangeStarts {
		if before := prefix + start; before > last {
			after := last
			x.reads.Go(func() { x.rows(ctx, prefix, after, before) })
			last = before
		}
	}
	x.rows(ctx, prefix, last, "")
}

// rows reads the rows with a prefix after a key and before another one; an empty key is no bound.
func (x *loader) rows(ctx context.Context, prefix, after, before string) {
	for {
		page, ok := x.page(ctx, prefix, after)
		if !ok || len(page) == 0 {
			return
		}
		if before != "" {
			if n, _ := slices.BinarySearchFunc(page, before, func(i table.Item, key string) int {
				return strings.Compare(i.Key, key)
			}); n < len(page) {
				x.add(page[:n])
				return
			}
		}
		x.add(page)
		after = page[len(page)-1].Key
	}
}

func (x *loader) add(page []table.Item) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.items = append(x.items, page...)
}

// page reads one page, or returns false if the load has failed.
func (x *loader) page(ctx context.Context, prefix, after string) ([]table.Item, bool) {
	x.places <- struct{}{}
	defer func() { <-x.places }()
	for began := time.Now(); ; {
		page, err := x.service.Store.Scan(ctx, prefix, after, scanPageSize)
		switch {
		case ctx.Err() != nil:
			return nil, false
		case err == nil:
			return page, true
		case !errors.Is(err, table.ErrUnavailable) || time.Since(began) > loadTimeout:
			x.fail(err)
			return nil, false
		}
		x.service.Log.Warn("leader: reading the stored state failed, retrying", zap.String("prefix", prefix), zap.Error(err))
		time.Sleep(loadBackoff)
	}
}

// confirmDuringLoad confirms leadership in the usual intervals until the context ends.
func (s *Service) confirmDuringLoad(ctx context.Context, fail context.CancelCauseFunc, l *elect.Leadership) {
	for {
		select {
		case <-time.After(elect.ConfirmInterval(s.Succession)):
		case <-ctx.Done():
			return
		}
		if _, err := l.Commit(ctx, nil); err != nil && ctx.Err() == nil {
			fail(err)
			return
		}
	}
}

// releaseAfterFailure releases leadership so that another instance can acquire it at once.
func (s *Service) releaseAfterFailure(l *elect.Leadership) {
	l.MarkFailed()
	if l.Lost() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := l.Release(ctx); err != nil {
		s.Log.Warn("leader: releasing leadership failed, other instances take over after a time-out", zap.Error(err))
	}
}
