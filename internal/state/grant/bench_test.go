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

// crowd is a view with members and teams that doesn't change.
type crowd struct {
	view fleet.View
}

func (c crowd) View() fleet.View         { return c.view }
func (c crowd) Changes() <-chan struct{} { return nil }
func (c crowd) MajorityRevision() uint64 { return c.view.Revision() }

// newCrowd returns a view of six entries and the teams, stored in a table.
func newCrowd(b *testing.B, teams int) (crowd, *fakes.Table) {
	t := fakes.NewTable()
	k := view.New("e0.1", t.Link(), fakes.NewNet(0).From("e0"), decode)
	for n := range teams {
		name := fmt.Sprintf("team/t%d", n)
		edit(b, k, view.SectionItem(fleet.Section{Name: name, Text: "60"}))
	}
	edit(b, k, view.MemberItem(fleet.Member{ID: "e0.1", Address: "e0"}))
	v := k.View()
	for n := 1; n < 6; n++ {
		v = v.WithMember(fleet.Member{ID: fleet.EntryID(fmt.Sprintf("e%d.1", n))})
	}
	return crowd{v}, t
}

func edit(b *testing.B, k *view.Replica, items ...fleet.Item) {
	if _, err := k.Edit(b.Context(), "", func(fleet.View) ([]fleet.Item, error) { return items, nil }); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkRound is one surge of demand for every team: the time until all have their grants, on the
// paused clock with a store that takes 5 ms, and the store writes per second meanwhile.
func BenchmarkRound(b *testing.B) {
	for _, teams := range []int{6, 60, 170} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			c, t := newCrowd(b, teams)
			var took time.Duration
			var commits int64
			for b.Loop() {
				took, commits = surge(c, t.Clone(), teams)
			}
			b.ReportMetric(took.Seconds(), "s-until-granted")
			b.ReportMetric(float64(commits)/took.Seconds(), "writes/s")
		})
	}
}

func surge(c crowd, t *fakes.Table, teams int) (took time.Duration, commits int64) {
	synctest.Test(&testing.T{}, func(tt *testing.T) {
		link, registry := t.Link(), metrics.NewRegistry()
		link.Set(fakes.Faults{Delay: 5 * time.Millisecond})
		k := grant.New("e0.1", c, link, fakes.NewNet(0).From("e0"), grant.WithMetrics(registry))
		for n := range teams {
			k.Want(fleet.TeamName(fmt.Sprintf("t%d", n)), 30)
		}
		begin := time.Now()
		go k.Run(tt.Context())
		for n := 0; n < teams; {
			if k.Free(fleet.TeamName(fmt.Sprintf("t%d", n))) >= 30 {
				n++
				continue
			}
			time.Sleep(5 * time.Millisecond)
		}
		took, commits = time.Since(begin), metrics.GetOrRegisterCounter("grant.commits", registry).Count()
	})
	return took, commits
}

// BenchmarkAcquire is what every start pays for its grant.
func BenchmarkAcquire(b *testing.B) {
	c, t := newCrowd(b, 1)
	k := grant.New("e0.1", c, t.Link(), fakes.NewNet(0).From("e0"))
	go k.Run(b.Context())
	for k.Free("t0") == 0 {
		time.Sleep(time.Millisecond)
	}
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if k.Acquire("t0", 1) {
				k.Release("t0", 1)
			}
		}
	})
}
