package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// errSetup means that a case could not run.
var errSetup = errors.New("the case could not run")

// Names of the deployment.
const (
	service = "quote-desk"
	host    = "quote.example"
	prefix  = "/quote/"
	apiKey  = "key-of-the-tenant"
	zones   = 3
)

// options are what differs between the cases.
type options struct {
	instances, workers int
	// decideMS, eachMS and validMS are those of the queue's policy; without a policy they are 0.
	decideMS, eachMS, validMS int
	// attempts is that of the queue.
	attempts int
}

// instance is an entry instance: a process of the system.
type instance struct {
	name, ip, front, ready string
	settings               string
	process                *exec.Cmd
	exited                 chan struct{}
}

// deployment is a small deployment with stand-ins around real entry instances.
type deployment struct {
	options
	record    *record
	store     *store
	fleet     *fleet
	folder    string
	program   string
	instances []*instance
	version   int64
	advisor   string
	servers   []*http.Server
	client    *http.Client
}

// serve serves a stand-in on a free port of a loopback address.
func (d *deployment) serve(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// newDeployment starts the stand-ins and the entry instances.
func newDeployment(r *record, program string, o options) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{options: o, record: r, folder: folder, program: program, store: newStore(r),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	d.fleet = newFleet(r, d.store, "127.0.0.1")
	if o.validMS > 0 {
		d.fleet.advice = newAdvice(millis(o.decideMS), millis(o.eachMS), millis(o.validMS))
		if d.advisor, err = d.serve("127.0.0.1", d.fleet.advice.handler()); err != nil {
			return d, err
		}
	}
	d.configure(true)
	for i := range o.workers {
		if _, err := d.fleet.add(fmt.Sprintf("m-%05d", i), service, zoneOf(i), fmt.Sprintf("r%d-%d", i%zones, i/4),
			need{CPU: 32000, Memory: 131072}); err != nil {
			return d, err
		}
	}
	machines, err := d.serve("127.0.0.1", cloud{d.fleet}.handler())
	if err != nil {
		return d, err
	}
	port, err := freePorts(o.instances)
	if err != nil {
		return d, err
	}
	for i := range o.instances {
		if err := d.startInstance(i, port, machines); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady()
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func zoneOf(i int) string { return fmt.Sprintf("zone-%d", i%zones) }

func ipOf(i int) string { return fmt.Sprintf("127.0.1.%d", i+1) }

// Ports below those that systems choose for outgoing connections, which could take them before an instance listens again.
const firstPort, lastPort, portStep = 20000, 32000, 20

// freePorts returns the first of ports that are free on the addresses of all instances.
func freePorts(instances int) (int, error) {
	for port := firstPort + os.Getpid()%500*portStep; port < lastPort; port += portStep {
		free := true
		for i := range instances {
			for p := port; p < port+4 && free; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ipOf(i), p))
				if free = err == nil; free {
					_ = l.Close()
				}
			}
		}
		if free {
			return port, nil
		}
	}
	return 0, errors.New("no free ports")
}

// configure writes the next config, with or without the queue of the cases. Another queue is always there.
func (d *deployment) configure(withQueue bool) {
	d.version += 3
	type object = map[string]any
	queue := func(name, prefix string) object {
		q := object{"name": name, "host": host, "prefix": prefix, "type": "non_idempotent", "timeoutMs": 3000,
			"targetDurationMs": 2500, "priority": 0, "service": service, "attempts": max(d.attempts, 2), "stretch": 2.0, "authExempt": false}
		if d.validMS > 0 {
			q["advice"] = object{"decideMs": d.decideMS, "eachMs": d.eachMS, "validMs": d.validMS}
		}
		return q
	}
	routes := []object{queue("r-other", "/other/")}
	if withQueue {
		routes = append(routes, queue("r-quote", prefix))
	}
	value, err := json.Marshal(object{"version": d.version, "routes": routes,
		"services": []object{{"name": service, "healthPath": "/health", "enforcesCapacity": true}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []object{{"name": "agents", "apiKeys": []string{apiKey}, "weight": 1,
			"cap": object{"cpu": 0, "memMb": 0, "gpu": 0}}}})
	if err != nil {
		panic(err)
	}
	d.store.put("op", "config", value)
	d.record.log("operator: config %d confirmed, the queue is there: %t", d.version, withQueue)
}

// startInstance writes the settings of an entry instance and starts it with the command of the deploy file.
func (d *deployment) startInstance(i, port int, machines string) error {
	x := &instance{name: fmt.Sprintf("edge-%s-%d", zoneOf(i), i), ip: ipOf(i)}
	storeAddress, err := d.serve("127.0.0.1", d.store.handler(x.name))
	if err != nil {
		return err
	}
	x.front, x.ready = fmt.Sprintf("%s:%d", x.ip, port+2), fmt.Sprintf("%s:%d", x.ip, port+3)
	type object = map[string]any
	s := object{"node": x.name, "role": "entry", "class": "edge", "serves": []string{"edge"}, "ip": x.ip, "zone": zoneOf(i),
		"region": "st-catherine", "listen": object{"front": x.front, "ready": x.ready},
		"internalPorts": []int{port, port + 1}, "bootstrap": true, "inTolerance": false, "discovery": "platform", "entry": "vip",
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "places", "platform", "advice", "upkeep"},
		"tolerate":  object{"machines": 2, "zones": 1, "regions": 0}, "heartbeatMs": heartbeat.Milliseconds(), "orders": "call",
		"limits": object{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0},
		"bounds": object{"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "configApplyMs": 2000, "holdMaxMs": 10000,
			"stopMs": 900, "gangMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
			"checkpointS": 2, "restoreMs": 600, "moveS": 1.5, "upkeepS": 2, "requireFence": false, "leaseMs": 3000},
		"platform": object{"address": storeAddress, "form": "table", "writesPerS": 600, "readsPerS": 2000, "txMs": 5.0,
			"partWritesPerS": 200, "rowBytes": rowBytes, "across": false, "historyS": 20},
		"cloud":  object{"address": machines, "ratePerS": 64.0, "duties": []string{}, "dutyPerS": 64.0},
		"advice": d.advisor}
	value, err := json.Marshal(s)
	if err != nil {
		return err
	}
	x.settings = filepath.Join(d.folder, x.name+".json")
	if err := os.WriteFile(x.settings, value, 0o600); err != nil {
		return err
	}
	d.instances = append(d.instances, x)
	return d.launch(x)
}

