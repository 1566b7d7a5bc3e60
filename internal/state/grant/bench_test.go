package grant_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/state/grant"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
)

// staticViews is a view of members and teams that doesn't change.
type staticViews struct {
	view fleet.View
}

func (c staticViews) View() fleet.View         { return c.view }
func (c staticViews) Changes() <-chan struct{} { return nil }
func (c staticViews) MajorityRevision() uint64 { return c.view.Revision() }

// newStaticViews returns a view of six entry instances and the teams, stored in a table.
func newStaticViews(b *testing.B, teams int) (staticViews, *fakes.Table) {
	t := fakes.NewTable()
	r := view.New("e0.1", t.Link(), fakes.NewNet(0).From("e0"), decode)
	for n := range teams {
		name := fmt.Sprintf("team/t%d", n)
		edit(b, r, view.SectionItem(fleet.Section{Name: name, Text: "60"}))
	}
	edit(b, r, view.MemberItem(fleet.Member{ID: "e0.1", Address: "e0"}))
	v := r.View()
	for n := 1; n < 6; n++ {
		v = v.WithMember(fleet.Member{ID: fleet.EntryID(fmt.Sprintf("e%d.1", n))})
	}
	return staticViews{v}, t
}

func edit(b *testing.B, r *view.Replica, items ...fleet.Item) {
	if _, err := r.Edit(b.Context(), "", func(fleet.View) ([]fleet.Item, error) { return items, nil }); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkReconcile raises the demand of every team at once on the fake clock, with a store that takes 5 ms. It
// reports the time until all teams have their grants, and the store writes per second meanwhile.
func BenchmarkReconcile(b *testing.B) {
	for _, teams := range []int{6, 60, 170} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			c, t := newStaticViews(b, teams)
			var took time.Duration
			var commits int64
			for b.Loop() {
				took, commits = runDemandSurge(c, t.Clone(), teams)
			}
			b.ReportMetric(took.Seconds(), "s-until-granted")
			b.ReportMetric(float64(commits)/took.Seconds(), "writes/s")
		})
	}
}

func runDemandSurge(c staticViews, t *fakes.Table, teams int) (took time.Duration, commits int64) {
	synctest.Test(&testing.T{}, func(tt *testing.T) {
		link, registry := t.Link(), metrics.NewRegistry()
		link.SetFaults(fakes.Faults{Delay: 5 * time.Millisecond})
		m := grant.New("e0.1", c, link, fakes.NewNet(0).From("e0"), grant.WithMetrics(registry))
		for n := range teams {
			m.Want(fleet.TeamName(fmt.Sprintf("t%d", n)), 30)
		}
		begin := time.Now()
		go m.Run(tt.Context())
		for n := 0; n < teams; {
			if m.Free(fleet.TeamName(fmt.Sprintf("t%d", n))) >= 30 {
				n++
				continue
			}
			time.Sleep(5 * time.Millisecond)
		}
		took, commits = time.Since(begin), metrics.GetOrRegisterCounter("grant.commits", registry).Count()
	})
	return took, commits
}

// BenchmarkAcquire is the cost of the grant for each start of a task.
func BenchmarkAcquire(b *testing.B) {
	c, t := newStaticViews(b, 1)
	m := grant.New("e0.1", c, t.Link(), fakes.NewNet(0).From("e0"))
	go m.Run(b.Context())
	for m.Free("t0") == 0 {
		time.Sleep(time.Millisecond)
	}
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if m.Acquire("t0", 1) {
				m.Release("t0", 1)
			}
		}
	})
}
