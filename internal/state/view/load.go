package view

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	scanPageSize = 200
	// maxFetch is the number of log entries read in one request; a longer range takes several requests.
	maxFetch = 100
)

// errLogGap means that the log doesn't contain every required revision.
var errLogGap = errors.New("view: the log has a gap")

// fetch updates the view to at least a revision from the log, or by a full load if the log has a gap.
func (r *Replica) fetch(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if r.revision() > 0 {
		err := r.fetchLog(ctx, revision)
		if !errors.Is(err, errLogGap) {
			return err
		}
	}
	return r.fetchAll(ctx)
}

func (r *Replica) fetchLog(ctx context.Context, revision uint64) error {
	for from := r.revision() + 1; from <= revision; from = r.revision() + 1 {
		if revision-from >= logLength {
			return errLogGap
		}
		deltas, err := r.readLog(ctx, from, min(revision, from+maxFetch-1))
		if err != nil {
			return err
		}
		if err := r.advance(deltas); err != nil {
			return err
		}
	}
	return nil
}

// readLog returns the log entries of a range of revisions, oldest first, or errLogGap.
func (r *Replica) readLog(ctx context.Context, from, to uint64) ([]fleet.Delta, error) {
	if from > to {
		return nil, nil
	}
	var keys []string
	for n := from; n <= to; n++ {
		keys = append(keys, logKey(n))
	}
	found, err := r.table.Get(ctx, keys...)
	if err != nil {
		return nil, fmt.Errorf("view: log: %w", err)
	}
	byKey := make(map[string][]byte, len(found))
	for _, i := range found {
		byKey[i.Key] = i.Value
	}
	var deltas []fleet.Delta
	for _, key := range keys {
		d, err := decodeItem[fleet.Delta](byKey[key])
		if err != nil {
			return nil, fmt.Errorf("view: %s: %w", key, err)
		}
		if d.Revision == 0 {
			return nil, errLogGap
		}
		deltas = append(deltas, d)
	}
	return deltas, nil
}

// fetchAll reads the whole view. The scan may return several revisions; the log entries written meanwhile contain whole
// values, so that applying them again updates every key to the last revision.
func (r *Replica) fetchAll(ctx context.Context) error {
	first, err := r.readHead(ctx)
	if err != nil {
		return err
	}
	items, err := r.scan(ctx)
	if err != nil {
		return err
	}
	last, err := r.readHead(ctx)
	if err != nil {
		return err
	}
	if last.revision-first.revision >= logLength {
		return errLogGap
	}
	for from := first.revision + 1; from <= last.revision; from += maxFetch {
		deltas, err := r.readLog(ctx, from, min(last.revision, from+maxFetch-1))
		if err != nil {
			return err
		}
		for _, d := range deltas {
			applyChanges(items, d.Items)
		}
	}
	r.replaceAll(last.revision, items)
	return nil
}

func (r *Replica) scan(ctx context.Context) (map[string][]byte, error) {
	items, after := map[string][]byte{}, ""
	for {
		page, err := r.table.Scan(ctx, viewPrefix, after, scanPageSize)
		if err != nil {
			return nil, fmt.Errorf("view: scan: %w", err)
		}
		for _, i := range page {
			items[i.Key] = i.Value
			after = i.Key
		}
		if len(page) < scanPageSize {
			return items, nil
		}
	}
}

func applyChanges(items map[string][]byte, changed []fleet.Item) {
	for _, i := range changed {
		if len(i.Value) == 0 {
			delete(items, i.Key)
		} else {
			items[i.Key] = i.Value
		}
	}
}

// applyReply applies what is newer in a peer's reply.
func (r *Replica) applyReply(a peer.SyncReply) {
	if a.Revision <= r.revision() {
		return
	}
	if len(a.Items) > 0 {
		items := make(map[string][]byte, len(a.Items))
		applyChanges(items, a.Items)
		r.replaceAll(a.Revision, items)
	} else if err := r.advance(a.Deltas); err != nil {
		wake(r.wakeStore)
	}
}

// advance applies deltas in order and ignores those already applied. It returns errLogGap if one is missing.
func (r *Replica) advance(deltas []fleet.Delta) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range deltas {
		s := r.current.Load()
		if d.Revision <= s.view.Revision() {
			continue
		}
		if d.Revision != s.view.Revision()+1 {
			return errLogGap
		}
		next, err := apply(*s, d, r.decode)
		if err != nil {
			r.log.Error("view: could not decode part of a revision; that part is left out",
				zap.Uint64("revision", d.Revision), zap.Error(err))
		}
		applyChanges(r.items, d.Items)
		r.keepDelta(d)
		r.publish(next)
	}
	return nil
}

// keepDelta stores a delta for peers that are behind; the caller holds mu.
func (r *Replica) keepDelta(d fleet.Delta) {
	r.deltas = append(r.deltas, d)
	r.keptBytes += deltaSize(d)
	for len(r.deltas) > logLength || r.keptBytes > maxDeltaBytes && len(r.deltas) > 1 {
		r.keptBytes -= deltaSize(r.deltas[0])
		r.deltas = r.deltas[1:]
	}
}

func deltaSize(d fleet.Delta) int {
	n := 0
	for _, i := range d.Items {
		n += len(i.Key) + len(i.Value)
	}
	return n
}

// replaceAll replaces the view by a newer one. Whether the members changed since the current revision is unknown, so
// they count as changed at the new one.
func (r *Replica) replaceAll(revision uint64, items map[string][]byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision <= r.revision() {
		return
	}
	next, err := build(revision, items, r.decode)
	if err != nil {
		r.log.Error("view: could not decode part of a revision; that part is left out",
			zap.Uint64("revision", revision), zap.Error(err))
	}
	r.items, r.deltas, r.keptBytes = items, nil, 0
	r.publish(next)
}

func build(revision uint64, items map[string][]byte, decode Decoder) (snapshot, error) {
	var v fleet.View
	var errs []error
	for key, value := range items {
		if !strings.HasPrefix(key, sectionPrefix) {
			next, err := applyItem(v, fleet.Item{Key: key, Value: value}, decode)
			v, errs = next, append(errs, err)
			continue
		}
		s, err := decodeItem[fleet.Section](value)
		if err == nil {
			v = v.WithSection(s)
		}
		errs = append(errs, err)
	}
	d, err := decode(v.Sections())
	errs = append(errs, err)
	return snapshot{view: v.WithDocument(d).WithRevision(revision), membersRevision: revision}, errors.Join(errs...)
}

// publish makes a snapshot the current one; the caller holds mu.
func (r *Replica) publish(s snapshot) {
	r.current.Store(&s)
	r.prune(s.view)
	r.updateMajorityRevision()
	close(r.changes)
	r.changes = make(chan struct{})
}
