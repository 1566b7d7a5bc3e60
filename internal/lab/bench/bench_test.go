package bench

import (
	"bytes"
	"testing"
)

// TestCommands guards against a command that is not registered, or whose failure does not change the exit status.
func TestCommands(t *testing.T) {
	for _, c := range []struct {
		args   []string
		status int
	}{
		{[]string{"measure", "--seeds", "1", "--length", "2m", "cancels"}, 0},
		{[]string{"measure", "--seeds", "0"}, 2},
		{[]string{"measure", "weather"}, 2},
		{[]string{"fit", "../slope/testdata/fit"}, 0},
		{[]string{"fit", "bench.go"}, 2},
		{[]string{"audit", "--journal", "/dev/null"}, 0},
		{[]string{"audit", "--journal", "testdata/absent"}, 2},
	} {
		if got := Main(c.args, &bytes.Buffer{}); got != c.status {
			t.Errorf("%v: status %d, want %d", c.args, got, c.status)
		}
	}
}
