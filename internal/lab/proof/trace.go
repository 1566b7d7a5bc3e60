package proof

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/yuccahaven/yuccahaven/internal/lab/audit"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
)

type traceLine struct {
	at   record.Stamp
	text string
}

// trace lists the records of callers and workers about the request that a finding points to, in order of time, with
// times relative to the first record.
func (r *run) trace(x audit.Finding) string {
	key := r.keyOf(x)
	if key == "" {
		return ""
	}
	var all []traceLine
	for _, c := range r.calls.Records() {
		if c.Key == key {
			all = append(all, traceLine{c.Time, fmt.Sprintf("call %s once=%t %s %s", c.Event, c.Once, c.Kind, c.Work)})
		}
	}
	for _, j := range r.journal.Records() {
		if j.Key == key {
			all = append(all, traceLine{j.Time, fmt.Sprintf("worker %s: %s %s %s", j.Instance, j.Event, j.Task, j.State)})
		}
	}
	slices.SortStableFunc(all, func(a, b traceLine) int { return cmp.Compare(a.at, b.at) })
	var out strings.Builder
	fmt.Fprintf(&out, "trace of %s:", key)
	for _, t := range all {
		fmt.Fprintf(&out, "\n%8.3f %s", t.at.Sub(all[0].at).Seconds(), t.text)
	}
	return out.String()
}

func (r *run) keyOf(x audit.Finding) string {
	switch x.Source {
	case audit.InCalls:
		return r.calls.Records()[x.Record-1].Key
	case audit.InJournal:
		return r.journal.Records()[x.Record-1].Key
	}
	return ""
}
