package engine

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// fataler is what tests, benchmarks and properties have in common.
type fataler interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// newTestScheduler returns a scheduler with one pool of workers that have reported empty run lists.
func newTestScheduler(t fataler, c work.Config, workers []work.Worker) *Scheduler {
	t.Helper()
	sc := New(DefaultOptions(), 1, nil)
	sc.Configure(work.NewConfig(c))
	sc.SetWorkers(workers)
	for _, w := range workers {
		sc.HandleRenewal(Renewal{Worker: w.ID}, work.RenewalReply{Incarnation: 1}, time.Now())
	}
	store(t, sc)
	return sc
}

// store commits all changes.
func store(t fataler, sc *Scheduler) {
	t.Helper()
	for sc.Dirty() {
		c, err := sc.Batch()
		if err != nil {
			t.Fatal(err)
		}
		sc.HandleCommit(c)
	}
}

// startAll starts waiting tasks until no more fit, and confirms the starts; it returns their number.
func startAll(sc *Scheduler) (n int) {
	for {
		commands := dispatch(sc)
		if len(commands) == 0 {
			return n
		}
		for _, c := range commands {
			sc.HandleOutcome(c, Applied, time.Now())
		}
		n += len(commands)
	}
}

// newFullPool returns a scheduler whose workers are full and whose jobs' steps wait.
func newFullPool(t fataler, workers, jobs int) *Scheduler {
	t.Helper()
	var list []work.Worker
	for i := range workers {
		list = append(list, work.Worker{ID: work.WorkerID(fmt.Sprintf("w%03d", i)), Pool: "p", Zone: "a",
			Capacity: work.Need{CPU: 4000, Memory: 8000}})
	}
	sc := newTestScheduler(t, work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p", Attempts: 2}},
		Customers: map[string]work.Customer{"c1": {Name: "c1", Weight: 1}, "c2": {Name: "c2", Weight: 2}}}, list)
	submit := func(id, count int, need work.Need) {
		j := work.Job{ID: work.JobID(fmt.Sprintf("%016x", id)), Queue: "q", Customer: fmt.Sprint("c", 1+id%2),
			Accepted: time.Now().UnixMilli() - int64(id*7919%5003),
			Steps:    []work.Step{{Count: count, Need: need, Estimate: time.Second}}}
		if _, err := sc.Submit(j); err != nil {
			t.Fatal(err)
		}
		store(t, sc)
	}
	for i := range 4 {
		submit(i, workers, work.Need{CPU: 1000, Memory: 2000})
	}
	if n := startAll(sc); n != 4*workers {
		t.Fatalf("%d starts, want %d", n, 4*workers)
	}
	for i := range jobs {
		submit(100+i, 8, work.Need{CPU: 600 + int64(i%3)*100, Memory: 500})
	}
	return sc
}

// Guards against a leader that has no processor time left for replies under a backlog: each planning pass compared
// every waiting step with every worker of a full pool, and the replies that the leader read late counted as missing.
func TestFullPoolIsComparedOnce(t *testing.T) {
	const workers, jobs = 50, 300
	sc := newFullPool(t, workers, jobs)
	sc.comparisons = 0
	if n := len(dispatch(sc)); n != 0 {
		t.Fatalf("%d commands, want none", n)
	}
	// The steps have three needs, and the workers can be compared with each of them once.
	if sc.comparisons > 3*workers {
		t.Errorf("%d comparisons for %d steps and %d workers", sc.comparisons, jobs, workers)
	}
	// With capacity for one more task: each need is compared once before and once after its start, and all workers are
	// compared for the choice of one for this task and for the next one of its step.
	var r *run
	for _, r = range sc.workers["w007"].runs {
		break
	}
	s := r.stepState
	sc.releaseRun(r)
	sc.finishTask(s, r.key.Task.Index)
	sc.comparisons = 0
	if n := len(dispatch(sc)); n != 1 {
		t.Fatalf("%d commands, want 1", n)
	}
	if sc.comparisons > 8*workers {
		t.Errorf("%d comparisons for %d steps and %d workers", sc.comparisons, jobs, workers)
	}
}

