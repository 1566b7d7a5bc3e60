package intake

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Guards against a leader that refuses work which it can do, that takes on work which it can't, and that refuses customers who
// ask for less than their share because others ask for more.
func TestDecide(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		c := NewController(func(customer string) float64 {
			if customer == "large" {
				return 3
			}
			return 1
		})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "load":
				l := Load{Backlog: map[string]int{}}
				var delay, commit string
				var rate int
				d.ScanArgs(t, "delay", &delay)
				d.ScanArgs(t, "rate", &rate)
				d.ScanArgs(t, "commit", &commit)
				l.Delay, l.Commit, l.StartRate = duration(t, delay), duration(t, commit), float64(rate)
				for _, name := range []string{"large", "small", "other"} {
					var n int
					if d.MaybeScanArgs(t, name, &n) {
						l.Backlog[name] = n
					}
				}
				c.Observe(l)
				return ""
			case "submit":
				j := Job{Allowed: 2 * time.Second, Deadline: 2800 * time.Millisecond}
				var count int
				d.ScanArgs(t, "customer", &j.Customer)
				d.ScanArgs(t, "tasks", &j.Tasks)
				d.ScanArgs(t, "count", &count)
				taken := 0
				var last Verdict
				for range count {
					if v := c.Decide(j); v.Refused {
						last = v
					} else {
						taken++
					}
				}
				if !last.Refused {
					return fmt.Sprintf("%d of %d\n", taken, count)
				}
				return fmt.Sprintf("%d of %d, retry after %v: %s\n", taken, count, last.RetryAfter.Round(100*time.Millisecond), last.Reason)
			}
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		})
	})
}

func duration(t *testing.T, s string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
