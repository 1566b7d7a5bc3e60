package engine

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/sched/fair"
)

// runTimesTrial is a scheduler with two workers, whose runs take as long as the test says.
type runTimesTrial struct {
	t    *testing.T
	sc   *Scheduler
	rows map[string][]byte
	jobs int
	// learned counts the written rows with run times.
	learned int
	ends    map[work.WorkerID]int64
}

var runTimesConfig = work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p", Attempts: 3, Stretch: 2}}}

func newRunTimesTrial(t *testing.T, on bool) *runTimesTrial {
	r := &runTimesTrial{t: t, rows: map[string][]byte{}, ends: map[work.WorkerID]int64{}}
	r.sc = New(r.options(on), 1, nil)
	r.sc.Configure(work.NewConfig(runTimesConfig))
	var workers []work.Worker
	for i := range 2 {
		workers = append(workers, work.Worker{ID: work.WorkerID(fmt.Sprint("w", i)), Pool: "p", Capacity: work.Need{CPU: 1}})
	}
	r.sc.SetWorkers(workers)
	for _, w := range workers {
		r.sc.HandleRenewal(Renewal{Worker: w.ID}, work.RenewalReply{Incarnation: 1}, time.Now())
	}
	r.store()
	return r
}

func (r *runTimesTrial) options(on bool) Options {
	o := DefaultOptions()
	o.RunTimes = on
	return o
}

// store commits one batch.
func (r *runTimesTrial) store() Batch {
	r.t.Helper()
	c, err := r.sc.Batch()
	if err != nil {
		r.t.Fatal(err)
	}
	for _, w := range c.Writes {
		if r.rows[w.Key] = w.Value; w.Delete {
			delete(r.rows, w.Key)
		}
		if strings.HasPrefix(w.Key, PrefixLearn) {
			r.learned++
		}
	}
	r.sc.HandleCommit(c)
	return c
}

// submit accepts a job of one task with a declared time.
func (r *runTimesTrial) submit(declared time.Duration) work.JobID {
	r.t.Helper()
	r.jobs++
	j := work.Job{ID: work.JobID(fmt.Sprintf("%016x", r.jobs)), Queue: "q", Customer: "c", Accepted: time.Now().UnixMilli(),
		Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 1}, Estimate: declared}}}
	if _, err := r.sc.Submit(j); err != nil {
		r.t.Fatal(err)
	}
	r.store()
	return j.ID
}

// start starts the task that waits.
func (r *runTimesTrial) start() Start {
	r.t.Helper()
	commands := dispatch(r.sc)
	if len(commands) != 1 {
		r.t.Fatalf("commands: %v", commands)
	}
	r.sc.HandleOutcome(commands[0], Applied, time.Now())
	return commands[0].(Start)
}

// run runs one task for a time, which ends in some way.
func (r *runTimesTrial) run(declared, ran time.Duration, how work.Ending) {
	r.t.Helper()
	r.submit(declared)
	for {
		s := r.start()
		time.Sleep(ran)
		r.ends[s.Worker]++
		r.sc.HandleRenewal(Renewal{Worker: s.Worker}, work.RenewalReply{Incarnation: 1,
			Ended: []work.End{{Number: r.ends[s.Worker], Run: s.Run, How: how}}}, time.Now())
		r.store()
		if how == work.Done || len(r.sc.unfinished) == 0 {
			return
		}
	}
}

func (r *runTimesTrial) step(declared time.Duration) work.Step {
	return work.Step{Count: 1, Need: work.Need{CPU: 1}, Estimate: declared}
}

