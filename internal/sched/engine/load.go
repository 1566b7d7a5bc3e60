package engine

import "time"

// Load is what a scheduler has to do.
type Load struct {
	// Workers counts the workers that have not ended, Unresponsive those of them that have not replied to the last call.
	Workers      int `json:"workers"`
	Unresponsive int `json:"unresponsive"`
	// Unfinished counts the jobs that have not ended, Waiting the ready tasks without a run, Runs the runs that may exist.
	Unfinished int `json:"unfinished"`
	Waiting    int `json:"waiting"`
	Runs       int `json:"runs"`
	// OutstandingStarts counts the starts without a reply, StartLimit bounds them.
	OutstandingStarts int `json:"starting"`
	StartLimit        int `json:"limit"`
}

// Load returns what the scheduler has to do.
func (sc *Scheduler) Load() Load {
	l := Load{Unfinished: len(sc.unfinished), OutstandingStarts: len(sc.pending.issued), StartLimit: int(sc.pending.limit)}
	for _, w := range sc.workers {
		if w.ended {
			continue
		}
		l.Workers++
		l.Runs += len(w.runs)
		if !w.responsive() {
			l.Unresponsive++
		}
	}
	for _, p := range sc.pools {
		for s := range p.ready {
			l.Waiting += s.waiting
		}
	}
	return l
}

// TakeStartDelays returns how long jobs waited from their acceptance, or the time that their first round was due, to
// their first start, for those that have started since the last call.
func (sc *Scheduler) TakeStartDelays() []time.Duration {
	delays := sc.startDelays
	sc.startDelays = nil
	return delays
}

// noteFirstStart records the first start of a job.
func (sc *Scheduler) noteFirstStart(j *job, now time.Time) {
	if j.started || j.restored {
		return
	}
	since := time.UnixMilli(j.Accepted)
	if due := j.Due(0); due > 0 && time.UnixMilli(due).After(since) {
		since = time.UnixMilli(due)
	}
	sc.startDelays = append(sc.startDelays, max(now.Sub(since), 0))
}

// EndCounts count events that concern the ends of runs.
type EndCounts struct {
	// Relisted counts the ends that workers listed again because they were not acknowledged yet.
	Relisted int
	// GivenUp counts the runs that were released although their ends were not known, StartedAgain the released runs that
	// turned out to have ended as done after their tasks had been started again.
	GivenUp, StartedAgain int
}

// TakeEndCounts returns the counts since the last call.
func (sc *Scheduler) TakeEndCounts() EndCounts {
	n := sc.endCounts
	sc.endCounts = EndCounts{}
	return n
}
