package view_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
)

var names = []string{"a", "b", "c", "d", "e"}

// history applies random faults and edits and checks that accepted edits are in force.
type history struct {
	*cluster
	failure      string
	incarnation  int
	accepted     uint64
	acceptedAt   time.Time
	lastRevision map[string]uint64
}

// Guards against an entry instance that still acts on an older view more than FreshTTL after an edit was accepted,
// under simultaneous changes of the members, network cuts, store outages and lost replies.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var failure string
		steps := rapid.SliceOfN(rapid.IntRange(0, 9999), 10, 50).Draw(r, "steps")
		synctest.Test(t, func(t *testing.T) {
			h := &history{cluster: newCluster(t), incarnation: 1, lastRevision: map[string]uint64{}}
			h.seeds.Store(&names)
			for _, name := range names {
				h.start(name, "1", fakes.Faults{})
			}
			time.Sleep(100 * time.Millisecond)
			for _, name := range names[:3] {
				h.noteAccepted(h.entries[name].Edit(t.Context(), "", toggleMember(fleet.EntryID(name+".1"), name)))
			}
			for _, s := range steps {
				h.step(s/100, names[s%5], names[s/5%5])
				for range 10 {
					h.check()
					time.Sleep(time.Duration(s%7) * 40 * time.Millisecond)
				}
			}
			failure = h.failure
		})
		if failure != "" {
			r.Fatal(failure)
		}
	})
}

func toggleMember(id fleet.EntryID, address string) view.Change {
	return func(v fleet.View) ([]fleet.Item, error) {
		if _, ok := v.Member(id); ok {
			return []fleet.Item{view.MemberRemoval(id)}, nil
		}
		return []fleet.Item{view.MemberItem(fleet.Member{ID: id, Address: address})}, nil
	}
}

func (h *history) step(kind int, a, b string) {
	e := h.entries[a]
	switch kind % 10 {
	case 0, 1:
		h.noteAccepted(e.Edit(h.t.Context(), a, func(fleet.View) ([]fleet.Item, error) {
			return []fleet.Item{view.SectionItem(fleet.Section{Name: "team/x", Text: "1"})}, nil
		}))
	case 2, 3, 4:
		h.noteAccepted(e.Edit(h.t.Context(), a, toggleMember(fleet.EntryID(b+".1"), b)))
	case 5:
		e.link.SetFaults(fakes.Faults{Down: true})
	case 6:
		h.net.Cut(a, b, true)
		h.net.SetDelay(time.Duration(kind) * 5 * time.Millisecond)
	case 7:
		h.net.Isolate(a, true)
		e.link.SetFaults(fakes.Faults{Delay: time.Duration(kind) * 20 * time.Millisecond, Lose: 1})
	case 8:
		h.net.Isolate(a, false)
		e.link.SetFaults(fakes.Faults{})
	case 9:
		h.restart(a)
	}
}

// restart stops an entry instance and starts a new incarnation at its address, with the store up or down in turn.
func (h *history) restart(name string) {
	h.stop(name)
	h.incarnation++
	delete(h.lastRevision, name)
	h.start(name, fmt.Sprint(h.incarnation), fakes.Faults{Down: h.incarnation%2 == 0})
}

func (h *history) noteAccepted(revision uint64, err error) {
	if err == nil && revision > h.accepted {
		h.accepted, h.acceptedAt = revision, time.Now()
	}
}

func (h *history) check() {
	for name, e := range h.entries {
		fresh := e.Fresh()
		revision := e.View().Revision()
		if fresh == nil && revision < h.accepted && time.Since(h.acceptedAt) > view.FreshTTL {
			h.failure = fmt.Sprintf("%s acts on revision %d, %s after revision %d was accepted",
				name, revision, time.Since(h.acceptedAt), h.accepted)
		}
		if revision < h.lastRevision[name] {
			h.failure = fmt.Sprintf("%s went back from revision %d to %d", name, h.lastRevision[name], revision)
		}
		h.lastRevision[name] = revision
		// A majority revision gives the same guarantee as an accepted edit.
		h.noteAccepted(e.MajorityRevision(), nil)
	}
}

// Guards against a write for a change function that returned an error, no items or an item outside the view, and
// against a change of several members at once, after which old and new majorities need not share a member.
func TestEditsNotWritten(t *testing.T) {
	refused := errors.New("refused")
	two := []fleet.Item{view.MemberItem(fleet.Member{ID: "b.1"}), view.MemberItem(fleet.Member{ID: "c.1"})}
	for _, c := range []struct {
		name  string
		items []fleet.Item
		err   error
		ok    bool
	}{
		{"refused", two[:1], refused, false},
		{"nothing to change", nil, nil, true},
		{"two members", two, nil, false},
		{"foreign key", []fleet.Item{{Key: "grant/x", Value: []byte("{}")}}, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newCluster(t)
				k.start("a", "1", fakes.Faults{})
				_, err := k.entries["a"].Edit(t.Context(), "a", func(fleet.View) ([]fleet.Item, error) { return c.items, c.err })
				if (err == nil) != c.ok || c.err != nil && !errors.Is(err, c.err) {
					t.Errorf("error %v, want ok %v", err, c.ok)
				}
				if n := k.table.Commits(); n != 0 {
					t.Errorf("%d commits", n)
				}
			})
		})
	}
}