// Guards against other decisions than before with the part off: estimates off the straight line of the queue, run by run, other
// remaining times or margins, and rows in the store.
func TestRunTimesOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunTimesTrial(t, false)
		// The former model, in seconds.
		var count int
		var meanY, meanX, variance, covariance float64
		former := func(declared time.Duration) time.Duration {
			switch {
			case count < 20 && declared > 0:
				return declared
			case count == 0:
				return time.Second
			}
			expected := meanY
			if variance > 0 && declared > 0 {
				expected += covariance / variance * (declared.Seconds() - meanX)
			}
			return time.Duration(max(expected, 0.25*meanY) * float64(time.Second))
		}
		for i := range 130 {
			for _, declared := range []time.Duration{0, time.Millisecond, time.Second, 7 * time.Second} {
				if got, want := r.sc.estimate("q", r.step(declared)), former(declared); got != want {
					t.Fatalf("after %d runs: estimate of %v is %v, was %v", i, declared, got, want)
				}
			}
			declared, ran := time.Duration(1+i%4)*time.Second, time.Duration(100+i*37%900)*time.Millisecond
			r.run(declared, ran, work.Done)
			count++
			gain := max(1.0/100, 1/float64(count))
			offX, offY := declared.Seconds()-meanX, ran.Seconds()-meanY
			meanX += gain * offX
			meanY += gain * offY
			variance += gain * (offX*(declared.Seconds()-meanX) - variance)
			covariance += gain * (offX*(ran.Seconds()-meanY) - covariance)
		}
		id := r.submit(3 * time.Second)
		s := r.start()
		elapsed := 100 * time.Millisecond
		time.Sleep(elapsed)
		want := former(3*time.Second) - elapsed
		if got := r.sc.Usage(s.Worker).RemainingTime; got != want {
			t.Errorf("remaining time %v, was %v", got, want)
		}
		if got := r.sc.workers[s.Worker].finiteRuns[0].expected.Remaining(elapsed); got != want {
			t.Errorf("remaining time for shares %v, was %v", got, want)
		}
		j := r.sc.jobs[id]
		if got := j.deadline.Sub(time.UnixMilli(j.Accepted)); got != 2*former(3*time.Second) {
			t.Errorf("time to the deadline %v, was %v", got, 2*former(3*time.Second))
		}
		time.Sleep(time.Minute)
		if got := r.sc.Usage(s.Worker).RemainingTime; got != 0 {
			t.Errorf("an overdue run remains for %v", got)
		}
		id = r.submit(3 * time.Second)
		m := r.sc.overruns["q"]
		step := r.sc.jobs[id].stepStates[stepKey{0, 0}]
		margin := time.Duration((m.mean + 2*m.deviation) * float64(time.Second))
		if got := r.sc.startMargin(step, time.Now().Add(time.Hour), time.Now()); got != max(margin, 0) {
			t.Errorf("margin %v, was %v", got, margin)
		}
		for key := range r.rows {
			if strings.HasPrefix(key, PrefixLearn) {
				t.Errorf("row %s", key)
			}
		}
	})
}

// Guards against a later leader that begins with declared times, against failed runs that count as short ones, against rows that
// are written with each transaction, and against a damaged row that stops a takeover.
func TestRunTimesLastBeyondTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunTimesTrial(t, true)
		began := time.Now()
		for i := range 60 {
			r.run(10*time.Second, time.Duration(800+i%5*100)*time.Millisecond, work.Done)
			if i%6 == 0 {
				r.run(10*time.Second, time.Millisecond, work.TaskFailed)
			}
		}
		if most := int(time.Since(began)/(2*time.Second)) + 1; r.learned == 0 || r.learned > most {
			t.Errorf("%d rows, at most %d were due", r.learned, most)
		}
		learned := r.sc.estimate("q", r.step(10*time.Second))
		if learned < 900*time.Millisecond || learned > 1100*time.Millisecond {
			t.Errorf("expected %v of runs that take 1 s on average", learned)
		}
		id := r.submit(10 * time.Second)
		time.Sleep(2 * time.Second)
		r.store()
		takeOver := func() *Scheduler {
			sc := New(r.options(true), 2, nil)
			var items []table.Item
			for key, value := range r.rows {
				items = append(items, table.Item{Key: key, Value: value})
			}
			sc.Restore(items)
			return sc
		}
		sc := takeOver()
		if got := sc.estimate("q", r.step(10*time.Second)); got < learned*95/100 || got > learned*105/100 {
			t.Errorf("expected %v after the takeover, %v before", got, learned)
		}
		if got := sc.jobs[id].deadline; got.After(r.sc.jobs[id].deadline.Add(200 * time.Millisecond)) {
			t.Errorf("deadline %v after the takeover, %v before", got, r.sc.jobs[id].deadline)
		}
		if got := sc.RunTimeErrors(); got.Runs == 0 {
			t.Error("the errors begin anew")
		}
		r.rows[PrefixLearn+"q"] = r.rows[PrefixLearn+"q"][1:]
		sc = takeOver()
		if got := sc.estimate("q", r.step(10*time.Second)); got != 10*time.Second || sc.jobs[id] == nil {
			t.Errorf("expected %v with a damaged row", got)
		}
	})
}

