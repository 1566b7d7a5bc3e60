package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Load pattern: a wave over half of a fleet whose machines run long-running tasks with disruption budgets. Guards against a
// wave that begins to empty them so late that the tasks of one step, which leave in turns, hold its last machines up.
func TestVacateTime(t *testing.T) {
	const workers, leaving = 20, 11
	var list []work.Worker
	for i := range workers {
		list = append(list, work.Worker{ID: work.WorkerID(fmt.Sprintf("w%02d", i)), Pool: "p", Zone: "a",
			Capacity: work.Need{CPU: 4000, Memory: 4000}})
	}
	sc := newTestScheduler(t, work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p", Attempts: 2}}}, list)
	for i, most := range []int{2, 3, 0} {
		j := work.Job{ID: work.JobID(fmt.Sprintf("%016x", i)), Queue: "q", Accepted: time.Now().UnixMilli(),
			Steps: []work.Step{{Count: workers, Need: work.Need{CPU: 1000}, LongRunning: true, MaxPerWorker: 1,
				HasMaxUnavailable: true, MaxUnavailable: most}}}
		if _, err := sc.Submit(j); err != nil {
			t.Fatal(err)
		}
	}
	store(t, sc)
	startAll(sc)
	var ids []work.WorkerID
	for _, w := range list[:leaving] {
		ids = append(ids, w.ID)
	}
	// Two of eleven leave at a time; a budget of none never lets one go.
	if got, want := sc.VacateTime(ids), 6*relocationTime; got != want {
		t.Errorf("%v, want %v", got, want)
	}
	if got := sc.VacateTime(nil); got != 0 {
		t.Errorf("%v without machines", got)
	}
}
