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

// getHealth answers 200 as long as the process serves requests.
func (s *Server) getHealth(w http.ResponseWriter, _ *http.Request) {
	_ = writeJSON(w, http.StatusOK, map[string]string{"status": "ok", "version": s.Version})
}

// getReady answers the load balancer's readiness check.
func (s *Server) getReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.Ready(); err != nil {
		writeProblem(w, reject.New(reject.KindStopping, reject.WorkNotRun, "%v", err))
		return
	}
	_ = writeJSON(w, http.StatusOK, map[string]string{"status": "ready"})
}

func (s *Server) getMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	WriteMetrics(w, s.Metrics)
}

// quantiles are those written for histograms and timers.
var quantiles = []float64{0.5, 0.95, 0.99}

// WriteMetrics writes a registry in the Prometheus text format, sorted by name. Characters of names other than letters,
// digits and underscores become underscores; a name may end in labels, as in "tasks_running{team=\"ropes\"}".
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
		writeMetric(w, sanitizeName(base), strings.TrimSuffix(labels, "}"), values[n])
	}
}

func writeMetric(w io.Writer, name, labels string, m any) {
	switch m := m.(type) {
	case metrics.Counter:
		writeSample(w, name, labels, float64(m.Count()))
	case metrics.Gauge:
		writeSample(w, name, labels, float64(m.Value()))
	case metrics.GaugeFloat64:
		writeSample(w, name, labels, m.Value())
	case metrics.Meter:
		writeSample(w, name+"_total", labels, float64(m.Snapshot().Count()))
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(w, name, labels, s.Percentiles(quantiles), float64(s.Sum()), s.Count(), 1)
	case metrics.Timer:
		s := m.Snapshot()
		writeSummary(w, name+"_seconds", labels, s.Percentiles(quantiles), float64(s.Sum()), s.Count(), secondsPerNanosecond)
	}
}

// secondsPerNanosecond converts timer values to seconds.
const secondsPerNanosecond = 1e-9

func writeSummary(w io.Writer, name, labels string, values []float64, sum float64, count int64, unit float64) {
	for i, q := range quantiles {
		writeSample(w, name, joinLabels(labels, fmt.Sprintf(`quantile="%g"`, q)), values[i]*unit)
	}
	writeSample(w, name+"_sum", labels, sum*unit)
	writeSample(w, name+"_count", labels, float64(count))
}

func writeSample(w io.Writer, name, labels string, value float64) {
	if labels != "" {
		name += "{" + labels + "}"
	}
	_, _ = fmt.Fprintf(w, "%s %g\n", name, value)
}

func joinLabels(labels, more string) string {
	if labels == "" {
		return more
	}
	return labels + "," + more
}

func sanitizeName(name string) string {
	return strings.Map(func(r rune) rune {
		if r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, name)
}
