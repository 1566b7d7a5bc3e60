// Package audit checks the records of a trial: it compares the workers' journal, the callers' answers and the
// operators' edits with what yuccahaven guarantees.
package audit

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Grace bounds the time until a change is in force everywhere; the design page states it.
const Grace = 5 * time.Second

// Input is everything recorded during a trial, in any order.
type Input struct {
	Journal []record.Journal
	Calls   []record.Call
	Edits   []record.Edit
}

// Check is the name of a check.
type Check string

// The checks; Summary says what each of them finds.
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

// Source is the input that a finding refers to.
type Source string

// The sources of findings.
const (
	InJournal Source = "journal"
	InCalls   Source = "calls"
	InEdits   Source = "edits"
)

// Finding is one violation; Record is the number of the record within its source, from 1.
type Finding struct {
	Check  Check        `json:"check"`
	Source Source       `json:"source"`
	Record int          `json:"record"`
	Time   record.Stamp `json:"time"`
	Detail string       `json:"detail"`
}

// Summary counts requests by final answer and violations by check.
// Every submitted request counts as exactly one of answered, refused, unknown and lost.
type Summary struct {
	Submitted int `json:"submitted"`
	Answered  int `json:"answered"`
	Refused   int `json:"refused"`
	Unknown   int `json:"unknown"`
	// Lost counts requests without a final answer, such as those that were accepted and never answered.
	Lost int `json:"lost"`
	// Doubled counts non-idempotent requests that started more than once.
	Doubled int `json:"doubled"`
	// OverCeiling counts starts that brought a team over its ceiling.
	OverCeiling int `json:"overceiling"`
	// LateStarts counts starts in a zone more than Grace after it was taken out of service, and on an instance more
	// than Grace after it was listed as leaving.
	LateStarts int `json:"latestarts"`
	// Damaged counts answers that are incomplete or belong to another request.
	Damaged int `json:"damaged"`
	// FalseRefusals counts refusals that said that the work was not run although it had started.
	FalseRefusals int `json:"falserefusals"`
	// TwoPools counts events after which an instance held tasks of two pools.
	TwoPools int `json:"twopools"`
	// UnderBudget counts planned changes that left a pool with fewer available instances than its budget.
	UnderBudget int       `json:"underbudget"`
	Findings    []Finding `json:"findings,omitempty"`
}

// Clean reports whether no check found a violation.
func (s Summary) Clean() bool { return len(s.Findings) == 0 }

// Run checks the records of a trial.
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

// numbered is a record with its number in the input, from 1.
type numbered[R record.Kind] struct {
	record R
	number int
}

type trial struct {
	journal []numbered[record.Journal]
	calls   []numbered[record.Call]
	edits   []numbered[record.Edit]
}

func sorted[R record.Kind](records []R, at func(R) record.Stamp) []numbered[R] {
	list := make([]numbered[R], len(records))
	for i, r := range records {
		list[i] = numbered[R]{record: r, number: i + 1}
	}
	slices.SortStableFunc(list, func(a, b numbered[R]) int { return cmp.Compare(at(a.record), at(b.record)) })
	return list
}

func journalFinding(c Check, r numbered[record.Journal], detail string) Finding {
	return Finding{Check: c, Source: InJournal, Record: r.number, Time: r.record.Time, Detail: detail}
}

func callFinding(c Check, r numbered[record.Call], detail string) Finding {
	return Finding{Check: c, Source: InCalls, Record: r.number, Time: r.record.Time, Detail: detail}
}

// request identifies the request that a start belongs to: by idempotency key if it has one, else by task id.
type request struct {
	team fleet.TeamName
	key  string
	task string
}

func requestForStart(r record.Journal) request {
	if r.Key != "" {
		return request{team: r.Team, key: r.Key}
	}
	return request{team: r.Team, task: recordID(r.Task)}
}

func requestForCall(c record.Call) request {
	if c.Key != "" {
		return request{team: c.Team, key: c.Key}
	}
	return request{team: c.Team, task: c.Task}
}

// recordID returns the id of a task's record, without the attempt number that is appended to it for workers.
func recordID(id fleet.TaskID) string {
	if i := strings.LastIndexByte(string(id), '.'); i >= 0 {
		return string(id)[:i]
	}
	return string(id)
}
