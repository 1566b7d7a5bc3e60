package fakes

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Plan tells fake workers what to check of a job's starts. A job carries it as its spec, in JSON; a job with another spec
// has an empty plan.
type Plan struct {
	// Tasks is the number of tasks of each step; each step follows the one before.
	Tasks []int `json:"tasks,omitempty"`
	// Gang means that the tasks of each step are a gang.
	Gang bool `json:"gang,omitempty"`
	// Ticket means that a start needs a ticket of the Authorizer.
	Ticket bool `json:"ticket,omitempty"`
	// FirstMS is when the first round is due, in milliseconds since 1970, 0 for a job without rounds; IntervalMS is the
	// time between rounds.
	FirstMS    int64 `json:"first,omitempty"`
	IntervalMS int64 `json:"interval,omitempty"`
}

// planOf returns the plan that a spec holds.
func planOf(spec string) Plan {
	var p Plan
	if err := json.Unmarshal([]byte(spec), &p); err != nil {
		return Plan{}
	}
	return p
}

// earlyStart is how early a task of a round may start, for the rounding of times.
const earlyStart = 50 * time.Millisecond

// checkOrder records a violation if a task starts before its round is due or before the tasks of the step before have
// completed.
func (w *Workers) checkOrder(t work.TaskID, p Plan) {
	if p.FirstMS > 0 {
		due := time.UnixMilli(p.FirstMS + int64(t.Round)*p.IntervalMS)
		if early := time.Until(due); early > earlyStart {
			w.Violations = append(w.Violations, fmt.Sprintf("%s: started %s before it is due", t, early))
		}
	}
	if t.Step == 0 || t.Step >= len(p.Tasks) {
		return
	}
	before := t
	before.Step--
	for before.Index = range p.Tasks[before.Step] {
		if !w.completed[before] {
			w.Violations = append(w.Violations, fmt.Sprintf("%s: started before %s has completed", t, before))
		}
	}
}

// Tasks of gangs.

// gangWait is how long a member of a gang waits for the others.
const gangWait = time.Second

// gangOf returns the runs of a gang that are there, with their workers.
func (w *Workers) gangOf(t work.TaskID, number int64) map[work.TaskID]*fakeWorker {
	members := map[work.TaskID]*fakeWorker{}
	for _, f := range w.byID {
		for o, r := range f.runs {
			if !f.down && r.number == number && o.Job == t.Job && o.Round == t.Round && o.Step == t.Step {
				members[o] = f
			}
		}
	}
	return members
}

// assembleGang lets the members of a gang work if all are there. They end together.
func (w *Workers) assembleGang(t work.TaskID, number int64, size int, runTime time.Duration) {
	members := w.gangOf(t, number)
	if len(members) < size {
		return
	}
	end := time.Now().Add(runTime)
	for o, f := range members {
		f.runs[o].endsAt, f.runs[o].assembled = end, true
	}
}

// endGang ends the other members of a gang after one has ended.
func (w *Workers) endGang(t work.TaskID, number int64, how work.Ending) {
	if how != work.Done {
		how = work.GangMemberEnded
	}
	for o, f := range w.gangOf(t, number) {
		w.recordEnd(f, o, f.runs[o], how)
	}
}

// complete records the tasks that the end of a successful run completes: the task, or all of its gang.
func complete(set map[work.TaskID]bool, t work.TaskID, p Plan) {
	set[t] = true
	if !p.Gang || t.Step >= len(p.Tasks) {
		return
	}
	for t.Index = range p.Tasks[t.Step] {
		set[t] = true
	}
}
