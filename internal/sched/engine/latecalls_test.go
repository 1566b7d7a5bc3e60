package engine

import (
	"bufio"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/sched/intent"
)

// lateCase is a call that a worker executes late, after it has restarted under its id.
type lateCase struct {
	// call is start, copy, which is a second copy of a start that was executed, acknowledge, lease, stop or pace.
	call string
	// sender is leader, relay, former for a leader that is replaced before the worker crashes, or unrecorded for one that is and
	// whose starts the store does not hold.
	sender string
	// arrives is boot for the moment at which the new incarnation begins, reply for that after its first reply, tasks for one
	// later at which the end of a run there has not been read.
	arrives string
	// noticed is how the crash becomes known: list, when the new incarnation is listed; reply, by a reply of it; machines, by the
	// list of machines while it is down; leases, by their expiry.
	noticed string
}

// lateWorker behaves as the platform's workers do.
type lateWorker struct {
	id          work.WorkerID
	up          bool
	incarnation int64
	born        time.Time
	fence       int64
	leaseEnd    int64
	runs        map[work.TaskID]*lateRun
	highest     map[work.TaskID]int64
	ended       []work.End
	lastEnd     int64
	readEnd     int64
	replied     bool
}

type lateRun struct {
	number int64
	endsAt time.Time
}

func (w *lateWorker) clock() int64 { return time.Since(w.born).Milliseconds() }

// lateTrial plays one case against a scheduler, two workers and a store.
type lateTrial struct {
	t *testing.T
	lateCase
	sc      *Scheduler
	term    int64
	version int64
	rows    map[string][]byte
	workers []*lateWorker
	victim  *lateWorker
	listed  []work.Worker
	// armed means that the next call of the case's kind to the victim is held back; held executes it.
	armed bool
	held  func()
	// noted are the tasks whose end as done was acknowledged.
	noted    map[work.TaskID]bool
	began    time.Time
	nextCall map[work.WorkerID]time.Time
}

const (
	lateMaxLease = 10 * time.Second
	// lateAckedEnd is the least number of an end that a late renewal acknowledges.
	lateAckedEnd = 12
)

// lateTaskTime is how long a task runs.
func lateTaskTime(t work.TaskID) time.Duration {
	return time.Duration(400+t.Index%5*900) * time.Millisecond
}

func (w *lateWorker) begin() {
	w.up, w.incarnation, w.born = true, w.incarnation+1, time.Now()
	w.fence, w.leaseEnd, w.lastEnd, w.readEnd, w.ended, w.replied = 0, 0, 0, 0, nil, false
	w.runs, w.highest = map[work.TaskID]*lateRun{}, map[work.TaskID]int64{}
}

func (w *lateWorker) end(t work.TaskID, how work.Ending) {
	r := w.runs[t]
	delete(w.runs, t)
	w.highest[t] = max(w.highest[t], r.number)
	w.lastEnd++
	w.ended = append(w.ended, work.End{Number: w.lastEnd, Run: work.RunKey{Task: t, Number: r.number}, How: how})
}

func (w *lateWorker) extend(until int64) {
	w.leaseEnd = max(w.leaseEnd, min(until, w.clock()+lateMaxLease.Milliseconds()))
}

// update ends what is due.
func (w *lateWorker) update() {
	for t, r := range maps.Clone(w.runs) {
		switch {
		case w.clock() > w.leaseEnd:
			w.end(t, work.LeaseExpired)
		case !time.Now().Before(r.endsAt):
			w.end(t, work.Done)
		}
	}
}

// execute executes a command as of now.
func (l *lateTrial) execute(w *lateWorker, c Command) Outcome {
	var fence int64
	switch c := c.(type) {
	case Start:
		fence = c.Fence
	case Stop:
		fence = c.Fence
	case Throttle:
		fence = c.Fence
	}
	if fence < w.fence {
		return Fenced
	}
	w.fence = fence
	w.update()
	switch c := c.(type) {
	case Start:
		return l.start(w, c)
	case Stop:
		w.highest[c.Run.Task] = max(w.highest[c.Run.Task], c.Run.Number)
		if r := w.runs[c.Run.Task]; r != nil && r.number <= c.Run.Number {
			w.end(c.Run.Task, work.Stopped)
		}
	}
	return Applied
}

