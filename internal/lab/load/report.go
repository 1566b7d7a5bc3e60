package load

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yuccahaven/yuccahaven/internal/lab/input"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
)

// Range of the latency histograms, in microseconds, and their significant digits.
const (
	lowest  = 1
	highest = int64(time.Hour / time.Microsecond)
	digits  = 3
)

// Latency is a summary of a histogram, in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Refusals is the number of refusals of one kind.
type Refusals struct {
	Kind  reject.Kind `json:"kind"`
	Count int         `json:"count"`
}

// TeamReport is what one team's callers saw.
type TeamReport struct {
	Team fleet.TeamName `json:"team"`
	Counts
	// Share is the team's part of the slot time of all answered tasks, from 0 to 1.
	Share    float64    `json:"share"`
	Latency  Latency    `json:"latency"`
	Refusals []Refusals `json:"refusals,omitempty"`
}

// Counts are requests by how they ended; Silent ones have no answer.
type Counts struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	Silent   int `json:"silent"`
}

// Report is what all callers saw; latencies are those of answered requests.
type Report struct {
	Counts
	Latency Latency      `json:"latency"`
	Teams   []TeamReport `json:"teams"`
}

type teamMeter struct {
	counts   Counts
	latency  *hdrhistogram.Histogram
	refusals map[reject.Kind]int
	// work is the slot time of answered tasks.
	work time.Duration
}

type meter struct {
	mu    sync.Mutex
	names []fleet.TeamName
	teams []teamMeter
}

func newMeter(teams []Team) *meter {
	m := &meter{}
	for _, t := range teams {
		m.names = append(m.names, t.Name)
		m.teams = append(m.teams, teamMeter{latency: histogram(), refusals: map[reject.Kind]int{}})
	}
	return m
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, digits) }

func (m *meter) add(team int, j Job, o Outcome, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &m.teams[team]
	t.counts.Sent++
	switch o.Event {
	case record.Answered:
		t.counts.Answered++
		t.work += input.Parse(j.Input).Duration() * time.Duration(max(j.Slots, 1))
		// A latency outside the histogram's range is an hour or more and can't occur within a run.
		_ = t.latency.RecordValue(max(took.Microseconds(), lowest))
	case record.Refused:
		t.counts.Refused++
		t.refusals[o.Kind]++
	case record.Unknown:
		t.counts.Unknown++
		t.refusals[o.Kind]++
	default:
		t.counts.Silent++
	}
}

func (m *meter) report() Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	var r Report
	all, work := histogram(), time.Duration(0)
	for _, t := range m.teams {
		all.Merge(t.latency)
		work += t.work
		r.Counts = r.plus(t.counts)
	}
	r.Latency = latencyOf(all)
	for i, t := range m.teams {
		tr := TeamReport{Team: m.names[i], Counts: t.counts, Latency: latencyOf(t.latency), Refusals: refusalsOf(t.refusals)}
		if work > 0 {
			tr.Share = float64(t.work) / float64(work)
		}
		r.Teams = append(r.Teams, tr)
	}
	return r
}

func (c Counts) plus(o Counts) Counts {
	return Counts{
		Sent: c.Sent + o.Sent, Answered: c.Answered + o.Answered, Refused: c.Refused + o.Refused,
		Unknown: c.Unknown + o.Unknown, Silent: c.Silent + o.Silent,
	}
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{P50: at(50), P90: at(90), P99: at(99), Max: float64(h.Max()) / 1000}
}

func refusalsOf(m map[reject.Kind]int) []Refusals {
	var list []Refusals
	for _, k := range slices.Sorted(maps.Keys(m)) {
		list = append(list, Refusals{Kind: k, Count: m[k]})
	}
	slices.SortStableFunc(list, func(a, b Refusals) int { return cmp.Compare(b.Count, a.Count) })
	return list
}
