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
	length time.Duration
}

// table is one table of results.
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

// workersAtOnce bounds the simulations that run at the same time.
const workersAtOnce = 4

// parallel runs a function for each seed and returns the results in the order of the seeds.
func parallel[T any](o options, f func(seed uint64) T) []T {
	out := make([]T, o.seeds)
	slots := make(chan struct{}, workersAtOnce)
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
