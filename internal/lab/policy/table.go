package policy

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"
)

// options are the settings of a measurement.
type options struct {
	seeds  int
	length time.Duration // simulated time per run
}

// table holds the results of a measurement.
type table struct {
	Title string
	Head  []string
	Rows  [][]string
}

// print writes the table in Markdown.
func (t table) print(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "### %s\n\n", t.Title)
	fmt.Fprintf(&b, "| %s |\n|%s\n", strings.Join(t.Head, " | "), strings.Repeat("---|", len(t.Head)))
	for _, r := range t.Rows {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(r, " | "))
	}
	b.WriteString("\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// maxParallelRuns bounds the number of simultaneous simulations.
const maxParallelRuns = 4

// runSeeds runs f in parallel for the seeds from 1 on and returns the results in their order.
func runSeeds[T any](o options, f func(seed uint64) T) []T {
	out := make([]T, o.seeds)
	slots := make(chan struct{}, maxParallelRuns)
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			out[i] = f(uint64(i + 1))
		})
	}
	wg.Wait()
	return out
}

func average(xs []float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum / float64(len(xs))
}

func quantile(xs []float64, q float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(xs))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
