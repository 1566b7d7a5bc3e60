package node

import (
	"os"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/datadriven"
)

// TestSettings runs scripts of command lines. They guard against a start with invalid settings, and against invalid
// settings that are reported one at a time or without the flag or variable they come from.
func TestSettings(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings.txt", func(t *testing.T, d *datadriven.TestData) string {
		var args []string
		for line := range strings.Lines(d.Input) {
			line = strings.TrimSpace(line)
			if name, value, ok := strings.Cut(line, "="); ok && strings.HasPrefix(name, Prefix) {
				t.Setenv(name, value)
				defer func() { _ = os.Unsetenv(name) }()
				continue
			}
			args = append(args, line)
		}
		app := kingpin.New("test", "")
		s := &Settings{}
		s.Flags(app.Command("serve", ""))
		if _, err := app.Parse(append([]string{"serve"}, args...)); err != nil {
			return err.Error() + "\n"
		}
		if err := check(s); err != nil {
			return err.Error() + "\n"
		}
		return "ok\n"
	})
}
