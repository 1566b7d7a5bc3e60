package slope

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
)

// Write writes the lines as a Markdown table. Sizes given in plan add what the line gives there; units, if any,
// limit the table.
func Write(w io.Writer, fits []Fit, plan map[string]float64, units []string) error {
	var b strings.Builder
	head := []string{"benchmark", "fixed", "over", "value", "points", "intercept", "slope", "R²", "worst residual", "planned size"}
	fmt.Fprintf(&b, "| %s |\n|%s\n", strings.Join(head, " | "), strings.Repeat("---|", len(head)))
	for _, f := range fits {
		if len(units) > 0 && !slices.Contains(units, f.Unit) {
			continue
		}
		planned := ""
		if n, ok := plan[f.Key]; ok {
			planned = scaled(f.At(n), f.Unit)
		}
		fmt.Fprintf(&b, "| %s | %s | %s %g..%g | %s | %d | %s | %s | %s | %.0f %% | %s |\n", f.Name, f.Fixed, f.Key, f.From, f.To,
			f.Unit, f.Points, scaled(f.Intercept, f.Unit), scaled(f.Slope, f.Unit), quality(f.R2), 100*f.Worst, planned)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// quality formats an R², which has no meaning if every value is the same.
func quality(r2 float64) string {
	if math.IsNaN(r2) || math.IsInf(r2, 0) {
		return "-"
	}
	return fmt.Sprintf("%.4f", r2)
}

// rounding keeps a value that rounds up to a whole unit in that unit.
const rounding = 0.9995

// scaled formats seconds with a suitable unit and other values with three digits.
func scaled(v float64, unit string) string {
	if !strings.HasPrefix(strings.TrimPrefix(unit, "cpu-"), "sec") {
		return fmt.Sprintf("%.3g", v)
	}
	for _, u := range []struct {
		name string
		size float64
	}{{"s", 1}, {"ms", 1e-3}, {"µs", 1e-6}} {
		if math.Abs(v) >= u.size*rounding {
			return fmt.Sprintf("%.3g %s", v/u.size, u.name)
		}
	}
	return fmt.Sprintf("%.3g ns", v/1e-9)
}
