package engine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// overload is a pool of workers that gets more jobs than it can do for some seconds.
type overload struct {
	t       testing.TB
	sc      *Scheduler
	random  *rand.Rand
	workers []work.Worker
	// ends are the times at which the runs of each worker end, listed the ends that it lists, seen its last end's number.
	ends   map[work.WorkerID]map[work.RunKey]time.Time
	listed map[work.WorkerID][]work.End
	last   map[work.WorkerID]int64
	// due are the deadlines of the open jobs, useless the times from which nobody waits for them.
	due, useless map[work.JobID]time.Time
	// inTime, late and lost are the jobs that ended before their deadline, before nobody waited for them, and after that.
	inTime, late, lost int
	// estimate is the mean run time.
	estimate time.Duration
}

const (
	overloadObjective = 2 * time.Second
	overloadEstimate  = 400 * time.Millisecond
)

func newOverload(t *testing.T, workers int) *overload {
	o := &overload{t: t, random: rand.New(rand.NewPCG(3, 4)), ends: map[work.WorkerID]map[work.RunKey]time.Time{},
		listed: map[work.WorkerID][]work.End{}, last: map[work.WorkerID]int64{}, due: map[work.JobID]time.Time{},
		useless: map[work.JobID]time.Time{}, estimate: overloadEstimate}
	for i := range workers {
		w := work.Worker{ID: work.WorkerID(fmt.Sprintf("w%03d", i)), Pool: "p", Zone: "a",
			Capacity: work.Need{CPU: 4000, Memory: 8000}}
		o.workers, o.ends[w.ID] = append(o.workers, w), map[work.RunKey]time.Time{}
	}
	o.sc = newTestScheduler(t, work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p", Attempts: 2,
		Objective: overloadObjective}}, Customers: map[string]work.Customer{"c": {Name: "c", Weight: 1}}}, o.workers)
	o.sc.log = zap.NewNop()
	return o
}

// submit submits a job of two steps, three tasks and one, of a core each.
func (o *overload) submit(id int) {
	need := work.Need{CPU: 1000, Memory: 100}
	j := work.Job{ID: work.JobID(fmt.Sprintf("%016x", id)), Queue: "q", Customer: "c", Accepted: time.Now().UnixMilli(),
		Steps: []work.Step{{Count: 3, Need: need, Estimate: overloadEstimate},
			{Count: 1, Need: need, Estimate: overloadEstimate, After: []int{0}}}}
	if _, err := o.sc.Submit(j); err != nil {
		o.t.Fatal(err)
	}
	o.due[j.ID] = o.sc.jobs[j.ID].deadline
	o.useless[j.ID] = time.Now().Add(3 * time.Until(o.due[j.ID]))
}

// pass lets the workers report, starts what fits and counts the jobs that have ended.
func (o *overload) pass() {
	now := time.Now()
	for _, w := range o.workers {
		reply := work.RenewalReply{Incarnation: 1, Clock: now.UnixMilli()}
		for key, at := range o.ends[w.ID] {
			if at.After(now) {
				reply.Active = append(reply.Active, work.Active{Run: key, Percent: 50})
				continue
			}
			o.last[w.ID]++
			reply.Ended = append(reply.Ended, work.End{Number: o.last[w.ID], Run: key, How: work.Done})
			delete(o.ends[w.ID], key)
		}
		o.sc.HandleRenewal(Renewal{Worker: w.ID}, reply, now)
	}
	store(o.t, o.sc)
	for _, c := range dispatch(o.sc) {
		o.sc.HandleOutcome(c, Applied, now)
		if s, ok := c.(Start); ok {
			// Run times differ by half from their estimate, and the start and the report take time too.
			took := time.Duration((0.5 + o.random.Float64()) * float64(o.estimate))
			o.ends[s.Worker][s.Run] = now.Add(took + 60*time.Millisecond)
		}
	}
	for id, due := range o.due {
		if state, _, err := o.sc.State(id); err != nil || state != work.Completed {
			continue
		}
		delete(o.due, id)
		switch {
		case !now.After(due):
			o.inTime++
		case !now.After(o.useless[id]):
			o.late++
		default:
			o.lost++
		}
	}
}

// play submits so many jobs for a time that the pool could do one in factor of them, and lets all end.
func (o *overload) play(factor float64, length time.Duration) (submitted int) {
	const tick = 20 * time.Millisecond
	jobsPerSecond := factor * float64(len(o.workers)) / (overloadEstimate + 60*time.Millisecond).Seconds()
	for began := time.Now(); len(o.due) > 0 || time.Since(began) < length; time.Sleep(tick) {
		for ; float64(submitted) < min(time.Since(began), length).Seconds()*jobsPerSecond; submitted++ {
			o.submit(submitted)
		}
		store(o.t, o.sc)
		o.pass()
		if time.Since(began) > 2*time.Minute {
			o.t.Fatalf("%d jobs still open", len(o.due))
		}
	}
	o.t.Logf("%d jobs, %d in time, %d late, %d when nobody waited any more", submitted, o.inTime, o.late, o.lost)
	return submitted
}

// Load pattern: for ten seconds a pool gets half as many jobs again as it can do, as after a loss of power. Guards against an
// order in which each job is started at the last moment and ends just too late, so that hardly any is done in time although
// the pool could do two in three.
func TestOverloadIsServedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOverload(t, 20)
		if could := o.play(1.5, 10*time.Second) * 2 / 3; o.inTime < could*8/10 {
			t.Errorf("%d jobs done in time, the pool could do %d", o.inTime, could)
		}
	})
}

// Load pattern: a pool gets three times what it can do for some seconds, and then half. Guards against work for jobs that
// nobody waits for any more while others are late, so that these come too late as well.
func TestBacklogOfLateJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOverload(t, 20)
		const factor, length = 3.0, 6 * time.Second
		useful := length + 3*(overloadObjective+2*overloadEstimate)
		could := int(float64(o.play(factor, length)) / factor * useful.Seconds() / length.Seconds())
		if served := o.inTime + o.late; served < could*8/10 {
			t.Errorf("%d jobs done while somebody waited, the pool could do %d", served, could)
		}
	})
}
