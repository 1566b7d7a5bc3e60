package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/sched/share"
)

const (
	poolWorkers = 10
	poolSlots   = poolWorkers * workerSlots
	warmUp      = 20 * time.Second
)

// windows are the durations over which the deviation from the shares is measured.
var windows = []time.Duration{time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute}

// customers are six teams, two of them large, with run times from 20 ms to 30 s.
var customers = []team{
	{weight: 5, run: 500 * time.Millisecond, load: 18},
	{weight: 4, run: 8 * time.Second, load: 16},
	{weight: 3, run: 20 * time.Millisecond, load: 8},
	{weight: 2, run: 30 * time.Second, load: 14},
	{weight: 1, run: 2 * time.Second, load: 10},
	{weight: 1, run: 100 * time.Millisecond, load: 8},
}

// surgeFactors returns the load factor of each team over time: surges of 5 to 15 s at five times the mean, and a
// twentieth of the mean between them. The durations keep the mean factor at 1.
func surgeFactors(seed uint64, teams int, length time.Duration) func(int, time.Duration) float64 {
	high, low, surge := 5.0, 0.05, 10*time.Second
	trough := time.Duration(float64(surge) * (high - 1) / (1 - low))
	rng := rand.New(rand.NewPCG(seed, 2))
	ends := make([][]time.Duration, teams) // alternating ends of troughs and surges
	for i := range ends {
		at := time.Duration(rng.Float64() * float64(trough))
		for at < length+2*trough {
			ends[i] = append(ends[i], at)
			at += surge/2 + time.Duration(rng.Float64()*float64(surge))
			ends[i] = append(ends[i], at)
			at += trough/2 + time.Duration(rng.Float64()*float64(trough))
		}
	}
	at := make([]int, teams)
	return func(team int, now time.Duration) float64 {
		for now >= ends[team][at[team]] {
			at[team]++
		}
		if at[team]%2 == 1 {
			return high
		}
		return low
	}
}

// sharingPolicy is a policy to be measured.
type sharingPolicy struct {
	name  string
	build func(s *sim) share.Policy
}

func sharingPolicies() []sharingPolicy {
	connectionsPerTask := map[fleet.TeamName]float64{}
	for i := range customers {
		connectionsPerTask[teamName(i)] = []float64{1, 2, 1, 12, 4, 1}[i]
	}
	return []sharingPolicy{
		{"arrival order (no shares)", func(s *sim) share.Policy { return arrivalOrder{s} }},
		{"deficit round robin", func(*sim) share.Policy { return newDeficitRoundRobin() }},
		{"start-time fair queueing", func(*sim) share.Policy { return newStartTimeFairQueue() }},
		{"dominant resource", func(*sim) share.Policy {
			return dominantResource{slots: poolSlots, connections: poolWorkers * 64, connectionsPerTask: connectionsPerTask}
		}},
		{"lowest occupancy", func(*sim) share.Policy { return lowestOccupancy{} }},
		{"occupancy, debt over 5 s", func(*sim) share.Policy { return newDebtCorrected(poolSlots, 5*time.Second) }},
		{"occupancy, debt over 20 s", func(*sim) share.Policy { return newDebtCorrected(poolSlots, 20*time.Second) }},
		{"occupancy, debt bounded to a slot (product)", func(*sim) share.Policy { return share.NewBalance() }},
	}
}

// slotRecord records, per second and team, the slots used and the slots due by the shares, and whether the demand
// exceeded the pool in that second.
type slotRecord struct {
	used, due [][]float64
	full      []bool
}

func (r *slotRecord) sample(s *sim) {
	second := int(s.now / time.Second)
	for len(r.used) <= second {
		r.used = append(r.used, make([]float64, len(s.claims)))
		r.due = append(r.due, make([]float64, len(s.claims)))
		r.full = append(r.full, false)
	}
	demand := 0
	share.Divide(s.claims, poolSlots)
	for i, c := range s.claims {
		r.used[second][i] += float64(c.Allocated)
		r.due[second][i] += c.Due()
		demand += c.Allocated + c.Urgent + c.Normal
	}
	r.full[second] = r.full[second] || demand > poolSlots
}

// shareErrors returns the percentage of slots that went to another team than due, for each window with a full pool.
func (r *slotRecord) shareErrors(window time.Duration) []float64 {
	n := int(window / time.Second)
	var out []float64
	for from := int(warmUp / time.Second); from+n <= len(r.used); from += n {
		if !slices.Contains(r.full[from:from+n], true) {
			continue
		}
		wrong, total := 0.0, 0.0
		for i := range customers {
			got, due := 0.0, 0.0
			for k := from; k < from+n; k++ {
				got += r.used[k][i]
				due += r.due[k][i]
			}
			wrong += math.Abs(got - due)
			total += due
		}
		out = append(out, 50*wrong/total)
	}
	return out
}

// measureShares measures the deviation from the shares per policy and window.
func measureShares(o options) []table {
	mean := table{Title: "Nearness to share: slots that went to another team than due, mean over full windows, percent"}
	high := table{Title: "Nearness to share: the same, 95th percentile of windows, percent"}
	head := []string{"policy"}
	for _, w := range windows {
		head = append(head, w.String())
	}
	mean.Head, high.Head = head, head
	for _, c := range sharingPolicies() {
		errs := make([][]float64, len(windows))
		for _, r := range runSeeds(o, func(seed uint64) *slotRecord { return shareRun(c, seed, o.length) }) {
			for i, w := range windows {
				errs[i] = append(errs[i], r.shareErrors(w)...)
			}
		}
		m, h := []string{c.name}, []string{c.name}
		for _, e := range errs {
			m = append(m, fmt.Sprintf("%.1f", average(e)))
			h = append(h, fmt.Sprintf("%.1f", quantile(e, 0.95)))
		}
		mean.Rows, high.Rows = append(mean.Rows, m), append(high.Rows, h)
	}
	return []table{mean, high}
}

func shareRun(c sharingPolicy, seed uint64, length time.Duration) *slotRecord {
	s := newSim(seed, customers, poolWorkers, 2, nil)
	s.sharer = share.NewSharer(c.build(s))
	s.factor = surgeFactors(seed, len(customers), length)
	r := &slotRecord{}
	s.hooks.tick = func() {
		if s.now%(20*time.Millisecond) == 0 {
			r.sample(s)
		}
	}
	s.run(length)
	return r
}
