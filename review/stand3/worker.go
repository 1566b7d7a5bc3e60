package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Times of the platform, as in the settings.
const (
	maxLease     = 6 * time.Second
	heartbeat    = 1500 * time.Millisecond
	stopTime     = 50 * time.Millisecond
	maxListed    = 500
	startupDelay = 100 * time.Millisecond
)

// shape is what a job's spec tells the workers of its tasks.
type shape struct {
	CPU int64 `json:"cpu"`
	// WorkMS is how long a task takes; 0 for tasks that last.
	WorkMS int64 `json:"work"`
}

// run is a task at work.
type run struct {
	number int64
	cpu    int64
	began  time.Time
	work   time.Duration
	// stopping is when a stop ends the run; zero without one.
	stopping time.Time
}

// fleet is the platform's workers and machines.
type fleet struct {
	store  *store
	record *record
	pool   string

	mu       sync.Mutex
	machines []*machine
	lives    int
	// ends counts the ends of the runs of each job, by how.
	ends map[string]map[string]int
	// tasks are the starts and the ends of the runs of each task.
	tasks map[string]*history
	// entryLag is how long after its start a worker writes its entry.
	entryLag time.Duration
	cloud    cloudState
	// late are the orders that get no answer.
	late lateOrders
	// twice are the starts of tasks that had another run at that time.
	twice []string
}

// history is what has become of a task.
type history struct {
	starts []time.Time
	done   []*doneEnd
}

// doneEnd is a run that has ended done.
type doneEnd struct {
	at time.Time
	// noted means that lastSeen has reached the end, and the worker's lease had not lapsed meanwhile.
	noted bool
}

// task returns the history of a task; mu must be held.
func (f *fleet) task(name string) *history {
	if f.tasks[name] == nil {
		f.tasks[name] = &history{}
	}
	return f.tasks[name]
}

// noteOverlap records if a task starts while another worker that is up runs it; mu must be held.
func (f *fleet) noteOverlap(task string, number int64, m *machine) {
	for _, o := range f.machines {
		if !o.up || o == m {
			continue
		}
		o.endRuns()
		if r := o.runs[task]; r != nil {
			f.twice = append(f.twice, task)
			f.record.add("TWICE: run %s %d on %s begins while run %d is at work on %s", task, number, m.id, r.number, o.id)
		}
	}
}

// again returns the tasks that were started after a run had ended done whose end was taken note of; mu must be held.
func (f *fleet) again() []string {
	var names []string
	for name, h := range f.tasks {
		if slices.ContainsFunc(h.done, func(d *doneEnd) bool {
			return d.noted && slices.ContainsFunc(h.starts, func(t time.Time) bool { return t.After(d.at) })
		}) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// machine is a machine; a worker is one life of it.
type machine struct {
	fleet                *fleet
	name, zone, rack     string
	address              string
	cpu                  int64
	server               *http.Server
	up, listed, inUpkeep bool
	id, nextID           string
	born                 time.Time
	seq                  int
	fence, lease         int64
	runs                 map[string]*run
	highest              map[string]int64
	ended                [][]any
	lastEnd              int64
	changed              chan struct{}
	// unseen are the runs that ended done and that lastSeen has not reached, by the number of the end; lapsedAt is when the
	// lease was last seen to have lapsed.
	unseen   map[int64]*doneEnd
	lapsedAt time.Time
}

func newFleet(s *store, rec *record, pool string, zones []string, count int, cpu int64) *fleet {
	f := &fleet{store: s, record: rec, pool: pool, ends: map[string]map[string]int{},
		tasks: map[string]*history{}}
	for i := range count {
		f.add(zones[i%len(zones)], fmt.Sprintf("r%d-%d", i%len(zones), i/4/len(zones)), cpu)
	}
	go f.tick()
	return f
}

// add adds a machine with a worker.
func (f *fleet) add(zone, rack string, cpu int64) *machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := &machine{fleet: f, name: fmt.Sprintf("m-%02d", len(f.machines)), zone: zone, rack: rack, cpu: cpu,
		address: freeAddress("127.0.0.1")}
	f.machines = append(f.machines, m)
	m.start()
	return m
}

// start begins a life of the machine; mu must be held.
func (m *machine) start() {
	l, err := net.Listen("tcp", m.address)
	for tries := 0; err != nil; tries++ {
		if tries == 5 {
			panic(err)
		}
		// A connection of another process may have taken the port.
		m.address = freeAddress("127.0.0.1")
		l, err = net.Listen("tcp", m.address)
	}
	m.fleet.lives++
	m.listed = false
	next := fmt.Sprintf("i-%04d", m.fleet.lives)
	if m.nextID != "" {
		next, m.nextID = m.nextID, ""
	}
	m.id, m.born, m.up = next, time.Now(), true
	m.seq, m.fence, m.lease, m.lastEnd = 0, 0, 0, 0
	m.runs, m.highest, m.ended, m.changed = map[string]*run{}, map[string]int64{}, nil, make(chan struct{})
	m.unseen = map[int64]*doneEnd{}
	mux := http.NewServeMux()
	id := m.id
	for path, h := range map[string]func(http.ResponseWriter, *http.Request, string){"POST /run-start": m.runStart,
		"POST /run-stop": m.runStop, "POST /hold": m.hold, "POST /pace": m.pace} {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Target-Instance") != id {
				reply(w, http.StatusMisdirectedRequest, nil)
				return
			}
			h(w, r, id)
		})
	}
	m.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(l) }(m.server)
	time.AfterFunc(m.fleet.entryLag, func() {
		m.fleet.mu.Lock()
		defer m.fleet.mu.Unlock()
		if m.up && m.id == id {
			m.listed = true
			m.report()
		}
	})
}

