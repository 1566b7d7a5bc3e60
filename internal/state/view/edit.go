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
	// maxEditAttempts bounds the evaluations of one edit that repeatedly loses the race against other edits.
	maxEditAttempts = 10
	// commitTimeout bounds one request to the store, resolveTimeout the resolution of an unknown outcome.
	commitTimeout   = 2 * time.Second
	resolveTimeout  = 5 * time.Second
	resolveInterval = 200 * time.Millisecond
)

// errRevisionTaken means that another edit has the revision; the change is evaluated again.
var errRevisionTaken = errors.New("view: another edit was applied first")

// Change computes the items of an edit from the view that the edit is based on. It may be called several times.
type Change = func(fleet.View) ([]fleet.Item, error)

// AuditRecord states who changed which keys at one revision.
type AuditRecord struct {
	Revision uint64    `json:"revision"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	Keys     []string  `json:"keys"`
}

// Edit applies a change and returns its revision once it is in force: it is stored, and a majority of the members
// before and after it has applied it. The change is evaluated again when another edit is applied first. A change
// without items stores nothing, and the revision is that of the view it is based on.
// An error of the change is returned as is, and an invalid item or a change of several members gives a plain error.
// Other errors are *reject.Error: KindStore not run (not applied), KindStore unknown (possibly applied), KindInternal
// (refused by the store), KindConflict (other edits were first at every attempt), KindStale (a change of the members
// without contact to a majority, not applied) and KindUnconfirmed with the revision (stored, not yet acknowledged).
func (r *Replica) Edit(ctx context.Context, author string, change Change) (uint64, error) {
	first := uint64(0)
	for n := range maxEditAttempts {
		h, err := r.catchUp(ctx)
		if err != nil {
			return 0, notApplied(err)
		}
		if n == 0 {
			first = h.revision
		}
		base := r.View()
		if base.Revision() != h.revision {
			continue
		}
		revision, err := r.attemptEdit(ctx, author, change, base, h)
		if !errors.Is(err, errRevisionTaken) {
			return revision, err
		}
	}
	return 0, reject.New(reject.KindConflict, reject.WorkNotRun,
		"other edits kept coming first: begun at revision %d, now at revision %d", first, r.revision())
}

func notApplied(err error) error {
	return reject.New(reject.KindStore, reject.WorkNotRun, "the store is unavailable, the edit was not applied").
		WithRetryAfter(FreshTTL).WithCause(err)
}

// catchUp reads the head and updates the view to its revision.
func (r *Replica) catchUp(ctx context.Context) (head, error) {
	h, err := r.readHead(ctx)
	if err != nil {
		return head{}, err
	}
	if h.revision < r.revision() {
		// The view may have advanced after the read, so the head is read once more.
		again, err := r.readHead(ctx)
		if err != nil || again.revision < r.revision() {
			return head{}, errors.Join(errStoreBehind, err)
		}
		h = again
	}
	if h.revision > r.revision() {
		return h, r.fetch(ctx, h.revision)
	}
	return h, nil
}

func (r *Replica) attemptEdit(
	ctx context.Context, author string, change Change, base fleet.View, h head,
) (uint64, error) {
	items, err := change(base)
	if err != nil {
		return 0, err
	}
	if len(items) == 0 {
		// The change may repeat an earlier edit that was stored and not confirmed.
		return base.Revision(), r.awaitMajority(ctx, base.Revision(), base.Members())
	}
	revision := h.revision + 1
	items, err = stamp(base, items, revision)
	if err != nil {
		return 0, err
	}
	if err := r.checkMemberChange(ctx, base, items); err != nil {
		return 0, err
	}
	d := fleet.Delta{Revision: revision, Author: author, WriteID: ulid.Make().String(), Items: items}
	if err := r.write(ctx, d, h); err != nil {
		return 0, err
	}
	if err := r.advance([]fleet.Delta{d}); err != nil {
		wake(r.wakeStore)
	}
	after, err := apply(snapshot{view: base}, d, r.decode)
	if err != nil {
		return revision, err
	}
	return revision, r.awaitMajority(ctx, revision, base.Members(), after.view.Members())
}

// awaitMajority waits until a majority of each list of members has applied a revision.
func (r *Replica) awaitMajority(ctx context.Context, revision uint64, lists ...[]fleet.Member) error {
	wait, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if r.acknowledged(revision, lists) || r.pushToMajority(wait, revision, lists...) {
		return nil
	}
	return reject.New(reject.KindUnconfirmed, reject.WorkRun,
		"stored as revision %d, not yet confirmed by a majority of the entry instances", revision)
}

// checkMemberChange allows an edit to change one member, after a majority of the members has applied the view that the
// edit is based on. Any majority of the members at one revision then shares a member with any majority at the next one,
// over every sequence of changes; several changes at once would break this.
func (r *Replica) checkMemberChange(ctx context.Context, base fleet.View, items []fleet.Item) error {
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
	wait, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if !r.pushToMajority(wait, base.Revision(), base.Members()) {
		return reject.New(reject.KindStale, reject.WorkNotRun,
			"no majority of the entry instances has acknowledged revision %d", base.Revision()).WithRetryAfter(FreshTTL)
	}
	return nil
}

// write commits a delta on top of head. It returns errRevisionTaken if another edit has the revision.
func (r *Replica) write(ctx context.Context, d fleet.Delta, h head) error {
	t, err := transaction(d, h)
	if err != nil {
		return err
	}
	err = r.commit(ctx, t)
	switch {
	case errors.Is(err, table.ErrConflict):
		return errRevisionTaken
	case errors.Is(err, table.ErrUnavailable):
		return notApplied(err)
	case errors.Is(err, table.ErrUnknown) || ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		return r.resolve(ctx, d, t)
	case err != nil:
		return reject.New(reject.KindInternal, reject.WorkNotRun, "the store refused the edit").WithCause(err)
	}
	return nil
}

// resolve determines whether a write without a reply was applied. While the log entry is absent the write may still
// take effect, so the same transaction is sent again: at most one of them can succeed.
func (r *Replica) resolve(ctx context.Context, d fleet.Delta, t table.Transaction) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	defer cancel()
	for {
		err := r.commit(ctx, t)
		if err == nil {
			return nil
		}
		if errors.Is(err, table.ErrConflict) {
			var deltas []fleet.Delta
			if deltas, err = r.readLog(ctx, d.Revision, d.Revision); err == nil {
				if deltas[0].WriteID == d.WriteID {
					return nil
				}
				return errRevisionTaken
			}
		}
		select {
		case <-time.After(resolveInterval):
		case <-ctx.Done():
			return reject.New(reject.KindStore, reject.WorkUnknown,
				"the store did not say whether revision %d was written", d.Revision).WithRetryAfter(FreshTTL).WithCause(err)
		}
	}
}

func (r *Replica) commit(ctx context.Context, t table.Transaction) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := r.table.Commit(ctx, t)
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
func (r *Replica) Audit(ctx context.Context, after uint64, limit int) ([]AuditRecord, error) {
	items, err := r.table.Scan(ctx, auditPrefix, auditKey(after), limit)
	if err != nil {
		return nil, fmt.Errorf("view: audit: %w", err)
	}
	var records []AuditRecord
	for _, i := range items {
		a, err := decodeItem[AuditRecord](i.Value)
		if err != nil {
			return nil, fmt.Errorf("view: %s: %w", i.Key, err)
		}
		records = append(records, a)
	}
	return records, nil
}

// MatchSection returns a *reject.Error of KindConflict that states both versions unless a section is at the version
// that an edit is based on; version 0 stands for an absent section.
func MatchSection(v fleet.View, name string, version uint64) error {
	s, _ := v.Section(name)
	if s.Version == version {
		return nil
	}
	return reject.New(reject.KindConflict, reject.WorkNotRun,
		"section %s is at version %d, the edit is based on version %d", name, s.Version, version)
}
