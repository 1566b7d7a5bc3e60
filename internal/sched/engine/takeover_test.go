package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// takeover is the state that a former leader of a large fleet in a queue's turn leaves: jobs, workers and their run lists.
type takeover struct {
	config  work.Config
	workers []work.Worker
	items   []table.Item
	replies []work.RenewalReply
}

func newTakeover(tb testing.TB, jobs, tasks, workers int) *takeover {
	t := &takeover{config: work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p", Attempts: 3, Stretch: 1.5,
		Objective: time.Second}}, Customers: map[string]work.Customer{"c": {Name: "c", Weight: 1}}}}
	for i := range workers {
		t.workers = append(t.workers, work.Worker{ID: work.WorkerID(fmt.Sprintf("w%04d", i)), Pool: "p", Zone: "a",
			Machine: fmt.Sprintf("m%04d", i), Incarnation: 1, Capacity: work.Need{CPU: 32000, Memory: 128000}})
		t.replies = append(t.replies, work.RenewalReply{Incarnation: 1, Clock: time.Now().UnixMilli()})
	}
	sc := New(DefaultOptions(), 1, nil)
	sc.Configure(work.NewConfig(t.config))
	sc.SetWorkers(t.workers)
	for i := range jobs {
		id := work.JobID(fmt.Sprintf("%016x", i))
		if _, err := sc.Submit(work.Job{ID: id, Queue: "q", Customer: "c", Accepted: time.Now().UnixMilli(), Spec: fmt.Sprint("job ", i),
			Steps: []work.Step{{Count: tasks, Need: work.Need{CPU: 4200, Memory: 1000}, Estimate: 640 * time.Millisecond}}}); err != nil {
			tb.Fatal(err)
		}
		for k := range tasks {
			r := &t.replies[(i*tasks+k)%workers]
			key := work.RunKey{Task: work.TaskID{Job: id, Index: k}, Number: 1}
			if k%4 == 0 {
				r.Active = append(r.Active, work.Active{Run: key, Percent: 50})
			} else {
				r.Ended = append(r.Ended, work.End{Number: int64(len(r.Ended) + 1), Run: key, How: work.Done})
			}
		}
	}
	for sc.Dirty() {
		c, err := sc.Batch()
		if err != nil {
			tb.Fatal(err)
		}
		for _, w := range c.Writes {
			t.items = append(t.items, table.Item{Key: w.Key, Value: w.Value, Version: 1})
		}
		sc.HandleCommit(c)
	}
	return t
}

// BenchmarkTakeover measures what a new leader spends on the stored jobs and the run lists of all workers.
func BenchmarkTakeover(b *testing.B) {
	t := newTakeover(b, 1500, 8, 1100)
	var restoring, handling time.Duration
	for b.Loop() {
		began := time.Now()
		sc := New(DefaultOptions(), 2, nil)
		sc.Restore(t.items)
		sc.Configure(work.NewConfig(t.config))
		sc.SetWorkers(t.workers)
		restored := time.Now()
		for i, w := range t.workers {
			sc.HandleRenewal(Renewal{Worker: w.ID}, t.replies[i], restored)
		}
		restoring += restored.Sub(began)
		handling += time.Since(restored)
	}
	b.ReportMetric(float64(restoring.Milliseconds())/float64(b.N), "restore-ms")
	b.ReportMetric(float64(handling.Milliseconds())/float64(b.N), "renewals-ms")
}
