package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run.
type record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{began: time.Now(), file: f}, err
}

// add adds a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// freeAddress returns an address with a port that is free.
func freeAddress(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// portsFree reports whether some ports of several addresses are free.
func portsFree(ips []string, ports ...int) bool {
	for _, ip := range ips {
		for _, p := range ports {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// serve serves a handler on a free loopback address.
func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// entry is one entry instance, a process of the project.
type entry struct {
	name, front, settings, log string
	command                    *exec.Cmd
	stopped                    bool
}

// system is the deployment of entry instances.
type system struct {
	program, dir string
	record       *record
	mu           sync.Mutex
	entries      []*entry
}

// newSystem writes the settings of a number of entry instances and starts them.
func newSystem(program, dir string, rec *record, zones []string, count int, st *store, cloudAddress string) *system {
	y := &system{program: program, dir: dir, record: rec}
	var ips []string
	for i := range count {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", 11+i))
	}
	port := 20000 + os.Getpid()%20000
	for !portsFree(ips, port, port+1, port+2, port+3) {
		port += 16
	}
	names := map[string]string{}
	for _, z := range zones {
		names[z] = "region"
	}
	for i, ip := range ips {
		e := &entry{name: fmt.Sprintf("edge-%d", i+1), front: fmt.Sprintf("%s:%d", ip, port+2)}
		e.settings, e.log = filepath.Join(dir, e.name+".json"), filepath.Join(dir, e.name+".log")
		settings := map[string]any{"node": e.name, "role": "entry", "class": "edge", "serves": []string{"edge"}, "ip": ip,
			"zone": zones[i%len(zones)], "region": "region", "zones": names,
			"listen":        map[string]string{"front": e.front, "ready": fmt.Sprintf("%s:%d", ip, port+3)},
			"internalPorts": []int{port, port + 1}, "seeds": []string{}, "bootstrap": true, "inTolerance": false,
			"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": heartbeat.Milliseconds(),
			"tolerate": map[string]int{"machines": 2, "zones": 1, "regions": 0}, "orders": "call",
			"bounds": map[string]any{"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
				"configApplyMs": 2000, "evacuateMs": 5000, "recoveryS": 12, "holdMaxMs": maxLease.Milliseconds(), "stopMs": 400,
				"gangMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "farX": 3,
				"checkpointS": 1, "restoreMs": 600, "noticeMs": 4500, "moveS": 1.5, "upkeepS": 2, "requireFence": false,
				"leaseMs": 3000, "thawMs": 300, "paceMs": 100, "harmMs": 4000},
			"platform": map[string]any{"address": serve(st.handler(e.name)), "form": "table", "writesPerS": 600, "readsPerS": 2000, "txMs": 5.0,
				"partWritesPerS": 200, "rowBytes": 65536, "across": false, "historyS": 20},
			"cloud": map[string]any{"address": cloudAddress, "ratePerS": 64.0, "duties": []string{}, "dutyPerS": 64.0}}
		b, err := json.Marshal(settings)
		if err == nil {
			err = os.WriteFile(e.settings, b, 0o600)
		}
		if err != nil {
			panic(err)
		}
		y.entries = append(y.entries, e)
	}
	for _, e := range y.entries {
		y.start(e)
	}
	return y
}

// start starts the process of an instance; mu need not be held at the first start.
func (y *system) start(e *entry) {
	f, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	e.command = exec.Command(y.program, "attach")
	e.command.Env = append(os.Environ(), "YUCCAHAVEN_BOOT="+e.settings)
	e.command.Stdout, e.command.Stderr = f, f
	if err := e.command.Start(); err != nil {
		panic(err)
	}
	_ = f.Close()
}

// kill ends the process of an instance at once and starts it again after a time.
func (y *system) kill(name string, down time.Duration) {
	for _, e := range y.entries {
		if e.name != name {
			continue
		}
		y.mu.Lock()
		p := e.command
		y.mu.Unlock()
		y.record.add("SIGKILL to %s", e.name)
		_ = p.Process.Kill()
		_ = p.Wait()
		time.Sleep(down)
		y.mu.Lock()
		if !e.stopped {
			y.start(e)
			y.record.add("%s started again", e.name)
		}
		y.mu.Unlock()
	}
}

// stop ends all processes.
func (y *system) stop() {
	y.mu.Lock()
	defer y.mu.Unlock()
	for _, e := range y.entries {
		e.stopped = true
		_ = e.command.Process.Kill()
		_ = e.command.Wait()
	}
}

// answer is the response to a call; status is 0 without one.
type answer struct {
	status int
	body   []byte
}

// client calls the entry instances in turn, as callers behind the balancer do.
type client struct {
	system *system
	http   *http.Client
	mu     sync.Mutex
	next   int
}

func newClient(y *system) *client {
	return &client{system: y, http: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16,
		IdleConnTimeout: time.Second}}}
}

// call makes one attempt at the next instance.
func (c *client) call(method, path string, body any) answer {
	c.mu.Lock()
	c.next++
	e := c.system.entries[c.next%len(c.system.entries)]
	c.mu.Unlock()
	var in io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		in = bytes.NewReader(b)
	}
	q, err := http.NewRequest(method, "http://"+e.front+path, in)
	if err != nil {
		panic(err)
	}
	q.Host = "jobs.example"
	q.Header.Set("Authorization", "Token key-one")
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Request-Deadline-Ms", "3000")
	r, err := c.http.Do(q)
	if err != nil {
		return answer{}
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return answer{}
	}
	return answer{r.StatusCode, b}
}

// retried calls until there is a conclusive answer, for a number of attempts.
func (c *client) retried(method, path string, body any, attempts int) answer {
	var a answer
	for range attempts {
		a = c.call(method, path, body)
		switch a.status {
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			time.Sleep(100 * time.Millisecond)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			time.Sleep(time.Second)
		default:
			return a
		}
	}
	return a
}

// state returns the state of a job, "" if it could not be read.
func (c *client) state(id string) (string, int) {
	a := c.retried(http.MethodGet, "/q/"+id, nil, 8)
	var b struct {
		State string `json:"state"`
	}
	if json.Unmarshal(a.body, &b) != nil {
		return "", a.status
	}
	return strings.TrimSpace(b.State), a.status
}
