package engine

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/sched/intent"
)

// The store holds every start before it is sent, until it can't be executed any more. A new leader takes the starts that it
// finds there for its own, as runs whose starts have an unknown outcome, so that it knows of every start of the former leaders
// that may still be executed, also by a later incarnation of its worker.

// startRecord is the state of the record of starts.
type startRecord struct {
	log intent.Log
	// planned are the runs whose starts no transaction has held yet, writing those in the transaction in progress, recorded
	// those that may be sent.
	planned, writing, recorded []*run
	// unrecorded counts the times at which starts were sent without a record, unrecordedWriting and unrecordedStored are how many
	// of these the transaction in progress and the store cover.
	unrecorded, unrecordedWriting, unrecordedStored int
	// open are the runs whose starts may still be executed.
	open map[work.RunKey]*run
}

// maxOpenStarts bounds the record to about 300 KB, which a transaction has room for beside the largest batch. A gang may exceed it.
const maxOpenStarts = 4000

// mayPlan reports whether the outstanding replies and the record of starts allow another start.
func (sc *Scheduler) mayPlan() bool {
	if !sc.pending.allow() {
		return false
	}
	if len(sc.starts.open) >= maxOpenStarts {
		sc.forgetSettledStarts(time.Now())
	}
	return len(sc.starts.open) < maxOpenStarts
}

// forgetSettledStarts drops the starts that can't be executed any more from those to record.
func (sc *Scheduler) forgetSettledStarts(now time.Time) {
	maps.DeleteFunc(sc.starts.open, func(_ work.RunKey, r *run) bool {
		return !r.mayBeExecuted(now, sc.options.maxLeaseTime())
	})
}

// planStart has the start of a run recorded, after which it is sent. Several runs of a speculative task do no harm, so that its
// starts need no record.
func (sc *Scheduler) planStart(r *run) {
	if r.stepState.spec.Speculative {
		sc.starts.recorded = append(sc.starts.recorded, r)
		return
	}
	sc.starts.planned = append(sc.starts.planned, r)
	sc.starts.open[r.key] = r
}

// HasPlannedStarts reports whether starts wait to be recorded in the store.
func (sc *Scheduler) HasPlannedStarts() bool { return len(sc.starts.planned) > 0 }

// PlannedStartsWait returns for how long the first of the planned starts of finite tasks has waited to be recorded.
func (sc *Scheduler) PlannedStartsWait() time.Duration {
	now := time.Now()
	var longest time.Duration
	for _, list := range [][]*run{sc.starts.planned, sc.starts.writing} {
		for _, r := range list {
			if !r.stepState.spec.LongRunning {
				longest = max(longest, now.Sub(r.phaseSince))
			}
		}
	}
	return longest
}

// SendUnrecorded lets the planned starts of finite tasks be sent although the store does not hold them. A later leader must have
// learned in another way that there may be such starts. Long-running tasks always wait for the store, since they could not
// start for long after a takeover otherwise.
func (sc *Scheduler) SendUnrecorded() {
	isFinite := func(r *run) bool { return !r.stepState.spec.LongRunning }
	for _, list := range []*[]*run{&sc.starts.writing, &sc.starts.planned} {
		for _, r := range *list {
			if isFinite(r) {
				sc.starts.recorded = append(sc.starts.recorded, r)
				sc.starts.unrecorded++
			}
		}
		*list = slices.DeleteFunc(*list, isFinite)
	}
}

// StartWrites returns the writes for the next transaction that record the planned starts and drop those that can't be executed
// any more. ConfirmStarts must be called once it has been applied, before the next call.
func (sc *Scheduler) StartWrites() ([]table.Write, error) {
	sc.forgetSettledStarts(time.Now())
	list := make([]intent.Start, 0, len(sc.starts.open))
	for key, r := range sc.starts.open {
		list = append(list, intent.Start{Task: key.Task, Number: key.Number, Worker: r.worker.ID})
	}
	writes, err := sc.starts.log.Writes(list)
	if err != nil {
		return nil, fmt.Errorf("engine: record starts: %w", err)
	}
	sc.starts.writing, sc.starts.planned = append(sc.starts.writing, sc.starts.planned...), nil
	sc.starts.unrecordedWriting = sc.starts.unrecorded
	return writes, nil
}

// mayBeExecuted reports whether a copy of a run's start may still be executed, or may have been without a report of it.
func (r *run) mayBeExecuted(now time.Time, maxLease time.Duration) bool {
	switch {
	case r.worker.runs[r.key] != r:
		return false
	case r.phase == startPlanned:
		return true
	}
	return (r.phase != active || r.repeated || r.copiesUnknown) && !now.After(r.maxLateness().Add(maxLease))
}

// ConfirmStarts records that the store holds the last StartWrites.
func (sc *Scheduler) ConfirmStarts() {
	sc.starts.recorded, sc.starts.writing = append(sc.starts.recorded, sc.starts.writing...), nil
	sc.starts.unrecordedStored = sc.starts.unrecordedWriting
}

