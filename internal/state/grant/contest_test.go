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

// BenchmarkContested keeps a ceiling contested on the paused clock: six entry instances are offered one and a half
// times what it allows, one of them half of that, in tasks of 0.8 s. It reports the part of the ceiling in use, the
// time that requests at the other five wait, and the store's transactions.
func BenchmarkContested(b *testing.B) {
	for _, ceiling := range []int{6, 12, 24, 36, 60} {
		b.Run(fmt.Sprintf("ceiling=%d", ceiling), func(b *testing.B) {
			v, store := newContest(b, ceiling)
			var c contest
			for b.Loop() {
				c = contest{ceiling: ceiling, random: rand.New(rand.NewPCG(1, 1))}
				synctest.Test(&testing.T{}, func(t *testing.T) { c.run(t, v, store.Clone(), 10*time.Minute) })
			}
			slices.Sort(c.waits)
			b.ReportMetric(100*c.used/float64(ceiling)/c.length.Seconds(), "%-used")
			b.ReportMetric(c.waits[len(c.waits)/2].Seconds()*1000, "ms-p50")
			b.ReportMetric(c.waits[len(c.waits)*99/100].Seconds()*1000, "ms-p99")
			b.ReportMetric(float64(c.commits)/c.length.Seconds(), "writes/s")
		})
	}
}

type contest struct {
	ceiling int
	random  *rand.Rand
	books   []*grant.Manager
	queues  [][]time.Time
	used    float64 // slot-seconds
	waits   []time.Duration
	commits uint64
	length  time.Duration
}

// newContest returns a view of six entries and a team, and the store that holds it.
func newContest(b *testing.B, ceiling int) (fleet.View, *fakes.Table) {
	store := fakes.NewTable()
	k := view.New("e0.1", store.Link(), fakes.NewNet(0).From("e0"), decode)
	edit(b, k, view.SectionItem(fleet.Section{Name: "team/" + string(team), Text: fmt.Sprint(ceiling)}))
	v := k.View()
	for n := range 6 {
		m := fleet.Member{ID: fleet.EntryID(fmt.Sprintf("e%d.1", n)), Address: fmt.Sprintf("e%d", n)}
		v = v.WithMember(m)
		x := table.Transaction{Writes: []table.Write{{Key: view.MemberKey(m.ID), Value: []byte("{}")}}}
		if _, err := store.Link().Commit(b.Context(), x); err != nil {
			b.Fatal(err)
		}
	}
	return v, store
}

func (c *contest) run(t *testing.T, v fleet.View, store *fakes.Table, length time.Duration) {
	net := fakes.NewNet(time.Millisecond)
	for n := range 6 {
		link, name := store.Link(), fmt.Sprintf("e%d", n)
		link.Set(fakes.Faults{Delay: time.Millisecond})
		book := grant.New(fleet.EntryID(name+".1"), crowd{v}, link, net.From(name))
		net.Listen(name, fakes.Node{NotifyGrants: book.HandleNotifyGrants})
		go book.Run(t.Context())
		c.books, c.queues = append(c.books, book), append(c.queues, nil)
	}
	const tick, warm = 5 * time.Millisecond, 5 * time.Second
	for begin := time.Now(); time.Since(begin) < length; time.Sleep(tick) {
		rate := 1.5 * float64(c.ceiling) / 0.8
		for n := range c.books {
			part := 0.1
			if n == 0 {
				part = 0.5
			}
			c.serve(n, rate*part*tick.Seconds(), time.Since(begin) > warm)
		}
	}
	c.length, c.commits = length-warm, store.Commits()
}

// serve adds the arrivals of a tick to a queue and starts what its grant allows.
func (c *contest) serve(n int, arrivals float64, counts bool) {
	for left := arrivals - c.random.ExpFloat64(); left > 0; left -= c.random.ExpFloat64() {
		c.queues[n] = append(c.queues[n], time.Now())
	}
	for len(c.queues[n]) > 0 && c.books[n].Acquire(team, 1) {
		if counts && n > 0 {
			c.waits = append(c.waits, time.Since(c.queues[n][0]))
		}
		c.queues[n] = c.queues[n][1:]
		run := 400*time.Millisecond + time.Duration(c.random.Int64N(int64(800*time.Millisecond)))
		time.AfterFunc(run, func() { c.books[n].Release(team, 1) })
		if counts {
			c.used += run.Seconds()
		}
	}
	c.books[n].Want(team, len(c.queues[n]))
}
