package audit

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
)

// attempt is one submission of a request up to its answer; the event of the answer is empty if there was none.
type attempt struct {
	submission numbered[record.Call]
	accepted   bool
	answer     numbered[record.Call]
}

func (a attempt) ended() bool { return a.answer.record.Event != "" }

// mayHaveStartedAt reports whether the attempt may have caused a start at a time.
func (a attempt) mayHaveStartedAt(t record.Stamp) bool {
	return a.submission.record.Time <= t && (!a.ended() || t <= a.answer.record.Time)
}

// attempts returns all attempts in the order of submission.
func (t trial) attempts() []*attempt {
	var all []*attempt
	pending := map[string]*attempt{}
	for _, c := range t.calls {
		id := c.record.ID
		if c.record.Event == record.Submitted {
			a := &attempt{submission: c}
			pending[id] = a
			all = append(all, a)
			continue
		}
		a := pending[id]
		if a == nil {
			continue
		}
		if c.record.Event == record.Accepted {
			a.accepted = true
			continue
		}
		a.answer = c
	}
	return all
}

// countCalls counts each request once, by its last attempt that has an answer.
func (t trial) countCalls(s *Summary) {
	last := map[string]*attempt{}
	var order []string
	for _, a := range t.attempts() {
		id := a.submission.record.ID
		previous := last[id]
		if previous == nil {
			order = append(order, id)
		}
		if previous == nil || a.ended() {
			last[id] = a
		}
	}
	for _, id := range order {
		a := last[id]
		s.Submitted++
		switch a.answer.record.Event {
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
			s.Findings = append(s.Findings, callFinding(Lost, a.submission, detail))
		}
	}
}

func (t trial) damaged() []Finding {
	var f []Finding
	for _, a := range t.attempts() {
		want, got := a.submission.record, a.answer.record
		if got.Event != record.Answered || want.Digest == "" {
			continue
		}
		if got.Length != want.Length || got.Digest != want.Digest {
			f = append(f, callFinding(Damaged, a.answer,
				fmt.Sprintf("answer of %d bytes with digest %.8s, want %d bytes with %.8s",
					got.Length, got.Digest, want.Length, want.Digest)))
		}
	}
	return f
}

// falseRefusals finds refusals that say "not run" although their request started.
func (t trial) falseRefusals() []Finding {
	starts := map[request][]numbered[record.Journal]{}
	for _, j := range t.journal {
		if j.record.Event == record.Started {
			q := requestForStart(j.record)
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
			if j, ok := a.contradictingStart(list, starts[q]); ok {
				f = append(f, callFinding(FalseRefusal, a.answer,
					fmt.Sprintf("refused as not run, but task %s started at %s (journal record %d)",
						j.record.Task, j.record.Instance, j.number)))
			}
		}
	}
	slices.SortFunc(f, func(a, b Finding) int { return cmp.Compare(a.Record, b.Record) })
	return f
}

func (a attempt) request() request {
	c := a.submission.record
	if c.Task == "" {
		c.Task = a.answer.record.Task
	}
	if c.Key == "" && c.Task == "" {
		// Without a key or task id, no start in the journal can be matched; the call's id keeps the request distinct.
		c.Task = "call/" + c.ID
	}
	return requestForCall(c)
}

// contradictingStart returns a start that makes the refusal of an attempt false. For a request that may run only once,
// that is any start before the refusal; otherwise it is a start that no other attempt can have caused.
func (a attempt) contradictingStart(
	others []*attempt, starts []numbered[record.Journal],
) (numbered[record.Journal], bool) {
	if a.answer.record.Event != record.Refused || a.answer.record.Work != reject.WorkNotRun {
		return numbered[record.Journal]{}, false
	}
	for _, j := range starts {
		at := j.record.Time
		if a.submission.record.Once && at <= a.answer.record.Time {
			return j, true
		}
		if at >= a.submission.record.Time && !coveredByOther(others, a, at) {
			return j, true
		}
	}
	return numbered[record.Journal]{}, false
}

func coveredByOther(others []*attempt, self attempt, at record.Stamp) bool {
	for _, o := range others {
		if o.submission.number != self.submission.number && o.mayHaveStartedAt(at) {
			return true
		}
	}
	return false
}
