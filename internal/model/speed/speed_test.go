package speed

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Guards against a slow process that does not notice that it is slow, and against a process that counts as slow after
// one interruption or under ordinary load.
func TestMonitor(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		m := NewMonitor(metrics.NewRegistry(), zap.NewNop())
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var took, late string
			count := 1
			d.ScanArgs(t, "took", &took)
			d.MaybeScanArgs(t, "late", &late)
			d.MaybeScanArgs(t, "count", &count)
			for range count {
				m.observe(probe{duration(t, took), duration(t, late)})
			}
			return fmt.Sprintf("slowdown %.1f, delay %v\n", m.Slowdown(), m.Delay().Round(time.Millisecond))
		})
	})
}

func duration(t *testing.T, s string) time.Duration {
	if s == "" {
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against a monitor whose probes do not run, so that nothing is ever slow.
func TestMonitorProbes(t *testing.T) {
	r := metrics.NewRegistry()
	m := NewMonitor(r, zap.NewNop())
	for range probeCount {
		m.probe()
	}
	if m.best <= 0 || m.delay.Count() != probeCount || m.gauge.Value() < 1 {
		t.Errorf("after %d probes: best %v, %d delays, slowdown %v", probeCount, m.best, m.delay.Count(), m.gauge.Value())
	}
}
