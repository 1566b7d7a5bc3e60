package engine

import (
	"cmp"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// Restore loads the state that a former leader stored. Records that can't be decoded or are invalid are logged and
// skipped.
func (sc *Scheduler) Restore(items []table.Item) {
	runs := map[string]progress{}
	for _, i := range items {
		switch {
		case strings.HasPrefix(i.Key, PrefixJob):
			sc.restoreJob(i)
		case strings.HasPrefix(i.Key, PrefixRun):
			var p progress
			if err := cbor.Unmarshal(i.Value, &p); err != nil {
				sc.log.Error("engine: stored progress can't be decoded; skipping it", zap.String("key", i.Key), zap.Error(err))
				continue
			}
			runs[strings.TrimPrefix(i.Key, PrefixRun)] = p
		case strings.HasPrefix(i.Key, PrefixWorker):
			sc.restoreWorker(i)
		case strings.HasPrefix(i.Key, PrefixLearn):
			sc.restoreRunTimes(i)
		}
	}
	slices.SortFunc(sc.ended, func(x, y *job) int {
		return cmp.Or(x.finishedAt.Compare(y.finishedAt), cmp.Compare(x.ID, y.ID))
	})
	for _, j := range sc.unfinished {
		if p, ok := runs[string(j.ID)]; ok {
			j.restoreProgress(sc, p)
		} else {
			sc.openRound(j)
		}
		j.deadline = sc.jobDeadline(j)
		for _, s := range j.stepStates {
			sc.enqueue(s)
		}
	}
	// A former leader may still extend leases until its authority ends.
	sc.inheritedUntil = time.Now().Add(sc.options.Authority).Add(sc.options.leaseTime())
	sc.restoreStarts(items)
}

func (sc *Scheduler) restoreJob(i table.Item) {
	var r jobRecord
	err := cbor.Unmarshal(i.Value, &r)
	if err == nil {
		err = r.Validate()
	}
	if err != nil {
		sc.log.Error("engine: stored job can't be decoded or is invalid; skipping it", zap.String("key", i.Key),
			zap.Error(err))
		return
	}
	j := &job{Job: r.Job, owner: sc.customer(r.Job.Customer), settings: r.Settings, state: work.Pending, storedState: work.Pending, stored: true,
		restored: true, version: firstVersion, committedVersion: firstVersion, stepStates: map[stepKey]*stepState{}}
	if r.State.Final() {
		j.state, j.storedState = r.State, r.State
		j.finishedAt = time.UnixMilli(r.EndedAt)
	}
	sc.jobs[j.ID] = j
	if j.state.Final() {
		sc.ended = append(sc.ended, j)
	} else {
		sc.unfinished[j.ID] = j
	}
}

func (sc *Scheduler) restoreWorker(i table.Item) {
	var r workerRecord
	if err := cbor.Unmarshal(i.Value, &r); err != nil {
		sc.log.Error("engine: stored worker can't be decoded; skipping it", zap.String("key", i.Key), zap.Error(err))
		return
	}
	id := work.WorkerID(strings.TrimPrefix(i.Key, PrefixWorker))
	w := &worker{Worker: work.Worker{ID: id, Pool: r.Pool, Address: r.Address, Zone: r.Zone, Machine: r.Machine,
		Incarnation: r.Incarnation},
		runs: map[work.RunKey]*run{}, inUse: true, inUseStored: true}
	sc.workers[id] = w
	sc.index.add(w)
	sc.inherited[id] = w
	sc.touch(w)
}

// restoreProgress rebuilds the open rounds of a job from its stored progress.
func (j *job) restoreProgress(sc *Scheduler, p progress) {
	j.progressWritten = true
	j.closedRounds = p.Closed
	j.otherPools = p.Pools
	open := map[int]bool{}
	for _, e := range p.Steps {
		open[e.Round] = true
	}
	for _, x := range p.Rounds {
		for r := max(x.First, 0); r <= x.Last && r < j.Rounds(); r++ {
			open[r] = true
		}
	}
	rounds := make([]int, 0, len(open))
	for r := range open {
		rounds = append(rounds, r)
	}
	sort.Ints(rounds)
	for _, r := range rounds {
		j.openedRounds = r
		sc.openRound(j)
	}
	j.openedRounds = p.Opened
	for _, x := range p.Complete {
		for step := range min(len(j.Steps), 8*len(x.Steps)) {
			if s, ok := j.stepStates[stepKey{x.Round, step}]; ok && x.Steps[step/8]&(1<<(step%8)) != 0 {
				j.restoreCompleteStep(s)
			}
		}
	}
	for _, e := range p.Steps {
		s, ok := j.stepStates[stepKey{e.Round, e.Step}]
		if !ok {
			continue
		}
		for i := range s.tasks {
			t := &s.tasks[i]
			if i/8 < len(e.Done) && e.Done[i/8]&(1<<(i%8)) != 0 {
				t.done = true
				s.unfinished--
				s.waiting--
				j.started = true
			}
			t.failedRuns = e.Failed[i]
			// A record of an older build has one for each member of a gang.
			if c := e.Checkpoints[i]; c != "" {
				s.checkpointed(i).checkpoint = c
			}
			sc.restoreSuspicion(s, i, e.Crashes[i])
			for _, n := range t.failedRuns {
				t.lastNumber = max(t.lastNumber, n)
			}
		}
	}
}

// restoreCompleteStep marks all tasks of a step as done.
func (j *job) restoreCompleteStep(s *stepState) {
	for i := range s.tasks {
		s.tasks[i].done = true
	}
	s.unfinished, s.waiting = 0, 0
	j.started = true
}
