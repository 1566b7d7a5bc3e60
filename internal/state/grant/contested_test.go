package grant_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/state/grant"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
)

// BenchmarkContested keeps a ceiling contested on the fake clock: six entry instances are offered one and a half
// times what it allows, one of them half of that load, in tasks of 0.8 s. It reports the part of the ceiling in use,
// the wait of requests at the other five, and the store's transactions.
func BenchmarkContested(b *testing.B) {
	for _, ceiling := range []int{6, 12, 24, 36, 60} {
		b.Run(fmt.Sprintf("ceiling=%d", ceiling), func(b *testing.B) {
			v, store := newContestedLoad(b, ceiling)
			var c contestedLoad
			for b.Loop() {
				c = contestedLoad{ceiling: ceiling, random: rand.New(rand.NewPCG(1, 1))}
				synctest.Test(&testing.T{}, func(t *testing.T) { c.run(t, v, store.Clone(), 10*time.Minute) })
			}
			slices.Sort(c.waits)
			b.ReportMetric(100*c.usedSlotSeconds/float64(ceiling)/c.length.Seconds(), "%-used")
			b.ReportMetric(c.waits[len(c.waits)/2].Seconds()*1000, "ms-p50")
			b.ReportMetric(c.waits[len(c.waits)*99/100].Seconds()*1000, "ms-p99")
			b.ReportMetric(float64(c.commits)/c.length.Seconds(), "writes/s")
		})
	}
}

type contestedLoad struct {
	ceiling         int
	random          *rand.Rand
	managers        []*grant.Manager
	queues          [][]time.Time
	usedSlotSeconds float64
	waits           []time.Duration
	commits         uint64
	length          time.Duration
}

// newContestedLoad returns a view of six entry instances and a team, and the store that holds it.
func newContestedLoad(b *testing.B, ceiling int) (fleet.View, *fakes.Table) {
	store := fakes.NewTable()
	r := view.New("e0.1", store.Link(), fakes.NewNet(0).From("e0"), decode)
	edit(b, r, view.SectionItem(fleet.Section{Name: "team/" + string(team), Text: fmt.Sprint(ceiling)}))
	v := r.View()
	for n := range 6 {
		e := fleet.Member{ID: fleet.EntryID(fmt.Sprintf("e%d.1", n)), Address: fmt.Sprintf("e%d", n)}
		v = v.WithMember(e)
		x := table.Transaction{Writes: []table.Write{{Key: view.MemberKey(e.ID), Value: []byte("{}")}}}
		if _, err := store.Link().Commit(b.Context(), x); err != nil {
			b.Fatal(err)
		}
	}
	return v, store
}

func (c *contestedLoad) run(t *testing.T, v fleet.View, store *fakes.Table, length time.Duration) {
	net := fakes.NewNet(time.Millisecond)
	for n := range 6 {
		link, name := store.Link(), fmt.Sprintf("e%d", n)
		link.SetFaults(fakes.Faults{Delay: time.Millisecond})
		m := grant.New(fleet.EntryID(name+".1"), staticViews{v}, link, net.From(name))
		net.Listen(name, fakes.Node{NotifyGrants: m.HandleNotifyGrants})
		go m.Run(t.Context())
		c.managers, c.queues = append(c.managers, m), append(c.queues, nil)
	}
	const tick, warm = 5 * time.Millisecond, 5 * time.Second
	for begin := time.Now(); time.Since(begin) < length; time.Sleep(tick) {
		rate := 1.5 * float64(c.ceiling) / 0.8
		for n := range c.managers {
			part := 0.1
			if n == 0 {
				part = 0.5
			}
			c.offerLoad(n, rate*part*tick.Seconds(), time.Since(begin) > warm)
		}
	}
	c.length, c.commits = length-warm, store.Commits()
}

// offerLoad adds the arrivals of a tick to a queue and starts as many tasks as the grant allows.
func (c *contestedLoad) offerLoad(n int, arrivals float64, counts bool) {
	for left := arrivals - c.random.ExpFloat64(); left > 0; left -= c.random.ExpFloat64() {
		c.queues[n] = append(c.queues[n], time.Now())
	}
	for len(c.queues[n]) > 0 && c.managers[n].Acquire(team, 1) {
		if counts && n > 0 {
			c.waits = append(c.waits, time.Since(c.queues[n][0]))
		}
		c.queues[n] = c.queues[n][1:]
		run := 400*time.Millisecond + time.Duration(c.random.Int64N(int64(800*time.Millisecond)))
		time.AfterFunc(run, func() { c.managers[n].Release(team, 1) })
		if counts {
			c.usedSlotSeconds += run.Seconds()
		}
	}
	c.managers[n].Want(team, len(c.queues[n]))
}
