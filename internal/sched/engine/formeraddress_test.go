package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Guards against two runs at once: a worker restarted under its ID at another address, the reply of what now answers at its
// former address came late, and the run on the new incarnation was released.
func TestReplyFromFormerAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		workers := []work.Worker{
			{ID: "w1", Pool: "p", Address: "w1:1", Capacity: work.Need{CPU: 1}, Incarnation: 1},
			{ID: "w2", Pool: "p", Address: "w2:1", Capacity: work.Need{CPU: 1}, Incarnation: 1},
		}
		sc := newTestScheduler(t, work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p"}}}, workers)
		renewals := map[work.WorkerID]Renewal{}
		for i := range workers {
			// Sent before the restart.
			renewals[workers[i].ID] = Renewal{Worker: workers[i].ID, Address: workers[i].Address}
			workers[i].Address, workers[i].Incarnation = string(workers[i].ID)+":2", 2
		}
		time.Sleep(100 * time.Millisecond)
		sc.SetWorkers(workers)
		for _, w := range workers {
			sc.HandleRenewal(Renewal{Worker: w.ID, Address: w.Address}, work.RenewalReply{Incarnation: 2}, time.Now())
		}
		start := startTask(t, sc)
		sc.HandleRenewalFailure(renewals[start.Worker], Replaced)
		sc.HandleOutcome(Stop{Worker: start.Worker, Address: renewals[start.Worker].Address, Run: start.Run}, Replaced, time.Now())
		time.Sleep(100 * time.Millisecond)
		sc.Tick()
		for _, c := range dispatch(sc) {
			t.Errorf("%+v beside %+v", c, start)
		}
	})
}