func (l *lateTrial) start(w *lateWorker, c Start) Outcome {
	t := c.Run.Task
	if r := w.runs[t]; r != nil && r.number == c.Run.Number {
		w.extend(c.LeaseEnd)
		return Applied
	}
	if c.LeaseEnd <= w.clock() {
		return LeaseExpired
	}
	w.extend(c.LeaseEnd)
	if c.Run.Number <= w.highest[t] || w.runs[t] != nil {
		return Outdated
	}
	if len(w.runs) >= 8 {
		return Full
	}
	for _, o := range l.workers {
		if o.up && o.runs[t] != nil {
			l.t.Errorf("%v: %s run %d starts on %s beside run %d on %s", time.Since(l.began), t, c.Run.Number, w.id,
				o.runs[t].number, o.id)
		}
	}
	if l.noted[t] {
		l.t.Errorf("%v: %s run %d starts on %s after its end was acknowledged", time.Since(l.began), t, c.Run.Number, w.id)
	}
	w.runs[t] = &lateRun{number: c.Run.Number, endsAt: time.Now().Add(lateTaskTime(t))}
	return Applied
}

// renew executes a renewal as of now.
func (l *lateTrial) renew(w *lateWorker, o Renewal) (work.RenewalReply, Outcome) {
	if o.Fence < w.fence {
		return work.RenewalReply{}, Fenced
	}
	w.fence = o.Fence
	w.update()
	if o.LeaseEnd > 0 {
		w.extend(o.LeaseEnd)
	}
	for len(w.ended) > 0 && w.ended[0].Number <= o.AckedEnd {
		if w.ended[0].How == work.Done {
			l.noted[w.ended[0].Run.Task] = true
		}
		w.ended = w.ended[1:]
	}
	reply := work.RenewalReply{Incarnation: w.incarnation, Clock: w.clock(), Ended: slices.Clone(w.ended)}
	for t, r := range w.runs {
		reply.Active = append(reply.Active, work.Active{Run: work.RunKey{Task: t, Number: r.number}, Percent: 100})
	}
	return reply, Applied
}

func (l *lateTrial) worker(id work.WorkerID) *lateWorker {
	for _, w := range l.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// takeOver replaces the scheduler with that of the next leader.
func (l *lateTrial) takeOver() {
	l.term++
	l.version += 100
	l.sc = New(Options{Lease: DefaultLease, MaxLease: lateMaxLease, Authority: DefaultAuthority, JobRetention: time.Minute}, l.term, nil)
	l.sc.ConfirmFences(l.version, l.version+50)
	var items []table.Item
	for _, k := range slices.Sorted(maps.Keys(l.rows)) {
		items = append(items, table.Item{Key: k, Value: l.rows[k]})
	}
	l.sc.Restore(items)
	l.sc.Configure(work.NewConfig(work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Pool: "p", Attempts: 3}}}))
	l.sc.SetWorkers(l.listed)
}

func (l *lateTrial) commit() {
	writeStarts(l.sc, l.rows)
	l.sc.ConfirmStarts()
	for l.sc.Dirty() {
		b, err := l.sc.Batch()
		if err != nil {
			l.t.Fatal(err)
		}
		for _, w := range b.Writes {
			if w.Delete {
				delete(l.rows, w.Key)
			} else {
				l.rows[w.Key] = w.Value
			}
		}
		l.sc.HandleCommit(b)
	}
}

// holds reports whether a call to a worker is the one to hold back.
func (l *lateTrial) holds(w *lateWorker, call string, execute func()) bool {
	if !l.armed || w != l.victim || call != l.call {
		return false
	}
	l.armed, l.held = false, execute
	return true
}

