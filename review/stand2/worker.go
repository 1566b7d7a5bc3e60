package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the workers, as in the settings of a small deployment.
const (
	maxHold      = 10 * time.Second
	stopTime     = 200 * time.Millisecond
	startupTime  = 300 * time.Millisecond
	beatInterval = 1500 * time.Millisecond
	workerCPU    = 32000
	workerMemory = 131072
)

// worker is one worker of a pool with its machine. A restart begins a new life under the same id and address.
type worker struct {
	id, machine, pool, zone, rack, address string

	platform *platform

	mu sync.Mutex
	// life is nil while the worker is down; a worker that is cut off gets no calls and runs on.
	life *life
	cut  bool
}

func (w *worker) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

func (w *worker) isCut() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut
}

// life is one start of a worker.
type life struct {
	born  time.Time
	fence int64
	// until is the end of the lease of everything that runs, in milliseconds of the life's clock.
	until   int64
	runs    map[string]*run
	ended   []end
	lastEnd int64
	highest map[string]int64
	seq     int64
	// changed is closed and replaced when a run ends, over is closed when the life ends.
	changed, over chan struct{}
}

type run struct {
	task      string
	number    int64
	cpu       int64
	memory    int64
	startedAt time.Time
	// endsAt is zero for a task that lasts.
	endsAt   time.Time
	stopping time.Time
}

type end struct {
	number int64
	task   string
	run    int64
	how    string
}

// orderBody is the body of a call to a worker.
type orderBody struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Until    int64  `json:"untilMs"`
	Fence    int64  `json:"fence"`
	LastSeen int64  `json:"lastSeen"`
	WaitMS   int64  `json:"waitMs"`
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() }

// begin starts a life and registers it.
func (w *worker) begin() {
	w.mu.Lock()
	w.life = &life{born: time.Now(), runs: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{}),
		over: make(chan struct{})}
	l := w.life
	w.mu.Unlock()
	w.platform.record.add("worker", "%s begins a life, born %d", w.id, l.born.UnixMilli())
	go w.beat(l)
	go w.tick(l)
}

// crash ends the life: nothing that it knew remains, and nobody gets an answer.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life == nil {
		return
	}
	for _, r := range w.life.runs {
		w.platform.ranUntilNow(r.task, r.number, w.id, "gone")
	}
	close(w.life.over)
	w.life = nil
	w.platform.record.add("worker", "%s crashes", w.id)
}

// beat writes the worker's entry until the life ends, and removes it after three intervals of silence.
func (w *worker) beat(l *life) {
	for {
		w.mu.Lock()
		l.seq++
		entry := map[string]any{"service": w.pool, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8,
			"state": "ready", "coldRemainingMs": 0, "capacity": map[string]int{"cpu": workerCPU, "memMb": workerMemory, "gpu": 0},
			"labels": []string{"a", w.rack}, "machine": w.machine, "born": l.born.UnixMilli(), "clockMs": l.clock(), "seq": l.seq}
		w.mu.Unlock()
		w.platform.store.put("servers", w.id, entry)
		select {
		case <-time.After(beatInterval):
			continue
		case <-l.over:
		}
		time.Sleep(3 * beatInterval)
		w.mu.Lock()
		down := w.life == nil
		w.mu.Unlock()
		if down {
			w.platform.store.put("servers", w.id, nil)
		}
		return
	}
}

