package grant_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
)

const (
	tick = 100 * time.Millisecond
	// Tasks run out 1.25 x 10 s after the last renewal, by the design page; a start is delayed by at most 1 s.
	leaseEnd   = 12500 * time.Millisecond
	startDelay = time.Second
	// inForce is the stated bound for an accepted edit: 2 s freshness and 1 s reservation.
	inForce = 3 * time.Second
)

var names = []string{"a", "b", "c"}

// task is a running task as its worker knows it.
type task struct {
	owner string
	book  *entry
	slots int
	ends  time.Time
}

// history runs random work and faults over several entries and adds up what runs.
type history struct {
	*cluster
	tasks       []*task
	ceilings    []limit // in the order of their edits
	incarnation int
	started     int
	failure     string
}

type limit struct {
	slots int
	until time.Time // from when on it is surely not in force any more; zero for the last one
}

// Guards against more running slots than the ceiling, whatever happens to the entries, the store and the replies.
func TestCeilingHolds(t *testing.T) {
	total := 0
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 99999), 20, 80).Draw(r, "steps")
		var h *history
		synctest.Test(t, func(t *testing.T) {
			h = &history{cluster: newCluster(t), incarnation: 1}
			time.Sleep(tick)
			h.setCeiling(6)
			for _, name := range names {
				h.enter(name)
			}
			for _, s := range steps {
				h.step(s%13, names[s/13%3], s/39)
			}
		})
		total += h.started
		if h.failure != "" {
			r.Fatal(h.failure)
		}
	})
	if total == 0 {
		t.Fatal("no task started in any history")
	}
}

func (h *history) enter(name string) {
	h.incarnation++
	id := fleet.EntryID(fmt.Sprintf("%s.%d", name, h.incarnation))
	h.start(name, id)
	_ = h.join(name, id) // without a majority the entry stays out, which is a history too
}

func (h *history) step(kind int, name string, n int) {
	e := h.entries[name]
	switch kind {
	case 0, 1, 2:
		e.Want(team, n%9)
	case 3:
		h.setCeiling(n % 9)
	case 4:
		h.net.Isolate(name, true)
		e.link.Set(fakes.Faults{Down: true})
	case 5, 6:
		h.net.Isolate(name, false)
		e.link.Set(fakes.Faults{})
	case 7:
		e.link.Set(fakes.Faults{Lose: n % 2, Drop: n % 3, Late: n % 4, LateBy: time.Duration(n%3000) * time.Millisecond})
	case 8:
		_ = h.edit(view.MemberRemoval(e.id))
	case 9:
		h.kill(name)
	case 10:
		for _, e := range h.entries {
			e.link.Set(fakes.Faults{Down: n%2 == 0, Delay: time.Duration(n%800) * time.Millisecond})
		}
	}
	for range 1 + n%20*(kind%4) {
		h.tick()
	}
}

// kill ends a process; its tasks run until their leases end. Another one starts at its address.
func (h *history) kill(name string) {
	h.entries[name].stop()
	for _, t := range h.tasks {
		if t.owner == name {
			t.owner, t.book = "", nil
		}
	}
	h.enter(name)
}

func (h *history) setCeiling(slots int) {
	if err := h.ceiling(team, slots); err != nil && len(h.ceilings) > 0 {
		// Not known to be in force, or at all: both ceilings may be in use until the next edit.
		h.ceilings = append(h.ceilings, limit{slots: slots})
		return
	}
	for i := range h.ceilings {
		if h.ceilings[i].until.IsZero() {
			h.ceilings[i].until = time.Now().Add(inForce)
		}
	}
	h.ceilings = append(h.ceilings, limit{slots: slots})
}

// highest returns the highest ceiling that may be in force somewhere.
func (h *history) highest() int {
	n := 0
	for _, l := range h.ceilings {
		if l.until.IsZero() || time.Now().Before(l.until) {
			n = max(n, l.slots)
		}
	}
	return n
}

func (h *history) running() int {
	n := 0
	for _, t := range h.tasks {
		n += t.slots
	}
	return n
}

// tick lets every task end or be renewed and every fresh entry start one.
func (h *history) tick() {
	time.Sleep(tick)
	now := time.Now()
	var kept []*task
	for _, t := range h.tasks {
		switch {
		case now.After(t.ends):
			if t.book != nil {
				t.book.Release(team, t.slots)
			}
		default:
			if t.book != nil && t.book.keeper.Fresh() == nil && int(now.UnixMilli()/100)%7 != t.slots {
				t.ends = now.Add(leaseEnd)
			} else if t.book != nil && t.book.keeper.Fresh() == nil {
				t.book.Release(team, t.slots)
				continue
			}
			kept = append(kept, t)
		}
	}
	h.tasks = kept
	for _, name := range names {
		h.startOne(name, now)
	}
}

func (h *history) startOne(name string, now time.Time) {
	e := h.entries[name]
	if e.keeper.Fresh() != nil {
		return
	}
	if _, ok := e.keeper.View().Member(e.id); !ok {
		h.renew(name, e)
		return
	}
	slots := 1 + int(now.UnixMilli()/100)%2
	if !e.Acquire(team, slots) {
		return
	}
	h.started++
	h.tasks = append(h.tasks, &task{owner: name, book: e, slots: slots, ends: now.Add(startDelay + leaseEnd)})
	if n := h.running(); n > h.highest() {
		h.failure = fmt.Sprintf("%d slots run under a ceiling of %d", n, h.highest())
	}
}

// renew gives an entry that was removed its next identifier, after its tasks were stopped.
func (h *history) renew(name string, e *entry) {
	var kept []*task
	for _, t := range h.tasks {
		if t.book == e {
			e.Release(team, t.slots)
		} else {
			kept = append(kept, t)
		}
	}
	h.tasks = kept
	h.incarnation++
	e.id = fleet.EntryID(fmt.Sprintf("%s.%d", name, h.incarnation))
	e.keeper.Identify(e.id)
	e.Reset(e.id)
	_ = h.join(name, e.id)
}
