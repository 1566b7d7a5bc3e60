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
	// By the design page, the lease of a task expires 1.25 x 10 s after its last renewal. A start is delayed by at most
	// 1 s.
	leaseTTL   = 12500 * time.Millisecond
	startDelay = time.Second
	// editDelay is the time within which an accepted edit is in force: 2 s freshness and 1 s reservation.
	editDelay = 3 * time.Second
)

var names = []string{"a", "b", "c"}

// task is a running task on its worker.
type task struct {
	owner       string
	entry       *entry
	slots       int
	leaseExpiry time.Time
}

// history applies random demand and faults to several entry instances and counts the running slots.
type history struct {
	*cluster
	tasks       []*task
	ceilings    []ceilingPeriod // in the order of their edits
	incarnation int
	started     int
	failure     string
}

type ceilingPeriod struct {
	slots        int
	inForceUntil time.Time // latest time at which it may be in force; zero until a later edit is accepted
}

// Guards against more running slots than the ceiling allows under any sequence of faults of the entry instances, the
// store and its replies.
func TestRunningSlotsWithinCeiling(t *testing.T) {
	total := 0
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 99999), 20, 80).Draw(r, "steps")
		var h *history
		synctest.Test(t, func(t *testing.T) {
			h = &history{cluster: newCluster(t), incarnation: 1}
			time.Sleep(tick)
			h.setCeiling(6)
			for _, name := range names {
				h.startEntry(name)
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

func (h *history) startEntry(name string) {
	h.incarnation++
	id := fleet.EntryID(fmt.Sprintf("%s.%d", name, h.incarnation))
	h.start(name, id)
	_ = h.join(name, id) // fails without a majority; the history then runs without this member
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
		e.link.SetFaults(fakes.Faults{Down: true})
	case 5, 6:
		h.net.Isolate(name, false)
		e.link.SetFaults(fakes.Faults{})
	case 7:
		e.link.SetFaults(fakes.Faults{Lose: n % 2, Drop: n % 3, Late: n % 4,
			LateBy: time.Duration(n%3000) * time.Millisecond})
	case 8:
		_ = h.edit(view.MemberRemoval(e.id))
	case 9:
		h.kill(name)
	case 10:
		for _, e := range h.entries {
			e.link.SetFaults(fakes.Faults{Down: n%2 == 0, Delay: time.Duration(n%800) * time.Millisecond})
		}
	}
	for range 1 + n%20*(kind%4) {
		h.tick()
	}
}

// kill stops a process, whose tasks run until their leases expire, and starts another one at its address.
func (h *history) kill(name string) {
	h.entries[name].stop()
	for _, t := range h.tasks {
		if t.owner == name {
			t.owner, t.entry = "", nil
		}
	}
	h.startEntry(name)
}

func (h *history) setCeiling(slots int) {
	if err := h.ceiling(team, slots); err != nil && len(h.ceilings) > 0 {
		// Whether the edit was applied is unknown: both ceilings may be in use until the next edit.
		h.ceilings = append(h.ceilings, ceilingPeriod{slots: slots})
		return
	}
	for i := range h.ceilings {
		if h.ceilings[i].inForceUntil.IsZero() {
			h.ceilings[i].inForceUntil = time.Now().Add(editDelay)
		}
	}
	h.ceilings = append(h.ceilings, ceilingPeriod{slots: slots})
}

// highestCeiling returns the highest ceiling that may be in force somewhere.
func (h *history) highestCeiling() int {
	n := 0
	for _, l := range h.ceilings {
		if l.inForceUntil.IsZero() || time.Now().Before(l.inForceUntil) {
			n = max(n, l.slots)
		}
	}
	return n
}

func (h *history) runningSlots() int {
	n := 0
	for _, t := range h.tasks {
		n += t.slots
	}
	return n
}

// tick ends or renews each task, and starts one at each entry instance whose view is fresh.
func (h *history) tick() {
	time.Sleep(tick)
	now := time.Now()
	var kept []*task
	for _, t := range h.tasks {
		switch {
		case now.After(t.leaseExpiry):
			if t.entry != nil {
				t.entry.Release(team, t.slots)
			}
		default:
			if t.entry != nil && t.entry.replica.Fresh() == nil && int(now.UnixMilli()/100)%7 != t.slots {
				t.leaseExpiry = now.Add(leaseTTL)
			} else if t.entry != nil && t.entry.replica.Fresh() == nil {
				t.entry.Release(team, t.slots)
				continue
			}
			kept = append(kept, t)
		}
	}
	h.tasks = kept
	for _, name := range names {
		h.startTask(name, now)
	}
}

func (h *history) startTask(name string, now time.Time) {
	e := h.entries[name]
	if e.replica.Fresh() != nil {
		return
	}
	if _, ok := e.replica.View().Member(e.id); !ok {
		h.reregister(name, e)
		return
	}
	slots := 1 + int(now.UnixMilli()/100)%2
	if !e.Acquire(team, slots) {
		return
	}
	h.started++
	h.tasks = append(h.tasks, &task{owner: name, entry: e, slots: slots, leaseExpiry: now.Add(startDelay + leaseTTL)})
	if n := h.runningSlots(); n > h.highestCeiling() {
		h.failure = fmt.Sprintf("%d slots run under a ceiling of %d", n, h.highestCeiling())
	}
}

// reregister joins a removed entry instance under its next identifier, after its tasks are stopped.
func (h *history) reregister(name string, e *entry) {
	var kept []*task
	for _, t := range h.tasks {
		if t.entry == e {
			e.Release(team, t.slots)
		} else {
			kept = append(kept, t)
		}
	}
	h.tasks = kept
	h.incarnation++
	e.id = fleet.EntryID(fmt.Sprintf("%s.%d", name, h.incarnation))
	e.replica.Identify(e.id)
	e.Reset(e.id)
	_ = h.join(name, e.id)
}
