package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run; it is written as it comes.
type record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
}

func (r *record) add(who, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %-9s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, values...))
	if _, err := r.file.WriteString(line); err != nil {
		panic(err)
	}
}

// need is what a task reserves on its worker and how long it works; a task that lasts has no end. A run works longer by up to
// Spread.
type need struct {
	CPU, Memory  int64
	Work, Spread time.Duration
}

// execution is a run of a task on a worker, as the worker knows it.
type execution struct {
	task    string
	number  int64
	worker  string
	from    time.Time
	to      time.Time
	how     string
	notedAt time.Time
}

// platform is the platform with its workers, and what a check needs to know of the runs.
type platform struct {
	record  *record
	store   *store
	workers []*worker
	// intercept is asked about each order to start a task; it returns true to leave the order unanswered.
	intercept func(w *worker, b orderBody, q *http.Request) bool
	// holdBack is the same for calls of /hold.
	holdBack func(w *worker, b orderBody) bool

	mu         sync.Mutex
	needs      map[string][]need
	executions []*execution
}

func newPlatform(r *record) *platform {
	return &platform{record: r, store: newStore(), needs: map[string][]need{}}
}

// addWorkers adds workers of a pool in a zone, all in one rack.
func (p *platform) addWorkers(pool, zone, rack string, count int) error {
	for range count {
		n := len(p.workers)
		w := &worker{id: fmt.Sprintf("i-%04d", n), machine: fmt.Sprintf("m-%04d", n), pool: pool, zone: zone, rack: rack,
			platform: p}
		var err error
		if w.address, err = serve(w); err != nil {
			return err
		}
		p.workers = append(p.workers, w)
	}
	return nil
}

// worker returns the worker with an id, or nil.
func (p *platform) worker(id string) *worker {
	for _, w := range p.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// serve serves a handler on a free port.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return l.Addr().String(), nil
}

// machines lists the machines. One whose worker is down is down itself.
func (p *platform) machines() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(w http.ResponseWriter, _ *http.Request) {
		list := []any{}
		for _, x := range p.workers {
			x.mu.Lock()
			state, id := "up", x.id
			if x.life == nil {
				state, id = "down", ""
			}
			x.mu.Unlock()
			list = append(list, map[string]any{"machine": x.machine, "pool": x.pool, "state": state, "zone": x.zone,
				"labels": []string{"a", x.rack}, "capacity": map[string]int{"cpu": workerCPU, "memMb": workerMemory, "gpu": 0}, "id": id})
		}
		answer(w, http.StatusOK, map[string]any{"machines": list, "next": nil})
	})
	decline := func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusBadRequest, struct{}{}) }
	mux.HandleFunc("POST /machine-move", decline)
	mux.HandleFunc("POST /machine-upkeep", decline)
	return mux
}

// setNeeds sets what the tasks of each step of a job need.
func (p *platform) setNeeds(job string, steps []need) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.needs[job] = steps
}

func (p *platform) needOf(task string) need {
	job, step, err := stepOf(task)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || step >= len(p.needs[job]) {
		return need{}
	}
	return p.needs[job][step]
}

func (p *platform) started(task string, number int64, worker string) {
	p.record.add("run", "%s run %d starts on %s", task, number, worker)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.executions = append(p.executions, &execution{task: task, number: number, worker: worker, from: time.Now()})
}

func (p *platform) ranUntilNow(task string, number int64, worker, how string) {
	p.record.add("run", "%s run %d on %s: %s", task, number, worker, how)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.executions {
		if x.task == task && x.number == number && x.worker == worker && x.to.IsZero() {
			x.to, x.how = time.Now(), how
		}
	}
}

// noted records that an end has been taken note of.
func (p *platform) noted(task string, number int64, worker string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.executions {
		if x.task == task && x.number == number && x.worker == worker && !x.to.IsZero() && x.notedAt.IsZero() {
			x.notedAt = time.Now()
		}
	}
}

// history returns the runs of the tasks of a job so far.
func (p *platform) history(job string) []execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []execution
	for _, x := range p.executions {
		if j, _, err := stepOf(x.task); err == nil && j == job {
			list = append(list, *x)
		}
	}
	return list
}
