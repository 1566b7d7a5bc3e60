package proof

import (
	"bytes"
	"fmt"
	"os"
	"slices"

	"github.com/yuccahaven/yuccahaven/internal/lab/audit"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
)

// Outcomes that a scenario may allow.
const (
	// unknownAnswers allows final answers that don't say whether the task ran.
	unknownAnswers = "unknown"
)

// Report is what the checks found in a run.
type Report struct {
	Summary    audit.Summary
	Violations []string
	Notes      []string
}

func (r *run) report(s Scenario) Report {
	p := Report{Notes: r.notes}
	p.Summary = audit.Run(audit.Input{Journal: r.journal.Records(), Calls: r.calls.Records(), Edits: r.edits.Records()})
	for _, x := range p.Summary.Findings {
		p.Violations = append(p.Violations,
			fmt.Sprintf("%s: %s record %d: %s", x.Check, x.Source, x.Record, x.Detail)+"\n"+r.trace(x))
	}
	if p.Summary.Unknown > 0 && !slices.Contains(s.Allowed, unknownAnswers) {
		p.Violations = append(p.Violations,
			fmt.Sprintf("%d requests ended without an answer on whether their task ran", p.Summary.Unknown))
	}
	if p.Summary.Submitted > 0 && p.Summary.Answered == 0 {
		p.Violations = append(p.Violations, "no request was answered")
	}
	r.watch.mu.Lock()
	p.Violations = append(p.Violations, r.watch.violations...)
	p.Notes = append(p.Notes, fmt.Sprintf("%d reads of sections, %d without an answer", r.watch.answered, r.watch.failed))
	r.watch.mu.Unlock()
	p.Violations = append(p.Violations, r.leakedSecrets()...)
	p.Violations = append(p.Violations, r.workerFaults()...)
	return p
}

// workerFaults returns uses of workers that the platform forbids, such as a reboot while tasks run on the worker.
func (r *run) workerFaults() []string {
	var found []string
	for _, j := range r.journal.Records() {
		if j.Event == record.Fault {
			found = append(found, fmt.Sprintf("worker %s: %s", j.Instance, j.Detail))
		}
	}
	return found
}

// leakedSecrets returns the secrets that a log or the table contains, and the logs that are unreadable or empty, where
// the search would prove nothing. The instances log at level debug, so every log line is searched.
func (r *run) leakedSecrets() []string {
	secrets := []string{peerToken, adminToken, r.adminKey.secret}
	for _, k := range r.submitKeys {
		secrets = append(secrets, k.secret)
	}
	var found []string
	for n, s := range secrets {
		if bytes.Contains(r.tableValues(), []byte(s)) {
			found = append(found, fmt.Sprintf("the table contains secret %d", n))
		}
	}
	for _, file := range r.logPaths {
		text, err := os.ReadFile(file)
		if err != nil || len(text) == 0 {
			found = append(found, fmt.Sprintf("log %s: %d bytes (%v)", file, len(text), err))
		}
		for n, s := range secrets {
			if bytes.Contains(text, []byte(s)) {
				found = append(found, fmt.Sprintf("log %s contains secret %d", file, n))
			}
		}
	}
	return found
}
