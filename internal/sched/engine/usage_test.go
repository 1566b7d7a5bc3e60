package engine

import (
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Guards against moving a machine as empty although its worker has not reported its run lists to this leader yet: after
// a change of leader, such a move ended more long-running tasks of a step than its disruption budget allows.
func TestUsageOfUnconfirmedWorker(t *testing.T) {
	sc := New(DefaultOptions(), 2, nil)
	w := work.Worker{ID: "w1", Pool: "p", Address: "w1:1", Zone: "a", Capacity: work.Need{CPU: 1000}, Incarnation: 1}
	sc.SetWorkers([]work.Worker{w})
	if r := sc.Usage("w1"); r.Known || r.Ended {
		t.Errorf("before the first renewal: %+v", r)
	}
	sc.HandleRenewal(Renewal{Worker: "w1"}, work.RenewalReply{Incarnation: 1}, time.Now())
	if r := sc.Usage("w1"); !r.Known || r.Ended || r.Runs != 0 {
		t.Errorf("after the first renewal: %+v", r)
	}
	sc.MarkWorkerEnded("w1")
	if r := sc.Usage("w1"); !r.Ended {
		t.Errorf("after the worker's end: %+v", r)
	}
}
