package engine

import (
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// job is a job with what is known of its tasks.
type job struct {
	work.Job
	// terms are those that the job was accepted under.
	terms terms
	state work.State
	// shown is the state as it is stored; callers see no other.
	shown work.State
	// stored means that the store has the job, so that it may run and callers may be told.
	stored bool
	// loaded means that a former holder of the seat may have started tasks of the job.
	loaded   bool
	started  bool
	finished time.Time
	// bundles hold the steps of every round that has come due and is not done.
	bundles map[bundleKey]*bundle
	// opened counts the rounds whose bundles exist or existed; closed counts those that are done.
	opened, closed int
	deadline       time.Time
	// version counts the changes, so that a commit can tell whether it holds the newest.
	version int
	// committed is the version that the store holds; written means that it holds progress.
	committed int
	written   bool
}

// terms are what a job keeps of its queue.
type terms struct {
	Pool      string        `json:"pool"`
	Attempts  int           `json:"tries"`
	Stretch   float64       `json:"stretch"`
	Objective time.Duration `json:"goal"`
	Priority  int           `json:"rank,omitempty"`
}

func termsOf(q work.Queue) terms {
	return terms{Pool: q.Pool, Attempts: q.Attempts, Stretch: q.Stretch, Objective: q.Objective, Priority: q.Priority}
}

type bundleKey struct{ round, step int }

// bundle is one step in one round: equal tasks that become ready together.
type bundle struct {
	job         *job
	round, step int
	spec        *work.Step
	tasks       []task
	// undone counts tasks that have not ended done.
	undone int
	// waiting counts tasks that no run is under way for.
	waiting int
	due     time.Time
	ready   bool
	// group is the highest run number of a gang.
	group int64
	// counsel is what the advisor has said, for queues that need tickets.
	counsel *counsel
	// reported is when the log last said why tasks of the bundle wait.
	reported time.Time
}

// task is one task of a bundle.
type task struct {
	done bool
	// failed are the numbers of the runs that failed.
	failed []int64
	// last is the highest run number given.
	last  int64
	saved string
	runs  []*run
	// lostAt is when the last run of a lasting task ended.
	lostAt time.Time
}

// phase says what is known of a run.
type phase int

const (
	// ordered: the start was sent, its reply is awaited.
	ordered phase = iota
	// active: the worker confirmed the start or listed the run.
	active
	// doubtful: the start got no reply and may still be carried out.
	doubtful
)

// run is one start of a task on one worker.
type run struct {
	key    work.RunKey
	bundle *bundle
	worker *worker
	phase  phase
	// need is what the run takes of its worker, charge what it takes of its customer's cap.
	need, charge work.Need
	// began is when the run was ordered or adopted; since is when its phase was last known to hold.
	began, since time.Time
	// stop means that the run is to end. stopSent and stopDone are times of the order and of its confirmation.
	stop               bool
	stopSent, stopDone time.Time
	why                string
	percent            int
	level              int64
	// over is since when the tail of a serving run is above its limit.
	over time.Time
	// easy is since when it is well below.
	easy time.Time
	// paced is the share that was last ordered, and pacing says that an order is under way.
	paced  int
	pacing bool
	saved  string
}

func (s *bundle) task(index int) work.TaskID {
	return work.TaskID{Job: s.job.ID, Round: s.round, Step: s.step, Index: index}
}

// open creates the bundles of the next round.
func (b *Scheduler) open(j *job) {
	r := j.opened
	j.opened++
	for i := range j.Steps {
		spec := &j.Steps[i]
		s := &bundle{job: j, round: r, step: i, spec: spec, tasks: make([]task, spec.Count), undone: spec.Count,
			waiting: spec.Count}
		if due := j.Due(r); due > 0 {
			s.due = time.UnixMilli(due)
		}
		j.bundles[bundleKey{r, i}] = s
	}
}

// enqueue makes a bundle known to its pool if its tasks may run.
func (b *Scheduler) enqueue(s *bundle) {
	j := s.job
	if !j.stored || j.state.Final() || s.undone == 0 || s.waiting == 0 {
		return
	}
	if !s.ready {
		for _, a := range s.spec.After {
			if p, ok := j.bundles[bundleKey{s.round, a}]; ok && p.undone > 0 {
				return
			}
		}
		s.ready = true
	}
	b.pool(b.poolOf(j)).ready[s] = true
}

// finishTask records that a task ended done.
func (b *Scheduler) finishTask(s *bundle, index int) {
	t := &s.tasks[index]
	if t.done {
		return
	}
	if len(t.runs) == 0 {
		s.waiting--
	}
	t.done = true
	t.saved = ""
	s.undone--
	b.touch(s.job)
	for _, r := range t.runs {
		b.halt(r, "another copy is done")
	}
	if s.undone == 0 {
		b.finishStep(s)
	}
}

func (b *Scheduler) finishStep(s *bundle) {
	j := s.job
	delete(b.pool(b.poolOf(j)).ready, s)
	complete := true
	for i := range j.Steps {
		o := j.bundles[bundleKey{s.round, i}]
		if o == nil || o.undone > 0 {
			complete = false
		}
		if o != nil && o != s {
			b.enqueue(o)
		}
	}
	if !complete {
		return
	}
	j.closed++
	for i := range j.Steps {
		delete(j.bundles, bundleKey{s.round, i})
	}
	if j.closed == j.Rounds() {
		b.finishJob(j, work.Completed)
	}
}

// finishJob ends a job and everything that runs of it.
func (b *Scheduler) finishJob(j *job, state work.State) {
	j.state = state
	j.finished = time.Now()
	b.log.Info("engine: job ended", zap.String("job", string(j.ID)), zap.String("state", string(state)),
		zap.Duration("late", j.finished.Sub(j.deadline)))
	b.touch(j)
	for _, s := range j.bundles {
		delete(b.pool(b.poolOf(j)).ready, s)
		for i := range s.tasks {
			for _, r := range s.tasks[i].runs {
				b.halt(r, "job "+string(state))
			}
		}
	}
}

// touch marks a job for the next commit.
func (b *Scheduler) touch(j *job) {
	j.version++
	b.dirty[j.ID] = j
}

// nextNumber returns a run number above every one that this or a former holder has given to a task.
func (b *Scheduler) nextNumber(last int64) int64 { return max(last, (b.term-1)*runsPerTerm) + 1 }