// Guards against rows of run times that make a transaction larger than the store takes.
func TestRunTimesWithinBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunTimesTrial(t, true)
		for i := range 100 * 30 {
			step := r.step(time.Second)
			j := work.Job{Queue: fmt.Sprint("q", i%30)}
			r.sc.runTimes.Observe(taskOf("w0", &j, &step), time.Second)
		}
		if c, err := r.sc.BatchOf(3); err != nil || len(c.Writes) > 3 {
			t.Errorf("%d rows of 3, %v", len(c.Writes), err)
		}
		for n := 0; n < 30; n += maxLearnRows {
			if c := r.store(); len(c.Writes) != min(maxLearnRows, 30-n) {
				t.Errorf("%d rows after %d", len(c.Writes), n)
			}
		}
		if c := r.store(); len(c.Writes) != 0 {
			t.Errorf("%d rows once all are stored", len(c.Writes))
		}
	})
}

// Load pattern: a worker runs tasks five times slower than another one that fits as well. Guards against tasks that start on the
// slow one, and against its runs that count as nearly done.
func TestRunTimesPreferFasterWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunTimesTrial(t, true)
		step, j := r.step(time.Second), work.Job{Queue: "q", Customer: "c"}
		for i := range 400 {
			r.sc.runTimes.Observe(taskOf(work.WorkerID(fmt.Sprint("x", i%20)), &j, &step), time.Duration(700+i*7%600)*time.Millisecond)
		}
		for range 10 {
			r.sc.runTimes.Observe(taskOf("w0", &j, &step), 5*time.Second)
		}
		r.submit(time.Second)
		if s := r.start(); s.Worker != "w1" {
			t.Errorf("started on %s", s.Worker)
		}
		r.submit(time.Second)
		if s := r.start(); s.Worker != "w0" {
			t.Errorf("started on %s although only w0 is free", s.Worker)
		}
		fast, slow := r.sc.Usage("w1").RemainingTime, r.sc.Usage("w0").RemainingTime
		if fast > 2*time.Second || slow < 2*fast {
			t.Errorf("remaining times: %v on the fast worker, %v on the slow one", fast, slow)
		}
	})
}

// Guards against jobs of a queue with very different run times that start as late as those of a steady one, and against overdue
// runs that count as done for shares, as they do by a fixed expected end.
func TestRunTimesSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		margin := func(steady bool) time.Duration {
			r := newRunTimesTrial(t, true)
			step, j := r.step(time.Second), work.Job{Queue: "q", Customer: "c"}
			for i := range 300 {
				ran := time.Second
				if !steady {
					ran = time.Duration(100+i*577%1800) * time.Millisecond
				}
				r.sc.runTimes.Observe(taskOf("", &j, &step), ran)
			}
			s := r.sc.jobs[r.submit(time.Second)].stepStates[stepKey{0, 0}]
			m := r.sc.startMargin(s, time.Now().Add(time.Hour), time.Now())
			worker := r.sc.workers[r.start().Worker]
			elapsed := 1500 * time.Millisecond
			time.Sleep(elapsed)
			work := 0.0
			r.sc.runsOf(r.sc.pool("p"), time.Now(), true)(func(x fair.Run) { work += float64(x.Need.CPU) * x.Remaining })
			if (work > 0) == steady {
				t.Errorf("steady: %v; remaining work %v of %d runs after %v", steady, work, len(worker.finiteRuns), elapsed)
			}
			return m
		}
		if steady, wide := margin(true), margin(false); steady > 100*time.Millisecond || wide < 500*time.Millisecond {
			t.Errorf("margins: %v of a steady queue, %v of one with a wide spread", steady, wide)
		}
	})
}
