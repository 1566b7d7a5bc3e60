package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/fair"
)

// Commands plans new starts, which RecordedStarts returns once the store holds them, and returns the other commands that are due
// now and records them as issued: the caller reports each one's result with HandleOutcome or HandleTickets.
func (sc *Scheduler) Commands() []Command {
	now := time.Now()
	sc.evict(now)
	sc.findMassCrashes(now)
	sc.releaseHeld(now)
	commands := sc.repeatCommands(now)
	commands = append(commands, sc.stopCommands(now)...)
	commands = append(commands, sc.throttleCommands(now)...)
	sc.pending.prune(now)
	for _, p := range sc.pools {
		if len(p.ready) == 0 {
			p.releaseReserved()
		} else if sc.mayPlan() {
			sc.placeWaiting(p, now)
		}
	}
	sc.pending.held = !sc.pending.allow()
	if req, ok := sc.ticketRequest(now); ok {
		commands = append(commands, req)
	}
	return commands
}

// placeWaiting starts waiting tasks of a pool in the order of their rank and notes which steps may need tickets.
func (sc *Scheduler) placeWaiting(p *pool, now time.Time) {
	waiting := sc.waitingSteps(p, now)
	if len(waiting) == 0 {
		p.releaseReserved()
		return
	}
	least := leastNeed(waiting)
	workers, cordoned := newCandidates(least), newCandidates(least)
	for _, w := range sc.index.byPool[p.name] {
		switch {
		case !sc.usable(w, now):
		case w.cordoned:
			cordoned.add(w)
		default:
			workers.add(w)
		}
	}
	if !sc.testDue(p, now) && !slices.ContainsFunc(waiting, func(s *stepState) bool { return sc.mayPlace(s, workers, cordoned) }) {
		return
	}
	late := 0
	ranked := sc.rankSteps(p, waiting, now)
	sc.reserveWorkers(p, ranked, workers, now)
	hasRoom := sc.options.Contention
	for _, e := range ranked {
		s, eligible := e.state, workers.workers
		if !sc.mayPlan() {
			break
		}
		if !sc.mayPlace(s, workers, cordoned) {
			if hasRoom {
				hasRoom = sc.notePassedOver(s, workers, now)
			}
			continue
		}
		if sc.short && e.rank.class >= fair.Late && !s.job.started {
			if late >= maxLateSteps {
				continue
			}
			late++
		}
		if sc.queueOf(s.job).NeedsTicket {
			sc.noteTicketNeed(s, eligible, now)
			eligible = slices.DeleteFunc(slices.Clone(eligible), func(w *worker) bool {
				_, ok := s.ticket(w.ID, now)
				return !ok
			})
		}
		eligible = sc.narrowToRack(s, eligible)
		if s.spec.Gang {
			sc.placeGang(s, workers, eligible, now)
			continue
		}
		sc.placeTasks(s, workers, eligible, now)
		if s.spec.LongRunning && s.waiting > 0 && !sc.queueOf(s.job).NeedsTicket {
			// A long-running task may start on a cordoned worker rather than wait while no other worker has capacity.
			sc.placeTasks(s, cordoned, cordoned.workers, now)
		}
	}
}

// leastNeed returns the smallest need of the tasks of some steps in each dimension.
func leastNeed(steps []*stepState) work.Need {
	least := steps[0].need
	for _, s := range steps[1:] {
		least = least.Min(s.need)
	}
	return least
}

// rank is the place of a step among those that wait for its pool; the lower one goes first.
type rank struct {
	priority int
	class    fair.Class
	// overShare means that the customer's running work and its waiting work of earlier rank use up its share of the pool.
	overShare bool
	// latestStart is in nanoseconds since 1970.
	latestStart int64
	// slack is the time until the latest start at which the step probably ends in time.
	slack time.Duration
}

// rankedStep is a step with waiting tasks and its rank.
type rankedStep struct {
	state *stepState
	rank  rank
}

