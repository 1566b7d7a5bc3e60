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
	for i := range 4 * maxBatchWrites {
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
