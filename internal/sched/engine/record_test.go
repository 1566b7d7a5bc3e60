package engine

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

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

// largeJob returns a job of many tasks, and a scheduler that has stored it with one other job.
func largeJob(t *testing.T, steps, count int) (*Scheduler, work.Job) {
	t.Helper()
	workers := []work.Worker{{ID: "w1", Pool: "p", Capacity: work.Need{CPU: 1}}}
	sc := newTestScheduler(t, work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p", Attempts: 3}}}, workers)
	large := work.Job{ID: "00000000000000a1", Queue: "q"}
	for range steps {
		large.Steps = append(large.Steps, work.Step{Count: count, Need: work.Need{CPU: 1}, Checkpoints: true})
	}
	small := work.Job{ID: "00000000000000a2", Queue: "q", Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 1}}}}
	for _, j := range []work.Job{large, small} {
		if _, err := sc.Submit(j); err != nil {
			t.Fatal(err)
		}
	}
	store(t, sc)
	return sc, large
}

// endAll lets every task of a job end.
func endAll(sc *Scheduler, j work.Job, how work.Ending) {
	var ends []work.End
	for i, s := range j.Steps {
		for k := range s.Count {
			ends = append(ends, work.End{Number: int64(len(ends) + 1), How: how, Checkpoint: fmt.Sprintf("%08x%08x", i, k),
				Run: work.RunKey{Task: work.TaskID{Job: j.ID, Step: i, Index: k}, Number: 1}})
		}
	}
	sc.HandleRenewal(Renewal{Worker: "w1"}, work.RenewalReply{Incarnation: 1, Ended: ends}, time.Now())
}

// rowBytes is the largest row that the store takes.
const rowBytes = 64 << 10

// takeOver returns the scheduler of a new leader that restores what a scheduler stores, and checks the sizes of the rows.
func takeOver(t *testing.T, sc *Scheduler) *Scheduler {
	t.Helper()
	var items []table.Item
	for _, j := range slices.Collect(maps.Values(sc.jobs)) {
		items = append(items, encodeItem(t, PrefixJob+string(j.ID), jobRecord{Job: j.Job, Settings: j.settings}))
	}
	for sc.Dirty() {
		c, err := sc.Batch()
		if err != nil {
			t.Fatal(err)
		}
		for _, w := range c.Writes {
			if len(w.Value) > rowBytes {
				t.Errorf("row %s has %d bytes, more than %d", w.Key, len(w.Value), rowBytes)
			}
			items = append(items, table.Item{Key: w.Key, Value: w.Value, Version: 1})
		}
		sc.HandleCommit(c)
	}
	next := New(DefaultOptions(), 2, nil)
	next.Restore(items)
	return next
}

func encodeItem(t *testing.T, key string, record any) table.Item {
	t.Helper()
	value, err := cbor.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	return table.Item{Key: key, Value: value, Version: 1}
}

// Guards against leaders that end their terms one after the other because the progress of a job with thousands of checkpoints
// is larger than a row of the store.
func TestProgressFitsIntoRow(t *testing.T) {
	sc, large := largeJob(t, 3, work.MaxCount)
	endAll(sc, large, work.LeaseExpired)
	sc.finishTask(sc.jobs[large.ID].stepStates[stepKey{0, 2}], 7)
	next := takeOver(t, sc)
	j := next.jobs[large.ID]
	if !j.stepStates[stepKey{0, 2}].tasks[7].done {
		t.Error("a completed task was not stored")
	}
	kept := 0
	for _, s := range j.stepStates {
		for i := range s.tasks {
			if s.tasks[i].checkpoint != "" {
				kept++
			}
		}
	}
	if kept < 1500 {
		t.Errorf("%d checkpoints stored, want at least 1500", kept)
	}
}

// Guards against a scheduled job that is given up because its rounds wait, for a zone that is out of service or a full pool, and
// its progress has an entry for each step of each of them (LOST): a new leader has the same rounds open, and what was done.
func TestProgressOfWaitingRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rounds, steps = 600, 12
		sc := newTestScheduler(t, work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p", Attempts: 3}}},
			[]work.Worker{{ID: "w1", Pool: "p", Capacity: work.Need{CPU: 1}}})
		timed := work.Job{ID: "00000000000000a1", Queue: "q", Accepted: time.Now().UnixMilli(), Repeats: rounds,
			First: time.Now().UnixMilli(), Interval: 100 * time.Millisecond}
		for range steps {
			timed.Steps = append(timed.Steps, work.Step{Count: 2, Need: work.Need{CPU: 1}})
		}
		if _, err := sc.Submit(timed); err != nil {
			t.Fatal(err)
		}
		store(t, sc)
		j := sc.jobs[timed.ID]
		for j.openedRounds < rounds {
			time.Sleep(100 * time.Millisecond)
			sc.Tick()
		}
		// All steps but the last one are complete, and in one round that too.
		for r := range rounds {
			for step := range steps - 1 {
				sc.finishTask(j.stepStates[stepKey{r, step}], 0)
				sc.finishTask(j.stepStates[stepKey{r, step}], 1)
			}
		}
		sc.finishTask(j.stepStates[stepKey{599, steps - 1}], 1)
		sc.finishTask(j.stepStates[stepKey{70, steps - 1}], 0)
		sc.finishTask(j.stepStates[stepKey{70, steps - 1}], 1)
		next := takeOver(t, sc)
		if j.state != work.Pending {
			t.Fatalf("the job is %s", j.state)
		}
		restored := next.jobs[timed.ID]
		if restored.openedRounds != rounds || restored.closedRounds != 1 || len(restored.stepStates) != (rounds-1)*steps {
			t.Errorf("%d rounds opened, %d closed, %d steps open", restored.openedRounds, restored.closedRounds, len(restored.stepStates))
		}
		for k, s := range j.stepStates {
			x := restored.stepStates[k]
			if x == nil || x.unfinished != s.unfinished || x.waiting != s.waiting || x.tasks[1].done != s.tasks[1].done {
				t.Fatalf("step %d of round %d is not restored", k.step, k.round)
			}
		}
	})
}

// Guards against the same for a job whose progress is too large without any checkpoint: that job fails, and no other.
func TestUnstorableJobFails(t *testing.T) {
	sc, large := largeJob(t, 4, work.MaxCount)
	endAll(sc, large, work.TaskFailed)
	next := takeOver(t, sc)
	if s := sc.jobs[large.ID].state; s != work.Failed {
		t.Errorf("the large job is %q", s)
	}
	if s := next.jobs["00000000000000a2"].state; s != work.Pending {
		t.Errorf("the other job is %q", s)
	}
}
