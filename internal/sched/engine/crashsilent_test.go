package engine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Guards against a job that is given up because the workers of a zone went down (LOST): its task was started on one of them
// after the other, since each was found out by a start without a reply only, and each of these starts counted as a crash.
func TestStartsOnSilentWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var workers []work.Worker
		machines := map[string]Machine{}
		for i := range 6 {
			id := fmt.Sprintf("w%d", i)
			workers = append(workers, work.Worker{ID: work.WorkerID(id), Pool: "p", Zone: "a", Machine: "m" + id, Address: id,
				Incarnation: 1, Capacity: work.Need{CPU: 1}})
			machines["m"+id] = Machine{}
		}
		sc := newTestScheduler(t, work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p", Attempts: 2}}}, workers)
		if _, err := sc.Submit(work.Job{ID: "00000000000000a1", Queue: "q", Accepted: time.Now().UnixMilli(),
			Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 1}}}}); err != nil {
			t.Fatal(err)
		}
		store(t, sc)
		time.Sleep(time.Second)
		starts := 0
		for range 100 {
			sent := time.Now()
			for _, c := range dispatch(sc) {
				if _, ok := c.(Start); ok {
					starts++
				}
				time.Sleep(10 * time.Millisecond)
				sc.HandleOutcome(c, NoReply, time.Now())
			}
			time.Sleep(90 * time.Millisecond)
			for _, w := range workers {
				if o, _, ok := sc.NextRenewal(w.ID); ok {
					sc.HandleRenewalFailure(o, NoReply)
				}
			}
			sc.Reconcile(machines, sent.Add(50*time.Millisecond))
			sc.Tick()
		}
		if state, _, _ := sc.State("00000000000000a1"); state == work.Failed || starts > 1 {
			t.Errorf("the job is %s after %d starts on workers that are down", state, starts)
		}
	})
}
