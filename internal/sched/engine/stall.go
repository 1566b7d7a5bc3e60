package engine

import (
	"time"

	"go.uber.org/zap"
)

const (
	// stallThreshold is how long a ready task may wait after its last run before the log says why; one that never had a
	// run is logged at once. stallLogInterval is the least time between two such lines for one step.
	stallThreshold   = 1500 * time.Millisecond
	stallLogInterval = 5 * time.Second
)

// logStalls logs why long-running tasks wait.
func (sc *Scheduler) logStalls(now time.Time) {
	for _, p := range sc.pools {
		for s := range p.ready {
			if !s.spec.LongRunning || s.waiting == 0 || now.Sub(s.stallLoggedAt) < stallLogInterval {
				continue
			}
			for i := range s.tasks {
				if t := &s.tasks[i]; len(t.runs) == 0 && now.Sub(t.lastRunEndedAt) > stallThreshold {
					s.stallLoggedAt = now
					sc.logStall(p, s, i, now)
					break
				}
			}
		}
	}
}

func (sc *Scheduler) logStall(p *pool, s *stepState, index int, now time.Time) {
	var usable, cordoned, fits, cordonedFits int
	for _, w := range sc.index.byPool[p.name] {
		if !sc.usable(w, now) {
			continue
		}
		ok := sc.fits(s, w)
		switch {
		case w.cordoned && ok:
			cordoned, cordonedFits = cordoned+1, cordonedFits+1
		case w.cordoned:
			cordoned++
		case ok:
			usable, fits = usable+1, fits+1
		default:
			usable++
		}
	}
	sc.log.Warn("engine: long-running task waits for a worker", zap.Stringer("task", s.task(index)),
		zap.String("pool", p.name), zap.Bool("uncertain", sc.awaitsInherited(s)), zap.Int("prior", len(sc.inherited)),
		zap.Int("usable", usable), zap.Int("room", fits), zap.Int("held", cordoned), zap.Int("heldRoom", cordonedFits),
		zap.Int("waiting", s.waiting), zap.Bool("allowed", sc.withinCap(s, 1)))
}