// placeWithoutBound is placeWaiting without the skipping of steps for which no worker has capacity.
func placeWithoutBound(sc *Scheduler, p *pool, now time.Time) {
	var workers, cordoned []*worker
	for _, w := range sc.workers {
		switch {
		case w.Pool != p.name || !sc.usable(w, now):
		case w.cordoned:
			cordoned = append(cordoned, w)
		default:
			workers = append(workers, w)
		}
	}
	for _, list := range [][]*worker{workers, cordoned} {
		slices.SortFunc(list, func(x, y *worker) int { return cmp.Compare(x.ID, y.ID) })
	}
	for _, e := range sc.rankSteps(p, sc.waitingSteps(p, now), now) {
		s, eligible := e.state, workers
		if sc.queueOf(s.job).NeedsTicket {
			sc.noteTicketNeed(s, workers, now)
			eligible = slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool {
				_, ok := s.ticket(w.ID, now)
				return !ok
			})
		}
		eligible = sc.narrowToRack(s, eligible)
		if s.spec.Gang {
			sc.placeGang(s, newCandidates(work.Need{}), eligible, now)
			continue
		}
		placeByScan(sc, s, eligible, now)
		if s.spec.LongRunning && s.waiting > 0 && !sc.queueOf(s.job).NeedsTicket {
			placeByScan(sc, s, cordoned, now)
		}
	}
}

// placeByScan is placeTasks without the order of workers that finite tasks share.
func placeByScan(sc *Scheduler, s *stepState, eligible []*worker, now time.Time) {
	if s.isPacked() {
		// Not all candidates are eligible, as far as placeTasks knows.
		sc.placeTasks(s, &candidates{workers: append(eligible[:len(eligible):len(eligible)], nil)}, eligible, now)
		return
	}
	sc.placeTasks(s, newCandidates(work.Need{}), eligible, now)
}

// appendTicketRequest appends the ticket request that ends a planning pass.
func appendTicketRequest(sc *Scheduler, commands []Command, now time.Time) []Command {
	if req, ok := sc.ticketRequest(now); ok {
		return append(commands, req)
	}
	return commands
}

func drawNeed(t *rapid.T, most int64, name string) work.Need {
	return work.Need{CPU: rapid.Int64Range(0, most).Draw(t, name+" cpu"),
		Memory: rapid.Int64Range(0, most).Draw(t, name+" memory"), GPU: rapid.Int64Range(0, 1).Draw(t, name+" gpu")}
}

func drawWorkers(t *rapid.T) []work.Worker {
	labels := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"x", "rack-1", "rack-2"}), rapid.ID[string])
	var list []work.Worker
	for i := range rapid.IntRange(1, 6).Draw(t, "workers") {
		list = append(list, work.Worker{ID: work.WorkerID(fmt.Sprint("w", i)), Pool: "p", Zone: "a",
			Labels: labels.Draw(t, "labels"), Capacity: drawNeed(t, 6, "capacity")})
	}
	return list
}

func drawJob(t *rapid.T, id int) work.Job {
	flag := func(name string) bool { return rapid.IntRange(0, 3).Draw(t, name) == 0 }
	j := work.Job{ID: work.JobID(fmt.Sprintf("%016x", id)), Accepted: time.Now().UnixMilli(),
		Queue:    rapid.SampledFrom([]string{"plain", "ticket", "urgent"}).Draw(t, "queue"),
		Customer: rapid.SampledFrom([]string{"c1", "c2"}).Draw(t, "customer")}
	for range rapid.IntRange(1, 2).Draw(t, "steps") {
		j.Steps = append(j.Steps, work.Step{Count: rapid.IntRange(1, 4).Draw(t, "count"), Need: drawNeed(t, 4, "need"),
			Estimate: time.Second, Label: rapid.SampledFrom([]string{"", "", "x"}).Draw(t, "label"),
			Gang: flag("gang"), SameRack: flag("same rack"), LongRunning: flag("long-running"),
			BestEffort: flag("best effort"), MaxPerWorker: rapid.IntRange(0, 2).Draw(t, "per worker")})
	}
	return j
}

// Guards against other placements than before, now that steps are skipped for which no worker has capacity.
func TestSkippedStepsFitNowhere(t *testing.T) {
	rapid.Check(t, comparePlacements)
}