// tick ends the runs that are due until the life ends.
func (w *worker) tick(l *life) {
	for {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-l.over:
			return
		}
		now := time.Now()
		w.mu.Lock()
		if w.life != l {
			w.mu.Unlock()
			return
		}
		for _, r := range l.runs {
			switch {
			case l.clock() > l.until:
				w.finish(l, r, "lapsed")
			case !r.stopping.IsZero() && now.After(r.stopping):
				w.finish(l, r, "stopped")
			case !r.endsAt.IsZero() && now.After(r.endsAt):
				w.finish(l, r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// finish ends a run; mu must be held.
func (w *worker) finish(l *life, r *run, how string) {
	delete(l.runs, r.task)
	l.highest[r.task] = max(l.highest[r.task], r.number)
	l.lastEnd++
	l.ended = append(l.ended, end{l.lastEnd, r.task, r.number, how})
	close(l.changed)
	l.changed = make(chan struct{})
	w.platform.ranUntilNow(r.task, r.number, w.id, how)
}

// ServeHTTP serves the calls of the system. A worker that is down never answers.
func (w *worker) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	var body orderBody
	if err := json.NewDecoder(q.Body).Decode(&body); err != nil {
		answer(rw, http.StatusBadRequest, struct{}{})
		return
	}
	if w.isCut() {
		silent(q)
	}
	if w.platform.intercept != nil && q.URL.Path == "/run-start" && w.platform.intercept(w, body, q) {
		silent(q)
	}
	if q.Header.Get("X-Target-Instance") != w.id {
		answer(rw, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	if q.URL.Path == "/hold" {
		if w.platform.holdBack != nil && w.platform.holdBack(w, body) {
			silent(q)
		}
		w.hold(rw, q, body)
		return
	}
	w.mu.Lock()
	l := w.life
	if l == nil {
		w.mu.Unlock()
		silent(q)
	}
	status, reason := w.execute(l, q.URL.Path, body)
	clock := l.clock()
	w.mu.Unlock()
	reply := map[string]any{"clockMs": clock, "born": l.born.UnixMilli()}
	if reason != "" {
		reply["reason"] = reason
	}
	answer(rw, status, reply)
}

// silent ends a request without an answer once its caller has given it up.
func silent(q *http.Request) {
	<-q.Context().Done()
	panic(http.ErrAbortHandler)
}

// execute carries out an order; mu must be held.
func (w *worker) execute(l *life, path string, b orderBody) (status int, reason string) {
	if b.Fence < l.fence {
		return http.StatusConflict, "fence"
	}
	l.fence = b.Fence
	switch path {
	case "/run-start":
		return w.start(l, b)
	case "/run-stop":
		l.highest[b.Task] = max(l.highest[b.Task], b.Run)
		if r := l.runs[b.Task]; r != nil && r.number <= b.Run && r.stopping.IsZero() {
			r.stopping = time.Now().Add(stopTime)
		}
	case "/pace":
	default:
		return http.StatusNotFound, ""
	}
	return http.StatusOK, ""
}

// extend extends the lease; mu must be held.
func (l *life) extend(until int64) {
	l.until = max(l.until, min(until, l.clock()+maxHold.Milliseconds()))
}

func (w *worker) start(l *life, b orderBody) (status int, reason string) {
	if r := l.runs[b.Task]; r != nil && r.number == b.Run {
		l.extend(b.Until)
		return http.StatusOK, ""
	}
	if b.Until <= l.clock() {
		return http.StatusConflict, "late"
	}
	l.extend(b.Until)
	if b.Run <= l.highest[b.Task] || l.runs[b.Task] != nil {
		return http.StatusConflict, "old"
	}
	need := w.platform.needOf(b.Task)
	cpu, memory := need.CPU, need.Memory
	for _, r := range l.runs {
		cpu, memory = cpu+r.cpu, memory+r.memory
	}
	if cpu > workerCPU || memory > workerMemory {
		return http.StatusConflict, "room"
	}
	r := &run{task: b.Task, number: b.Run, cpu: need.CPU, memory: need.Memory, startedAt: time.Now()}
	if need.Work > 0 {
		r.endsAt = r.startedAt.Add(need.Work)
		if need.Spread > 0 {
			r.endsAt = r.endsAt.Add(rand.N(need.Spread))
		}
	}
	l.runs[b.Task] = r
	w.platform.started(b.Task, b.Run, w.id)
	return http.StatusOK, ""
}

// see carries out what a call of /hold asks for, and returns how many ends the worker forgets; mu must be held.
func (w *worker) see(l *life, b orderBody) (forgotten int) {
	if l == nil || b.Fence < l.fence {
		return 0
	}
	l.fence = b.Fence
	if b.Until > 0 {
		l.extend(b.Until)
	}
	for _, e := range l.ended {
		if e.number <= b.LastSeen {
			w.platform.noted(e.task, e.run, w.id)
			forgotten++
		}
	}
	l.ended = slices.DeleteFunc(l.ended, func(e end) bool { return e.number <= b.LastSeen })
	return forgotten
}

// hold extends the lease and answers with the lists of runs, after a wait for an end.
func (w *worker) hold(rw http.ResponseWriter, q *http.Request, b orderBody) {
	w.mu.Lock()
	l := w.life
	if l == nil {
		w.mu.Unlock()
		silent(q)
	}
	if b.Fence < l.fence {
		clock := l.clock()
		w.mu.Unlock()
		answer(rw, http.StatusConflict, map[string]any{"clockMs": clock, "born": l.born.UnixMilli(), "reason": "fence"})
		return
	}
	w.see(l, b)
	changed := l.changed
	wait := b.WaitMS > 0 && len(l.ended) == 0
	w.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(b.WaitMS) * time.Millisecond):
		case <-l.over:
		case <-q.Context().Done():
			return
		}
	}
	w.mu.Lock()
	if w.life != l || w.cut {
		w.mu.Unlock()
		silent(q)
	}
	running, ended := []any{}, []any{}
	for _, r := range l.runs {
		percent := 100
		if r.endsAt.IsZero() && time.Since(r.startedAt) < startupTime {
			percent = 0
		}
		running = append(running, []any{r.task, r.number, "", percent, r.cpu})
	}
	for _, e := range l.ended[:min(len(l.ended), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	reply := map[string]any{"clockMs": l.clock(), "born": l.born.UnixMilli(), "running": running, "ended": ended}
	w.mu.Unlock()
	answer(rw, http.StatusOK, reply)
}

// stepOf returns the job and the step of a task's name.
func stepOf(task string) (job string, step int, err error) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0, fmt.Errorf("task %q does not have four parts", task)
	}
	step, err = strconv.Atoi(parts[2])
	return parts[0], step, err
}
