// Package cycle learns when the demand for each pool rises and falls, and predicts the next burst. It does no I/O.
//
// The pools take turns: the burst of one follows that of another, in the same order in every cycle. The model learns the
// order, the time from one start to the next, and the length and height of each pool's burst.
package cycle

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MissTolerance is by how much the start of a burst may differ from the prediction.
	MissTolerance = time.Second
	// maxMisses is how many misses in a row discard what was learned.
	maxMisses = 2
	// hitsAfterDiscard is how many predictions in a row must have been right before they are used again after a discard.
	hitsAfterDiscard = 2
	// minLagsAfterDiscard is the least number of measured lags that must agree after a discard.
	minLagsAfterDiscard = 3
	// maxSpread is by how much the last lags or intervals may differ, as a share of their mean.
	maxSpread = 0.2
	// firstConfidence is the confidence of a prediction that rests on the order of the first cycle only.
	firstConfidence = 0.5
	// kept is how many lags, and how many starts of a pool, are kept.
	kept = 4
	// riseStep and riseSteps are the resolution and the length of Profile.Rise.
	riseStep  = 200 * time.Millisecond
	riseSteps = 12
	// MaxPools bounds the memory and the stored row; further pools are not learned.
	MaxPools = 32
)

// Sample is the observation of a pool: the total work that has arrived, in core-milliseconds, and the CPU that its tasks use or
// could use now, in thousandths of a core.
type Sample struct {
	Pool    string
	Arrived float64
	InUse   float64
}

// Profile is what is known of a pool's bursts.
type Profile struct {
	Pool string
	// Bursts counts the bursts that have ended.
	Bursts int
	// Starts are the last starts, oldest first.
	Starts []time.Time
	// Length is how long a burst lasts; Mean and Peak are the arriving work in it, in thousandths of a core.
	Length     time.Duration
	Mean, Peak float64
	// Rise is the share of Mean that tasks use at most until the end of each riseStep after a start: the later steps of
	// jobs start when the earlier ones have ended.
	Rise [riseSteps]float64
	// Next is the pool whose burst followed the last one, "" if that is not known.
	Next string
}

// Prediction is the predicted next burst of a pool.
type Prediction struct {
	Pool  string
	Start time.Time
	// Height is the arriving work, in thousandths of a core. It is that of other pools if Measured is false.
	Height   float64
	Measured bool
	// Alternatives counts the pools that may be the next one: above 1 only in the first cycle.
	Alternatives int
	// Confidence is 0 for a prediction that must not be used, 1 for one that rests on intervals without any spread.
	Confidence float64
}

// Model is the learned cycle. It is not safe for concurrent use.
type Model struct {
	pools   map[string]*Profile
	watches map[string]*watch
	// current is the pool of the last burst, started or predicted, and currentAt its start.
	current   string
	currentAt time.Time
	// overdue means that the burst of current was predicted and has not been seen.
	overdue bool
	// lags are the last times between the starts of two successive bursts, oldest first.
	lags []time.Duration
	// misses and hits count the wrong and right predictions in a row.
	misses, hits int
	discarded    bool
	// highest is the highest arriving work of any pool so far, in thousandths of a core.
	highest     float64
	predictions map[string]Prediction
	revision    int
}

// New returns a model that has learned nothing.
func New() *Model {
	return &Model{pools: map[string]*Profile{}, watches: map[string]*watch{}, predictions: map[string]Prediction{}}
}

// Revision changes whenever what is learned changes.
func (m *Model) Revision() int { return m.revision }

// Observe takes over the demand of all pools and renews the predictions.
func (m *Model) Observe(now time.Time, samples []Sample) {
	rates, total := make([]float64, len(samples)), 0.0
	for i, s := range samples {
		if m.pools[s.Pool] == nil {
			if len(m.pools) >= MaxPools {
				continue
			}
			m.pools[s.Pool] = &Profile{Pool: s.Pool}
		}
		if m.watches[s.Pool] == nil {
			m.watches[s.Pool] = &watch{}
		}
		rates[i] = m.watches[s.Pool].add(point{now, s.Arrived})
		total += rates[i]
	}
	m.observeHighest(rates)
	for i, s := range samples {
		if w := m.watches[s.Pool]; w != nil {
			m.follow(now, m.pools[s.Pool], w, rates[i], total)
			w.observeUse(now, s.InUse)
		}
	}
	m.checkOverdue(now)
	m.predict()
}

