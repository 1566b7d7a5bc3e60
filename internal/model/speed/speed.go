// Package speed measures how much slower than usual this process runs, because its instance gives it less processor
// time or because it has more work than it gets processor time for.
package speed

import (
	"context"
	"crypto/sha256"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/pace"
)

const (
	// probeInterval is the time between two probes.
	probeInterval = 100 * time.Millisecond
	// probeBytes is the size of the text that a probe hashes: tens of microseconds of work on a whole core.
	probeBytes = 32 << 10
	// probeCount is the number of last probes of which the best counts, so that one interruption does not.
	probeCount = 3
	// slowFactor is the slowdown from which the process counts as slow, usualFactor that below which it no longer does.
	// Load and the processor's clock alone change the time of a probe by half.
	slowFactor, usualFactor = 3, 2
	// delayGain is the weight of the last probe in the average delay.
	delayGain = 0.2
	// sampleSize is the number of values in the sample of the delays.
	sampleSize = 256
)

// probe is the time that the work of a probe took, and how late it began.
type probe struct{ took, late time.Duration }

// slowdown returns how many times longer a probe took, from when it was due, than one at the best speed.
func (p probe) slowdown(best time.Duration) float64 {
	return max(float64(p.took)/float64(best), float64(probeInterval+p.late)/float64(probeInterval))
}

// Monitor measures the speed of this process.
type Monitor struct {
	log  *zap.Logger
	text []byte
	// dueAt is when the next probe is due.
	dueAt time.Time
	// best is the shortest time that probes take, recent are the last probes.
	best   time.Duration
	recent []probe

	// slowdown is that of a slow process as the bits of a float64, 0 while the process is not slow.
	slowdown atomic.Uint64
	// averageDelay is how late probes begin on average, in nanoseconds.
	averageDelay atomic.Int64
	gauge        metrics.GaugeFloat64
	delay        metrics.Histogram
}

// NewMonitor returns a monitor that publishes its measurements in a registry, as process_slowdown and
// process_delay_ms.
func NewMonitor(r metrics.Registry, log *zap.Logger) *Monitor {
	return &Monitor{log: log, text: make([]byte, probeBytes),
		gauge: metrics.GetOrRegisterGaugeFloat64("process_slowdown", r),
		delay: metrics.GetOrRegisterHistogram("process_delay_ms", r, metrics.NewUniformSample(sampleSize))}
}

// Slowdown returns how many times slower than at its best the process runs if it is slow, else 1.
func (m *Monitor) Slowdown() float64 { return max(1, math.Float64frombits(m.slowdown.Load())) }

// Delay returns how late the process has begun what was due, on average over the last second or so. It is milliseconds at most
// unless the process has more work than it gets processor time for.
func (m *Monitor) Delay() time.Duration { return time.Duration(m.averageDelay.Load()) }

// Run measures until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	m.dueAt = time.Now().Add(probeInterval)
	pace.After(ctx, probeInterval, func(context.Context) { m.probe() })
}

// probe times a fixed piece of work, and how late it began.
func (m *Monitor) probe() {
	began := time.Now()
	late := max(began.Sub(m.dueAt), 0)
	m.dueAt = began.Add(probeInterval)
	sha256.Sum256(m.text)
	m.observe(probe{time.Since(began), late})
}

// observe evaluates a probe.
func (m *Monitor) observe(p probe) {
	m.delay.Update(p.late.Milliseconds())
	average := m.averageDelay.Load()
	m.averageDelay.Store(average + int64(delayGain*float64(int64(p.late)-average)))
	m.recent = append(m.recent, p)
	if len(m.recent) < probeCount {
		return
	}
	m.recent = m.recent[len(m.recent)-probeCount:]
	// The median, since a single reading of the clock may be too early.
	if median := m.medianTime(); m.best == 0 || median < m.best {
		m.best = max(median, 1)
	}
	factor := m.recent[0].slowdown(m.best)
	for _, p := range m.recent[1:] {
		factor = min(factor, p.slowdown(m.best))
	}
	m.gauge.Update(factor)
	wasSlow := m.slowdown.Load() != 0
	isSlow := factor >= slowFactor || wasSlow && factor >= usualFactor
	if isSlow {
		m.slowdown.Store(math.Float64bits(factor))
	} else {
		m.slowdown.Store(0)
	}
	if isSlow != wasSlow {
		m.log.Warn("speed: process has become slow or is no longer slow", zap.Bool("slow", isSlow),
			zap.Float64("factor", factor), zap.Duration("took", p.took), zap.Duration("best", m.best),
			zap.Duration("delay", p.late))
	}
}

func (m *Monitor) medianTime() time.Duration {
	times := make([]time.Duration, 0, probeCount)
	for _, p := range m.recent {
		times = append(times, p.took)
	}
	slices.Sort(times)
	return times[len(times)/2]
}