// maxLateSteps is the number of late steps of jobs that have not started from which tasks start in one planning pass while the
// process is short of processor time: starting them all would make the jobs late that could still be in time.
const maxLateSteps = 1

// SetShort tells whether the process is short of processor time.
func (sc *Scheduler) SetShort(short bool) { sc.short = short }

// waitingSteps returns the steps of a pool with waiting tasks that may be placed, those ranked in the last pass first and
// in the order of their rank then.
func (sc *Scheduler) waitingSteps(p *pool, now time.Time) []*stepState {
	list := make([]*stepState, 0, len(p.order))
	var others []*stepState
	ranked := 0
	for i, s := range p.order {
		if s.waiting == 0 || s.job.state.Final() {
			delete(p.ready, s)
		}
		switch {
		case !p.ready[s]:
			s.ordered = false
		case s.due.After(now) || sc.awaitsInherited(s) || !sc.mayStartInPool(s.job):
			others = append(others, s)
		default:
			list = append(list, s)
			if i < p.ranked {
				ranked = len(list)
			}
		}
	}
	p.order, p.ranked = append(append(p.order[:0], list...), others...), ranked
	return list
}

// rankSteps returns waiting steps of a pool in the order in which they go.
func (sc *Scheduler) rankSteps(p *pool, waiting []*stepState, now time.Time) []rankedStep {
	list := make([]rankedStep, 0, len(waiting))
	for _, s := range waiting {
		list = append(list, rankedStep{s, sc.rank(s, now)})
	}
	list = sortRanked(list, p.ranked)
	for i, e := range list {
		p.order[i] = e.state
	}
	p.ranked = len(list)
	return sc.applyShares(p, list, now)
}

// sortRanked sorts steps of which the first ones are mostly in order.
func sortRanked(list []rankedStep, ordered int) []rankedStep {
	former, others := list[:ordered], list[ordered:]
	if !slices.IsSortedFunc(former, rankedStep.compare) {
		slices.SortFunc(former, rankedStep.compare)
	}
	slices.SortFunc(others, rankedStep.compare)
	if len(former) == 0 || len(others) == 0 || former[ordered-1].compare(others[0]) < 0 {
		return list
	}
	sorted := make([]rankedStep, 0, len(list))
	for len(former) > 0 && len(others) > 0 {
		if former[0].compare(others[0]) < 0 {
			sorted, former = append(sorted, former[0]), former[1:]
		} else {
			sorted, others = append(sorted, others[0]), others[1:]
		}
	}
	return append(append(sorted, former...), others...)
}

// compare orders steps by priority, class, share and time; it never returns 0 for two steps.
func (e rankedStep) compare(o rankedStep) int {
	x, y := &e.rank, &o.rank
	switch {
	case x.priority != y.priority:
		return cmp.Compare(x.priority, y.priority)
	case x.class != y.class:
		return cmp.Compare(x.class, y.class)
	case x.overShare != y.overShare:
		return compareBool(x.overShare, y.overShare)
	case x.latestStart != y.latestStart:
		return cmp.Compare(x.latestStart, y.latestStart)
	}
	return cmp.Or(cmp.Compare(e.state.job.ID, o.state.job.ID), cmp.Compare(e.state.round, o.state.round),
		cmp.Compare(e.state.step, o.state.step))
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}

