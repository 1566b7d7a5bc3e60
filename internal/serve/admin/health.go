package admin

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/yuccahaven/yuccahaven/internal/model/reject"
)

// health answers as long as the process serves requests.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	_ = writeJSON(w, http.StatusOK, map[string]string{"status": "ok", "version": s.Version})
}

// ready tells the load balancer whether to send requests here.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.Ready(); err != nil {
		writeProblem(w, reject.New(reject.KindStopping, reject.WorkNotRun, "%v", err))
		return
	}
	_ = writeJSON(w, http.StatusOK, map[string]string{"status": "ready"})
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	WriteMetrics(w, s.Metrics)
}

// quantiles of histograms and timers in the exposition.
var quantiles = []float64{0.5, 0.95, 0.99}

// WriteMetrics writes a registry in the Prometheus text format, sorted by name. Names keep letters, digits and
// underscores; a name may end in labels, as in "tasks_running{team=\"ropes\"}".
func WriteMetrics(w io.Writer, r metrics.Registry) {
	values := map[string]any{}
	r.Each(func(name string, m any) { values[name] = m })
	names := make([]string, 0, len(values))
	for n := range values {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		base, labels, _ := strings.Cut(n, "{")
		writeMetric(w, clean(base), strings.TrimSuffix(labels, "}"), values[n])
	}
}

func writeMetric(w io.Writer, name, labels string, m any) {
	switch m := m.(type) {
	case metrics.Counter:
		line(w, name, labels, float64(m.Count()))
	case metrics.Gauge:
		line(w, name, labels, float64(m.Value()))
	case metrics.GaugeFloat64:
		line(w, name, labels, m.Value())
	case metrics.Meter:
		line(w, name+"_total", labels, float64(m.Snapshot().Count()))
	case metrics.Histogram:
		s := m.Snapshot()
		summary(w, name, labels, s.Percentiles(quantiles), float64(s.Sum()), s.Count(), 1)
	case metrics.Timer:
		s := m.Snapshot()
		summary(w, name+"_seconds", labels, s.Percentiles(quantiles), float64(s.Sum()), s.Count(), nanosecond)
	}
}

// nanosecond converts the durations of timers to seconds.
const nanosecond = 1e-9

func summary(w io.Writer, name, labels string, values []float64, sum float64, count int64, unit float64) {
	for i, q := range quantiles {
		line(w, name, join(labels, fmt.Sprintf(`quantile="%g"`, q)), values[i]*unit)
	}
	line(w, name+"_sum", labels, sum*unit)
	line(w, name+"_count", labels, float64(count))
}

func line(w io.Writer, name, labels string, value float64) {
	if labels != "" {
		name += "{" + labels + "}"
	}
	_, _ = fmt.Fprintf(w, "%s %g\n", name, value)
}

func join(labels, more string) string {
	if labels == "" {
		return more
	}
	return labels + "," + more
}

func clean(name string) string {
	return strings.Map(func(r rune) rune {
		if r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, name)
}
