package engine

import (
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/expect"
)

// job is a job with the state of its tasks.
type job struct {
	work.Job
	owner *customer
	// settings are the queue's settings when the job was accepted.
	settings acceptedSettings
	state    work.State
	// storedState is the state in the store, the only one that callers see.
	storedState work.State
	// stored means that the store has the job, so that it may run and be reported to callers.
	stored bool
	// batched means that a batch has held the job, so that the store may have it.
	batched bool
	// arrival is the estimated work of the job when it was submitted, in core-milliseconds.
	arrival float64
	// restored means that the job was loaded from the store, so that a former leader may have started tasks of it.
	restored bool
	// started means that a task of the job is known to have had a run.
	started bool
	// ticketDemanded means that a worker has demanded a ticket, whatever the queue says.
	ticketDemanded bool
	finishedAt     time.Time
	// estimatedEnd is when the job should end by the estimate at its first start; zero if that came too late.
	estimatedEnd time.Time
	// stepStates are the steps of every open round: one that was opened and is not complete.
	stepStates map[stepKey]*stepState
	// openedRounds counts the rounds that were opened, the first on acceptance and each other one when it comes due;
	// closedRounds counts those of them that are complete.
	openedRounds, closedRounds int
	// deadline is when the job should be complete, see jobDeadline. It ranks the job's tasks and stops nothing. For a
	// repeated job it covers one round from the acceptance, and the tasks are ranked by when their round is due.
	deadline time.Time
	// version counts the changes, so that a commit can tell whether it holds the newest one.
	version int
	// committedVersion is the version that the store holds; progressWritten means that a progress record was written.
	committedVersion int
	progressWritten  bool
	// otherPools are the pools besides that at its acceptance in which tasks of the job may have started, otherPoolsVersion is
	// the version with the last one of them.
	otherPools        []string
	otherPoolsVersion int
}

// acceptedSettings are the queue settings that a job keeps from its acceptance.
type acceptedSettings struct {
	Pool      string        `json:"pool"`
	Attempts  int           `json:"tries"`
	Stretch   float64       `json:"stretch"`
	Objective time.Duration `json:"goal"`
	Priority  int           `json:"rank,omitempty"`
	// The rest is what the queue says of tickets, see work.Queue.
	NeedsTicket      bool          `json:"ticket,omitempty"`
	TicketCallTime   time.Duration `json:"call,omitempty"`
	TicketWorkerTime time.Duration `json:"each,omitempty"`
	TicketTTL        time.Duration `json:"valid,omitempty"`
}

func settingsOf(q work.Queue) acceptedSettings {
	return acceptedSettings{Pool: q.Pool, Attempts: q.Attempts, Stretch: q.Stretch, Objective: q.Objective,
		Priority: q.Priority, NeedsTicket: q.NeedsTicket, TicketCallTime: q.TicketCallTime,
		TicketWorkerTime: q.TicketWorkerTime, TicketTTL: q.TicketTTL}
}

// queue returns the settings as those of the queue with a name.
func (a acceptedSettings) queue(name string) work.Queue {
	return work.Queue{Name: name, Pool: a.Pool, Attempts: a.Attempts, Stretch: a.Stretch, Objective: a.Objective,
		Priority: a.Priority, NeedsTicket: a.NeedsTicket, TicketCallTime: a.TicketCallTime,
		TicketWorkerTime: a.TicketWorkerTime, TicketTTL: a.TicketTTL}
}

type stepKey struct{ round, step int }

// stepState is one step of one round: equal tasks that become ready together.
type stepState struct {
	job         *job
	round, step int
	spec        *work.Step
	tasks       []task
	// need is what one task reserves on its worker.
	need work.Need
	// unfinished counts the tasks that have not completed.
	unfinished int
	// waiting counts the unfinished tasks without a run, suspects those that may have caused crashes.
	waiting, suspects int
	// due is when the tasks of the round may start; zero for a job that does not repeat.
	due time.Time
	// ready means that the steps it depends on are complete, ordered that it is in the order of its pool.
	ready, ordered bool
	// remaining is the estimated run time of the longest chain of dependent steps from this one on, as of remainingAt.
	remaining   time.Duration
	remainingAt time.Time
	// expected is what was expected of one of the tasks then.
	expected expect.Expectation
	// gangNumber is the highest run number of the step's tasks; the next run of a gang gets a higher one.
	gangNumber int64
	// ticketState is set once the step needs tickets.
	ticketState *ticketState
	// passedOverSince is since when smaller tasks of later steps may have taken the place of its own; zero if none have.
	passedOverSince time.Time
	// stallLoggedAt is when the log last said why tasks of the step wait.
	stallLoggedAt time.Time
}