// rank returns the rank of a step by its queue's priority, then its class, then its latest start. Within one priority,
// long-running tasks go first, then jobs that can still meet their objective, ordered by the latest time at which their
// remaining work must start, then late jobs by the same time, then expired ones. Jobs that have not started fall into a later
// class some time before their latest start, see startMargin. Within each class of jobs, customers within their share of a
// full pool go first; applyShares sets that part of the rank. The objective of a round counts from when it is due.
func (sc *Scheduler) rank(s *stepState, now time.Time) rank {
	r := rank{priority: sc.queueOf(s.job).Priority}
	if s.spec.LongRunning {
		r.class = fair.Exempt
		return r
	}
	from := time.UnixMilli(s.job.Accepted)
	allowed := s.job.deadline.Sub(from)
	if !s.due.IsZero() {
		from, allowed = s.due, sc.jobDeadline(s.job).Sub(from)
	}
	latestStart := from.Add(allowed - sc.remaining(s, now))
	r.latestStart = latestStart.UnixNano()
	margin := sc.startMargin(s, latestStart, now)
	probableStart := now.Add(margin)
	r.slack = latestStart.Sub(probableStart)
	switch {
	case !latestStart.Before(probableStart):
		r.class = fair.OnTime
	case !latestStart.Add(expiredLateness * allowed).Before(probableStart):
		r.class = fair.Late
	default:
		r.class = fair.Expired
	}
	return r
}

// remainingMaxAge is how long the estimate of a step's remaining run time counts; the models of run times change slowly.
const remainingMaxAge = 200 * time.Millisecond

// remaining estimates the run time of the longest chain of dependent steps from a step to the end of its round.
func (sc *Scheduler) remaining(s *stepState, now time.Time) time.Duration {
	if s.remainingAt.IsZero() || now.Sub(s.remainingAt) >= remainingMaxAge {
		s.remaining, s.remainingAt, s.expected = sc.longestChain(s), now, sc.expectOn("", &s.job.Job, s.spec)
	}
	return s.remaining
}

func (sc *Scheduler) longestChain(s *stepState) time.Duration {
	steps := s.job.Steps
	chains := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= s.step; i-- {
		own := sc.estimateFor(&s.job.Job, &steps[i])
		chains[i] += own
		for _, a := range steps[i].After {
			chains[a] = max(chains[a], chains[i])
		}
	}
	return chains[s.step]
}

// awaitsInherited reports whether a step must wait because a former leader may have started tasks of it on a worker
// that has not reported its run lists yet. A speculative step need not wait, since its tasks may have several runs.
func (sc *Scheduler) awaitsInherited(s *stepState) bool {
	if !s.job.restored || len(sc.inherited) == 0 || s.spec.Speculative {
		return false
	}
	pool := sc.poolOf(s.job)
	for _, w := range sc.inherited {
		if w.onlyFinite && s.spec.LongRunning {
			continue
		}
		if w.Pool == pool || w.Pool == s.job.settings.Pool || slices.Contains(s.job.otherPools, w.Pool) {
			return true
		}
	}
	return false
}

// fits reports whether one more task of a step may start on a worker that is usable.
func (sc *Scheduler) fits(s *stepState, w *worker) bool {
	return !w.held && (w.reservedFor == nil || w.reservedFor == s) && !w.isIsolated() && sc.hasRoom(s, w)
}

// hasRoom reports whether a worker has capacity for one more task of a step and satisfies the step's constraints.
func (sc *Scheduler) hasRoom(s *stepState, w *worker) bool {
	sc.comparisons++
	if !s.need.FitsIn(w.free()) || !w.Has(s.spec.Label) {
		return false
	}
	return s.spec.MaxPerWorker == 0 || sc.countRuns(s, w) < s.spec.MaxPerWorker
}

// countRuns returns the number of runs of a step on a worker.
func (sc *Scheduler) countRuns(s *stepState, w *worker) int {
	n := 0
	for _, r := range w.runs {
		if r.stepState == s {
			n++
		}
	}
	return n
}