// observeHighest keeps the highest arriving work, and forgets all bursts if it shows that they were none: before the first
// real burst, single jobs stand out.
func (m *Model) observeHighest(rates []float64) {
	former := m.highest
	m.highest = max(m.highest, slices.Max(append(rates, 0)))
	for _, p := range m.pools {
		if p.Bursts > 0 && p.Peak < minHighestShare*m.highest && p.Peak >= minHighestShare*former {
			m.forget()
			return
		}
	}
	for _, w := range m.watches {
		if w.bursting && w.peak < minHighestShare*m.highest && w.peak >= minHighestShare*former {
			m.forget()
			return
		}
	}
}

// forget discards all bursts, but not the pools.
func (m *Model) forget() {
	m.revision++
	for name := range m.pools {
		m.pools[name] = &Profile{Pool: name}
	}
	for _, w := range m.watches {
		w.bursting = false
	}
	m.current, m.lags, m.misses, m.hits, m.overdue, m.discarded = "", nil, 0, 0, false, false
}

// follow detects the start and the end of a pool's bursts.
func (m *Model) follow(now time.Time, p *Profile, w *watch, rate, total float64) {
	if !w.bursting && rate > max(minBurstRate, minBurstShare*total, minHighestShare*m.highest, minHeightShare*p.Mean) {
		w.begin(rate)
		// A leader that takes over during a burst detects it again.
		w.resumed = w.restored && now.Sub(m.currentAt) < p.Length+MissTolerance
		w.restored = false
		if !w.resumed {
			m.started(p, w.start.at)
		}
	}
	if w.bursting && w.follow(rate) && !w.resumed {
		m.ended(p, w)
	}
}

// Bursting reports whether a burst of a pool lasts.
func (m *Model) Bursting(pool string) bool { return m.watches[pool] != nil && m.watches[pool].bursting }

// started learns the order and the time since the last start, and evaluates the predictions.
func (m *Model) started(p *Profile, at time.Time) {
	m.revision++
	if lag, _ := m.lag(); m.overdue && m.current == p.Pool && at.Sub(m.currentAt) < lag/2 {
		// The miss has been counted; a late burst is not another one.
		m.currentAt, m.overdue = at, false
		p.Starts[len(p.Starts)-1] = at
		return
	}
	m.overdue = false
	if x, ok := m.predictions[p.Pool]; ok && at.Sub(x.Start).Abs() <= MissTolerance {
		m.hits, m.misses = m.hits+1, 0
	} else if m.next() != "" {
		m.miss()
	}
	if previous := m.pools[m.current]; previous != nil {
		previous.Next = p.Pool
		m.lags = appendLast(m.lags, at.Sub(m.currentAt))
	}
	p.Starts = appendLast(p.Starts, at)
	m.current, m.currentAt = p.Pool, at
}

// ended learns the length and height of a burst.
func (m *Model) ended(p *Profile, w *watch) {
	m.revision++
	length, mean := w.burst()
	rise := w.rise(mean)
	if p.Bursts > 0 {
		// Half of each: a single burst that was measured badly loses its effect within the next ones.
		length, mean, w.peak = (p.Length+length)/2, (p.Mean+mean)/2, (p.Peak+w.peak)/2
		for i := range rise {
			rise[i] = (p.Rise[i] + rise[i]) / 2
		}
	}
	p.Rise = rise
	p.Length, p.Mean, p.Peak = length, mean, w.peak
	p.Bursts++
}

func appendLast[T any](list []T, x T) []T {
	list = append(list, x)
	return slices.Clone(list[max(len(list)-kept, 0):])
}

// miss counts a wrong prediction and discards the cycle after maxMisses.
func (m *Model) miss() {
	m.revision++
	m.hits = 0
	if m.misses++; m.misses < maxMisses {
		return
	}
	m.discarded, m.misses, m.lags, m.current, m.overdue = true, 0, nil, "", false
	for _, p := range m.pools {
		p.Starts, p.Next = nil, ""
	}
}

// Profiles returns what is known of the pools' bursts, in the order of their last starts.
func (m *Model) Profiles() []Profile {
	var list []Profile
	for _, p := range m.pools {
		list = append(list, *p)
	}
	slices.SortFunc(list, func(a, b Profile) int {
		return cmp.Or(a.LastStart().Compare(b.LastStart()), cmp.Compare(a.Pool, b.Pool))
	})
	return list
}

// Profile returns what is known of one pool's bursts.
func (m *Model) Profile(pool string) Profile {
	if p := m.pools[pool]; p != nil {
		return *p
	}
	return Profile{Pool: pool}
}

// LastStart returns the start of the last burst, zero if none is known.
func (p Profile) LastStart() time.Time {
	if len(p.Starts) == 0 {
		return time.Time{}
	}
	return p.Starts[len(p.Starts)-1]
}
