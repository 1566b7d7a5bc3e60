package engine

import (
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/sched/expect"
)

func newRunTimes(o Options) *expect.Model {
	if o.RunTimes {
		return expect.New()
	}
	return expect.NewLines()
}

// drainQuantile is the quantile of a run's remaining time after which it counts as ended for moves of its machine.
const drainQuantile = 0.9

// estimate returns the expected mean run time of a task of a step on an unknown worker; 0 for long-running ones.
func (sc *Scheduler) estimate(queue string, s work.Step) time.Duration {
	return sc.estimateFor(&work.Job{Queue: queue}, &s)
}

// estimateFor returns the same for a step of a customer's job.
func (sc *Scheduler) estimateFor(j *work.Job, s *work.Step) time.Duration {
	return sc.expectOn("", j, s).Mean()
}

// estimateWaiting returns the expected mean run time of a task of a step that waits. With learned run times it is as old as the
// step's rank, since a planning pass needs it of thousands of steps.
func (sc *Scheduler) estimateWaiting(s *stepState) time.Duration {
	if sc.options.RunTimes && !s.remainingAt.IsZero() {
		return s.expected.Mean()
	}
	return sc.estimateFor(&s.job.Job, s.spec)
}

// expectRun returns what to expect of a run on its worker.
func (sc *Scheduler) expectRun(r *run) expect.Expectation {
	return sc.expectOn(r.worker.ID, &r.stepState.job.Job, r.stepState.spec)
}

// expectOn returns what to expect of a task on a worker, "" for an unknown one; the zero value if the task is long-running.
func (sc *Scheduler) expectOn(w work.WorkerID, j *work.Job, s *work.Step) expect.Expectation {
	if s.LongRunning {
		return expect.Expectation{}
	}
	return sc.runTimes.Expect(taskOf(w, j, s))
}

func taskOf(w work.WorkerID, j *work.Job, s *work.Step) expect.Task {
	return expect.Task{Queue: j.Queue, Image: s.Image, Customer: j.Customer, Worker: string(w), Declared: s.Estimate}
}

// observeRunTime learns from a completed run. A run of a former leader counts for the straight line only, as ever: its start is
// not known.
func (sc *Scheduler) observeRunTime(r *run) {
	if !r.adopted || !sc.options.RunTimes {
		sc.runTimes.Observe(taskOf(r.worker.ID, &r.stepState.job.Job, r.stepState.spec), time.Since(r.startedAt))
	}
}

// restoreRunTimes loads the stored model of a queue.
func (sc *Scheduler) restoreRunTimes(i table.Item) {
	if err := sc.runTimes.Load(i); err != nil {
		sc.log.Error("engine: stored run times can't be used; skipping them", zap.String("key", i.Key), zap.Error(err))
	}
}

// logErrors reports how accurate the expected run times of each queue have been.
func (sc *Scheduler) logErrors(now time.Time) {
	for _, e := range sc.runTimes.DueErrors(now) {
		declared, line, model := e.Means()
		sc.log.Info("engine: error of expected run times", zap.String("queue", e.Queue), zap.Int64("runs", e.Runs),
			zap.Float64("declared", declared), zap.Float64("line", line), zap.Float64("model", model))
	}
}

// RunTimeErrors returns the errors of the expected run times of all queues.
func (sc *Scheduler) RunTimeErrors() expect.Errors { return sc.runTimes.TotalErrors() }