// chooseWorker returns the worker with the highest score that fits one more task of a step, or nil.
func (sc *Scheduler) chooseWorker(s *stepState, workers []*worker) *worker {
	var best *worker
	var bestScore float64
	for _, w := range workers {
		if !sc.fits(s, w) {
			continue
		}
		if score := sc.score(s, w); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// placeTasks places waiting tasks of a step one by one until none fits or the customer's cap is reached. The eligible
// workers are among the candidates.
func (sc *Scheduler) placeTasks(s *stepState, c *candidates, eligible []*worker, now time.Time) {
	packed := s.isPacked() && len(eligible) == len(c.workers)
	for i := range s.tasks {
		t := &s.tasks[i]
		if s.waiting == 0 {
			break
		}
		if t.done || len(t.runs) > 0 {
			continue
		}
		if !sc.withinCap(s, 1) || !sc.mayPlan() {
			break
		}
		var w *worker
		switch {
		case t.suspicion != nil:
			if w = sc.chooseForSuspect(s, t, eligible, now); w == nil {
				continue
			}
		case packed:
			w = sc.chooseFullest(c, s)
		default:
			w = sc.chooseWorker(s, eligible)
		}
		if w == nil {
			break
		}
		sc.planRun(s, i, w, sc.nextRunNumber(t.lastNumber), now)
		c.noteStart(w)
	}
}

// placeGang places all tasks of a gang or none; none while one of them has a run.
func (sc *Scheduler) placeGang(s *stepState, c *candidates, workers []*worker, now time.Time) {
	if s.waiting != len(s.tasks) || !sc.withinCap(s, len(s.tasks)) {
		return
	}
	workers = sc.gangWorkers(s, workers, now)
	chosen := make([]*worker, len(s.tasks))
	need := s.spec.Reserved()
	count := map[*worker]int{}
	for i := range chosen {
		w := sc.chooseWorker(s, workers)
		// chooseWorker does not count the members chosen so far towards MaxPerWorker.
		if w == nil || s.spec.MaxPerWorker > 0 && sc.countRuns(s, w)+count[w] >= s.spec.MaxPerWorker {
			w = nil
			for _, o := range workers {
				if sc.fits(s, o) && (s.spec.MaxPerWorker == 0 || sc.countRuns(s, o)+count[o] < s.spec.MaxPerWorker) {
					w = o
					break
				}
			}
		}
		if w == nil {
			break
		}
		chosen[i] = w
		count[w]++
		// Reserved until all members have a worker, so that the next choice sees the capacity that is left.
		w.reserved = w.reserved.Plus(need)
	}
	for _, w := range chosen {
		if w != nil {
			w.reserved = w.reserved.Minus(need)
		}
	}
	if slices.Contains(chosen, nil) {
		return
	}
	number := sc.nextRunNumber(s.gangNumber)
	for i, w := range chosen {
		sc.planRun(s, i, w, number, now)
		c.noteStart(w)
	}
}

// withinCap reports whether a number of further tasks of a step keeps its customer within the cap.
func (sc *Scheduler) withinCap(s *stepState, count int) bool {
	c, ok := sc.config.Customers[s.job.Customer]
	if !ok {
		return true
	}
	return s.job.owner.usage.Plus(s.spec.Need.Times(count)).WithinLimit(c.Cap)
}

// planRun reserves what a run needs and has its start recorded.
func (sc *Scheduler) planRun(s *stepState, index int, w *worker, number int64, now time.Time) {
	t := &s.tasks[index]
	t.lastNumber = number
	s.gangNumber = max(s.gangNumber, number)
	r := &run{
		key: work.RunKey{Task: s.task(index), Number: number}, stepState: s, worker: w, phase: startPlanned,
		need: s.need, charge: s.spec.Need, startedAt: now, phaseSince: now, throttle: 100,
		lateStart: w.cordoned,
	}
	t.runs = append(t.runs, r)
	sc.pending.issued[r.key] = time.Time{}
	if len(w.runs) == 0 {
		sc.touch(w)
	}
	s.waiting--
	s.passedOverSince = time.Time{}
	w.runs[r.key] = r
	sc.addRun(r)
	p := sc.pool(w.Pool)
	p.longestEstimate = max(p.longestEstimate, sc.estimateFor(&s.job.Job, s.spec))
	sc.isolate(r)
	sc.planStart(r)
}