// noReply is the outcome of a call without a reply.
func (l *lateTrial) noReply() Outcome { return noReplyOf(l.sender) }

func noReplyOf(sender string) Outcome {
	if sender == "relay" {
		return NoReply.Relayed()
	}
	return NoReply
}

func (l *lateTrial) send(c Command) {
	var w *lateWorker
	call := "stop"
	switch c := c.(type) {
	case Start:
		w, call = l.worker(c.Worker), "start"
	case Stop:
		w = l.worker(c.Worker)
	case Throttle:
		w, call = l.worker(c.Worker), "pace"
	}
	later := func() { l.execute(w, c) }
	switch {
	case l.holds(w, call, later):
		l.sc.HandleOutcome(c, l.noReply(), time.Now())
	case call == "start" && w.up && l.holds(w, "copy", later):
		l.execute(w, c)
		l.sc.HandleOutcome(c, AppliedAgain, time.Now())
	case !w.up:
		l.sc.HandleOutcome(c, NoReply, time.Now())
	default:
		l.sc.HandleOutcome(c, l.execute(w, c), time.Now())
	}
}

func (l *lateTrial) renewAll() {
	for _, w := range l.workers {
		o, delay, ok := l.sc.NextRenewal(w.id)
		if !ok || time.Since(l.nextCall[w.id]) < delay {
			continue
		}
		o = l.sc.PrepareRenewal(o)
		l.nextCall[w.id] = time.Now()
		later := func() { l.renew(w, o) }
		if o.AckedEnd >= lateAckedEnd && l.holds(w, "acknowledge", later) || o.LeaseEnd > 0 && l.holds(w, "lease", later) || !w.up {
			l.sc.HandleRenewalFailure(o, NoReply)
			continue
		}
		reply, outcome := l.renew(w, o)
		if outcome != Applied {
			if outcome != Fenced || !l.sc.ExplainsFenced(w.id, o.Fence) {
				l.t.Errorf("%v: renewal of %s is %s", time.Since(l.began), w.id, outcome)
			}
			continue
		}
		w.readEnd = w.lastEnd
		l.sc.HandleRenewal(o, reply, time.Now())
		if w == l.victim && w.incarnation > 1 {
			w.replied = w.replied || w.fence > 0 && l.sc.workers[w.id].confirmed
		}
	}
}

// step lets time pass as in production.
func (l *lateTrial) step() {
	l.renewAll()
	l.commit()
	l.sc.Tick()
	for _, c := range append(l.sc.Commands(), recordStarts(l.sc, l.rows)...) {
		l.send(c)
	}
	time.Sleep(10 * time.Millisecond)
	for _, w := range l.workers {
		if w.up {
			w.update()
		}
	}
}

func (l *lateTrial) until(d time.Duration, done func() bool) {
	for end := time.Now().Add(d); time.Now().Before(end) && !done(); {
		l.step()
	}
}

func (l *lateTrial) submit(first, count int) {
	for i := range count {
		if _, err := l.sc.Submit(work.Job{ID: work.JobID(fmt.Sprintf("%016x", first+i)), Queue: "q", Accepted: time.Now().UnixMilli(),
			Steps: []work.Step{{Count: 5, Need: work.Need{CPU: 1}}}}); err != nil {
			l.t.Fatal(err)
		}
	}
}

func (l *lateTrial) list(incarnation int64) {
	l.listed = nil
	for _, w := range l.workers {
		x := work.Worker{ID: w.id, Pool: "p", Address: string(w.id), Machine: "m-" + string(w.id), Incarnation: w.incarnation,
			Capacity: work.Need{CPU: 8}}
		if w == l.victim {
			x.Incarnation = incarnation
		}
		l.listed = append(l.listed, x)
	}
	l.sc.SetWorkers(l.listed)
}

