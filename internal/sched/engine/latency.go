package engine

import (
	"time"
)

const (
	// throttleDelay is how long a serving run may be above its latency objective before best-effort tasks on its worker
	// are throttled.
	throttleDelay = 500 * time.Millisecond
	// unthrottleDelay is how long a serving run must be well below its latency objective before the throttle is lifted.
	unthrottleDelay = 4 * time.Second
	// recoveredRatio is the fraction of its latency objective below which a serving run is well below it.
	recoveredRatio = 0.6
)

// observeLatency records since when a serving run has been above or well below its latency objective.
func (sc *Scheduler) observeLatency(r *run) {
	if r.stepState == nil || r.stepState.spec.LatencyObjective == 0 {
		return
	}
	objective := r.stepState.spec.LatencyObjective.Milliseconds()
	now := time.Now()
	switch {
	case r.loadSignal > objective:
		if r.aboveSince.IsZero() {
			r.aboveSince = now
		}
		r.belowSince = time.Time{}
	case float64(r.loadSignal) < recoveredRatio*float64(objective):
		r.aboveSince = time.Time{}
		if r.belowSince.IsZero() {
			r.belowSince = now
		}
	default:
		r.aboveSince, r.belowSince = time.Time{}, time.Time{}
	}
}

// throttleCommands suspends best-effort tasks beside a serving task that has been above its latency objective for
// throttleDelay, and lets them run at full speed again when all serving tasks of the worker, if any, have been well
// below theirs for unthrottleDelay. It skips unresponsive workers.
func (sc *Scheduler) throttleCommands(now time.Time) []Command {
	var commands []Command
	for _, w := range sc.index.interfering {
		if !w.responsive() {
			continue
		}
		harmed, recovered := false, true
		for _, r := range w.runs {
			if r.stepState == nil || r.stepState.spec.LatencyObjective == 0 {
				continue
			}
			harmed = harmed || !r.aboveSince.IsZero() && now.Sub(r.aboveSince) >= throttleDelay
			recovered = recovered && !r.belowSince.IsZero() && now.Sub(r.belowSince) >= unthrottleDelay
		}
		if harmed == recovered {
			continue
		}
		for _, r := range w.runs {
			if r.stepState == nil || !r.stepState.spec.BestEffort || r.phase != active || r.throttlePending || r.stopRequested {
				continue
			}
			want := 100
			if harmed {
				want = 0
			}
			if r.throttle != want || r.throttleUnknown {
				r.throttlePending = true
				commands = append(commands, Throttle{Worker: w.ID, Address: w.Address, Run: r.key, Percent: want, Fence: sc.fence(w)})
				w.fenceUsed = true
			}
		}
	}
	return commands
}
