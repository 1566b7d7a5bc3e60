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

// minSizes is the number of sizes a line is fitted to at least: a line through two has no residuals.
const minSizes = 3

// ErrNoResults is returned for input without benchmark results.
var ErrNoResults = errors.New("slope: no benchmark results")

// Sample is one measured value of a benchmark at one size.
type Sample struct {
	Name  string
	Sizes map[string]float64 // the numeric parts key=value of the name
	Unit  string             // "sec/op", "B/op", "allocs/op" or the benchmark's own
	Value float64
}

// Fit is the least-squares line of one value over one size while the other sizes stay the same.
type Fit struct {
	Name, Key, Fixed, Unit string
	Points                 int
	From, To               float64 // smallest and largest size
	Intercept, Slope       float64
	R2                     float64
	// Worst is the largest residual relative to its value.
	Worst float64
}

// At returns the value that the line gives for a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// Read returns the samples in the output of "go test -bench".
func Read(r io.Reader) ([]Sample, error) {
	var samples []Sample
	reader := benchfmt.NewReader(r, "")
	for reader.Scan() {
		switch x := reader.Result().(type) {
		case *benchfmt.Result:
			samples = append(samples, split(x)...)
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

func split(r *benchfmt.Result) []Sample {
	base, parts := r.Name.Parts()
	name, sizes := string(base), map[string]float64{}
	for _, p := range parts {
		key, value, ok := strings.Cut(strings.TrimPrefix(string(p), "/"), "=")
		n, err := strconv.ParseFloat(value, 64)
		switch {
		case strings.HasPrefix(string(p), "-"): // number of processors
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

// group names the samples that one line is fitted to.
type group struct{ name, key, fixed, unit string }

// Fits returns a line for every size that a benchmark was run at three times or more, in the order of names.
func Fits(samples []Sample) []Fit {
	groups := map[group][]Sample{}
	for _, s := range samples {
		for key := range s.Sizes {
			g := group{s.Name, key, others(s.Sizes, key), s.Unit}
			groups[g] = append(groups[g], s)
		}
	}
	var fits []Fit
	for g, members := range groups {
		if f, ok := fit(g, members); ok {
			fits = append(fits, f)
		}
	}
	slices.SortFunc(fits, func(a, b Fit) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Unit, b.Unit), cmp.Compare(a.Key, b.Key),
			cmp.Compare(a.Fixed, b.Fixed))
	})
	return fits
}

func others(sizes map[string]float64, key string) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(sizes)) {
		if k != key {
			parts = append(parts, fmt.Sprintf("%s=%g", k, sizes[k]))
		}
	}
	return strings.Join(parts, " ")
}

func fit(g group, members []Sample) (Fit, bool) {
	var x, y []float64
	sizes := map[float64]bool{}
	for _, s := range members {
		x, y = append(x, s.Sizes[g.key]), append(y, s.Value)
		sizes[s.Sizes[g.key]] = true
	}
	if len(sizes) < minSizes {
		return Fit{}, false
	}
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	f := Fit{
		Name: g.name, Key: g.key, Fixed: g.fixed, Unit: g.unit, Points: len(x), From: slices.Min(x), To: slices.Max(x),
		Intercept: intercept, Slope: slope, R2: stat.RSquared(x, y, nil, intercept, slope),
	}
	for i := range x {
		if y[i] != 0 {
			f.Worst = max(f.Worst, math.Abs(f.At(x[i])-y[i])/math.Abs(y[i]))
		}
	}
	return f, true
}