// task is one task of a step in one round.
type task struct {
	done bool
	// failedRuns are the numbers of the runs that failed; the first task of a gang has those of the whole gang, and
	// long-running tasks have none.
	failedRuns []int64
	// lastNumber is the highest known run number.
	lastNumber int64
	// checkpoint is the last known one, checkpointNumber the number of the run that wrote it, 0 if that is not known. The first
	// task of a gang has that of the whole gang, since all members must start from the same one.
	checkpoint       string
	checkpointNumber int64
	runs             []*run
	// lastRunEndedAt is when the task was last left without a run; zero if it never had one.
	lastRunEndedAt time.Time
	// suspicion is nil unless workers have crashed soon after they started the task; the first task of a gang has that of
	// the whole gang.
	suspicion *suspicion
}

// phase is what is known of a run's start.
type phase int

const (
	// startPlanned: the start waits until the store holds it.
	startPlanned phase = iota
	// startSent: the start was issued, its reply is outstanding.
	startSent
	// active: the worker confirmed the start or listed the run.
	active
	// startUnknown: the start got no reply and may still be executed, or was declined because there is a newer leader.
	startUnknown
)

// run is one start of a task on one worker.
type run struct {
	key work.RunKey
	// stepState is nil for a run that a worker listed although its task is unknown; its need and charge are zero.
	stepState *stepState
	worker    *worker
	phase     phase
	// adopted means that a former leader started the run, at a time that is not known.
	adopted bool
	// inherited means that a former leader recorded the start, and no list has shown the run yet.
	inherited bool
	// repeated means that the start was sent more than once, copiesUnknown that it may have been: its outcome is outstanding or
	// was lost with its relay.
	repeated, copiesUnknown bool
	// fence is the fencing token of the last copy of the start, or of the last renewal that listed the run.
	fence int64
	// lingers means that the run was given up although a copy of its start may still be executed, until lingersUntil at most.
	lingers      bool
	lingersUntil time.Time
	// finiteIndex is the run's place among the finite runs of its worker.
	finiteIndex int
	// need is what the run reserves on its worker, charge what it uses of its customer's cap.
	need, charge work.Need
	// startedAt is when the start was issued or the run adopted; phaseSince is when its phase was last set.
	startedAt, phaseSince time.Time
	// listedAt is when the last renewal was sent whose reply listed the run as active.
	listedAt time.Time
	// stopRequested means that the run is to end. stopSentAt and stopAppliedAt are the times of the last stop command and
	// of its confirmation.
	stopRequested             bool
	stopSentAt, stopAppliedAt time.Time
	stopReason                string
	// percent and loadSignal are the worker's last report of the run, see work.Active.
	percent    int
	loadSignal int64
	// aboveSince is since when a serving run has been above its latency objective; zero if it is not.
	aboveSince time.Time
	// belowSince is since when it has been well below; zero if it is not.
	belowSince time.Time
	// throttle is the speed limit in percent last applied, or the percentage with which the run was adopted; throttlePending
	// means that a throttle command is outstanding, throttleUnknown that a later one may have been executed.
	throttle        int
	throttlePending bool
	throttleUnknown bool
	// lateStart means that the run was started although its worker was cordoned.
	lateStart  bool
	checkpoint string
}

// checkpointed returns the task that holds the checkpoint of a task: the first one for the whole gang.
func (s *stepState) checkpointed(index int) *task {
	if s.spec.Gang {
		return &s.tasks[0]
	}
	return &s.tasks[index]
}

// noteCheckpoint records the checkpoint that a run of a task has written, unless it is older than the known one, and reports
// whether it is a new one.
func (s *stepState) noteCheckpoint(index int, number int64, checkpoint string) bool {
	t := s.checkpointed(index)
	if checkpoint == "" || checkpoint == t.checkpoint || number < t.checkpointNumber {
		return false
	}
	t.checkpoint, t.checkpointNumber = checkpoint, number
	return true
}

func (s *stepState) task(index int) work.TaskID {
	return work.TaskID{Job: s.job.ID, Round: s.round, Step: s.step, Index: index}
}

// findStep returns the step of a task, or nil if the job is unknown, the round is not open or there is no such task.
func (sc *Scheduler) findStep(t work.TaskID) *stepState {
	j, ok := sc.jobs[t.Job]
	if !ok {
		return nil
	}
	s, ok := j.stepStates[stepKey{t.Round, t.Step}]
	if !ok || t.Index < 0 || t.Index >= len(s.tasks) {
		return nil
	}
	return s
}

