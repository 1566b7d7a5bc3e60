package engine

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Commands returns what the workers are to be told now.
func (b *Scheduler) Commands() []Command {
	now := time.Now()
	b.relieve(now)
	orders := b.stopOrders(now)
	orders = append(orders, b.paceOrders(now)...)
	for _, p := range b.pools {
		if len(p.ready) > 0 {
			orders = append(orders, b.fill(p, now)...)
		}
	}
	return orders
}

// fill places the waiting tasks of one pool.
func (b *Scheduler) fill(p *pool, now time.Time) []Command {
	var workers, held []*worker
	for _, w := range b.workers {
		switch {
		case w.Pool != p.name || !b.usable(w, now):
		case w.held:
			held = append(held, w)
		default:
			workers = append(workers, w)
		}
	}
	for _, list := range [][]*worker{workers, held} {
		slices.SortFunc(list, func(a, c *worker) int { return cmp.Compare(a.ID, c.ID) })
	}
	var orders []Command
	for _, e := range b.queueing(p, now) {
		s, able := e.s, workers
		if b.queueOf(s.job).NeedsTicket {
			if a, ok := b.ask(s, workers, now); ok {
				orders = append(orders, a)
			}
			able = slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool {
				_, ok := s.ticket(w.ID, now)
				return !ok
			})
		}
		able = b.together(s, able)
		if s.spec.Gang {
			orders = append(orders, b.placeGang(s, able, now)...)
			continue
		}
		orders = append(orders, b.placeEach(s, able, now)...)
		if s.spec.LongRunning && s.waiting > 0 && !b.queueOf(s.job).NeedsTicket {
			// A lasting task must not wait for a machine that is being emptied while no other has room for it.
			orders = append(orders, b.placeEach(s, held, now)...)
		}
	}
	return orders
}

// rank orders the steps that wait for one pool; the lower one goes first.
type rank struct {
	priority, class int
	// beyond means that the customer has its share of the pool without the step.
	beyond bool
	latest time.Time
}

// entry is a step with waiting tasks and its rank.
type entry struct {
	s *bundle
	r rank
}

const (
	classLasting = iota
	classTimely
	classLate
)

// queueing returns the steps with waiting tasks that may be placed, the first to go first.
func (b *Scheduler) queueing(p *pool, now time.Time) []entry {
	var list []entry
	for s := range p.ready {
		if s.waiting == 0 || s.job.state.Final() {
			delete(p.ready, s)
			continue
		}
		if s.due.After(now) || b.uncertain(s) {
			continue
		}
		list = append(list, entry{s, b.rank(s, now)})
	}
	slices.SortFunc(list, entry.compare)
	b.markBeyond(p, list, now)
	slices.SortFunc(list, entry.compare)
	return list
}

// compare orders steps by priority, class, share and time; it never returns 0 for two steps.
func (e entry) compare(o entry) int {
	return cmp.Or(cmp.Compare(e.r.priority, o.r.priority), cmp.Compare(e.r.class, o.r.class), compareBool(e.r.beyond, o.r.beyond),
		e.r.latest.Compare(o.r.latest), cmp.Compare(e.s.job.ID, o.s.job.ID), cmp.Compare(e.s.round, o.s.round),
		cmp.Compare(e.s.step, o.s.step))
}

// compareBool puts false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}

// rank puts the queue's priority first. Within one priority lasting tasks go first, then jobs that can still meet their
// objective by the latest moment at which their rest must start, then the others by their age. In each class customers
// within their share of a full pool go first.
func (b *Scheduler) rank(s *bundle, now time.Time) rank {
	r := rank{priority: b.queueOf(s.job).Priority}
	if s.spec.LongRunning {
		r.class = classLasting
		return r
	}
	due := s.job.deadline
	if !s.due.IsZero() {
		due = s.due.Add(b.objective(s.job).Sub(time.UnixMilli(s.job.Accepted)))
	}
	r.latest = due.Add(-b.rest(s))
	r.class = classTimely
	if r.latest.Before(now) {
		r.class = classLate
	}
	return r
}

// rest estimates the longest chain of work from a step to the end of its job.
func (b *Scheduler) rest(s *bundle) time.Duration {
	steps := s.job.Steps
	rest := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= s.step; i-- {
		own := b.estimate(s.job.Queue, steps[i])
		rest[i] += own
		for _, a := range steps[i].After {
			rest[a] = max(rest[a], rest[i])
		}
	}
	return rest[s.step]
}

// uncertain reports whether a former holder of the seat may have started tasks of the step on a worker that has not
// shown its lists yet.
func (b *Scheduler) uncertain(s *bundle) bool {
	if !s.job.loaded || len(b.prior) == 0 || s.spec.Speculative {
		return false
	}
	pool := b.poolOf(s.job)
	for _, w := range b.prior {
		if w.Pool == pool || w.Pool == s.job.terms.Pool {
			return true
		}
	}
	return false
}

// room reports whether one more task of a step may go to a worker.
func (b *Scheduler) room(s *bundle, w *worker) bool {
	if !s.spec.Reserved().Within(w.free()) || !w.Has(s.spec.Label) {
		return false
	}
	return s.spec.MaxPerWorker == 0 || b.beside(s, w) < s.spec.MaxPerWorker
}

// beside counts the runs of a step on a worker.
func (b *Scheduler) beside(s *bundle, w *worker) int {
	n := 0
	for _, r := range w.runs {
		if r.bundle == s {
			n++
		}
	}
	return n
}

