package cycle

import (
	"slices"
	"time"
)

// Prediction returns the prediction for a pool, or false if there is none that may be used.
func (m *Model) Prediction(pool string) (Prediction, bool) {
	x, ok := m.predictions[pool]
	return x, ok && x.Confidence > 0
}

// Confidence returns the confidence of the current predictions, 0 without one.
func (m *Model) Confidence() float64 {
	c := 0.0
	for _, x := range m.predictions {
		c = max(c, x.Confidence)
	}
	return c
}

// Discarded reports whether a cycle was discarded and has not been learned again.
func (m *Model) Discarded() bool { return m.discarded && m.Confidence() == 0 }

// Ongoing reports whether the last known burst is that of a pool and should still last.
func (m *Model) Ongoing(pool string, now time.Time) bool {
	p := m.pools[pool]
	return p != nil && m.current == pool && !m.overdue && now.Sub(m.currentAt) < p.Length
}

// LearnedHeight returns the height of a pool's bursts, in thousandths of a core, or 0 if it is not known or must not be
// used.
func (m *Model) LearnedHeight(pool string) float64 {
	p := m.pools[pool]
	if _, ok := m.Prediction(pool); p == nil || p.Bursts == 0 || !ok && !m.FirstCycle() {
		return 0
	}
	return p.Mean
}

// Rise returns the share of its height that a pool needs until a time after the start of its burst, 0 before the start. It is
// that of the pool that needs most if the pool has had no burst.
func (m *Model) Rise(pool string, after time.Duration) float64 {
	i := int(after / riseStep)
	switch p := m.pools[pool]; {
	case after < 0:
		return 0
	case i >= riseSteps || p == nil:
		return 1
	case p.Bursts > 0:
		return p.Rise[i]
	}
	most, known := 0.0, false
	for _, p := range m.pools {
		if p.Bursts > 0 {
			most, known = max(most, p.Rise[i]), true
		}
	}
	if !known {
		return 1
	}
	return most
}

// FirstCycle reports whether no pool has had a second burst yet and no prediction has failed.
func (m *Model) FirstCycle() bool {
	if m.discarded {
		return false
	}
	for _, p := range m.pools {
		if p.Bursts > 1 {
			return false
		}
	}
	return true
}

// predict renews the predictions: the pools that follow the present burst, and in the first cycle all pools without one.
func (m *Model) predict() {
	clear(m.predictions)
	lag, spread := m.lag()
	if m.current == "" || lag == 0 {
		return
	}
	at, name := m.currentAt, m.current
	for range m.pools {
		at = at.Add(lag)
		if name = m.pools[name].Next; name == "" || !m.predictions[name].Start.IsZero() {
			break
		}
		m.predictions[name] = m.prediction(name, at, spread)
	}
	if m.next() != "" {
		return
	}
	// The order is not known yet: in the first cycle each pool without a burst may be next, and when all have had
	// theirs, the order begins again.
	var left []string
	for _, p := range m.pools {
		if p.LastStart().IsZero() {
			left = append(left, p.Pool)
		}
	}
	if len(left) == 0 {
		left = []string{m.oldest()}
	}
	for _, name := range left {
		if name == m.current || m.discarded {
			continue
		}
		x := m.prediction(name, m.currentAt.Add(lag), spread)
		x.Alternatives = len(left)
		m.predictions[name] = x
	}
}

// next returns the pool that the order says follows the present burst, "" if that is not known.
func (m *Model) next() string {
	if p := m.pools[m.current]; p != nil {
		return p.Next
	}
	return ""
}

// oldest returns the pool whose last burst started first.
func (m *Model) oldest() string {
	for _, p := range m.Profiles() {
		if len(p.Starts) > 0 {
			return p.Pool
		}
	}
	return ""
}

// lag returns the expected time between the starts of two successive bursts, 0 if it is not known, and the spread of the
// last ones. Before the second start it is the length of the first burst, which the next one follows without a gap.
func (m *Model) lag() (time.Duration, float64) {
	if len(m.lags) == 0 {
		if p := m.pools[m.current]; p != nil {
			return p.Length, 0
		}
		return 0, 0
	}
	return mean(m.lags), spread(m.lags)
}

func (m *Model) prediction(name string, start time.Time, lagSpread float64) Prediction {
	p := m.pools[name]
	x := Prediction{Pool: name, Start: start, Height: p.Mean, Measured: p.Bursts > 0, Alternatives: 1}
	if !x.Measured {
		x.Height = m.TypicalHeight()
	}
	x.Confidence = m.confidence(p, lagSpread)
	return x
}

// confidence returns 0 if the last lags, or the pool's own intervals, differ by more than maxSpread or too little is known;
// a missed prediction halves it.
func (m *Model) confidence(p *Profile, lagSpread float64) float64 {
	var intervals []time.Duration
	for i := 1; i < len(p.Starts); i++ {
		intervals = append(intervals, p.Starts[i].Sub(p.Starts[i-1]))
	}
	worst := max(lagSpread, spread(intervals))
	if worst > maxSpread || m.discarded && (len(m.lags) < minLagsAfterDiscard || m.hits < hitsAfterDiscard) {
		return 0
	}
	c := 1 - worst
	if len(intervals) == 0 {
		c *= firstConfidence
	}
	for range m.misses {
		c /= 2
	}
	return c
}

// TypicalHeight returns the mean height of the bursts of all pools, 0 before the first one has ended.
func (m *Model) TypicalHeight() float64 {
	sum, n := 0.0, 0
	for _, p := range m.Profiles() {
		if p.Bursts > 0 {
			sum, n = sum+p.Mean, n+1
		}
	}
	return sum / max(float64(n), 1)
}

// checkOverdue counts a miss for a burst that has not started, and continues the order as if it had: the next one is
// predicted from there.
func (m *Model) checkOverdue(now time.Time) {
	lag, _ := m.lag()
	name := m.next()
	if name == "" || lag == 0 || now.Sub(m.currentAt.Add(lag)) <= MissTolerance {
		return
	}
	m.current, m.currentAt, m.overdue = name, m.currentAt.Add(lag), true
	p := m.pools[name]
	p.Starts = appendLast(p.Starts, m.currentAt)
	m.miss()
}

// mean returns the mean of durations, which must not be empty.
func mean(list []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, d := range list {
		sum += d
	}
	return sum / time.Duration(len(list))
}

// spread returns the difference between the longest and the shortest duration as a share of their mean.
func spread(list []time.Duration) float64 {
	if len(list) < 2 {
		return 0
	}
	return (slices.Max(list) - slices.Min(list)).Seconds() / mean(list).Seconds()
}
