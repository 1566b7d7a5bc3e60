// Command stand3 plays one case of a review: it stands in for the platform, the workers, the operator and the callers of
// a small deployment and starts the project's entry instances as separate processes.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// stand is what a case plays with.
type stand struct {
	record  *record
	store   *store
	fleet   *fleet
	system  *system
	client  *client
	trouble bool
	seed    uint64
	jobs    jobList
}

// plan is the size of a case.
type plan struct {
	zones            []string
	entries, workers int
	cpu              int64
	play             func(*stand) int
}

var zones = []string{"north", "south", "west"}

var plans = map[string]plan{
	"crash":  {zones: zones, entries: 6, workers: 15, cpu: 32000, play: playCrash},
	"upkeep": {zones: zones, entries: 6, workers: 30, cpu: 32000, play: playUpkeep},
	"late":   {zones: zones, entries: 6, workers: 8, cpu: 32000, play: playLate},
	"ends":   {zones: zones, entries: 6, workers: 9, cpu: 32000, play: playEnds},
}

func main() {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/yuccahaven", "the project's program")
	out := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	seed := flag.Uint64("seed", uint64(time.Now().UnixNano()), "seed of the random choices")
	logs := flag.String("logs", "", "folder in which the logs of the processes are kept")
	flag.Parse()
	os.Exit(play(*name, *program, *out, *logs, *seed))
}

func play(name, program, out, logs string, seed uint64) int {
	p, ok := plans[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return failed
	}
	rec, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	dir := logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "stand3-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return failed
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	if program, err = filepath.Abs(program); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s := &stand{record: rec, store: newStore(), trouble: os.Getenv("TROUBLE") != "0", seed: seed}
	rec.add("case %s, seed %d, trouble %v", name, seed, s.trouble)
	s.store.put("op", "config", config(1))
	s.fleet = newFleet(s.store, rec, "work", p.zones, p.workers, p.cpu)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	s.system = newSystem(program, dir, rec, p.zones, p.entries, s.store, serve(s.fleet.cloudHandler()))
	defer s.system.stop()
	go func() {
		<-signals
		s.system.stop()
		os.Exit(failed)
	}()
	s.client = newClient(s.system)
	for began := time.Now(); s.client.call("GET", "/q/", nil).status != 200; time.Sleep(200 * time.Millisecond) {
		if time.Since(began) > 15*time.Second {
			rec.add("the system does not start")
			return failed
		}
	}
	return p.play(s)
}

// config is the operator's config: one queue, one service and one tenant without a cap.
func config(version int) map[string]any {
	return map[string]any{"version": version,
		"routes": []any{map[string]any{"name": "queue", "host": "jobs.example", "prefix": "/q/", "timeoutMs": 3000,
			"targetDurationMs": 600, "priority": 0, "service": "work", "attempts": 3, "stretch": 1.6}},
		"services": []any{map[string]any{"name": "work", "enforcesCapacity": true}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 60000},
		"tenants": []any{map[string]any{"name": "one", "apiKeys": []string{"key-one"}, "weight": 10,
			"cap": map[string]int{"cpu": 0, "memMb": 0, "gpu": 0}}}}
}

// jobList holds the jobs that were accepted, with the last state that a caller read.
type jobList struct {
	mu     sync.Mutex
	states map[string]string
	order  []string
}

// set records the state of a job and reports whether it is new.
func (l *jobList) set(id, state string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.states == nil {
		l.states = map[string]string{}
	}
	old, known := l.states[id]
	if !known {
		l.order = append(l.order, id)
	}
	l.states[id] = state
	return !known || old != state
}