func (d *deployment) launch(x *instance) error {
	out, err := os.OpenFile(filepath.Join(d.folder, x.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	x.process = exec.Command(d.program, "attach")
	x.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "YUCCAHAVEN_BOOT=" + x.settings}
	x.process.Stdout, x.process.Stderr = out, out
	if err := x.process.Start(); err != nil {
		return err
	}
	d.record.log("instance %s: started at %s", x.name, x.front)
	exited := make(chan struct{})
	x.exited = exited
	go func() {
		_ = x.process.Wait()
		_ = out.Close()
		d.record.log("instance %s: process ended: %v", x.name, x.process.ProcessState)
		close(exited)
	}()
	return nil
}

// awaitReady waits until a job could be submitted.
func (d *deployment) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		ready := 0
		for i := range d.instances {
			if status, _ := d.call(i, http.MethodGet, prefix, nil, time.Second); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.instances) {
			d.record.log("all instances answer")
			// Workers' run lists are read by now.
			time.Sleep(2 * time.Second)
			return nil
		}
	}
	return fmt.Errorf("%w: the instances don't serve", errSetup)
}

// call sends a request to the front of an instance; status 0 means no answer.
func (d *deployment) call(i int, method, path string, body []byte, deadline time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+d.instances[i].front+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	q.Host = host
	q.Header.Set("Authorization", "Token "+apiKey)
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Request-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	res, err := d.client.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, strings.TrimSpace(string(b))
}

// isReady makes the platform's readiness check of an instance.
func (d *deployment) isReady(i int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.instances[i].ready+"/readiness", nil)
	if err != nil {
		return false
	}
	res, err := d.client.Do(q)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// step is a step of a job.
type step struct {
	Count       int   `json:"count,omitempty"`
	CPU         int64 `json:"cpu"`
	Memory      int64 `json:"memMb"`
	EstimateMS  int64 `json:"estimateMs"`
	After       []int `json:"after,omitempty"`
	Saves       bool  `json:"savesProgress,omitempty"`
	Gang        bool  `json:"gang,omitempty"`
	LongRunning bool  `json:"longRunning,omitempty"`
}

// bodyOf returns the body of a job.
func bodyOf(p plan, steps ...step) []byte {
	spec, err := json.Marshal(p)
	if err != nil {
		panic(err)
	}
	b, err := json.Marshal(map[string]any{"spec": string(spec), "steps": steps})
	if err != nil {
		panic(err)
	}
	return b
}

// submit hands a job in, again and at the next instance after no answer, 502, 503 and 504, and returns whether it was
// accepted.
func (d *deployment) submit(first int, id string, body []byte) bool {
	for n := range 5 {
		i := (first + n) % len(d.instances)
		status, text := d.call(i, http.MethodPost, prefix+id, body, 3*time.Second)
		d.record.log("consumer: POST %s at %s: %d %s", id, d.instances[i].name, status, text)
		if status >= 200 && status < 300 {
			return true
		}
		if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
			time.Sleep(time.Second)
		}
	}
	return false
}

// state asks for the state of a job.
func (d *deployment) state(i int, id string) (int, string) {
	status, text := d.call(i, http.MethodGet, prefix+id, nil, 3*time.Second)
	d.record.log("consumer: GET %s at %s: %d %s", id, d.instances[i].name, status, text)
	return status, text
}

// index returns the number of an instance with a name, or -1.
func (d *deployment) index(name string) int {
	for i, x := range d.instances {
		if x.name == name {
			return i
		}
	}
	return -1
}

// close ends all processes and stand-ins. The logs of the instances stay if keep names a folder.
func (d *deployment) close(keep string) {
	for _, x := range d.instances {
		if x.process != nil && x.process.Process != nil {
			// A process that has ended already is no fault here.
			_ = x.process.Process.Signal(syscall.SIGKILL)
			<-x.exited
		}
	}
	close(d.fleet.done)
	for _, s := range d.servers {
		_ = s.Close()
	}
	if keep != "" {
		for _, x := range d.instances {
			if b, err := os.ReadFile(filepath.Join(d.folder, x.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, x.name+".log"), b, 0o600)
			}
		}
	}
	_ = os.RemoveAll(d.folder)
}

// terms returns how often leadership was acquired, by the logs of the instances.
func (d *deployment) terms() int {
	n := 0
	for _, x := range d.instances {
		if b, err := os.ReadFile(filepath.Join(d.folder, x.name+".log")); err == nil {
			n += strings.Count(string(b), "elect: leadership acquired")
		}
	}
	return n
}