func comparePlacements(t *rapid.T) {
	config := work.Config{Version: 1, Queues: []work.Queue{{Name: "plain", Pool: "p", Attempts: 2},
		{Name: "ticket", Pool: "p", Attempts: 2, NeedsTicket: true}, {Name: "urgent", Pool: "p", Attempts: 2, Priority: -1}},
		Customers: map[string]work.Customer{"c1": {Name: "c1", Weight: 1, Cap: work.Need{CPU: 9}},
			"c2": {Name: "c2", Weight: 2}}}
	workers := drawWorkers(t)
	bounded, reference := newTestScheduler(t, config, workers), newTestScheduler(t, config, workers)
	both := []*Scheduler{bounded, reference}
	now, next := time.Now(), 0
	for range rapid.IntRange(1, 6).Draw(t, "rounds") {
		for range rapid.IntRange(0, 4).Draw(t, "jobs") {
			next++
			j := drawJob(t, next)
			for _, sc := range both {
				_, _ = sc.Submit(j) // an impossible job is none
				store(t, sc)
			}
		}
		cordoned := work.WorkerID(fmt.Sprint("w", rapid.IntRange(0, 5).Draw(t, "cordoned")))
		for _, sc := range both {
			if w := sc.workers[cordoned]; w != nil {
				sc.Cordon(cordoned, !w.cordoned)
			}
		}
		now = now.Add(400 * time.Millisecond)
		for _, sc := range both {
			sc.pending.prune(now)
		}
		ranked := bounded.rankSteps(bounded.pool("p"), bounded.waitingSteps(bounded.pool("p"), now), now)
		if !slices.IsSortedFunc(ranked, rankedStep.compare) {
			t.Fatalf("steps are not in the order of their ranks: %v", ranked)
		}
		bounded.placeWaiting(bounded.pool("p"), now)
		placeWithoutBound(reference, reference.pool("p"), now)
		got, want := recordStarts(bounded, map[string][]byte{}), recordStarts(reference, map[string][]byte{})
		got, want = appendTicketRequest(bounded, got, now), appendTicketRequest(reference, want, now)
		for _, list := range [][]Command{got, want} {
			clearLeaseEnds(list)
		}
		if len(got) != len(want) || len(got) > 0 && !reflect.DeepEqual(got, want) {
			t.Fatalf("with skipped steps:\n%v\nwithout:\n%v", got, want)
		}
		endings := rapid.SliceOfN(rapid.IntRange(0, 2), len(got), len(got)).Draw(t, "endings")
		for _, sc := range both {
			applyCommands(sc, got, endings)
		}
	}
}

// clearLeaseEnds removes what depends on the time of the call.
func clearLeaseEnds(commands []Command) {
	for i, c := range commands {
		if start, ok := c.(Start); ok {
			start.LeaseEnd = 0
			commands[i] = start
		}
	}
}

// applyCommands grants all tickets that were requested, and confirms or declines each start or ends its run.
func applyCommands(sc *Scheduler, commands []Command, endings []int) {
	for i, c := range commands {
		switch c := c.(type) {
		case TicketRequest:
			var tickets []Ticket
			for _, id := range c.Workers[:(len(c.Workers)+endings[i])/2] {
				tickets = append(tickets, Ticket{Worker: id, Text: "t"})
			}
			sc.HandleTickets(c, tickets, 2*time.Second, true)
		case Start:
			sc.HandleOutcome(c, Applied, time.Now())
			if r := sc.workers[c.Worker].runs[c.Run]; endings[i] == 1 {
				s := r.stepState
				sc.releaseRun(r)
				sc.finishTask(s, c.Run.Task.Index)
			}
		}
	}
}

// BenchmarkFullPool measures a planning pass over waiting steps while all workers are full.
func BenchmarkFullPool(b *testing.B) {
	sc := newFullPool(b, 300, 1500)
	for b.Loop() {
		dispatch(sc)
	}
}

