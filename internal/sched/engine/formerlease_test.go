package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// Guards against two runs at once after a change of leader: a worker that has reported its run lists, and does not reply
// any more before its first renewal is due, runs its tasks under the lease of the former leader. That lease was forgotten
// with the report, and the tasks started elsewhere seconds too early.
func TestLeaseOfFormerLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := work.NewConfig(work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p", Attempts: 2}}})
		workers := []work.Worker{{ID: "w1", Pool: "p", Incarnation: 1, Capacity: work.Need{CPU: 3}},
			{ID: "w2", Pool: "p", Incarnation: 1, Capacity: work.Need{CPU: 3}}}
		former := New(DefaultOptions(), 1, nil)
		former.Configure(config)
		former.SetWorkers(workers)
		for _, w := range workers {
			former.HandleRenewal(Renewal{Worker: w.ID}, work.RenewalReply{Incarnation: 1, Clock: time.Now().UnixMilli()}, time.Now())
		}
		if _, err := former.Submit(work.Job{ID: "00000000000000aa", Queue: "q", Accepted: time.Now().UnixMilli(),
			Steps: []work.Step{{Count: 3, Need: work.Need{CPU: 1}}}}); err != nil {
			t.Fatal(err)
		}
		var items []table.Item
		for former.Dirty() {
			b, err := former.Batch()
			if err != nil {
				t.Fatal(err)
			}
			for _, w := range b.Writes {
				items = append(items, table.Item{Key: w.Key, Value: w.Value, Version: 1})
			}
			former.HandleCommit(b)
		}
		runs := make([]work.RunKey, 3)
		for i := range runs {
			runs[i] = work.RunKey{Task: work.TaskID{Job: "00000000000000aa", Index: i}, Number: 1}
		}

		sc := New(DefaultOptions(), 2, nil)
		sc.Restore(items)
		leasesEnd := sc.inheritedUntil
		sc.Configure(config)
		sc.SetWorkers(workers)
		sc.HandleRenewal(Renewal{Worker: "w2"}, work.RenewalReply{Incarnation: 1, Clock: time.Now().UnixMilli()}, time.Now())
		// One task has two runs, so that one is stopped, and the end of a third delays the next renewal.
		sc.HandleRenewal(Renewal{Worker: "w1"}, work.RenewalReply{Incarnation: 1, Clock: time.Now().UnixMilli(),
			Active: []work.Active{{Run: runs[0], Percent: 100}, {Run: work.RunKey{Task: runs[0].Task, Number: 2}, Percent: 100},
				{Run: runs[1], Percent: 100}},
			Ended: []work.End{{Number: 1, Run: runs[2], How: work.Done}}}, time.Now())
		sent := time.Now()
		for _, c := range dispatch(sc) {
			if _, ok := c.(Stop); !ok {
				t.Fatalf("unexpected command %+v", c)
			}
			sc.HandleOutcome(c, NotSent, sent)
		}
		for time.Now().Before(leasesEnd) {
			o, delay, _ := sc.NextRenewal("w1")
			time.Sleep(delay)
			o = sc.PrepareRenewal(o)
			time.Sleep(450 * time.Millisecond)
			if o.Patient {
				time.Sleep(time.Second)
			}
			sc.HandleRenewalFailure(o, NoReply)
			sc.Tick()
			for _, c := range dispatch(sc) {
				if s, ok := c.(Start); ok && time.Now().Before(leasesEnd) {
					t.Fatalf("%s started again %v after the takeover, leases may last until %v", s.Run.Task, time.Since(sent),
						leasesEnd.Sub(sent))
				}
			}
		}
	})
}

// Guards against forgetting which worker holds ends that are not stored: after a change of leader a worker reported its ends
// and then did not reply once, its record was removed from the store, and the next leader, to which the store told nothing of
// those ends, started their tasks again without asking it.
func TestRecordOfWorkerWithUnstoredEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		former, run := startedRun(t)
		var items []table.Item
		for _, id := range []work.WorkerID{"w1", "w2"} {
			former.dirtyWorkers[id] = true
		}
		former.markDirty(former.jobs[run.Task.Job])
		former.jobs[run.Task.Job].stored = false
		b, err := former.Batch()
		if err != nil {
			t.Fatal(err)
		}
		for _, w := range b.Writes {
			items = append(items, table.Item{Key: w.Key, Value: w.Value, Version: 1})
		}

		sc := New(DefaultOptions(), 2, nil)
		sc.Restore(items)
		sc.Configure(former.config)
		sc.SetWorkers(former.Workers())
		o, _, _ := sc.NextRenewal("w1")
		sc.HandleRenewal(o, work.RenewalReply{Incarnation: 1, Clock: 1, Ended: []work.End{{Number: 1, Run: run, How: work.Done}}},
			time.Now())
		sc.HandleRenewalFailure(o, NoReply)
		time.Sleep(500 * time.Millisecond)
		sc.Tick()
		b, err = sc.Batch()
		if err != nil {
			t.Fatal(err)
		}
		for _, w := range b.Writes {
			if w.Key == PrefixWorker+"w1" && w.Delete {
				t.Error("the worker's record is removed, the end that it listed is not stored")
			}
		}
	})
}