// stepOfReport returns the step of a task that a worker reports, or nil as findStep does. A former leader may have opened
// rounds after it last stored the job's progress; the report of a task in such a round opens it and those before it.
func (sc *Scheduler) stepOfReport(t work.TaskID) *stepState {
	j, ok := sc.jobs[t.Job]
	if ok && j.restored && !j.state.Final() && j.openedRounds <= t.Round && t.Round < j.Rounds() {
		sc.log.Info("engine: opening rounds that a former leader opened", zap.Stringer("task", t),
			zap.Int("opened", j.openedRounds))
		for j.openedRounds <= t.Round {
			sc.openNextRound(j)
		}
	}
	return sc.findStep(t)
}

// openRound creates the steps of the next round.
func (sc *Scheduler) openRound(j *job) {
	r := j.openedRounds
	j.openedRounds++
	for i := range j.Steps {
		spec := &j.Steps[i]
		s := &stepState{job: j, round: r, step: i, spec: spec, need: spec.Reserved(), tasks: make([]task, spec.Count), unfinished: spec.Count,
			waiting: spec.Count}
		if due := j.Due(r); due > 0 {
			s.due = time.UnixMilli(due)
		}
		j.stepStates[stepKey{r, i}] = s
	}
}

// openNextRound opens the next round of a job that may run. Its tasks start when the round is due.
func (sc *Scheduler) openNextRound(j *job) {
	r := j.openedRounds
	sc.openRound(j)
	for i := range j.Steps {
		sc.enqueue(j.stepStates[stepKey{r, i}])
	}
}

// enqueue adds a step to its pool's ready steps if tasks of it wait, the steps it depends on are complete, and its job
// is stored and has not ended.
func (sc *Scheduler) enqueue(s *stepState) {
	j := s.job
	if !j.stored || j.state.Final() || s.unfinished == 0 || s.waiting == 0 {
		return
	}
	if !s.ready {
		for _, a := range s.spec.After {
			if p, ok := j.stepStates[stepKey{s.round, a}]; ok && p.unfinished > 0 {
				return
			}
		}
		s.ready = true
	}
	sc.noteOtherPool(j)
	sc.pool(sc.poolOf(j)).add(s)
}

// finishTask records the completion of a task and stops its other runs.
func (sc *Scheduler) finishTask(s *stepState, index int) {
	t := &s.tasks[index]
	if t.done {
		return
	}
	if len(t.runs) == 0 {
		s.waiting--
	}
	t.done = true
	t.checkpoint = ""
	s.unfinished--
	sc.markDirty(s.job)
	for _, r := range t.runs {
		sc.requestStop(r, "another copy has completed")
	}
	if s.unfinished == 0 {
		sc.finishStep(s)
	}
}

// finishStep enqueues the steps that may follow a completed one. If the round is complete, it closes the round, and
// ends the job after the last one.
func (sc *Scheduler) finishStep(s *stepState) {
	j := s.job
	delete(sc.pool(sc.poolOf(j)).ready, s)
	complete := true
	for i := range j.Steps {
		o := j.stepStates[stepKey{s.round, i}]
		if o == nil || o.unfinished > 0 {
			complete = false
		}
		if o != nil && o != s {
			sc.enqueue(o)
		}
	}
	if !complete {
		return
	}
	j.closedRounds++
	for i := range j.Steps {
		delete(j.stepStates, stepKey{s.round, i})
	}
	if j.closedRounds == j.Rounds() {
		sc.finishJob(j, work.Completed)
	}
}

// finishJob ends a job and stops all its runs.
func (sc *Scheduler) finishJob(j *job, state work.State) {
	j.state = state
	j.finishedAt = time.Now()
	delete(sc.unfinished, j.ID)
	sc.ended = append(sc.ended, j)
	sc.observeOverrun(j)
	sc.log.Info("engine: job ended", zap.String("job", string(j.ID)), zap.String("state", string(state)),
		zap.Duration("late", j.finishedAt.Sub(j.deadline)))
	sc.markDirty(j)
	for _, s := range j.stepStates {
		delete(sc.pool(sc.poolOf(j)).ready, s)
		for i := range s.tasks {
			for _, r := range s.tasks[i].runs {
				sc.requestStop(r, "job "+string(state))
			}
		}
	}
}

// markDirty marks a job for the next commit.
func (sc *Scheduler) markDirty(j *job) {
	j.version++
	sc.dirty[j.ID] = j
}

// nextRunNumber returns a run number for a task above last, its highest known one, and above all that former leaders
// assigned, as long as none of them used more than runsPerTerm.
func (sc *Scheduler) nextRunNumber(last int64) int64 { return max(last, (sc.term-1)*runsPerTerm) + 1 }
