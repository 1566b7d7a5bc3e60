package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, as in the settings of a small one.
const (
	heartbeat     = 1500 * time.Millisecond
	holdMax       = 10 * time.Second
	stopTime      = 100 * time.Millisecond
	gangWait      = 3 * time.Second
	checkpointGap = 2 * time.Second
	restoreTime   = 600 * time.Millisecond
	clockStep     = 10 * time.Millisecond
	maxListed     = 500
)

// How a run ends.
const (
	howDone    = "done"
	howFailed  = "failed"
	howStopped = "stopped"
	howLapsed  = "lapsed"
	howBroken  = "broken"
	howAlone   = "alone"
)

// plan is what the consumers of the cases put into a job's spec: how the tasks behave. The system does not read it.
type plan struct {
	// WorkMS is how long a task works, by step.
	WorkMS []int64 `json:"workMs"`
	// Gang is the number of tasks of a gang, 0 for other steps.
	Gang int `json:"gang,omitempty"`
	// Saves means that the tasks checkpoint their progress.
	Saves bool `json:"saves,omitempty"`
	// Ticket means that the queue has a policy, so that workers demand tickets.
	Ticket bool `json:"ticket,omitempty"`
	// FailIndex and FailAtMS make the first run of one task fail after so much work.
	FailIndex int   `json:"failIndex,omitempty"`
	FailAtMS  int64 `json:"failAtMs,omitempty"`
}

// taskName is a task's name in parts.
type taskName struct {
	job                string
	round, step, index int
}

func parseTask(name string) (taskName, bool) {
	p := strings.Split(name, ".")
	if len(p) != 4 {
		return taskName{}, false
	}
	n := [3]int{}
	for i := range n {
		v, err := strconv.Atoi(p[i+1])
		if err != nil {
			return taskName{}, false
		}
		n[i] = v
	}
	return taskName{p[0], n[0], n[1], n[2]}, true
}

