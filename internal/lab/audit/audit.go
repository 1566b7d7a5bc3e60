// Package audit checks a trial: it compares the workers' journal, the callers' answers and the operators' edits
// with what yuccahaven guarantees.
package audit

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Grace is how long a change may take to be in force everywhere: the bound that the design page states.
const Grace = 5 * time.Second

// Input is everything recorded during a trial, in any order.
type Input struct {
	Journal []record.Journal
	Calls   []record.Call
	Edits   []record.Edit
}

// Check names one check.
type Check string

// The checks.
const (
	Lost         Check = "lost"
	Doubled      Check = "doubled"
	OverCeiling  Check = "overceiling"
	LateStart    Check = "latestarts"
	Damaged      Check = "damaged"
	FalseRefusal Check = "falserefusals"
	TwoPools     Check = "twopools"
	UnderBudget  Check = "underbudget"
)

// Source says which of the inputs a finding points into.
type Source string

// The inputs.
const (
	InJournal Source = "journal"
	InCalls   Source = "calls"
	InEdits   Source = "edits"
)

// Finding is one violation with its place: the record's number within its source, from 1.
type Finding struct {
	Check  Check        `json:"check"`
	Source Source       `json:"source"`
	Record int          `json:"record"`
	Time   record.Stamp `json:"time"`
	Detail string       `json:"detail"`
}

// Summary counts requests by their final answer and violations by their check.
// Every submitted request is in exactly one of answered, refused, unknown and lost.
type Summary struct {
	Submitted int `json:"submitted"`
	Answered  int `json:"answered"`
	Refused   int `json:"refused"`
	Unknown   int `json:"unknown"`
	// Lost requests have no final answer, or were accepted and never answered.
	Lost int `json:"lost"`
	// Doubled non-idempotent requests started more than once.
	Doubled int `json:"doubled"`
	// OverCeiling counts starts that brought a team over its ceiling.
	OverCeiling int `json:"overceiling"`
	// LateStarts counts starts on a zone or instance more than Grace after it was taken out or listed as leaving.
	LateStarts int `json:"latestarts"`
	// Damaged answers are not the whole answer of their own request.
	Damaged int `json:"damaged"`
	// FalseRefusals said that the work was not run although it had started.
	FalseRefusals int `json:"falserefusals"`
	// TwoPools counts events at which an instance held tasks of two pools.
	TwoPools int `json:"twopools"`
	// UnderBudget counts planned changes that left a pool with fewer available instances than its budget.
	UnderBudget int       `json:"underbudget"`
	Findings    []Finding `json:"findings,omitempty"`
}

// Clean reports whether no check found a violation.
func (s Summary) Clean() bool { return len(s.Findings) == 0 }

// Run checks a trial.
func Run(in Input) Summary {
	t := trial{
		journal: sorted(in.Journal, func(r record.Journal) record.Stamp { return r.Time }),
		calls:   sorted(in.Calls, func(r record.Call) record.Stamp { return r.Time }),
		edits:   sorted(in.Edits, func(r record.Edit) record.Stamp { return r.Time }),
	}
	s := Summary{}
	t.countCalls(&s)
	for _, check := range []func() []Finding{
		t.damaged, t.falseRefusals, t.doubled, t.lateStarts, t.overCeiling, t.twoPools, t.underBudget,
	} {
		s.Findings = append(s.Findings, check()...)
	}
	s.count()
	return s
}

func (s *Summary) count() {
	totals := map[Check]*int{
		Lost: &s.Lost, Doubled: &s.Doubled, OverCeiling: &s.OverCeiling, LateStart: &s.LateStarts, Damaged: &s.Damaged,
		FalseRefusal: &s.FalseRefusals, TwoPools: &s.TwoPools, UnderBudget: &s.UnderBudget,
	}
	for _, f := range s.Findings {
		*totals[f.Check]++
	}
}

// placed is a record with its number in the input.
type placed[R record.Kind] struct {
	record R
	number int
}

type trial struct {
	journal []placed[record.Journal]
	calls   []placed[record.Call]
	edits   []placed[record.Edit]
}

func sorted[R record.Kind](records []R, at func(R) record.Stamp) []placed[R] {
	p := make([]placed[R], len(records))
	for i, r := range records {
		p[i] = placed[R]{record: r, number: i + 1}
	}
	slices.SortStableFunc(p, func(a, b placed[R]) int { return cmp.Compare(at(a.record), at(b.record)) })
	return p
}

func found(c Check, p placed[record.Journal], detail string) Finding {
	return Finding{Check: c, Source: InJournal, Record: p.number, Time: p.record.Time, Detail: detail}
}

func foundCall(c Check, p placed[record.Call], detail string) Finding {
	return Finding{Check: c, Source: InCalls, Record: p.number, Time: p.record.Time, Detail: detail}
}

// request identifies the request that a start belongs to: by idempotency key, or by task id without one.
type request struct {
	team fleet.TeamName
	key  string
	task string
}

func requestOfStart(r record.Journal) request {
	if r.Key != "" {
		return request{team: r.Team, key: r.Key}
	}
	return request{team: r.Team, task: baseID(r.Task)}
}

func requestOfCall(c record.Call) request {
	if c.Key != "" {
		return request{team: c.Team, key: c.Key}
	}
	return request{team: c.Team, task: c.Task}
}

// baseID returns the id of a task's record; workers see it with the number of the attempt.
func baseID(id fleet.TaskID) string {
	if i := strings.LastIndexByte(string(id), '.'); i >= 0 {
		return string(id)[:i]
	}
	return string(id)
}
