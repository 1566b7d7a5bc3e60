package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Guards against exceeding the capacity of workers that start whatever they are told: they may have shrunk while their
// reports can't be read. Workers that reject what doesn't fit get tasks meanwhile.
func TestStaleReportsStopStarts(t *testing.T) {
	for _, c := range []struct {
		name     string
		enforces bool
		want     int
	}{{"workers that accept everything", false, 0}, {"workers that reject what does not fit", true, 1}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := DefaultOptions()
				o.MaxReportAge = 3 * time.Second
				sc := New(o, 1, nil)
				sc.Configure(work.NewConfig(work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p"}},
					Pools: map[string]work.Pool{"p": {Name: "p", EnforcesLimits: c.enforces}}}))
				sc.SetWorkers([]work.Worker{{ID: "w", Pool: "p", Capacity: work.Need{CPU: 4000}}})
				sc.ConfirmReports(time.Now())
				sc.HandleRenewal(Renewal{Worker: "w"}, work.RenewalReply{}, time.Now())
				started := func(id work.JobID) int {
					if _, err := sc.Submit(work.Job{ID: id, Queue: "q",
						Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 1000}}}}); err != nil {
						t.Fatal(err)
					}
					b, err := sc.Batch()
					if err != nil {
						t.Fatal(err)
					}
					sc.HandleCommit(b)
					return len(dispatch(sc))
				}
				if n := started("00000000000000a1"); n != 1 {
					t.Errorf("%d starts by current reports, want 1", n)
				}
				time.Sleep(o.MaxReportAge)
				if n := started("00000000000000a2"); n != 1 {
					t.Errorf("%d starts at the bound, want 1", n)
				}
				time.Sleep(time.Millisecond)
				if n := started("00000000000000a3"); n != c.want {
					t.Errorf("%d starts by reports that are too old, want %d", n, c.want)
				}
				sc.ConfirmReports(time.Now())
				if n := started("00000000000000a4"); n != 2-c.want {
					t.Errorf("%d starts after new reports, want %d", n, 2-c.want)
				}
			})
		})
	}
}
