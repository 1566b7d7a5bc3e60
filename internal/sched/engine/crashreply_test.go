package engine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Guards against a task that crashes its workers and is started without a limit, because replies that were sent before
// the crash and read late showed it as active for long enough.
func TestReplyReadLateDoesNotClearSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := New(DefaultOptions(), 1, nil)
		sc.Configure(work.NewConfig(work.Config{Version: 1,
			Queues: []work.Queue{{Name: "q", Pool: "p", Attempts: 2, Stretch: 1, Objective: time.Second}}}))
		var workers []work.Worker
		for i := range 7 {
			id := fmt.Sprintf("w%d", i)
			workers = append(workers, work.Worker{ID: work.WorkerID(id), Pool: "p", Zone: id, Address: id, Incarnation: 1,
				Capacity: work.Need{CPU: 1000, Memory: 1000}})
		}
		sc.SetWorkers(workers)
		for _, w := range workers {
			sc.HandleRenewal(Renewal{Worker: w.ID}, work.RenewalReply{Incarnation: 1, Clock: 1}, time.Now())
		}
		if _, err := sc.Submit(work.Job{ID: "00000000000000a1", Queue: "q", Accepted: time.Now().UnixMilli(),
			Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 1000}}}}); err != nil {
			t.Fatal(err)
		}
		b, err := sc.Batch()
		if err != nil {
			t.Fatal(err)
		}
		sc.HandleCommit(b)
		starts := 0
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			sc.Tick()
			for _, c := range dispatch(sc) {
				s, ok := c.(Start)
				if !ok {
					continue
				}
				starts++
				sc.HandleOutcome(c, Applied, time.Now())
				sent := time.Now()
				time.Sleep(crashWindow + 50*time.Millisecond)
				sc.HandleRenewal(Renewal{Worker: s.Worker}, work.RenewalReply{Incarnation: 1, Clock: 5,
					Active: []work.Active{{Run: s.Run, Percent: 100}}}, sent)
				sc.HandleRenewalFailure(Renewal{Worker: s.Worker}, Replaced)
			}
		}
		// The platform allows two more after the third crash.
		if starts > 5 {
			t.Errorf("%d starts of a task that crashes its workers", starts)
		}
	})
}
