package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// startTask submits a job of one task and returns the start of it, which was applied.
func startTask(t *testing.T, sc *Scheduler) Start {
	t.Helper()
	if _, err := sc.Submit(work.Job{ID: "00000000000000aa", Queue: "q", Accepted: time.Now().UnixMilli(),
		Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 1}}}}); err != nil {
		t.Fatal(err)
	}
	store(t, sc)
	start, ok := dispatch(sc)[0].(Start)
	if !ok {
		t.Fatal("no start")
	}
	sc.HandleOutcome(start, Applied, time.Now())
	return start
}

// startedRun returns a scheduler with a run on worker w1 of machine m1, and nothing on w2.
func startedRun(t *testing.T) (*Scheduler, work.RunKey) {
	t.Helper()
	sc := newTestScheduler(t, work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p", Attempts: 2}}},
		[]work.Worker{{ID: "w1", Pool: "p", Machine: "m1", Incarnation: 1, Capacity: work.Need{CPU: 1}}})
	start := startTask(t, sc)
	sc.SetWorkers([]work.Worker{
		{ID: "w1", Pool: "p", Machine: "m1", Incarnation: 1, Capacity: work.Need{CPU: 1}},
		{ID: "w2", Pool: "p", Machine: "m2", Incarnation: 1, Capacity: work.Need{CPU: 1}}})
	sc.HandleRenewal(Renewal{Worker: "w2"}, work.RenewalReply{Incarnation: 1, Clock: time.Now().UnixMilli()}, time.Now())
	store(t, sc)
	return sc, start.Run
}

func starts(sc *Scheduler) (n int) {
	for _, c := range dispatch(sc) {
		if _, ok := c.(Start); ok {
			n++
		}
	}
	return n
}

// Guards against starting a task again whose end its worker has reported: the reply was read after the list of machines
// that marked the worker ended, and was dropped.
func TestReplyOfWorkerMarkedEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc, run := startedRun(t)
		lost, _, _ := sc.NextRenewal("w1")
		lost = sc.PrepareRenewal(lost)
		sc.HandleRenewalFailure(lost, NoReply)
		time.Sleep(250 * time.Millisecond)
		renewal, _, _ := sc.NextRenewal("w1")
		renewal = sc.PrepareRenewal(renewal)
		sent := time.Now()
		sc.Reconcile(map[string]Machine{"m1": {}, "m2": {Worker: "w2"}}, sent)
		sc.HandleRenewal(renewal, work.RenewalReply{Incarnation: 1, Clock: time.Now().UnixMilli(),
			Ended: []work.End{{Number: 1, Run: run, How: work.Done}}}, sent)
		if n := starts(sc); n != 0 {
			t.Errorf("%d starts of a task whose end was reported", n)
		}
	})
}

// Guards against the same after a crash: the worker reported the end and then crashed, and the reply was read after the
// list of workers that told of its restart under its id.
func TestReplyOfFormerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc, run := startedRun(t)
		sc.HandleRenewal(Renewal{Worker: "w1"}, work.RenewalReply{Incarnation: 1, Clock: time.Now().UnixMilli(),
			Active: []work.Active{{Run: run, Percent: 100}}}, time.Now())
		renewal, _, _ := sc.NextRenewal("w1")
		renewal = sc.PrepareRenewal(renewal)
		sent := time.Now()
		time.Sleep(100 * time.Millisecond)
		sc.SetWorkers([]work.Worker{
			{ID: "w1", Pool: "p", Machine: "m1", Incarnation: 2, Capacity: work.Need{CPU: 1}},
			{ID: "w2", Pool: "p", Machine: "m2", Incarnation: 1, Capacity: work.Need{CPU: 1}}})
		sc.HandleRenewal(renewal, work.RenewalReply{Incarnation: 1, Clock: time.Now().UnixMilli(),
			Ended: []work.End{{Number: 1, Run: run, How: work.Done}}}, sent)
		if n := starts(sc); n != 0 {
			t.Errorf("%d starts of a task whose end was reported", n)
		}
	})
}
