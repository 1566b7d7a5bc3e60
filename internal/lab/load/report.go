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

// Range and precision of the latency histograms.
const (
	lowestMicros      = 1
	highestMicros     = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Latency summarizes a latency histogram, in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Refusals counts the refusals of one kind.
type Refusals struct {
	Kind  reject.Kind `json:"kind"`
	Count int         `json:"count"`
}

// TeamReport holds the results of one team's requests.
type TeamReport struct {
	Team fleet.TeamName `json:"team"`
	Counts
	// Share is the team's fraction of the slot time of all answered tasks, from 0 to 1.
	Share    float64    `json:"share"`
	Latency  Latency    `json:"latency"`
	Refusals []Refusals `json:"refusals,omitempty"`
}

// Counts counts requests by outcome; Silent counts those without an answer.
type Counts struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	Silent   int `json:"silent"`
}

// Report holds the results of all requests; latencies are those of answered requests.
type Report struct {
	Counts
	Latency Latency      `json:"latency"`
	Teams   []TeamReport `json:"teams"`
}

type teamMeter struct {
	counts   Counts
	latency  *hdrhistogram.Histogram
	refusals map[reject.Kind]int
	// slotTime is the sum of run time times slots of the answered tasks.
	slotTime time.Duration
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
		m.teams = append(m.teams, teamMeter{latency: newHistogram(), refusals: map[reject.Kind]int{}})
	}
	return m
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

func (m *meter) add(team int, j Job, o Outcome, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &m.teams[team]
	t.counts.Sent++
	switch o.Event {
	case record.Answered:
		t.counts.Answered++
		t.slotTime += input.Parse(j.Input).Duration() * time.Duration(max(j.Slots, 1))
		// RecordValue fails for a latency of an hour or more, which can't occur within a run.
		_ = t.latency.RecordValue(max(took.Microseconds(), lowestMicros))
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
	all, total := newHistogram(), time.Duration(0)
	for _, t := range m.teams {
		all.Merge(t.latency)
		total += t.slotTime
		r.Counts = r.add(t.counts)
	}
	r.Latency = latencySummary(all)
	for i, t := range m.teams {
		tr := TeamReport{
			Team: m.names[i], Counts: t.counts, Latency: latencySummary(t.latency), Refusals: refusalCounts(t.refusals),
		}
		if total > 0 {
			tr.Share = float64(t.slotTime) / float64(total)
		}
		r.Teams = append(r.Teams, tr)
	}
	return r
}

func (c Counts) add(o Counts) Counts {
	return Counts{
		Sent: c.Sent + o.Sent, Answered: c.Answered + o.Answered, Refused: c.Refused + o.Refused,
		Unknown: c.Unknown + o.Unknown, Silent: c.Silent + o.Silent,
	}
}

func latencySummary(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{P50: at(50), P90: at(90), P99: at(99), Max: float64(h.Max()) / 1000}
}

func refusalCounts(m map[reject.Kind]int) []Refusals {
	var list []Refusals
	for _, k := range slices.Sorted(maps.Keys(m)) {
		list = append(list, Refusals{Kind: k, Count: m[k]})
	}
	slices.SortStableFunc(list, func(a, b Refusals) int { return cmp.Compare(b.Count, a.Count) })
	return list
}