// choose returns the best worker for one more task of a step, or nil.
func (b *Scheduler) choose(s *bundle, workers []*worker) *worker {
	var best *worker
	var bestScore float64
	for _, w := range workers {
		if !b.room(s, w) {
			continue
		}
		if score := b.score(s, w); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// Weights of the choice between workers. Data that is near and racks that are shared count before the rest; a worker
// that fails its tasks is the last choice.
const (
	weightNear   = 100
	weightTight  = 50
	weightFaults = 20
	weightCold   = 10
	weightApart  = 30
	weightBeside = 5
)

func (b *Scheduler) score(s *bundle, w *worker) float64 {
	score := 0.0
	if s.spec.Rack != "" && w.Has(s.spec.Rack) {
		score += weightNear
	}
	if s.spec.SameRack {
		for _, t := range s.tasks {
			for _, r := range t.runs {
				if sameRack(r.worker, w) {
					score += weightTight / float64(len(s.tasks))
				}
			}
		}
	}
	score -= weightFaults * w.faults
	if w.WarmUp > 0 {
		score -= weightCold
	}
	used := 0.0
	if w.Capacity.CPU > 0 {
		used = float64(w.taken.CPU) / float64(w.Capacity.CPU)
	}
	if !s.spec.LongRunning {
		// Work that ends goes to the fullest worker that has room, so that machines become empty and may move.
		return score + used
	}
	// Lasting tasks of one kind share workers, away from those that they would disturb or be disturbed by.
	fills, serves := w.mix()
	switch {
	case s.spec.BestEffort:
		score -= weightApart * min(1, float64(serves))
		score -= float64(fills)
	default:
		score -= weightApart * min(1, float64(fills))
		score += used
	}
	return score - weightBeside*float64(b.beside(s, w))
}

// mix counts the runs that fill and those that serve others.
func (w *worker) mix() (fills, serves int) {
	for _, r := range w.runs {
		switch {
		case r.bundle == nil:
		case r.bundle.spec.BestEffort:
			fills++
		case r.bundle.spec.LongRunning:
			serves++
		}
	}
	return fills, serves
}

func sameRack(a, b *worker) bool {
	for _, l := range a.Labels {
		if isRack(l) && slices.Contains(b.Labels, l) {
			return true
		}
	}
	return false
}

// isRack tells the label of a rack, which holds a number, from the kind of a worker.
func isRack(label string) bool { return len(label) > 1 }

func (b *Scheduler) placeEach(s *bundle, workers []*worker, now time.Time) []Command {
	var orders []Command
	for i := range s.tasks {
		t := &s.tasks[i]
		if s.waiting == 0 {
			break
		}
		if t.done || len(t.runs) > 0 {
			continue
		}
		if !b.allowed(s, 1) {
			break
		}
		w := b.choose(s, workers)
		if w == nil {
			break
		}
		orders = append(orders, b.start(s, i, w, b.nextNumber(t.last), now))
	}
	return orders
}

// placeGang places all tasks of a gang or none.
func (b *Scheduler) placeGang(s *bundle, workers []*worker, now time.Time) []Command {
	if s.waiting != len(s.tasks) || !b.allowed(s, len(s.tasks)) {
		return nil
	}
	chosen := make([]*worker, len(s.tasks))
	need := s.spec.Reserved()
	count := map[*worker]int{}
	for i := range chosen {
		w := b.choose(s, workers)
		if w == nil || s.spec.MaxPerWorker > 0 && b.beside(s, w)+count[w] >= s.spec.MaxPerWorker {
			w = nil
			for _, o := range workers {
				if b.room(s, o) && (s.spec.MaxPerWorker == 0 || b.beside(s, o)+count[o] < s.spec.MaxPerWorker) {
					w = o
					break
				}
			}
		}
		if w == nil {
			break
		}
		chosen[i] = w
		count[w]++
		w.taken = w.taken.Plus(need)
	}
	for _, w := range chosen {
		if w != nil {
			w.taken = w.taken.Minus(need)
		}
	}
	if slices.Contains(chosen, nil) {
		return nil
	}
	number := b.nextNumber(s.group)
	var orders []Command
	for i, w := range chosen {
		orders = append(orders, b.start(s, i, w, number, now))
	}
	return orders
}

// allowed reports whether a customer's cap has room for more tasks of a step.
func (b *Scheduler) allowed(s *bundle, count int) bool {
	c, ok := b.config.Customers[s.job.Customer]
	if !ok {
		return true
	}
	return b.usage[s.job.Customer].Plus(s.spec.Need.Times(count)).Under(c.Cap)
}

// start reserves what a run needs and returns its order.
func (b *Scheduler) start(s *bundle, index int, w *worker, number int64, now time.Time) Command {
	t := &s.tasks[index]
	t.last = number
	s.group = max(s.group, number)
	r := &run{
		key: work.RunKey{Task: s.task(index), Number: number}, bundle: s, worker: w, phase: ordered,
		need: s.spec.Reserved(), charge: s.spec.Need, began: now, since: now, paced: 100, percent: 100,
	}
	t.runs = append(t.runs, r)
	s.waiting--
	w.runs[r.key] = r
	w.taken = w.taken.Plus(r.need)
	b.usage[s.job.Customer] = b.usage[s.job.Customer].Plus(r.charge)
	s.job.started = true
	b.log.Info("engine: start", zap.Stringer("task", r.key.Task), zap.Int64("run", number),
		zap.String("worker", string(w.ID)), zap.Int64("config", b.config.Version), zap.Int64("free", w.free().CPU),
		zap.Duration("seen", now.Sub(w.clockAt)), zap.Duration("slack", s.job.deadline.Sub(now)))
	ticket, _ := s.ticket(w.ID, now)
	return Start{Ticket: ticket.Text, Worker: w.ID, Address: w.Address, Run: r.key, Spec: s.job.Spec, Until: w.extend(b.options.Lease),
		Checkpoint: t.saved}
}
