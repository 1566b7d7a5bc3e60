package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// checkEndIsNotAcknowledged lets worker w1 list the end of a run and checks that its next renewal does not acknowledge it
// before the end of a lease on the worker's clock.
func checkEndIsNotAcknowledged(t *testing.T, sc *Scheduler, run work.RunKey, clock func() int64, leaseEnd int64) {
	t.Helper()
	if o, _, ok := sc.NextRenewal("w1"); ok {
		sc.HandleRenewal(o, work.RenewalReply{Incarnation: 1, Clock: clock(),
			Ended: []work.End{{Number: 1, Run: run, How: work.Done}}}, time.Now())
	}
	store(t, sc)
	if o, _, _ := sc.NextRenewal("w1"); o.AckedEnd > 0 && clock() < leaseEnd {
		t.Errorf("the end is acknowledged at %d ms of the worker's clock, its lease lasts until %d, and the task has started again",
			clock(), leaseEnd)
	}
}

// Guards against acknowledging the end of a run whose task has started again: a worker that was marked ended by mistake was
// used again before its last lease had expired on its clock, which was 2 % slow.
func TestWorkerMarkedEndedByMistake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		clock := func() int64 { return int64(float64(time.Since(began).Milliseconds()) * (1 - clockDrift)) }
		list := []work.Worker{{ID: "w1", Pool: "p", Machine: "m1", Incarnation: 1, Capacity: work.Need{CPU: 1}}}
		sc := newTestScheduler(t, work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p", Attempts: 2}}}, list)
		start := startTask(t, sc)
		renewal, _, _ := sc.NextRenewal("w1")
		renewal = sc.PrepareRenewal(renewal)
		sc.HandleRenewalFailure(renewal, Replaced)

		time.Sleep(endedTTL + 10*time.Millisecond)
		list = append(list, work.Worker{ID: "w2", Pool: "p", Machine: "m2", Incarnation: 1, Capacity: work.Need{CPU: 1}})
		sc.SetWorkers(list)
		sc.HandleRenewal(Renewal{Worker: "w2"}, work.RenewalReply{Incarnation: 1, Clock: clock()}, time.Now())
		store(t, sc)
		again := starts(sc)
		if again > 0 {
			checkEndIsNotAcknowledged(t, sc, start.Run, clock, renewal.LeaseEnd)
		}
	})
}

// Guards against the same by a worker that was unlisted in between: it was forgotten together with its last lease, and used
// again as a new one as soon as it was listed.
func TestUnlistedWorkerMarkedEndedByMistake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		clock := func() int64 { return time.Since(began).Milliseconds() }
		sc, run := startedRun(t)
		lists := sc.Workers()
		renewal, _, _ := sc.NextRenewal("w1")
		renewal = sc.PrepareRenewal(renewal)
		sc.HandleRenewalFailure(renewal, NoReply)
		time.Sleep(300 * time.Millisecond)
		sc.Reconcile(map[string]Machine{"m1": {}, "m2": {Worker: "w2"}}, time.Now())
		again := starts(sc)
		time.Sleep(4 * time.Second)
		sc.SetWorkers([]work.Worker{{ID: "w2", Pool: "p", Machine: "m2", Incarnation: 1, Capacity: work.Need{CPU: 1}}})
		store(t, sc)
		sc.Tick()
		time.Sleep(500 * time.Millisecond)
		sc.SetWorkers(lists)
		if again > 0 {
			checkEndIsNotAcknowledged(t, sc, run, clock, renewal.LeaseEnd)
		}
	})
}

// Guards against workers that are never forgotten: one that never replied has no lease that could expire.
func TestUnlistedWorkerWithoutLeaseIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := New(DefaultOptions(), 1, nil)
		sc.SetWorkers([]work.Worker{{ID: "w1", Pool: "p", Incarnation: 1}})
		o, _, _ := sc.NextRenewal("w1")
		sc.HandleRenewalFailure(o, NoReply)
		sc.SetWorkers(nil)
		sc.Tick()
		if sc.Tracks("w1") {
			t.Error("the worker is kept")
		}
	})
}
