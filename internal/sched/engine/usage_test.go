package engine

import (
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Guards against a machine that is moved as empty although its worker has not shown its lists to this holder yet: a move
// at a takeover ended lasting tasks beyond their step's budget.
func TestResidentOfAnUnknownWorker(t *testing.T) {
	b := New(DefaultOptions(), 2, nil)
	w := work.Worker{ID: "w1", Pool: "p", Address: "w1:1", Zone: "a", Capacity: work.Need{CPU: 1000}, Incarnation: 1}
	b.SetWorkers([]work.Worker{w})
	if r := b.Usage("w1"); r.Known || r.Ended {
		t.Errorf("before the first look: %+v", r)
	}
	b.HandleRenewal(Renewal{Worker: "w1"}, work.RenewalReply{Incarnation: 1}, time.Now())
	if r := b.Usage("w1"); !r.Known || r.Ended || r.Runs != 0 {
		t.Errorf("after the first look: %+v", r)
	}
	b.MarkWorkerEnded("w1")
	if r := b.Usage("w1"); !r.Ended {
		t.Errorf("after its end: %+v", r)
	}
}
