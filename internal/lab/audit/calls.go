package audit

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
)

// attempt is one submission of a request, up to its answer; the answer's event is empty if none came.
type attempt struct {
	sent     placed[record.Call]
	accepted bool
	final    placed[record.Call]
}

func (a attempt) ended() bool { return a.final.record.Event != "" }

// covers reports whether the attempt may have caused a start at a time.
func (a attempt) covers(t record.Stamp) bool {
	return a.sent.record.Time <= t && (!a.ended() || t <= a.final.record.Time)
}

// attempts returns every submission in the order of submission.
func (t trial) attempts() []*attempt {
	var all []*attempt
	open := map[string]*attempt{}
	for _, c := range t.calls {
		id := c.record.ID
		if c.record.Event == record.Submitted {
			a := &attempt{sent: c}
			open[id] = a
			all = append(all, a)
			continue
		}
		a := open[id]
		if a == nil {
			continue
		}
		if c.record.Event == record.Accepted {
			a.accepted = true
			continue
		}
		a.final = c
	}
	return all
}

// countCalls counts each request once, by its last submission that has an answer.
func (t trial) countCalls(s *Summary) {
	last := map[string]*attempt{}
	var order []string
	for _, a := range t.attempts() {
		id := a.sent.record.ID
		known := last[id]
		if known == nil {
			order = append(order, id)
		}
		if known == nil || a.ended() {
			last[id] = a
		}
	}
	for _, id := range order {
		a := last[id]
		s.Submitted++
		switch a.final.record.Event {
		case record.Answered:
			s.Answered++
		case record.Refused:
			s.Refused++
		case record.Unknown:
			s.Unknown++
		default:
			detail := "request " + id + " has no answer"
			if a.accepted {
				detail = "asynchronous request " + id + " was accepted and never answered"
			}
			s.Findings = append(s.Findings, foundCall(Lost, a.sent, detail))
		}
	}
}

func (t trial) damaged() []Finding {
	var f []Finding
	for _, a := range t.attempts() {
		want, got := a.sent.record, a.final.record
		if got.Event != record.Answered || want.Digest == "" {
			continue
		}
		if got.Length != want.Length || got.Digest != want.Digest {
			f = append(f, foundCall(Damaged, a.final, fmt.Sprintf("answer of %d bytes with digest %.8s, want %d bytes with %.8s",
				got.Length, got.Digest, want.Length, want.Digest)))
		}
	}
	return f
}

// falseRefusals compares each refusal that says "not run" with the starts of its request.
func (t trial) falseRefusals() []Finding {
	starts := map[request][]placed[record.Journal]{}
	for _, j := range t.journal {
		if j.record.Event == record.Started {
			q := requestOfStart(j.record)
			starts[q] = append(starts[q], j)
		}
	}
	attempts := map[request][]*attempt{}
	for _, a := range t.attempts() {
		q := a.request()
		attempts[q] = append(attempts[q], a)
	}
	var f []Finding
	for q, list := range attempts {
		for _, a := range list {
			if j, ok := a.contradicted(list, starts[q]); ok {
				f = append(f, foundCall(FalseRefusal, a.final, fmt.Sprintf("refused as not run, but task %s started at %s (journal record %d)",
					j.record.Task, j.record.Instance, j.number)))
			}
		}
	}
	slices.SortFunc(f, func(a, b Finding) int { return cmp.Compare(a.Record, b.Record) })
	return f
}

func (a attempt) request() request {
	c := a.sent.record
	if c.Task == "" {
		c.Task = a.final.record.Task
	}
	if c.Key == "" && c.Task == "" {
		// Without key or task id nothing in the journal can be matched.
		c.Task = "call/" + c.ID
	}
	return requestOfCall(c)
}

// contradicted returns a start that makes the refusal of an attempt false. For a request that may run once,
// that is any start before the refusal; else it is a start that no other submission can have caused.
func (a attempt) contradicted(others []*attempt, starts []placed[record.Journal]) (placed[record.Journal], bool) {
	if a.final.record.Event != record.Refused || a.final.record.Work != reject.WorkNotRun {
		return placed[record.Journal]{}, false
	}
	for _, j := range starts {
		at := j.record.Time
		if a.sent.record.Once && at <= a.final.record.Time {
			return j, true
		}
		if at >= a.sent.record.Time && !covered(others, a, at) {
			return j, true
		}
	}
	return placed[record.Journal]{}, false
}

func covered(others []*attempt, self attempt, at record.Stamp) bool {
	for _, o := range others {
		if o.sent.number != self.sent.number && o.covers(at) {
			return true
		}
	}
	return false
}
