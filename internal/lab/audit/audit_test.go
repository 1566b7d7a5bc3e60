package audit_test

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/yuccahaven/yuccahaven/internal/lab/audit"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
)

// TestScripts guards against a check that misses the violation it is for, or that reports one in a correct trial.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var in audit.Input
			for _, line := range strings.Split(d.Input, "\n") {
				switch kind, rest, _ := strings.Cut(line, " "); kind {
				case "journal":
					in.Journal = append(in.Journal, parse[record.Journal](t, "event", rest))
				case "call":
					in.Calls = append(in.Calls, parse[record.Call](t, "event", rest))
				case "edit":
					in.Edits = append(in.Edits, parse[record.Edit](t, "kind", rest))
				}
			}
			return report(audit.Run(in))
		})
	})
}

// parse reads "<time in seconds> <first> key=value ..." into a record.
func parse[R record.Kind](t *testing.T, first, line string) R {
	f := strings.Fields(line)
	fields := map[string]any{"time": seconds(t, f[0]), first: f[1]}
	for _, s := range f[2:] {
		k, v, _ := strings.Cut(s, "=")
		switch k {
		case "sent":
			fields[k] = seconds(t, v)
		case "slots", "count", "length":
			n, err := strconv.Atoi(v)
			if err != nil {
				t.Fatal(err)
			}
			fields[k] = n
		case "once":
			fields[k] = true
		default:
			fields[k] = v
		}
	}
	b, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	var r R
	if err := json.Unmarshal(b, &r); err != nil {
		t.Fatal(err)
	}
	return r
}

func seconds(t *testing.T, s string) int64 {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		t.Fatal(err)
	}
	return int64(v * 1e9)
}

func report(s audit.Summary) string {
	findings := s.Findings
	s.Findings = nil
	b, _ := json.Marshal(s)
	var nonzero []string
	for _, f := range strings.Split(strings.Trim(string(b), "{}"), ",") {
		if !strings.HasSuffix(f, ":0") {
			nonzero = append(nonzero, strings.ReplaceAll(f, `"`, ""))
		}
	}
	out := strings.Join(nonzero, " ") + "\n"
	for _, f := range findings {
		out += fmt.Sprintf("%s: %s %d: %s\n", f.Check, f.Source, f.Record, f.Detail)
	}
	return out
}
