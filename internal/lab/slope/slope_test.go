package slope

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestFit runs the scripts in testdata; the head of each says which failure it guards against.
func TestFit(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			samples, err := Read(strings.NewReader(d.Input))
			if err != nil {
				return err.Error()
			}
			var out bytes.Buffer
			if err := Write(
				&out, Fits(samples), map[string]float64{"workers": 30000}, []string{"sec/op", "heap-B"},
			); err != nil {
				t.Fatal(err)
			}
			return out.String()
		})
	})
}

// TestRun guards against a planned size that is not a number, and against input without results that is reported as a
// success.
func TestRun(t *testing.T) {
	if err := run("testdata/fit", map[string]string{"workers": "many"}, nil); err == nil {
		t.Error("a planned size that is not a number was accepted")
	}
	if _, err := Read(strings.NewReader("PASS\n")); !errors.Is(err, ErrNoResults) {
		t.Errorf("error %v for output without results", err)
	}
}
