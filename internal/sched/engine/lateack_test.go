package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Guards against starting a task again whose end was acknowledged unread: a renewal without a reply, which acknowledged the
// ends of a worker's former incarnation, was executed late by the new one, whose ends are numbered from 1 again.
func TestLateAcknowledgmentAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := func(incarnation int64) []work.Worker {
			return []work.Worker{{ID: "w1", Pool: "p", Incarnation: incarnation, Capacity: work.Need{CPU: 1}}}
		}
		sc := newTestScheduler(t, work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p", Attempts: 2}}}, list(1))
		sc.ConfirmFences(0, 9)
		submit := func(id work.JobID) {
			if _, err := sc.Submit(work.Job{ID: id, Queue: "q", Accepted: time.Now().UnixMilli(),
				Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 1}}}}); err != nil {
				t.Fatal(err)
			}
			store(t, sc)
		}
		// The former incarnation's first end is stored, and acknowledged by a renewal without a reply.
		submit("00000000000000a1")
		first, ok := dispatch(sc)[0].(Start)
		if !ok {
			t.Fatal("no start")
		}
		sc.HandleOutcome(first, Applied, time.Now())
		sc.HandleRenewal(Renewal{Worker: "w1"}, work.RenewalReply{Incarnation: 1, Clock: 1,
			Ended: []work.End{{Number: 1, Run: first.Run, How: work.Done}}}, time.Now())
		store(t, sc)
		late, _, _ := sc.NextRenewal("w1")
		if late.AckedEnd != 1 {
			t.Fatalf("the renewal acknowledges %d", late.AckedEnd)
		}
		late = sc.PrepareRenewal(late)
		sent := time.Now()
		sc.HandleRenewalFailure(late, NoReply)
		// highest is the highest fencing token that the new incarnation has seen.
		var highest int64

		submit("00000000000000a2")
		sc.SetWorkers(list(2))
		var active []work.Active
		var ended []work.End
		done := false
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			if o, _, ok := sc.NextRenewal("w1"); ok {
				o = sc.PrepareRenewal(o)
				highest = max(highest, o.Fence)
				if len(ended) > 0 && ended[0].Number <= o.AckedEnd {
					ended = nil
				}
				sc.HandleRenewal(o, work.RenewalReply{Incarnation: 2, Clock: time.Since(sent).Milliseconds(), Active: active,
					Ended: ended}, time.Now())
			}
			store(t, sc)
			sc.Tick()
			for _, c := range dispatch(sc) {
				if s, ok := c.(Start); ok {
					if done {
						t.Fatalf("%s started again, run %d, %v after its end was acknowledged", s.Run.Task, s.Run.Number, time.Since(sent))
					}
					active = []work.Active{{Run: s.Run, Percent: 100}}
				}
				sc.HandleOutcome(c, Applied, time.Now())
			}
			if len(active) > 0 && !done && time.Since(sent) > time.Second {
				ended = []work.End{{Number: 1, Run: active[0].Run, How: work.Done}}
				active, done = nil, true
				if time.Since(sent) < lateCommandTime && late.Fence >= highest {
					ended = nil // the late renewal acknowledges it
				}
			}
		}
		if s, _, _ := sc.State("00000000000000a2"); s != work.Completed {
			t.Errorf("the job is %q", s)
		}
	})
}

// Guards against the same by the first renewal that reaches the new incarnation: a start without a reply was executed there,
// the run has ended, and the renewal acknowledges the ends of the former incarnation before it lists any.
func TestAcknowledgmentAtRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := newTestScheduler(t, work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p", Attempts: 2}}},
			[]work.Worker{{ID: "w1", Pool: "p", Incarnation: 1, Capacity: work.Need{CPU: 1}}})
		sc.ConfirmFences(0, 9)
		start := func(id work.JobID) Start {
			if _, err := sc.Submit(work.Job{ID: id, Queue: "q", Accepted: time.Now().UnixMilli(),
				Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 1}}}}); err != nil {
				t.Fatal(err)
			}
			store(t, sc)
			s, ok := dispatch(sc)[0].(Start)
			if !ok {
				t.Fatal("no start")
			}
			return s
		}
		first := start("00000000000000a1")
		sc.HandleOutcome(first, Applied, time.Now())
		sc.HandleRenewal(Renewal{Worker: "w1"}, work.RenewalReply{Incarnation: 1, Clock: 1,
			Ended: []work.End{{Number: 1, Run: first.Run, How: work.Done}}}, time.Now())
		store(t, sc)
		acknowledged, _, _ := sc.NextRenewal("w1")
		sc.HandleRenewal(acknowledged, work.RenewalReply{Incarnation: 1, Clock: 2}, time.Now())

		second := start("00000000000000a2")
		sc.HandleOutcome(second, NoReply, time.Now())
		ended := []work.End{{Number: 1, Run: second.Run, How: work.Done}}
		began := time.Now()
		for i := range 50 {
			time.Sleep(100 * time.Millisecond)
			if i == 5 {
				sc.SetWorkers([]work.Worker{{ID: "w1", Pool: "p", Incarnation: 2, Capacity: work.Need{CPU: 1}}})
			}
			if o, _, ok := sc.NextRenewal("w1"); ok {
				o = sc.PrepareRenewal(o)
				if len(ended) > 0 && ended[0].Number <= o.AckedEnd {
					ended = nil
				}
				sc.HandleRenewal(o, work.RenewalReply{Incarnation: 2, Clock: time.Since(began).Milliseconds(), Ended: ended},
					time.Now())
			}
			store(t, sc)
			for _, c := range dispatch(sc) {
				if s, ok := c.(Start); ok {
					t.Fatalf("%s started again, run %d, %v after its start without a reply", s.Run.Task, s.Run.Number, time.Since(began))
				}
				sc.HandleOutcome(c, Applied, time.Now())
			}
		}
		if s, _, _ := sc.State("00000000000000a2"); s != work.Completed {
			t.Errorf("the job is %q", s)
		}
	})
}