// RecordedStarts returns the starts that the store holds and that are still wanted, and records them as issued. A gang starts
// whole or not at all.
func (sc *Scheduler) RecordedStarts() []Command {
	now := time.Now()
	runs := sc.starts.recorded
	sc.starts.recorded = nil
	type gang struct {
		step   *stepState
		number int64
	}
	broken := map[gang]bool{}
	for _, r := range runs {
		if s := r.stepState; s.spec.Gang && !sc.mayBeSent(r, now) {
			broken[gang{s, r.key.Number}] = true
		}
	}
	commands := make([]Command, 0, len(runs))
	for _, r := range runs {
		if !sc.mayBeSent(r, now) || broken[gang{r.stepState, r.key.Number}] {
			sc.log.Info("engine: planned start not sent", zap.Stringer("task", r.key.Task), zap.Int64("run", r.key.Number),
				zap.String("worker", string(r.worker.ID)))
			sc.releaseRun(r)
			continue
		}
		commands = append(commands, sc.sendStart(r, now))
	}
	return commands
}

// mayBeSent reports whether a planned start may be sent now: its run has not been released or stopped, and its worker may still
// get tasks of the job.
func (sc *Scheduler) mayBeSent(r *run, now time.Time) bool {
	s, w := r.stepState, r.worker
	if w.runs[r.key] != r || r.stopRequested || s.job.state.Final() || s.tasks[r.key.Task.Index].done {
		return false
	}
	if !sc.usable(w, now) || sc.poolOf(s.job) != w.Pool || !w.Has(s.spec.Label) || w.free().Negative() {
		return false
	}
	_, ok := s.ticket(w.ID, now)
	return ok || !sc.queueOf(s.job).NeedsTicket
}

// sendStart returns the start command of a planned run, which also extends the worker's lease.
func (sc *Scheduler) sendStart(r *run, now time.Time) Command {
	s, w := r.stepState, r.worker
	r.phase, r.phaseSince, r.startedAt = startSent, now, now
	r.copiesUnknown, r.fence, w.fenceUsed = true, sc.fence(w), true
	sc.pending.issued[r.key] = now
	sc.noteFirstStart(s.job, now)
	sc.noteEstimatedEnd(s, now)
	s.job.started = true
	sc.log.Info("engine: starting run", zap.Stringer("task", r.key.Task), zap.Int64("run", r.key.Number),
		zap.String("worker", string(w.ID)), zap.Int64("config", sc.config.Version), zap.Int64("free", w.free().CPU),
		zap.Duration("seen", now.Sub(w.clockReadAt)), zap.Duration("slack", s.job.deadline.Sub(now)))
	ticket, _ := s.ticket(w.ID, now)
	return Start{Ticket: ticket.Text, Worker: w.ID, Address: w.Address, Run: r.key, Spec: s.job.Spec, Fence: r.fence,
		LeaseEnd: w.extendLease(sc.options.Lease), Checkpoint: s.checkpointed(r.key.Task.Index).checkpoint}
}

// restoreStarts takes over the recorded starts of former leaders.
func (sc *Scheduler) restoreStarts(items []table.Item) {
	starts, damaged := sc.starts.log.Restore(items)
	for _, err := range damaged {
		sc.log.Error("engine: recorded starts can't be read; assuming unrecorded ones", zap.Error(err))
	}
	if len(damaged) > 0 {
		sc.AssumeUnrecordedStarts()
	}
	now := time.Now()
	for _, x := range starts {
		s, w := sc.stepOfReport(x.Task), sc.workers[x.Worker]
		if s == nil || s.job.state.Final() || s.tasks[x.Task.Index].done || s.spec.Speculative {
			continue
		}
		if w == nil {
			sc.log.Error("engine: worker of a recorded start is unknown", zap.Stringer("task", x.Task), zap.String("worker", string(x.Worker)))
			continue
		}
		sc.log.Info("engine: start of a former leader may still be executed", zap.Stringer("task", x.Task), zap.Int64("run", x.Number),
			zap.String("worker", string(w.ID)))
		r := &run{key: x.Run(), stepState: s, worker: w, phase: startUnknown, inherited: true, copiesUnknown: true,
			need: s.spec.Reserved(), charge: s.spec.Need, startedAt: now, phaseSince: now, throttle: 100}
		t := &s.tasks[x.Task.Index]
		t.lastNumber, s.gangNumber = max(t.lastNumber, x.Number), max(s.gangNumber, x.Number)
		t.runs = append(t.runs, r)
		s.waiting--
		s.job.started = true
		w.runs[r.key] = r
		sc.addRun(r)
		sc.starts.open[r.key] = r
	}
}

// AssumeUnrecordedStarts makes finite tasks wait until the former leader, which may have sent starts without a record, has
// certainly ended its calls. It must be called before the first reply of a worker. A start that acts later is not waited for:
// that would hold all restored tasks of a pool for as long as one of its workers is down.
func (sc *Scheduler) AssumeUnrecordedStarts() {
	now := time.Now()
	sc.formerCallsEnd = now.Add(sc.options.Authority).Add(formerCallTime)
	sc.unrecordedUntil = now.Add(sc.options.Authority).Add(lateCommandTime)
}

// HasUnrecordedStarts reports whether a worker may still execute a start of a former leader that the store does not hold, or the
// run of such a start may not have been listed.
func (sc *Scheduler) HasUnrecordedStarts() bool {
	return !sc.unrecordedUntil.IsZero() && !time.Now().After(sc.unrecordedUntil.Add(sc.options.maxLeaseTime()))
}

// RecordsAllStarts reports whether the store holds every start that a worker may still execute.
func (sc *Scheduler) RecordsAllStarts() bool {
	return sc.starts.unrecordedStored == sc.starts.unrecorded && !sc.HasUnrecordedStarts()
}