type need struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"memMb"`
	GPU    int64 `json:"gpu"`
}

// run is a task that runs on a worker.
type run struct {
	task   string
	name   taskName
	number int64
	plan   plan
	// resumed is the progress of the checkpoint that the start carried.
	checkpoint string
	resumed    time.Duration
	startedAt  time.Time
	// beganAt is when it began to work; zero for a member of a gang that waits for the others.
	beganAt time.Time
	// stopAt is when a stop that was asked for takes effect; zero without one.
	stopAt time.Time
}

// progress returns how much work is done.
func (r *run) progress(now time.Time) time.Duration {
	if r.beganAt.IsZero() || now.Before(r.beganAt) {
		return r.resumed
	}
	return r.resumed + now.Sub(r.beganAt)
}

// saved returns the last checkpoint.
func (r *run) saved(now time.Time) string {
	if !r.plan.Saves {
		return ""
	}
	p := r.progress(now)
	steps := (p - r.resumed) / checkpointGap
	if steps == 0 {
		return r.checkpoint
	}
	// The members of a gang that have done the same work have the same checkpoint.
	return fmt.Sprintf("%08x%.8s", (r.resumed + steps*checkpointGap).Milliseconds(), r.name.job[4:])
}

func progressOf(checkpoint string) time.Duration {
	if len(checkpoint) < 8 {
		return 0
	}
	ms, err := strconv.ParseInt(checkpoint[:8], 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

type end struct {
	number int64
	task   string
	run    int64
	how    string
	saved  string
}

// worker is one life of a machine.
type worker struct {
	fleet    *fleet
	id       string
	machine  string
	service  string
	zone     string
	rack     string
	address  string
	capacity need
	server   *http.Server
	began    time.Time
	born     int64

	// The fleet's mu guards the rest.
	up       bool
	fence    int64
	leaseEnd int64
	runs     map[string]*run
	highest  map[string]int64
	ends     []end
	lastEnd  int64
	changed  chan struct{}
	sequence int64
}

// startEvent is a start that a worker carried out.
type startEvent struct {
	at         time.Time
	worker     string
	task       string
	name       taskName
	number     int64
	checkpoint string
	fence      int64
	ticket     string
}

// endEvent is the end of a run. notedAt is when lastSeen reached it, zero before; lapsed means that the worker's lease lapsed
// between the two.
type endEvent struct {
	notedAt time.Time
	lapsed  bool
	listed  int64
	at      time.Time
	worker  string
	task    string
	number  int64
	how     string
	saved   string
}

// fleet are all workers and machines.
type fleet struct {
	record *record
	store  *store
	// advice is nil if no queue has a policy.
	advice *advice
	ip     string

	mu       sync.Mutex
	workers  []*worker
	lastID   int
	starts   []startEvent
	ended    []endEvent
	declined map[string]int
	done     chan struct{}
}

func newFleet(r *record, s *store, ip string) *fleet {
	f := &fleet{record: r, store: s, ip: ip, declined: map[string]int{}, done: make(chan struct{})}
	go f.tick()
	return f
}

// add starts a worker on a machine.
func (f *fleet) add(machine, service, zone, rack string, capacity need) (*worker, error) {
	l, err := net.Listen("tcp", f.ip+":0")
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.lastID++
	id := fmt.Sprintf("i-%08x", 0x7f3a0000+f.lastID)
	f.mu.Unlock()
	return f.serve(l, id, machine, service, zone, rack, capacity), nil
}

func (f *fleet) serve(l net.Listener, id, machine, service, zone, rack string, capacity need) *worker {
	w := &worker{fleet: f, id: id, machine: machine, service: service, zone: zone, rack: rack, address: l.Addr().String(),
		capacity: capacity, began: time.Now(), born: time.Now().UnixMilli(), up: true, runs: map[string]*run{},
		highest: map[string]int64{}, changed: make(chan struct{})}
	w.server = &http.Server{Handler: w.handler()}
	go func() { _ = w.server.Serve(l) }()
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	f.record.log("worker %s: up on machine %s at %s", id, machine, w.address)
	go w.beat()
	return w
}

// beat writes the worker's entry until it is down.
func (w *worker) beat() {
	for w.writeEntry() {
		time.Sleep(heartbeat)
	}
}

// writeEntry writes the worker's entry and reports whether the worker is up.
func (w *worker) writeEntry() bool {
	w.fleet.mu.Lock()
	up := w.up
	w.sequence++
	n := w.sequence
	w.fleet.mu.Unlock()
	if !up {
		return false
	}
	value, err := json.Marshal(map[string]any{"service": w.service, "address": w.address, "zone": w.zone, "version": "v1",
		"slots": 8, "state": "ready", "coldRemainingMs": 0, "capacity": w.capacity, "labels": []string{"a", w.rack},
		"machine": w.machine, "born": w.born, "clockMs": w.clock(), "seq": n})
	if err != nil {
		panic(err)
	}
	w.fleet.store.put("servers", w.id, value)
	return true
}

// crash ends the worker at once: it says nothing, and its address refuses connections. Its entry goes after three heartbeat
// intervals.
func (w *worker) crash() {
	w.fleet.mu.Lock()
	w.up = false
	lost := len(w.runs)
	w.runs = map[string]*run{}
	w.fleet.mu.Unlock()
	_ = w.server.Close()
	w.fleet.record.log("worker %s: crashed with %d runs", w.id, lost)
	time.AfterFunc(3*heartbeat, func() { w.fleet.store.put("servers", w.id, nil) })
}

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() + 1000 }

// tick ends the runs that are due until the fleet is closed.
func (f *fleet) tick() {
	for {
		select {
		case <-f.done:
			return
		case <-time.After(clockStep):
		}
		f.mu.Lock()
		now := time.Now()
		f.assemble(now)
		for _, w := range f.workers {
			w.endRuns(now)
		}
		f.mu.Unlock()
	}
}

// assemble lets gangs work whose members are all present.
func (f *fleet) assemble(now time.Time) {
	present := map[string][]*run{}
	for _, w := range f.workers {
		for _, r := range w.runs {
			if r.plan.Gang > 0 {
				key := gangKey(r)
				present[key] = append(present[key], r)
			}
		}
	}
	for _, members := range present {
		if len(members) != members[0].plan.Gang || !members[0].beganAt.IsZero() {
			continue
		}
		for _, r := range members {
			r.beganAt = now
			if r.checkpoint != "" {
				r.beganAt = now.Add(restoreTime)
			}
		}
	}
}

func gangKey(r *run) string {
	return fmt.Sprintf("%s.%d.%d/%d", r.name.job, r.name.round, r.name.step, r.number)
}

// endRuns ends the runs that are due; the fleet's mu must be held.
func (w *worker) endRuns(now time.Time) {
	if w.up && len(w.runs) > 0 && w.clock() > w.leaseEnd {
		for _, r := range w.runs {
			w.finish(r, howLapsed, now)
		}
	}
	for _, r := range w.runs {
		work := time.Duration(r.plan.WorkMS[min(r.name.step, len(r.plan.WorkMS)-1)]) * time.Millisecond
		failAt := time.Duration(r.plan.FailAtMS) * time.Millisecond
		switch {
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			w.finish(r, howStopped, now)
		case r.plan.Gang > 0 && r.beganAt.IsZero() && now.Sub(r.startedAt) > gangWait:
			w.finish(r, howAlone, now)
		case !r.beganAt.IsZero() && w.fleet.isBroken(r):
			w.finish(r, howBroken, now)
		case failAt > 0 && r.name.index == r.plan.FailIndex && r.checkpoint == "" && r.progress(now) >= failAt:
			w.finish(r, howFailed, now)
		case r.progress(now) >= work:
			w.finish(r, howDone, now)
		}
	}
}

// isBroken reports whether a member of a run's gang is missing and has not ended as done; the fleet's mu must be held.
func (f *fleet) isBroken(r *run) bool {
	if r.plan.Gang == 0 {
		return false
	}
	n := 0
	key := gangKey(r)
	for _, w := range f.workers {
		for _, o := range w.runs {
			if o.plan.Gang > 0 && gangKey(o) == key {
				n++
			}
		}
	}
	if n == r.plan.Gang {
		return false
	}
	return !slices.ContainsFunc(f.ended, func(e endEvent) bool {
		t, _ := parseTask(e.task)
		return e.how == howDone && t.job == r.name.job && t.round == r.name.round && t.step == r.name.step && e.number == r.number
	})
}

// finish ends a run; the fleet's mu must be held.
func (w *worker) finish(r *run, how string, now time.Time) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	saved := ""
	if how != howDone {
		saved = r.saved(now)
	}
	w.ends = append(w.ends, end{w.lastEnd, r.task, r.number, how, saved})
	close(w.changed)
	w.changed = make(chan struct{})
	w.fleet.ended = append(w.fleet.ended, endEvent{at: now, worker: w.id, task: r.task, number: r.number, how: how, saved: saved, listed: w.lastEnd})
	w.fleet.record.log("worker %s: run %d of %s ended %s saved=%q", w.id, r.number, r.task, how, saved)
}

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.start)
	mux.HandleFunc("POST /run-stop", w.stop)
	mux.HandleFunc("POST /hold", w.hold)
	mux.HandleFunc("POST /pace", w.pace)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("X-Target-Instance"); id != "" && id != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(rw, r)
	})
}

type startBody struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	Until      int64  `json:"untilMs"`
	Fence      int64  `json:"fence"`
	Checkpoint string `json:"lastCheckpoint"`
	Ticket     string `json:"ticket"`
	Percent    int    `json:"percent"`
}

func (w *worker) clockReply() map[string]any {
	return map[string]any{"clockMs": w.clock(), "born": w.born}
}

func (w *worker) decline(rw http.ResponseWriter, reason string) {
	w.fleet.declined[reason]++
	m := w.clockReply()
	m["reason"] = reason
	reply(rw, http.StatusConflict, m)
}

// accept decodes a body and checks the fence; the fleet's mu is held if it returns true.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request, body any, fence func() int64) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		reply(rw, http.StatusBadRequest, nil)
		return false
	}
	w.fleet.mu.Lock()
	if fence() < w.fence {
		w.decline(rw, "fence")
		w.fleet.mu.Unlock()
		return false
	}
	w.fence = fence()
	return true
}

// extend takes a lease; the fleet's mu must be held.
func (w *worker) extend(until int64) {
	w.leaseEnd = max(w.leaseEnd, min(until, w.clock()+holdMax.Milliseconds()))
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	var b startBody
	if !w.accept(rw, r, &b, func() int64 { return b.Fence }) {
		return
	}
	defer w.fleet.mu.Unlock()
	name, ok := parseTask(b.Task)
	var p plan
	if err := json.Unmarshal([]byte(b.Spec), &p); err != nil || !ok {
		reply(rw, http.StatusBadRequest, w.clockReply())
		return
	}
	old := w.runs[b.Task]
	switch {
	case old != nil && old.number == b.Run:
		w.extend(b.Until)
		reply(rw, http.StatusOK, w.clockReply())
		return
	case b.Until < w.clock():
		w.decline(rw, "late")
		return
	case b.Run <= w.highest[b.Task] || old != nil:
		w.extend(b.Until)
		w.decline(rw, "old")
		return
	case p.Ticket && !w.fleet.advice.allows(name, w.id, b.Ticket):
		w.fleet.record.log("worker %s: run %d of %s declined, ticket %q", w.id, b.Run, b.Task, b.Ticket)
		w.decline(rw, "ticket")
		return
	}
	w.extend(b.Until)
	now := time.Now()
	x := &run{task: b.Task, name: name, number: b.Run, plan: p, checkpoint: b.Checkpoint, resumed: progressOf(b.Checkpoint), startedAt: now}
	if p.Gang == 0 {
		x.beganAt = now
	}
	w.runs[b.Task] = x
	w.fleet.starts = append(w.fleet.starts, startEvent{now, w.id, b.Task, name, b.Run, b.Checkpoint, b.Fence, b.Ticket})
	w.fleet.record.log("worker %s: run %d of %s started fence=%d lastCheckpoint=%q", w.id, b.Run, b.Task, b.Fence, b.Checkpoint)
	reply(rw, http.StatusOK, w.clockReply())
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	var b startBody
	if !w.accept(rw, r, &b, func() int64 { return b.Fence }) {
		return
	}
	defer w.fleet.mu.Unlock()
	w.highest[b.Task] = max(w.highest[b.Task], b.Run)
	if x := w.runs[b.Task]; x != nil && x.number == b.Run && x.stopAt.IsZero() {
		x.stopAt = time.Now().Add(stopTime)
		w.fleet.record.log("worker %s: run %d of %s is to stop", w.id, b.Run, b.Task)
	}
	reply(rw, http.StatusOK, w.clockReply())
}

func (w *worker) pace(rw http.ResponseWriter, r *http.Request) {
	var b startBody
	if !w.accept(rw, r, &b, func() int64 { return b.Fence }) {
		return
	}
	defer w.fleet.mu.Unlock()
	reply(rw, http.StatusOK, w.clockReply())
}

// note records which ends a holder has taken note of; the fleet's mu must be held.
func (w *worker) note(lastSeen int64) {
	for i := range w.fleet.ended {
		e := &w.fleet.ended[i]
		if e.worker == w.id && e.listed <= lastSeen && e.notedAt.IsZero() {
			e.notedAt, e.lapsed = time.Now(), w.clock() > w.leaseEnd
			w.fleet.record.log("worker %s: the end %s of run %d of %s is taken note of", w.id, e.how, e.number, e.task)
		}
	}
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Until    int64 `json:"untilMs"`
		Fence    int64 `json:"fence"`
		LastSeen int64 `json:"lastSeen"`
		WaitMS   int64 `json:"waitMs"`
	}
	if !w.accept(rw, r, &b, func() int64 { return b.Fence }) {
		return
	}
	w.note(b.LastSeen)
	if b.Until > 0 {
		w.extend(b.Until)
	}
	w.ends = slices.DeleteFunc(w.ends, func(e end) bool { return e.number <= b.LastSeen })
	timeout := time.After(time.Duration(min(b.WaitMS, 2000)) * time.Millisecond)
	for waiting := b.WaitMS > 0; waiting && len(w.ends) == 0; {
		changed := w.changed
		w.fleet.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.fleet.mu.Lock()
	}
	now := time.Now()
	running, ended := [][]any{}, [][]any{}
	for _, x := range w.runs {
		percent := int64(0)
		if total := x.plan.WorkMS[min(x.name.step, len(x.plan.WorkMS)-1)]; total > 0 {
			percent = min(99, 100*x.progress(now).Milliseconds()/total)
		}
		running = append(running, []any{x.task, x.number, x.saved(now), percent, 1000})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListed)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	m := w.clockReply()
	m["running"], m["ended"] = running, ended
	w.fleet.mu.Unlock()
	reply(rw, http.StatusOK, m)
}

// declinedFor returns how many starts were declined for a reason.
func (f *fleet) declinedFor(reason string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.declined[reason]
}

// history returns the starts and ends so far.
func (f *fleet) history() ([]startEvent, []endEvent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.starts), slices.Clone(f.ended)
}

// runningOn returns the workers that run a task of a job, by the task's index, with the runs' progress.
func (f *fleet) runningOn(job string) map[int]*worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := map[int]*worker{}
	for _, w := range f.workers {
		for _, r := range w.runs {
			if r.name.job == job {
				m[r.name.index] = w
			}
		}
	}
	return m
}

// running returns the number of runs.
func (f *fleet) running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		n += len(w.runs)
	}
	return n
}
