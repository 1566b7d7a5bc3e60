package engine

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// Guards against submissions that time out while the store is slow: one transaction holds fewer rows than have changed,
// and a new job waited behind the progress of other jobs and the records of workers until its caller's deadline.
func TestBatchStoresNewJobsFirst(t *testing.T) {
	sc := New(DefaultOptions(), 1, nil)
	sc.Configure(work.NewConfig(work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p"}},
		Pools: map[string]work.Pool{"p": {Name: "p"}}}))
	submit := func(id string) {
		t.Helper()
		j := work.Job{ID: work.JobID(id), Queue: "q", Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 1}}}}
		if _, err := sc.Submit(j); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 4 * MaxBatchRows {
		submit(fmt.Sprintf("%016x", i))
	}
	for sc.Dirty() {
		c, err := sc.Batch()
		if err != nil {
			t.Fatal(err)
		}
		sc.HandleCommit(c)
	}
	for i, j := range slices.Collect(maps.Values(sc.jobs)) {
		sc.markDirty(j)
		sc.dirtyWorkers[work.WorkerID(fmt.Sprint("w", i))] = true
	}
	submit("ffffffffffffffff")
	c, err := sc.Batch()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(c.Writes, func(w table.Write) bool { return w.Key == PrefixJob+"ffffffffffffffff" }) {
		t.Errorf("the new job is not among the %d rows", len(c.Writes))
	}
}

// Guards against workers that list all their ended runs again and again while the store takes fewer rows than change: no
// end was acknowledged until a transaction held every change, and reading the lists left the leader no time for anything
// else. An end must not be acknowledged before its result is stored either.
func TestEndsAreAcknowledgedAsTheirResultsAreStored(t *testing.T) {
	const jobs = 3 * MaxBatchRows
	workers := []work.Worker{{ID: "w1", Pool: "p", Capacity: work.Need{CPU: jobs / 2}},
		{ID: "w2", Pool: "p", Capacity: work.Need{CPU: jobs / 2}}}
	sc := newTestScheduler(t, work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p"}}}, workers)
	for i := range jobs {
		j := work.Job{ID: work.JobID(fmt.Sprintf("%016x", i)), Accepted: int64(i), Queue: "q",
			Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 1}}}}
		if _, err := sc.Submit(j); err != nil {
			t.Fatal(err)
		}
	}
	store(t, sc)
	startAll(sc)
	// The ends come in another order than the jobs are stored in.
	ended := map[work.WorkerID][]work.JobID{}
	for i := range jobs {
		id := work.JobID(fmt.Sprintf("%016x", (i*7)%jobs))
		r := sc.jobs[id].stepStates[stepKey{}].tasks[0].runs[0]
		ended[r.worker.ID] = append(ended[r.worker.ID], id)
		sc.handleEnds(r.worker, []work.End{{Number: int64(len(ended[r.worker.ID])), Run: r.key, How: work.Done}})
	}
	for round := 0; sc.Dirty(); round++ {
		c, err := sc.Batch()
		if err != nil {
			t.Fatal(err)
		}
		sc.HandleCommit(c)
		for id, list := range ended {
			acked := int(sc.workers[id].ackedEnd)
			for i, j := range list {
				if stored := sc.jobs[j].storedState.Final(); i < acked && !stored {
					t.Errorf("round %d: the end of %s is acknowledged before its result is stored", round, j)
				} else if i == acked && stored {
					t.Errorf("round %d: the end of %s is not acknowledged although its result is stored", round, j)
				}
			}
		}
		if round > jobs {
			t.Fatal("there are still changes to store")
		}
	}
}
