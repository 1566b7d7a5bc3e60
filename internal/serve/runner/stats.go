package runner

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// stats are the Runner's counters.
type stats struct {
	started       metrics.Counter
	retried       metrics.Counter
	evacuated     metrics.Counter
	startsUnknown metrics.Counter
	lost          metrics.Counter
	adopted       metrics.Counter
}

func newStats(r metrics.Registry) *stats {
	if r == nil {
		r = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("runner."+name, r) }
	return &stats{started: counter("started"), retried: counter("retried"), evacuated: counter("evacuated"),
		startsUnknown: counter("doubtful"), lost: counter("lapsed"), adopted: counter("adopted")}
}

func taskField(a *attempt) zap.Field { return zap.String("task", string(a.id)) }

func idField(id string) zap.Field { return zap.String("task", id) }

func addressField(address string) zap.Field { return zap.String("address", address) }

func errField(err error) zap.Field { return zap.Error(err) }
