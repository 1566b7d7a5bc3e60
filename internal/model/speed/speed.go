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
	// sampleSize is the number of values in the sample of the delays.
	sampleSize = 256
)

// Monitor measures the speed of this process.
type Monitor struct {
	log  *zap.Logger
	text []byte
	// dueAt is when the next probe is due.
	dueAt time.Time
	// best is the shortest time that a probe has taken, recent are the slowdowns in the last probes.
	best   time.Duration
	recent []float64

	// slowdown is that of a slow process as the bits of a float64, 0 while the process is not slow.
	slowdown atomic.Uint64
	gauge    metrics.GaugeFloat64
	delay    metrics.Histogram
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
	m.observe(max(time.Since(began), 1), late)
}

// observe evaluates a probe that took a time and began late by another.
func (m *Monitor) observe(took, late time.Duration) {
	if m.best == 0 || took < m.best {
		m.best = took
	}
	byWork := float64(took) / float64(m.best)
	byDelay := float64(probeInterval+late) / float64(probeInterval)
	m.recent = append(m.recent, max(byWork, byDelay))
	if len(m.recent) > probeCount {
		m.recent = m.recent[1:]
	}
	factor := slices.Min(m.recent)
	m.gauge.Update(factor)
	m.delay.Update(late.Milliseconds())
	wasSlow := m.slowdown.Load() != 0
	isSlow := len(m.recent) == probeCount && factor >= slowFactor || wasSlow && factor >= usualFactor
	if isSlow {
		m.slowdown.Store(math.Float64bits(factor))
	} else {
		m.slowdown.Store(0)
	}
	if isSlow != wasSlow {
		m.log.Warn("speed: process has become slow or is no longer slow", zap.Bool("slow", isSlow),
			zap.Float64("factor", factor), zap.Duration("took", took), zap.Duration("best", m.best),
			zap.Duration("delay", late))
	}
}
