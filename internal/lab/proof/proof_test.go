package proof_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/yuccahaven/yuccahaven/internal/lab/demo"
	"github.com/yuccahaven/yuccahaven/internal/lab/proof"
)

// binary is the path of the entry instances' program, built once without the race detector.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "proof")
	if err == nil {
		binary, err = demo.Build(context.Background(), dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// maxParallel bounds the scenarios that run at once, so that their processes leave some of ten busy cores to the fake
// workers and platform.
const maxParallel = 8

// TestScenarios guards against violations of the design page's guarantees by real processes under faults of processes,
// connections and the platform.
func TestScenarios(t *testing.T) {
	slots := make(chan struct{}, maxParallel)
	datadriven.RunTest(t, "testdata/scenarios.txt", func(t *testing.T, d *datadriven.TestData) string {
		s := proof.ParseScenario(d.CmdArgs[0].Key, d.Input)
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			report, err := s.Run(t.Context(), binary, t.TempDir())
			if err != nil {
				t.Error(err)
			}
			for _, v := range report.Violations {
				t.Error(v)
			}
			t.Log(strings.Join(report.Notes, "\n"))
			t.Logf("%d submitted, %d answered, %d refused, %d unknown", report.Summary.Submitted, report.Summary.Answered,
				report.Summary.Refused, report.Summary.Unknown)
		})
		return ""
	})
}
