package slope

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
)

// Write writes fits as a Markdown table with the value of each line at its planned size, if plan has one. Units, if
// any, limit the table to these.
func Write(w io.Writer, fits []Fit, plan map[string]float64, units []string) error {
	var b strings.Builder
	head := []string{
		"benchmark", "fixed", "over", "value", "points", "intercept", "slope", "R²", "worst residual", "planned size",
	}
	fmt.Fprintf(&b, "| %s |\n|%s\n", strings.Join(head, " | "), strings.Repeat("---|", len(head)))
	for _, f := range fits {
		if len(units) > 0 && !slices.Contains(units, f.Unit) {
			continue
		}
		planned := ""
		if n, ok := plan[f.Key]; ok {
			planned = formatValue(f.At(n), f.Unit)
		}
		fmt.Fprintf(&b, "| %s | %s | %s %g..%g | %s | %d | %s | %s | %s | %.0f %% | %s |\n",
			f.Name, f.Fixed, f.Key, f.From, f.To, f.Unit, f.Points, formatValue(f.Intercept, f.Unit),
			formatValue(f.Slope, f.Unit), formatR2(f.R2), 100*f.Worst, planned)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// formatR2 formats an R², which is undefined if all values are equal.
func formatR2(r2 float64) string {
	if math.IsNaN(r2) || math.IsInf(r2, 0) {
		return "-"
	}
	return fmt.Sprintf("%.4f", r2)
}

// roundingMargin is the least fraction of a unit that is shown in that unit, as three digits round it up to 1.
const roundingMargin = 0.9995

// formatValue formats seconds in a suitable unit and other values as they are, with three digits.
func formatValue(v float64, unit string) string {
	if !strings.HasPrefix(strings.TrimPrefix(unit, "cpu-"), "sec") {
		return fmt.Sprintf("%.3g", v)
	}
	for _, u := range []struct {
		name string
		size float64
	}{{"s", 1}, {"ms", 1e-3}, {"µs", 1e-6}} {
		if math.Abs(v) >= u.size*roundingMargin {
			return fmt.Sprintf("%.3g %s", v/u.size, u.name)
		}
	}
	return fmt.Sprintf("%.3g ns", v/1e-9)
}
