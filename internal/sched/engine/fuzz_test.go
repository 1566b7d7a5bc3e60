package engine

import (
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// fuzzQueue is the queue of the jobs in fuzz tests.
const fuzzQueue = "q"

func fuzzScheduler() *Scheduler {
	sc := New(DefaultOptions(), 2, nil)
	sc.Configure(work.NewConfig(work.Config{Version: 1, Queues: []work.Queue{{Name: fuzzQueue, Pool: "p", Attempts: 2}}}))
	return sc
}

// fuzzJob is a job with two dependent steps.
func fuzzJob() work.Job {
	return work.Job{ID: "00000000000000a1", Queue: fuzzQueue, Accepted: 1,
		Steps: []work.Step{{Count: 2, Need: work.Need{CPU: 100}}, {Count: 1, After: []int{0}}}}
}

// FuzzRestore guards against a stored row that ends each new leader's process in turn.
func FuzzRestore(f *testing.F) {
	sc := fuzzScheduler()
	sc.SetWorkers([]work.Worker{{ID: "w", Pool: "p", Capacity: work.Need{CPU: 1000}}})
	sc.HandleRenewal(Renewal{Worker: "w"}, work.RenewalReply{Incarnation: 1}, time.Now())
	if _, err := sc.Submit(fuzzJob()); err != nil {
		f.Fatal(err)
	}
	rows := map[string][]byte{}
	keep := func() {
		batch, err := sc.Batch()
		if err != nil {
			f.Fatal(err)
		}
		sc.HandleCommit(batch)
		for _, w := range batch.Writes {
			rows[w.Key] = w.Value
		}
	}
	keep()
	task := work.TaskID{Job: "00000000000000a1"}
	dispatch(sc)
	sc.HandleRenewal(Renewal{Worker: "w"}, work.RenewalReply{Incarnation: 1,
		Ended: []work.End{{Number: 1, Run: work.RunKey{Task: task, Number: 2001}, How: work.TaskFailed, Checkpoint: "c"}}}, time.Now())
	keep()
	for key, value := range rows {
		f.Add(key, value, rows[PrefixJob+"00000000000000a1"])
	}
	f.Fuzz(func(_ *testing.T, key string, value, job []byte) {
		sc := fuzzScheduler()
		sc.Restore([]table.Item{{Key: key, Value: value, Version: 1}, {Key: PrefixJob + "00000000000000a1", Value: job, Version: 2}})
		use(sc)
	})
}

// use does what a leader does with a scheduler.
func use(sc *Scheduler) {
	sc.SetWorkers([]work.Worker{{ID: "w", Pool: "p", Capacity: work.Need{CPU: 1000}}})
	sc.HandleRenewal(Renewal{Worker: "w"}, work.RenewalReply{Incarnation: 1}, time.Now())
	for range 3 {
		sc.Tick()
		for _, c := range dispatch(sc) {
			sc.HandleOutcome(c, Applied, time.Now())
		}
		sc.Demands()
		if b, err := sc.Batch(); err == nil {
			sc.HandleCommit(b)
		}
	}
	sc.Load()
}

// FuzzRunLists guards against a worker whose lists of runs end the leader's process, or make it lose count of what it has
// reserved.
func FuzzRunLists(f *testing.F) {
	f.Add("00000000000000a1", 0, 0, 1, int64(2001), 40, int64(1), "done", int64(1))
	f.Add("00000000000000a1", 1<<30, -1, 1<<30, int64(-1), -7, int64(1)<<62, "", int64(0))
	f.Add("unknown", 0, 1, 0, int64(1), 100, int64(2), "failed", int64(2))
	f.Fuzz(func(t *testing.T, job string, round, step, index int, number int64, percent int, end int64, how string, born int64) {
		sc := fuzzScheduler()
		sc.SetWorkers([]work.Worker{{ID: "w", Pool: "p", Capacity: work.Need{CPU: 1000}}})
		sc.HandleRenewal(Renewal{Worker: "w"}, work.RenewalReply{Incarnation: 1}, time.Now())
		if _, err := sc.Submit(fuzzJob()); err != nil {
			t.Fatal(err)
		}
		use(sc)
		key := work.RunKey{Task: work.TaskID{Job: work.JobID(job), Round: round, Step: step, Index: index}, Number: number}
		for _, r := range []work.RenewalReply{
			{Incarnation: born, Active: []work.Active{{Run: key, Percent: percent}, {Run: key, Percent: percent}}},
			{Incarnation: born, Ended: []work.End{{Number: end, Run: key, How: work.Ending(how)}}},
			{Incarnation: born, Active: []work.Active{{Run: key, Percent: percent}},
				Ended: []work.End{{Number: end, Run: key, How: work.Ending(how)}, {Number: end + 1, Run: key, How: work.Ending(how)}}},
		} {
			sc.HandleRenewal(Renewal{Worker: "w"}, r, time.Now())
			use(sc)
		}
		for _, w := range sc.workers {
			var reserved work.Need
			for _, r := range w.runs {
				reserved = reserved.Plus(r.need)
			}
			if reserved != w.reserved {
				t.Errorf("%s reserves %+v, its runs %+v", w.ID, w.reserved, reserved)
			}
		}
	})
}