// report writes the worker's entry; mu must be held.
func (m *machine) report() {
	m.seq++
	entry := map[string]any{"service": m.fleet.pool, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8,
		"state": "ready", "coldRemainingMs": 0, "seq": m.seq, "capacity": map[string]int64{"cpu": m.cpu, "memMb": 131072, "gpu": 0},
		"labels": []string{"a", m.rack}, "machine": m.name, "born": m.born.UnixMilli()}
	m.fleet.store.put("servers", m.id, entry)
}

// end ends the present life; its entry is removed now, or after three heartbeats if the worker falls silent. mu must be held.
func (m *machine) end(how string, silent bool) {
	m.up, m.listed = false, false
	_ = m.server.Close()
	m.fleet.record.add("worker %s on %s ends (%s) with %d runs", m.id, m.name, how, len(m.runs))
	m.runs = map[string]*run{}
	id := m.id
	if !silent {
		m.fleet.store.put("servers", id, nil)
		return
	}
	time.AfterFunc(3*heartbeat, func() {
		m.fleet.mu.Lock()
		defer m.fleet.mu.Unlock()
		if m.id != id || !m.listed {
			m.fleet.store.put("servers", id, nil)
		}
	})
}

// crash ends the worker of a machine without a word. After a time it starts again under its id, or another one does.
func (f *fleet) crash(m *machine, down time.Duration, sameID bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !m.up {
		return
	}
	id := m.id
	m.end("crash", true)
	time.AfterFunc(down, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if sameID {
			m.nextID = id
		}
		m.start()
		f.record.add("worker %s on %s is up", m.id, m.name)
	})
}

// down returns the number of machines whose worker has crashed and is not back yet.
func (f *fleet) down() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.machines {
		if !m.up {
			n++
		}
	}
	return n
}

// tick ends the runs that are due and writes heartbeats.
func (f *fleet) tick() {
	last := time.Now()
	for ; ; time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		beat := time.Since(last) >= heartbeat
		if beat {
			last = time.Now()
		}
		for _, m := range f.machines {
			if !m.up {
				continue
			}
			m.endRuns()
			if beat && m.listed {
				m.report()
			}
		}
		f.mu.Unlock()
	}
}

// clock is the worker's steady clock in milliseconds.
func (m *machine) clock() int64 { return time.Since(m.born).Milliseconds() }

// endRuns ends the runs that are due; mu must be held.
func (m *machine) endRuns() {
	if m.clock() > m.lease {
		m.lapsedAt = time.Now()
	}
	for task, r := range m.runs {
		switch {
		case m.clock() > m.lease:
			m.endRun(task, r, "lapsed")
		case !r.stopping.IsZero() && time.Now().After(r.stopping):
			m.endRun(task, r, "stopped")
		case r.work > 0 && time.Since(r.began) >= r.work:
			m.endRun(task, r, "done")
		}
	}
}

