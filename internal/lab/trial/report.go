package trial

import (
	"fmt"
	"io"
	"strings"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Report is what a trial measured.
type Report struct {
	Runs []RunReport `json:"runs"`
}

// RunReport is what one run measured; fields that its scenario does not measure are empty.
type RunReport struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	// Load is the machine's one-minute load average before the run.
	Load string `json:"load"`
	Cost Cost   `json:"cost"`
	// OverCeiling and Doubled count the violations of these checks.
	OverCeiling int             `json:"overceiling"`
	Doubled     int             `json:"doubled"`
	Pools       []PoolReport    `json:"pools,omitempty"`
	Ceilings    []CeilingReport `json:"ceilings,omitempty"`
	// Completed counts the tasks that ran to their end after the zone's departure.
	Completed int       `json:"completed,omitempty"`
	Urgent    Quantiles `json:"urgent,omitzero"`
	Waits     Quantiles `json:"waits,omitzero"`
	Overhead  Quantiles `json:"overhead,omitzero"`
	Lag       Quantiles `json:"lag,omitzero"`
}

// PoolReport is how an overloaded pool was used. Used is in percent of its slot time; IdleGap is the mean time in
// milliseconds that a slot was idle between two tasks.
type PoolReport struct {
	Pool    fleet.PoolName `json:"pool"`
	Slots   int            `json:"slots"`
	Used    float64        `json:"used"`
	IdleGap float64        `json:"gap"`
	Windows []Window       `json:"windows"`
	Teams   []TeamShare    `json:"teams"`
}

// Window is the percentage of used slot time that went to teams beyond their shares, over windows of one length.
type Window struct {
	Seconds float64 `json:"seconds"`
	Mean    float64 `json:"mean"`
	Worst   float64 `json:"worst"`
}

// TeamShare is the percentage of a pool's used slot time that a team was entitled to and received.
type TeamShare struct {
	Team     fleet.TeamName `json:"team"`
	Entitled float64        `json:"due"`
	Received float64        `json:"got"`
}

// CeilingReport is how a ceiling was used while it was the bottleneck. Used is in percent of the ceiling's slot time,
// IdleGap is the mean time in milliseconds that a slot was idle between two tasks, and Peak is the largest number of
// slots that ran at once.
type CeilingReport struct {
	Team    fleet.TeamName `json:"team"`
	Ceiling int            `json:"ceiling"`
	Peak    int            `json:"peak"`
	Used    float64        `json:"used"`
	IdleGap float64        `json:"gap"`
}

// Quantiles summarizes a set of times, in milliseconds.
type Quantiles struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func (q Quantiles) String() string {
	return fmt.Sprintf("p50 %.1f, p99 %.1f, max %.1f (%d)", q.P50, q.P99, q.Max, q.Count)
}

// Print writes the report as one table.
func (r Report) Print(w io.Writer) error {
	var b strings.Builder
	b.WriteString("| run | seed | load average | figure | value |\n|---|---|---|---|---|\n")
	for _, run := range r.Runs {
		for _, f := range run.figures() {
			fmt.Fprintf(&b, "| %s | %d | %s | %s | %s |\n", run.Scenario, run.Seed, run.Load, f.name, f.value)
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

type figure struct{ name, value string }

func (r RunReport) figures() []figure {
	var list []figure
	add := func(name, format string, values ...any) {
		list = append(list, figure{name, fmt.Sprintf(format, values...)})
	}
	for _, p := range r.Pools {
		add(string(p.Pool)+" used, %; idle between tasks, ms", "%.1f of %d slots; %.1f", p.Used, p.Slots, p.IdleGap)
		for _, w := range p.Windows {
			add(fmt.Sprintf("%s to another team than due over %.0f s, mean (worst), %%", p.Pool, w.Seconds),
				"%.1f (%.1f)", w.Mean, w.Worst)
		}
		for _, t := range p.Teams {
			add(fmt.Sprintf("%s got (due), %%", t.Team), "%.1f (%.1f)", t.Received, t.Entitled)
		}
	}
	for _, c := range r.Ceilings {
		add(fmt.Sprintf("%s ceiling used, %%; idle between tasks, ms; peak", c.Team),
			"%.1f; %.1f; %d of %d", c.Used, c.IdleGap, c.Peak, c.Ceiling)
	}
	if r.Completed > 0 {
		add("tasks completed from the departure on", "%d", r.Completed)
	}
	for _, q := range []struct {
		name  string
		value Quantiles
	}{
		{"wait of urgent work, ms", r.Urgent}, {"wait, ms", r.Waits}, {"latency less run time, ms", r.Overhead},
		{"lag of grants in a surge, ms", r.Lag},
	} {
		if q.value.Count > 0 {
			add(q.name, "%v", q.value)
		}
	}
	add("per entry: processor, %; memory, MB", "%.1f; %.0f", r.Cost.CPU, r.Cost.Memory)
	add("table reads; writes per second", "%.0f; %.0f", r.Cost.Reads, r.Cost.Writes)
	add("starts over a ceiling; doubled", "%d; %d", r.OverCeiling, r.Doubled)
	return list
}
