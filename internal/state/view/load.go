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
	scanPage = 200
	// fetchMost is the number of log entries read in one request; a longer gap is read in several.
	fetchMost = 100
)

// errGap means that the log doesn't hold every revision that is needed.
var errGap = errors.New("view: the log has a gap")

// fetch brings the view to at least a revision, by the log or else by a full load.
func (k *Replica) fetch(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, confirmWithin)
	defer cancel()
	if k.revision() > 0 {
		err := k.fetchLog(ctx, revision)
		if !errors.Is(err, errGap) {
			return err
		}
	}
	return k.fetchAll(ctx)
}

func (k *Replica) fetchLog(ctx context.Context, revision uint64) error {
	for from := k.revision() + 1; from <= revision; from = k.revision() + 1 {
		if revision-from >= logLength {
			return errGap
		}
		deltas, err := k.readLog(ctx, from, min(revision, from+fetchMost-1))
		if err != nil {
			return err
		}
		if err := k.advance(deltas); err != nil {
			return err
		}
	}
	return nil
}

// readLog returns the log entries of a range of revisions, oldest first, or errGap.
func (k *Replica) readLog(ctx context.Context, from, to uint64) ([]fleet.Delta, error) {
	if from > to {
		return nil, nil
	}
	var keys []string
	for r := from; r <= to; r++ {
		keys = append(keys, logKey(r))
	}
	found, err := k.table.Get(ctx, keys...)
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
			return nil, errGap
		}
		deltas = append(deltas, d)
	}
	return deltas, nil
}

// fetchAll reads the whole view. The scan may see several revisions; the log entries written meanwhile
// hold whole values, so that applying them again brings every key to the last revision.
func (k *Replica) fetchAll(ctx context.Context) error {
	first, err := k.readHead(ctx)
	if err != nil {
		return err
	}
	items, err := k.scan(ctx)
	if err != nil {
		return err
	}
	last, err := k.readHead(ctx)
	if err != nil {
		return err
	}
	if last.revision-first.revision >= logLength {
		return errGap
	}
	for from := first.revision + 1; from <= last.revision; from += fetchMost {
		deltas, err := k.readLog(ctx, from, min(last.revision, from+fetchMost-1))
		if err != nil {
			return err
		}
		for _, d := range deltas {
			change(items, d.Items)
		}
	}
	k.replaceAll(last.revision, items)
	return nil
}

func (k *Replica) scan(ctx context.Context) (map[string][]byte, error) {
	items, after := map[string][]byte{}, ""
	for {
		page, err := k.table.Scan(ctx, viewPrefix, after, scanPage)
		if err != nil {
			return nil, fmt.Errorf("view: scan: %w", err)
		}
		for _, i := range page {
			items[i.Key] = i.Value
			after = i.Key
		}
		if len(page) < scanPage {
			return items, nil
		}
	}
}

func change(items map[string][]byte, changed []fleet.Item) {
	for _, i := range changed {
		if len(i.Value) == 0 {
			delete(items, i.Key)
		} else {
			items[i.Key] = i.Value
		}
	}
}

// learn applies what a peer answered.
func (k *Replica) learn(a peer.SyncReply) {
	if a.Revision <= k.revision() {
		return
	}
	if len(a.Items) > 0 {
		items := make(map[string][]byte, len(a.Items))
		change(items, a.Items)
		k.replaceAll(a.Revision, items)
	} else if err := k.advance(a.Deltas); err != nil {
		wake(k.wakeStore)
	}
}

// advance applies deltas in order; those the view already holds are ignored. It returns errGap if one is missing.
func (k *Replica) advance(deltas []fleet.Delta) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, d := range deltas {
		s := k.current.Load()
		if d.Revision <= s.view.Revision() {
			continue
		}
		if d.Revision != s.view.Revision()+1 {
			return errGap
		}
		next, err := apply(*s, d, k.decode)
		if err != nil {
			k.log.Error("view: part of a revision does not decode", zap.Uint64("revision", d.Revision), zap.Error(err))
		}
		change(k.items, d.Items)
		k.remember(d)
		k.publish(next)
	}
	return nil
}

// remember keeps a delta for peers that are behind; the caller holds mu.
func (k *Replica) remember(d fleet.Delta) {
	k.deltas = append(k.deltas, d)
	k.size += deltaSize(d)
	for len(k.deltas) > logLength || k.size > deltaBytes && len(k.deltas) > 1 {
		k.size -= deltaSize(k.deltas[0])
		k.deltas = k.deltas[1:]
	}
}

func deltaSize(d fleet.Delta) int {
	n := 0
	for _, i := range d.Items {
		n += len(i.Key) + len(i.Value)
	}
	return n
}

// replaceAll replaces the view by a newer one. Whether its members changed since the present
// revision isn't known, so they count as changed at the new one.
func (k *Replica) replaceAll(revision uint64, items map[string][]byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if revision <= k.revision() {
		return
	}
	next, err := build(revision, items, k.decode)
	if err != nil {
		k.log.Error("view: part of a revision does not decode", zap.Uint64("revision", revision), zap.Error(err))
	}
	k.items, k.deltas, k.size = items, nil, 0
	k.publish(next)
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
	return snapshot{view: v.WithDocument(d).WithRevision(revision), members: revision}, errors.Join(errs...)
}

// publish makes a snapshot the current one; the caller holds mu.
func (k *Replica) publish(s snapshot) {
	k.current.Store(&s)
	k.prune(s.view)
	k.settle()
	close(k.changes)
	k.changes = make(chan struct{})
}
