// Package slope fits straight lines to the results of benchmarks at several sizes, for the figures of CAPACITY.md.
package slope

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/perf/benchfmt"
	"gonum.org/v1/gonum/stat"
)

// minDistinctSizes is the least number of sizes that a line is fitted to: a line through two sizes has no residuals.
const minDistinctSizes = 3

// ErrNoResults is returned for input without benchmark results.
var ErrNoResults = errors.New("slope: no benchmark results")

// Sample is one measured value of a benchmark at one size.
type Sample struct {
	Name  string
	Sizes map[string]float64 // from the parts key=number of the benchmark's name
	Unit  string             // "sec/op", "B/op", "allocs/op" or a unit that the benchmark defines
	Value float64
}

// Fit is the least-squares line of one value over one size, with the other sizes fixed.
type Fit struct {
	Name, Key, Fixed, Unit string
	Points                 int
	From, To               float64 // smallest and largest size
	Intercept, Slope       float64
	R2                     float64
	// Worst is the largest residual relative to its measured value.
	Worst float64
}

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// Read returns the samples in the output of "go test -bench".
func Read(r io.Reader) ([]Sample, error) {
	var samples []Sample
	reader := benchfmt.NewReader(r, "")
	for reader.Scan() {
		switch x := reader.Result().(type) {
		case *benchfmt.Result:
			samples = append(samples, parseResult(x)...)
		case *benchfmt.SyntaxError:
			return nil, fmt.Errorf("slope: %w", x)
		}
	}
	if err := reader.Err(); err != nil {
		return nil, fmt.Errorf("slope: %w", err)
	}
	if len(samples) == 0 {
		return nil, ErrNoResults
	}
	return samples, nil
}

func parseResult(r *benchfmt.Result) []Sample {
	base, parts := r.Name.Parts()
	name, sizes := string(base), map[string]float64{}
	for _, p := range parts {
		key, value, ok := strings.Cut(strings.TrimPrefix(string(p), "/"), "=")
		n, err := strconv.ParseFloat(value, 64)
		switch {
		case strings.HasPrefix(string(p), "-"): // GOMAXPROCS suffix
		case ok && err == nil:
			sizes[key] = n
		default:
			name += string(p)
		}
	}
	var samples []Sample
	for _, v := range r.Values {
		samples = append(samples, Sample{Name: name, Sizes: sizes, Unit: v.Unit, Value: v.Value})
	}
	return samples
}

// seriesKey identifies the samples that one line is fitted to.
type seriesKey struct{ name, key, fixedSizes, unit string }

// Fits returns a line for every size parameter with at least three distinct values, in order of benchmark name.
func Fits(samples []Sample) []Fit {
	series := map[seriesKey][]Sample{}
	for _, s := range samples {
		for key := range s.Sizes {
			k := seriesKey{s.Name, key, formatOtherSizes(s.Sizes, key), s.Unit}
			series[k] = append(series[k], s)
		}
	}
	var fits []Fit
	for k, members := range series {
		if f, ok := fitLine(k, members); ok {
			fits = append(fits, f)
		}
	}
	slices.SortFunc(fits, func(a, b Fit) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Unit, b.Unit), cmp.Compare(a.Key, b.Key),
			cmp.Compare(a.Fixed, b.Fixed))
	})
	return fits
}

func formatOtherSizes(sizes map[string]float64, key string) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(sizes)) {
		if k != key {
			parts = append(parts, fmt.Sprintf("%s=%g", k, sizes[k]))
		}
	}
	return strings.Join(parts, " ")
}

func fitLine(k seriesKey, members []Sample) (Fit, bool) {
	var x, y []float64
	sizes := map[float64]bool{}
	for _, s := range members {
		x, y = append(x, s.Sizes[k.key]), append(y, s.Value)
		sizes[s.Sizes[k.key]] = true
	}
	if len(sizes) < minDistinctSizes {
		return Fit{}, false
	}
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	f := Fit{
		Name: k.name, Key: k.key, Fixed: k.fixedSizes, Unit: k.unit,
		Points: len(x), From: slices.Min(x), To: slices.Max(x),
		Intercept: intercept, Slope: slope, R2: stat.RSquared(x, y, nil, intercept, slope),
	}
	for i := range x {
		if y[i] != 0 {
			f.Worst = max(f.Worst, math.Abs(f.At(x[i])-y[i])/math.Abs(y[i]))
		}
	}
	return f, true
}
