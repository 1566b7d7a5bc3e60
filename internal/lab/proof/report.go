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
	v := Report{Notes: r.notes}
	v.Summary = audit.Run(audit.Input{Journal: r.journal.Records(), Calls: r.calls.Records(), Edits: r.edits.Records()})
	for _, x := range v.Summary.Findings {
		v.Violations = append(v.Violations,
			fmt.Sprintf("%s: %s record %d: %s", x.Check, x.Source, x.Record, x.Detail)+"\n"+r.trace(x))
	}
	if v.Summary.Unknown > 0 && !slices.Contains(s.Allowed, unknownAnswers) {
		v.Violations = append(v.Violations,
			fmt.Sprintf("%d requests ended without an answer on whether their task ran", v.Summary.Unknown))
	}
	if v.Summary.Submitted > 0 && v.Summary.Answered == 0 {
		v.Violations = append(v.Violations, "no request was answered")
	}
	r.watch.mu.Lock()
	v.Violations = append(v.Violations, r.watch.violations...)
	v.Notes = append(v.Notes, fmt.Sprintf("%d reads of sections, %d without an answer", r.watch.answered, r.watch.failed))
	r.watch.mu.Unlock()
	v.Violations = append(v.Violations, r.leakedSecrets()...)
	v.Violations = append(v.Violations, r.workerFaults()...)
	return v
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

// leakedSecrets returns the logs and table values that contain a secret. The instances log at level debug, so every log
// line is searched.
func (r *run) leakedSecrets() []string {
	secrets := []string{peerToken, adminToken, r.admin.secret}
	for _, k := range r.submit {
		secrets = append(secrets, k.secret)
	}
	var found []string
	for n, s := range secrets {
		if bytes.Contains(r.tableValues(), []byte(s)) {
			found = append(found, fmt.Sprintf("the table contains secret %d", n))
		}
	}
	for _, file := range r.logs {
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
