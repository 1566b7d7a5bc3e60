package engine

import (
	"time"

	"go.uber.org/zap"
)

const (
	// stallAfter is how long a task that could run may wait before the log says why; stallEvery is the time between two
	// such lines for one step.
	stallAfter = 1500 * time.Millisecond
	stallEvery = 5 * time.Second
)

// reportStalls logs why lasting tasks wait.
func (b *Scheduler) reportStalls(now time.Time) {
	for _, p := range b.pools {
		for s := range p.ready {
			if !s.spec.LongRunning || s.waiting == 0 || now.Sub(s.reported) < stallEvery {
				continue
			}
			for i := range s.tasks {
				if t := &s.tasks[i]; len(t.runs) == 0 && now.Sub(t.lostAt) > stallAfter {
					s.reported = now
					b.logStall(p, s, i, now)
					break
				}
			}
		}
	}
}

func (b *Scheduler) logStall(p *pool, s *bundle, index int, now time.Time) {
	var usable, held, room, heldRoom int
	for _, w := range b.workers {
		if w.Pool != p.name || !b.usable(w, now) {
			continue
		}
		fits := b.room(s, w)
		switch {
		case w.held && fits:
			held, heldRoom = held+1, heldRoom+1
		case w.held:
			held++
		case fits:
			usable, room = usable+1, room+1
		default:
			usable++
		}
	}
	b.log.Warn("engine: lasting task waits", zap.Stringer("task", s.task(index)), zap.String("pool", p.name),
		zap.Bool("uncertain", b.uncertain(s)), zap.Int("prior", len(b.prior)), zap.Int("usable", usable), zap.Int("room", room),
		zap.Int("held", held), zap.Int("heldRoom", heldRoom), zap.Int("waiting", s.waiting),
		zap.Bool("allowed", b.allowed(s, 1)))
}
