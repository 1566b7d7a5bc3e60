package view

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

const (
	// editAttempts bounds the evaluations of one edit that keeps losing against others.
	editAttempts = 10
	// commitTimeout bounds one request to the store; settleWithin the search for an unknown outcome.
	commitTimeout  = 2 * time.Second
	settleWithin   = 5 * time.Second
	settleInterval = 200 * time.Millisecond
)

// errLost means that another edit took the revision; the change is evaluated again.
var errLost = errors.New("view: another edit came first")

// Change computes the items of an edit from the view that the edit is based on. It may be called several times.
type Change = func(fleet.View) ([]fleet.Item, error)

// AuditRecord says who changed what at one revision.
type AuditRecord struct {
	Revision uint64    `json:"revision"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	Keys     []string  `json:"keys"`
}

// Edit applies a change and returns its revision once it is in force: the store has it and a majority of
// the members before and after has applied it. The change is evaluated again when another edit comes first.
// An error of the change is returned as it is. Other errors are *reject.Error: KindStore not run (not applied),
// KindStore unknown (may be applied), KindConflict (other edits kept coming first), KindStale (a change of the
// members without contact to a majority, not applied) and KindUnconfirmed with the revision (stored, not yet acknowledged).
func (k *Replica) Edit(ctx context.Context, author string, change Change) (uint64, error) {
	first := uint64(0)
	for n := range editAttempts {
		h, err := k.catchUp(ctx)
		if err != nil {
			return 0, notApplied(err)
		}
		if n == 0 {
			first = h.revision
		}
		base := k.View()
		if base.Revision() != h.revision {
			continue
		}
		revision, err := k.attempt(ctx, author, change, base, h)
		if !errors.Is(err, errLost) {
			return revision, err
		}
	}
	return 0, reject.New(reject.KindConflict, reject.WorkNotRun,
		"other edits kept coming first: begun at revision %d, now at revision %d", first, k.revision())
}

func notApplied(err error) error {
	return reject.New(reject.KindStore, reject.WorkNotRun, "the store is unavailable, the edit was not applied").
		WithRetryAfter(FreshFor).WithCause(err)
}

// catchUp reads head and brings the view to its revision.
func (k *Replica) catchUp(ctx context.Context) (head, error) {
	h, err := k.readHead(ctx)
	if err != nil {
		return head{}, err
	}
	if h.revision < k.revision() {
		// The view may have advanced after the read; the next attempt reads again.
		again, err := k.readHead(ctx)
		if err != nil || again.revision < k.revision() {
			return head{}, errors.Join(errBehind, err)
		}
		h = again
	}
	if h.revision > k.revision() {
		return h, k.fetch(ctx, h.revision)
	}
	return h, nil
}

func (k *Replica) attempt(ctx context.Context, author string, change Change, base fleet.View, h head) (uint64, error) {
	items, err := change(base)
	if err != nil {
		return 0, err
	}
	if len(items) == 0 {
		// The change may be that of an earlier edit which was stored and not confirmed.
		return base.Revision(), k.settleEdit(ctx, base.Revision(), base.Members())
	}
	revision := h.revision + 1
	items, err = stamp(base, items, revision)
	if err != nil {
		return 0, err
	}
	if err := k.permitMembers(ctx, base, items); err != nil {
		return 0, err
	}
	d := fleet.Delta{Revision: revision, Author: author, WriteID: ulid.Make().String(), Items: items}
	if err := k.write(ctx, d, h); err != nil {
		return 0, err
	}
	if err := k.advance([]fleet.Delta{d}); err != nil {
		wake(k.wakeStore)
	}
	after, err := apply(snapshot{view: base}, d, k.decode)
	if err != nil {
		return revision, err
	}
	return revision, k.settleEdit(ctx, revision, base.Members(), after.view.Members())
}

// settleEdit waits until a majority of each list of members has applied a revision.
func (k *Replica) settleEdit(ctx context.Context, revision uint64, lists ...[]fleet.Member) error {
	wait, cancel := context.WithTimeout(ctx, confirmWithin)
	defer cancel()
	if k.acknowledged(revision, lists) || k.spread(wait, revision, lists...) {
		return nil
	}
	return reject.New(reject.KindUnconfirmed, reject.WorkRun,
		"stored as revision %d, not yet confirmed by a majority of the entry instances", revision)
}

// permitMembers allows an edit to change one member, after a majority of the members has applied the view it
// is based on. Then any majority of the members at one revision shares a member with any majority at the
// next one, over every sequence of changes; several changes at once would break this.
func (k *Replica) permitMembers(ctx context.Context, base fleet.View, items []fleet.Item) error {
	n := 0
	for _, i := range items {
		if changesMember(i) {
			n++
		}
	}
	if n > 1 {
		return fmt.Errorf("view: an edit may change one member, not %d", n)
	}
	if n == 0 {
		return nil
	}
	wait, cancel := context.WithTimeout(ctx, confirmWithin)
	defer cancel()
	if !k.spread(wait, base.Revision(), base.Members()) {
		return reject.New(reject.KindStale, reject.WorkNotRun,
			"no majority of the entry instances has acknowledged revision %d", base.Revision()).WithRetryAfter(FreshFor)
	}
	return nil
}

// write commits a delta on top of head. It returns errLost if another edit took the revision.
func (k *Replica) write(ctx context.Context, d fleet.Delta, h head) error {
	t, err := transaction(d, h)
	if err != nil {
		return err
	}
	err = k.commit(ctx, t)
	switch {
	case errors.Is(err, table.ErrConflict):
		return errLost
	case errors.Is(err, table.ErrUnavailable):
		return notApplied(err)
	case errors.Is(err, table.ErrUnknown) || ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		return k.resolve(ctx, d, t)
	case err != nil:
		return reject.New(reject.KindInternal, reject.WorkNotRun, "the store refused the edit").WithCause(err)
	}
	return nil
}

// resolve finds out whether a write without a reply took effect. While the log entry is absent the write
// may still arrive, so the same transaction is sent again: at most one of them can succeed.
func (k *Replica) resolve(ctx context.Context, d fleet.Delta, t table.Transaction) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleWithin)
	defer cancel()
	for {
		err := k.commit(ctx, t)
		if err == nil {
			return nil
		}
		if errors.Is(err, table.ErrConflict) {
			var deltas []fleet.Delta
			if deltas, err = k.readLog(ctx, d.Revision, d.Revision); err == nil {
				if deltas[0].WriteID == d.WriteID {
					return nil
				}
				return errLost
			}
		}
		select {
		case <-time.After(settleInterval):
		case <-ctx.Done():
			return reject.New(reject.KindStore, reject.WorkUnknown,
				"the store did not say whether revision %d was written", d.Revision).WithRetryAfter(FreshFor).WithCause(err)
		}
	}
}

func (k *Replica) commit(ctx context.Context, t table.Transaction) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := k.table.Commit(ctx, t)
	return err
}

func transaction(d fleet.Delta, h head) (table.Transaction, error) {
	audit := AuditRecord{Revision: d.Revision, Author: d.Author, Time: time.Now().UTC()}
	t := table.Transaction{Conditions: []table.Condition{{Key: HeadKey, Version: h.version}}}
	for _, i := range d.Items {
		t.Writes = append(t.Writes, table.Write{Key: i.Key, Value: i.Value, Delete: len(i.Value) == 0})
		audit.Keys = append(audit.Keys, i.Key)
	}
	for _, r := range []struct {
		key   string
		value any
	}{{logKey(d.Revision), d}, {auditKey(d.Revision), audit}, {HeadKey, headValue{Revision: d.Revision}}} {
		b, err := json.Marshal(r.value)
		if err != nil {
			return t, fmt.Errorf("view: %s: %w", r.key, err)
		}
		t.Writes = append(t.Writes, table.Write{Key: r.key, Value: b})
	}
	if d.Revision > logLength {
		t.Writes = append(t.Writes, table.Write{Key: logKey(d.Revision - logLength), Delete: true})
	}
	return t, nil
}

// Audit returns up to limit audit records after a revision, oldest first.
func (k *Replica) Audit(ctx context.Context, after uint64, limit int) ([]AuditRecord, error) {
	items, err := k.table.Scan(ctx, auditPrefix, auditKey(after), limit)
	if err != nil {
		return nil, fmt.Errorf("view: audit: %w", err)
	}
	var records []AuditRecord
	for _, i := range items {
		r, err := decodeItem[AuditRecord](i.Value)
		if err != nil {
			return nil, fmt.Errorf("view: %s: %w", i.Key, err)
		}
		records = append(records, r)
	}
	return records, nil
}

// MatchSection returns a *reject.Error of KindConflict that names both versions unless a section is at the
// version that an edit is based on; version 0 stands for an absent section.
func MatchSection(v fleet.View, name string, version uint64) error {
	s, _ := v.Section(name)
	if s.Version == version {
		return nil
	}
	return reject.New(reject.KindConflict, reject.WorkNotRun,
		"section %s is at version %d, the edit is based on version %d", name, s.Version, version)
}
