package engine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Guards against a job that is said not to run although a transaction holds it, and against one that is stored or counts as
// demand although it was withdrawn.
func TestWithdraw(t *testing.T) {
	sc := newTestScheduler(t, work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p"}}},
		[]work.Worker{{ID: "w1", Pool: "p", Capacity: work.Need{CPU: 1}}})
	submit := func(id work.JobID) {
		t.Helper()
		if _, err := sc.Submit(work.Job{ID: id, Queue: "q", Accepted: time.Now().UnixMilli(),
			Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 1}, Estimate: time.Second}}}); err != nil {
			t.Fatal(err)
		}
	}
	submit("00000000000000aa")
	if !sc.Withdraw("00000000000000aa") || sc.Has("00000000000000aa") || sc.arrived["p"] != 0 {
		t.Errorf("not withdrawn: known %t, arrived %v", sc.Has("00000000000000aa"), sc.arrived["p"])
	}
	submit("00000000000000bb")
	c, err := sc.Batch()
	if err != nil {
		t.Fatal(err)
	}
	if len(c.Writes) != 1 {
		t.Errorf("%d rows, the withdrawn job among them", len(c.Writes))
	}
	if sc.Withdraw("00000000000000bb") {
		t.Error("withdrawn while a transaction holds it")
	}
	sc.HandleCommit(c)
	if sc.Withdraw("00000000000000bb") || sc.Withdraw("00000000000000cc") {
		t.Error("a stored or unknown job was withdrawn")
	}
}

// Guards against new jobs that are refused for the sake of work that nobody waits for.
func TestBacklogOfExpiredJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := newTestScheduler(t, work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p", Objective: time.Second}}}, nil)
		for i, s := range []work.Step{{Count: 3, Estimate: time.Second}, {Count: 5, LongRunning: true}} {
			j := work.Job{ID: work.JobID([]string{"00000000000000aa", "00000000000000bb"}[i]), Queue: "q", Customer: "c",
				Accepted: time.Now().UnixMilli(), Steps: []work.Step{s}}
			if n := sc.Describe(j); n.Tasks != []int{3, 0}[i] {
				t.Errorf("%d tasks", n.Tasks)
			}
			if _, err := sc.Submit(j); err != nil {
				t.Fatal(err)
			}
		}
		if b := sc.Backlog(); b["c"] != 3 {
			t.Errorf("backlog %v", b)
		}
		// The job may take two seconds and is of no use after six.
		time.Sleep(5 * time.Second)
		if b := sc.Backlog(); b["c"] != 3 {
			t.Errorf("backlog %v", b)
		}
		time.Sleep(2 * time.Second)
		if b := sc.Backlog(); b["c"] != 0 {
			t.Errorf("backlog %v of expired jobs", b)
		}
	})
}

// Load pattern: a store that was slow has left hundreds of late jobs, and the leader is short of processor time. Guards against
// jobs that could be in time and wait behind the starts of late ones, and against late jobs that never start.
func TestLateJobsYieldWhileShortOfTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sc := newTestScheduler(t, work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p", Objective: time.Second}}},
			[]work.Worker{{ID: "w1", Pool: "p", Capacity: work.Need{CPU: 1000}}})
		submit := func(first, jobs int) {
			for i := range jobs {
				if _, err := sc.Submit(work.Job{ID: work.JobID(fmt.Sprintf("%016x", first+i)), Queue: "q",
					Accepted: time.Now().UnixMilli(), Steps: []work.Step{{Count: 2, Need: work.Need{CPU: 1}, Estimate: time.Second}}}); err != nil {
					t.Fatal(err)
				}
			}
			store(t, sc)
		}
		submit(1, 30)
		time.Sleep(2 * time.Second)
		submit(100, 10)
		sc.SetShort(true)
		// pass plans once, lets the workers confirm the starts and returns their number.
		pass := func() int {
			commands := dispatch(sc)
			for _, c := range commands {
				sc.HandleOutcome(c, Applied, time.Now())
			}
			return len(commands)
		}
		if n := pass(); n != 20+2*maxLateSteps {
			t.Errorf("%d starts while short of time", n)
		}
		passes := 0
		for pass() > 0 {
			passes++
		}
		if passes != 29 {
			t.Errorf("%d passes with late starts", passes)
		}
		submit(200, 30)
		time.Sleep(2 * time.Second)
		sc.SetShort(false)
		if n := pass(); n != 60 {
			t.Errorf("%d starts with processor time left", n)
		}
	})
}