func (l *lateTrial) play() {
	never := func() bool { return false }
	l.list(1)
	l.until(500*time.Millisecond, never)
	l.submit(0xa0, 6)
	l.until(700*time.Millisecond, never)
	l.submit(0xb0, 3)
	if l.call == "acknowledge" {
		l.submit(0xe0, 6)
	}
	l.armed = true
	if l.call == "stop" || l.call == "pace" {
		// Only the scheduler's own stops and throttles matter, and there are none without a cause.
		l.armed = false
		r := l.anyRun()
		l.held = func() { l.execute(l.victim, r) }
	}
	l.until(5*time.Second, func() bool { return l.held != nil })
	if l.held == nil {
		l.t.Fatal("no such call")
	}
	switch l.sender {
	case "former":
		l.takeOver()
	case "unrecorded":
		maps.DeleteFunc(l.rows, func(key string, _ []byte) bool { return strings.HasPrefix(key, intent.Prefix) })
		l.takeOver()
		l.sc.AssumeUnrecordedStarts()
	}
	l.until(50*time.Millisecond, never)
	l.victim.up = false
	switch l.noticed {
	case "machines":
		l.until(600*time.Millisecond, never)
		l.sc.Reconcile(map[string]Machine{"m-w1": {}, "m-w2": {Worker: "w2", Up: true}}, time.Now().Add(-50*time.Millisecond))
		l.until(900*time.Millisecond, never)
	case "leases":
		l.until(9*time.Second, never)
	default:
		l.until(300*time.Millisecond, never)
	}
	l.victim.begin()
	if l.arrives == "boot" {
		l.held()
	}
	if l.noticed != "reply" {
		l.list(2)
	}
	l.until(5*time.Second, func() bool { return l.victim.replied })
	if l.arrives == "reply" {
		l.held()
	}
	l.submit(0xc0, 6)
	l.until(300*time.Millisecond, never)
	if l.arrives == "tasks" {
		l.until(4*time.Second, func() bool { return l.victim.lastEnd > l.victim.readEnd })
		l.held()
	}
	l.submit(0xd0, 2)
	l.until(40*time.Second, func() bool { return len(l.sc.unfinished) == 0 })
	for id, j := range l.sc.jobs {
		if j.state != work.Completed {
			l.t.Errorf("job %s is %s", id, j.state)
		}
	}
}

// anyRun returns a command for a run on the victim.
func (l *lateTrial) anyRun() Command {
	for t, r := range l.victim.runs {
		key := work.RunKey{Task: t, Number: r.number}
		l.sc.workers[l.victim.id].fenceUsed = true
		if l.call == "pace" {
			return Throttle{Worker: l.victim.id, Run: key, Fence: l.victim.fence}
		}
		return Stop{Worker: l.victim.id, Run: key, Fence: l.victim.fence}
	}
	l.t.Fatal("the victim runs nothing")
	return nil
}

func readLateCases(t *testing.T) []lateCase {
	f, err := os.Open("testcases/latecalls")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	var cases []lateCase
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if x := strings.Fields(lines.Text()); len(x) == 4 && x[0] != "#" {
			cases = append(cases, lateCase{x[0], x[1], x[2], x[3]})
		}
	}
	return cases
}

// Guards against a task that runs twice, or again after its end was acknowledged, and against lost ends, because the next
// incarnation of a worker executes a call that was meant for the former one.
func TestLateCalls(t *testing.T) {
	for _, x := range readLateCases(t) {
		t.Run(strings.Join([]string{x.call, x.sender, x.arrives, x.noticed}, "-"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &lateTrial{t: t, lateCase: x, rows: map[string][]byte{}, noted: map[work.TaskID]bool{}, began: time.Now(),
					nextCall: map[work.WorkerID]time.Time{}}
				l.workers = []*lateWorker{{id: "w1"}, {id: "w2"}}
				l.victim = l.workers[0]
				for _, w := range l.workers {
					w.begin()
				}
				l.takeOver()
				l.play()
			})
		})
	}
}
