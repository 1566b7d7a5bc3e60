package engine

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// Guards against a caller that waits in vain while the store is slow: one transaction holds fewer rows than have
// changed, and the new job waited behind the progress of others and the records of workers until its caller's deadline.
func TestBatchHoldsNewJobsFirst(t *testing.T) {
	b := New(DefaultOptions(), 1, nil)
	b.Configure(work.NewConfig(work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p"}},
		Pools: map[string]work.Pool{"p": {Name: "p"}}}))
	submit := func(id string) {
		t.Helper()
		j := work.Job{ID: work.JobID(id), Queue: "q", Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 1}}}}
		if _, err := b.Submit(j); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 4 * maxWrites {
		submit(fmt.Sprintf("%016x", i))
	}
	for b.Dirty() {
		c, err := b.Batch()
		if err != nil {
			t.Fatal(err)
		}
		b.Committed(c)
	}
	for i, j := range slices.Collect(maps.Values(b.jobs)) {
		b.touch(j)
		b.usedDirty[work.WorkerID(fmt.Sprint("w", i))] = true
	}
	submit("ffffffffffffffff")
	c, err := b.Batch()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(c.Writes, func(w table.Write) bool { return w.Key == PrefixJob+"ffffffffffffffff" }) {
		t.Errorf("the new job is not among the %d rows", len(c.Writes))
	}
}