func (m *machine) endRun(task string, r *run, how string) {
	delete(m.runs, task)
	m.highest[task] = max(m.highest[task], r.number)
	m.lastEnd++
	m.ended = append(m.ended, []any{m.lastEnd, task, r.number, how, ""})
	if how == "done" {
		d := &doneEnd{at: time.Now()}
		m.unseen[m.lastEnd] = d
		h := m.fleet.task(task)
		h.done = append(h.done, d)
	}
	job, _, _ := strings.Cut(task, ".")
	if m.fleet.ends[job] == nil {
		m.fleet.ends[job] = map[string]int{}
	}
	m.fleet.ends[job][how]++
	m.fleet.record.add("run %s %d on %s ends %s", task, r.number, m.id, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

// orderBody is the body of a call to a worker.
type orderBody struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	UntilMS  int64  `json:"untilMs"`
	Fence    int64  `json:"fence"`
	LastSeen int64  `json:"lastSeen"`
	WaitMS   int64  `json:"waitMs"`
}

// accept decodes a call and checks its fence; it locks mu and reports whether the call goes on with mu held.
func (m *machine) accept(w http.ResponseWriter, r *http.Request, id string) (b orderBody, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{"clockMs": 0})
		return b, false
	}
	m.fleet.mu.Lock()
	if m.fleet.isHeld(m, b, r.URL.Path) {
		m.fleet.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !m.up || m.id != id {
		m.fleet.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	m.endRuns()
	if b.Fence < m.fence {
		m.decline(w, "fence")
		return b, false
	}
	m.fence = b.Fence
	return b, true
}

// decline answers a call and unlocks mu.
func (m *machine) decline(w http.ResponseWriter, reason string) {
	clock, born := m.clock(), m.born.UnixMilli()
	m.fleet.mu.Unlock()
	reply(w, http.StatusConflict, map[string]any{"clockMs": clock, "born": born, "reason": reason})
}

func (m *machine) done(w http.ResponseWriter) {
	clock, born := m.clock(), m.born.UnixMilli()
	m.fleet.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"clockMs": clock, "born": born})
}

// extend extends the lease of everything on the worker; it never shortens.
func (m *machine) extend(until int64) {
	m.lease = max(m.lease, min(until, m.clock()+maxLease.Milliseconds()))
}

func (m *machine) runStart(w http.ResponseWriter, r *http.Request, id string) {
	b, ok := m.accept(w, r, id)
	if !ok {
		return
	}
	if reason := m.begin(b); reason != "" {
		m.decline(w, reason)
		return
	}
	m.done(w)
}

// begin begins a run, or returns why it does not; the fleet's mutex must be held.
func (m *machine) begin(b orderBody) (reason string) {
	if x := m.runs[b.Task]; x != nil && x.number == b.Run {
		return ""
	}
	var s shape
	if err := json.Unmarshal([]byte(b.Spec), &s); err != nil {
		m.fleet.record.add("start of %s with another spec", b.Task)
	}
	used := int64(0)
	for _, x := range m.runs {
		used += x.cpu
	}
	switch {
	case b.UntilMS < m.clock():
		return "late"
	case b.Run <= m.highest[b.Task]:
		m.extend(b.UntilMS)
		return "old"
	case used+s.CPU > m.cpu:
		m.extend(b.UntilMS)
		return "room"
	}
	m.extend(b.UntilMS)
	m.fleet.record.add("run %s %d on %s begins", b.Task, b.Run, m.id)
	m.fleet.noteOverlap(b.Task, b.Run, m)
	h := m.fleet.task(b.Task)
	h.starts = append(h.starts, time.Now())
	m.runs[b.Task] = &run{number: b.Run, cpu: s.CPU, began: time.Now(), work: time.Duration(s.WorkMS) * time.Millisecond}
	return ""
}

func (m *machine) runStop(w http.ResponseWriter, r *http.Request, id string) {
	b, ok := m.accept(w, r, id)
	if !ok {
		return
	}
	m.highest[b.Task] = max(m.highest[b.Task], b.Run)
	if x := m.runs[b.Task]; x != nil && x.number == b.Run && x.stopping.IsZero() {
		x.stopping = time.Now().Add(stopTime)
	}
	m.done(w)
}

func (m *machine) pace(w http.ResponseWriter, r *http.Request, id string) {
	if _, ok := m.accept(w, r, id); ok {
		m.done(w)
	}
}

func (m *machine) hold(w http.ResponseWriter, r *http.Request, id string) {
	b, ok := m.accept(w, r, id)
	if !ok {
		return
	}
	if b.UntilMS > 0 {
		m.extend(b.UntilMS)
	}
	for len(m.ended) > 0 && m.ended[0][0].(int64) <= b.LastSeen {
		n := m.ended[0][0].(int64)
		if d := m.unseen[n]; d != nil {
			d.noted = !m.lapsedAt.After(d.at)
			delete(m.unseen, n)
		}
		m.ended = m.ended[1:]
	}
	end := time.After(time.Duration(min(b.WaitMS, 2000)) * time.Millisecond)
	for waiting := b.WaitMS > 0; waiting && len(m.ended) == 0; {
		changed := m.changed
		m.fleet.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		m.fleet.mu.Lock()
		if !m.up || m.id != id {
			m.fleet.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	running := [][]any{}
	for task, x := range m.runs {
		percent := 100
		if time.Since(x.began) < startupDelay {
			percent = 0
		}
		running = append(running, []any{task, x.number, "", percent, 0})
	}
	ended := append([][]any{}, m.ended[:min(len(m.ended), maxListed)]...)
	clock, born := m.clock(), m.born.UnixMilli()
	m.fleet.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"clockMs": clock, "born": born, "running": running, "ended": ended})
}
