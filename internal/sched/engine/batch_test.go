package engine

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// surge submits new jobs, as many as several batches hold.
func surge(t *testing.T, sc *Scheduler, first int) {
	t.Helper()
	for i := range 4 * MaxBatchRows {
		j := work.Job{ID: work.JobID(fmt.Sprintf("%016x", first+i)), Accepted: time.Now().UnixMilli(), Queue: "q",
			Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 1}}}}
		if _, err := sc.Submit(j); err != nil {
			t.Fatal(err)
		}
	}
}

// batches returns the number of batches until one writes a row, which must be at most a limit.
func batches(t *testing.T, sc *Scheduler, key string, limit int) int {
	t.Helper()
	for n := 1; n <= limit; n++ {
		c, err := sc.Batch()
		if err != nil {
			t.Fatal(err)
		}
		sc.HandleCommit(c)
		if slices.ContainsFunc(c.Writes, func(w table.Write) bool { return w.Key == key }) {
			return n
		}
		surge(t, sc, 1<<20*n)
		time.Sleep(time.Second)
	}
	t.Fatalf("%s is in none of %d batches", key, limit)
	return 0
}

// Load pattern: more jobs are submitted than the store takes. Guards against cancellations that are never confirmed, and ends
// of jobs and records of workers that are never stored, because each batch is full of new jobs.
func TestSurgeOfNewJobsDoesNotStarveOthers(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Scheduler, *job)
		key    string
		limit  int
	}{
		// A cancellation waits no longer than the submissions before it.
		{"cancellation", func(sc *Scheduler, j *job) { _, _ = sc.Cancel(j.ID) }, PrefixJob + "00000000000000aa", 8},
		{"completion", func(sc *Scheduler, j *job) { sc.finishJob(j, work.Completed) }, PrefixJob + "00000000000000aa", 1},
		{"worker", func(sc *Scheduler, _ *job) { sc.dirtyWorkers["w1"] = true }, PrefixWorker + "w1", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sc := newTestScheduler(t, work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p"}}},
					[]work.Worker{{ID: "w1", Pool: "p", Capacity: work.Need{CPU: 1}}})
				j := work.Job{ID: "00000000000000aa", Accepted: time.Now().UnixMilli(), Queue: "q",
					Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 1}, LongRunning: true}}}
				if _, err := sc.Submit(j); err != nil {
					t.Fatal(err)
				}
				store(t, sc)
				time.Sleep(time.Second)
				surge(t, sc, 1<<16)
				c.change(sc, sc.jobs[j.ID])
				batches(t, sc, c.key, c.limit)
			})
		})
	}
}