// BenchmarkFreedCapacity measures a planning pass that can place one of the waiting tasks.
func BenchmarkFreedCapacity(b *testing.B) {
	sc := newFullPool(b, 300, 1500)
	for b.Loop() {
		for _, c := range dispatch(sc) {
			if start, ok := c.(Start); ok {
				sc.releaseRun(sc.workers[start.Worker].runs[start.Run])
			}
		}
		w := sc.workers["w007"]
		w.Capacity.CPU = w.reserved.CPU + 700
	}
}

// BenchmarkBacklog measures a planning pass that starts as many tasks as may be pending while thousands of steps wait.
func BenchmarkBacklog(b *testing.B) {
	sc := newFullPool(b, 300, 4000)
	for _, w := range sc.workers {
		w.Capacity = work.Need{CPU: 16000, Memory: 32000}
	}
	for b.Loop() {
		for _, c := range dispatch(sc) {
			if start, ok := c.(Start); ok {
				sc.HandleOutcome(c, Applied, time.Now())
				sc.releaseRun(sc.workers[start.Worker].runs[start.Run])
			}
		}
	}
}

// newTurn returns a scheduler in the middle of a queue's turn on a large fleet: its workers are full with tasks of many
// customers, and the steps of hundreds of jobs wait.
func newTurn(t fataler, workers, jobs int) *Scheduler {
	const customers = 60
	var list []work.Worker
	for i := range workers {
		list = append(list, work.Worker{ID: work.WorkerID(fmt.Sprintf("w%04d", i)), Pool: "p", Zone: "a",
			Capacity: work.Need{CPU: 32000, Memory: 131072}})
	}
	config := work.Config{Version: 1, Customers: map[string]work.Customer{},
		Queues: []work.Queue{{Name: "q", Pool: "p", Attempts: 2, Stretch: 2, Objective: time.Second}}}
	for i := range customers {
		name := fmt.Sprintf("c%02d", i)
		config.Customers[name] = work.Customer{Name: name, Weight: 1 + float64(i%7), Cap: work.Need{CPU: 1 << 40}}
	}
	sc := newTestScheduler(t, config, list)
	for i := range jobs {
		need := work.Need{CPU: 2000 + int64(i*7919%5003), Memory: 4000 + int64(i*104729%9001)}
		j := work.Job{ID: work.JobID(fmt.Sprintf("%016x", i)), Queue: "q", Customer: fmt.Sprintf("c%02d", i*31%customers),
			Accepted: time.Now().UnixMilli() - int64(i*7919%1009),
			Steps:    []work.Step{{Count: 8, Need: need, Estimate: 640 * time.Millisecond}, {Count: 8, Need: need, After: []int{0}}}}
		if _, err := sc.Submit(j); err != nil {
			t.Fatal(err)
		}
	}
	store(t, sc)
	startAll(sc)
	return sc
}

// endSome releases a run on each of some workers, as if its task had ended.
func endSome(sc *Scheduler, workers int) {
	for _, w := range sc.index.byPool["p"][:workers] {
		for _, r := range w.runs {
			sc.releaseRun(r)
			break
		}
	}
}

// Load pattern: a queue's turn on a large fleet; hundreds of jobs wait, and some tasks end between two planning passes.
// Guards against passes that compare each task with each worker: they took so long that freed capacity stood idle until
// the next one.
func TestPassInTurnComparesFreedWorkers(t *testing.T) {
	const workers, freed = 850, 60
	sc := newTurn(t, workers, 1500)
	endSome(sc, freed)
	sc.comparisons = 0
	commands := dispatch(sc)
	if len(commands) < freed/2 {
		t.Fatalf("%d starts after %d tasks have ended", len(commands), freed)
	}
	if most := len(commands) * workers / 4; sc.comparisons > most {
		t.Errorf("%d comparisons for %d starts on %d workers, want at most %d", sc.comparisons, len(commands), workers, most)
	}
}

// BenchmarkTurn measures a planning pass in a queue's turn on a large fleet, in which some tasks have ended since the
// last one.
func BenchmarkTurn(b *testing.B) {
	sc := newTurn(b, 850, 1500)
	for b.Loop() {
		b.StopTimer()
		endSome(sc, 60)
		b.StartTimer()
		commands := dispatch(sc)
		b.StopTimer()
		for _, c := range commands {
			sc.HandleOutcome(c, Applied, time.Now())
		}
		b.StartTimer()
	}
}
