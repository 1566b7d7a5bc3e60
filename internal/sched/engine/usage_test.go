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

// Guards against moving a machine whose worker still lists ends that are not stored: if the leader then loses leadership, its
// successor never learns of them and starts the tasks again.
func TestUsageOfWorkerWithUnstoredEnds(t *testing.T) {
	sc := newTestScheduler(t, work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p"}}},
		[]work.Worker{{ID: "w1", Pool: "p", Capacity: work.Need{CPU: 1}}})
	j := work.Job{ID: "00000000000000aa", Queue: "q", Accepted: time.Now().UnixMilli(),
		Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 1}}, {Count: 1, Need: work.Need{CPU: 1}, After: []int{0}}}}
	if _, err := sc.Submit(j); err != nil {
		t.Fatal(err)
	}
	store(t, sc)
	start, ok := dispatch(sc)[0].(Start)
	if !ok {
		t.Fatal("no start")
	}
	sc.HandleOutcome(start, Applied, time.Now())
	sc.HandleRenewal(Renewal{Worker: "w1"}, work.RenewalReply{Incarnation: 1, Ended: []work.End{{Number: 1, Run: start.Run,
		How: work.Done}}}, time.Now())
	if r := sc.Usage("w1"); r.Runs != 1 {
		t.Errorf("with an end that is not stored: %+v", r)
	}
	store(t, sc)
	if r := sc.Usage("w1"); r.Runs != 0 {
		t.Errorf("with all ends stored: %+v", r)
	}
}

// Guards against moving a machine whose worker has ends that nobody has read, because it lists a part of them at a time.
func TestUsageOfWorkerWithUnreadEnds(t *testing.T) {
	sc := New(DefaultOptions(), 2, nil)
	sc.SetWorkers([]work.Worker{{ID: "w1", Pool: "p", Address: "w1:1", Capacity: work.Need{CPU: 1000}, Incarnation: 1}})
	for _, truncated := range []bool{true, false} {
		sc.HandleRenewal(Renewal{Worker: "w1"}, work.RenewalReply{Incarnation: 1, Truncated: truncated}, time.Now())
		if r := sc.Usage("w1"); r.Known == truncated {
			t.Errorf("list cut off %t: %+v", truncated, r)
		}
	}
}
