package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	program  = "target/yuccahaven"
	hostName = "jobs.example"
	apiKey   = "key-of-the-tenant"
)

// instance is one process of the system.
type instance struct {
	name, zone, front, ready, log string
	settings                      string
	process                       *exec.Cmd
	exited                        chan struct{}
}

// deployment is the platform and the system's processes on loopback addresses.
type deployment struct {
	*platform
	dir       string
	instances []*instance
	client    *http.Client
}

// Ports for the instances are taken from below those that the system gives to outgoing connections.
const lowestPort, highestPort = 15000, 30000

// freePorts returns the first of some successive ports that are free now.
func freePorts(count int) (int, error) {
	for range 100 {
		first := lowestPort + rand.IntN(highestPort-lowestPort-count)
		free := true
		for i := 0; free && i < count; i++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+i))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

// configOf returns the operator's config with a queue of finite jobs, of a pool, and one of jobs that last, of pool-a.
func configOf(version int, pool string) map[string]any {
	queue := func(name, prefix, pool string, target int) map[string]any {
		return map[string]any{"name": name, "host": hostName, "prefix": prefix, "type": "non_idempotent", "timeoutMs": 3000,
			"targetDurationMs": target, "priority": 0, "service": pool, "attempts": 2, "stretch": 2, "authExempt": false}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false,
			"coldStartS": 0, "coldPerS": 0, "enforcesCapacity": true, "spare": false}
	}
	return map[string]any{"version": version, "routes": []any{queue("r-finite", "/finite/", pool, 600),
		queue("r-lasting", "/lasting/", "pool-a", 2500)}, "services": []any{service("pool-a"), service("pool-b")},
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "tenant", "apiKeys": []string{apiKey}, "priority": 1, "weight": 1,
			"cap": map[string]int{"cpu": 0, "memMb": 0, "gpu": 0}}}}
}

// newDeployment starts the platform with its workers, then the system with an instance in each zone, and waits until all are
// ready.
func newDeployment(p *platform, zones []string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{platform: p, dir: dir, client: &http.Client{Timeout: 4 * time.Second}}
	storeAddress, err := serve(p.store.handler())
	if err != nil {
		return d, err
	}
	cloudAddress, err := serve(p.machines())
	if err != nil {
		return d, err
	}
	p.store.put("op", "config", configOf(1, "pool-a"))
	for _, w := range p.workers {
		w.begin()
	}
	for i, zone := range zones {
		if err := d.launch(i, zone, zones, storeAddress, cloudAddress); err != nil {
			return d, err
		}
	}
	for began := time.Now(); !d.allReady(); time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > 20*time.Second {
			return d, errors.New("the instances are not ready after 20 s")
		}
	}
	p.record.add("platform", "all instances are ready")
	return d, nil
}

func (d *deployment) launch(i int, zone string, zones []string, storeAddress, cloudAddress string) error {
	first, err := freePorts(4)
	if err != nil {
		return err
	}
	x := &instance{name: fmt.Sprintf("edge-%s-%d", zone, i), zone: zone, front: fmt.Sprintf("127.0.0.1:%d", first+2),
		ready: fmt.Sprintf("127.0.0.1:%d", first+3), exited: make(chan struct{})}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "region"
	}
	settings := map[string]any{"node": x.name, "role": "entry", "class": "edge", "serves": []string{"edge"}, "ip": "127.0.0.1",
		"zone": zone, "region": "region", "zones": regions, "listen": map[string]string{"front": x.front, "ready": x.ready},
		"internalPorts": []int{first, first + 1}, "seeds": []string{}, "bootstrap": true,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": beatInterval.Milliseconds(),
		"tolerate": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
			"configApplyMs": 2000, "evacuateMs": 5000, "recoveryS": 12, "holdMaxMs": maxHold.Milliseconds(), "stopMs": 900,
			"gangMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
			"checkpointS": 2, "restoreMs": 600, "noticeMs": 4500, "moveS": 1.5, "upkeepS": 2, "requireFence": false,
			"leaseMs": 3000, "paceMs": 100},
		"orders": "call", "advice": "",
		"platform": map[string]any{"address": storeAddress, "form": "table", "writesPerS": 600, "readsPerS": 2000, "txMs": 5.0,
			"partWritesPerS": 200, "rowBytes": 65536, "across": false, "historyS": 20},
		"cloud": map[string]any{"address": cloudAddress, "ratePerS": 64.0, "duties": []string{}, "dutyPerS": 64.0}}
	x.settings = filepath.Join(d.dir, x.name+".json")
	if err := os.WriteFile(x.settings, mustJSON(settings), 0o600); err != nil {
		return err
	}
	d.instances = append(d.instances, x)
	return d.startProcess(x)
}

// startProcess starts an instance with the command of the deploy file.
func (d *deployment) startProcess(x *instance) error {
	log, err := os.OpenFile(filepath.Join(d.dir, x.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	x.log = log.Name()
	x.process = exec.Command(program, "attach")
	x.process.Env = []string{"YUCCAHAVEN_BOOT=" + x.settings, "PATH=" + os.Getenv("PATH")}
	x.process.Stdout, x.process.Stderr = log, log
	if err := x.process.Start(); err != nil {
		return err
	}
	d.record.add("platform", "process %s starts", x.name)
	process, exited := x.process, x.exited
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

func (d *deployment) allReady() bool {
	for _, x := range d.instances {
		r, err := d.client.Get("http://" + x.ready + "/readiness")
		if err != nil {
			return false
		}
		_ = r.Body.Close()
		if r.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// close ends all processes. With KEEP=1 the logs of the instances stay.
func (d *deployment) close() {
	for _, x := range d.instances {
		if x.process == nil || x.process.Process == nil {
			continue
		}
		_ = x.process.Process.Signal(syscall.SIGTERM)
	}
	for _, x := range d.instances {
		if x.process == nil || x.process.Process == nil {
			continue
		}
		select {
		case <-x.exited:
		case <-time.After(7 * time.Second):
			_ = x.process.Process.Kill()
			<-x.exited
		}
	}
	if os.Getenv("KEEP") == "1" {
		fmt.Println("logs:", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

// call sends a request of a consumer to an instance; the status is 0 without an answer.
func (d *deployment) call(x *instance, method, path string, body any) (status int, reply string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var content io.Reader
	if body != nil {
		content = bytes.NewReader(mustJSON(body))
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+x.front+path, content)
	if err != nil {
		return 0, err.Error()
	}
	q.Host = hostName
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Authorization", "Token "+apiKey)
	q.Header.Set("X-Request-Deadline-Ms", "3000")
	r, err := d.client.Do(q)
	if err != nil {
		d.record.add("consumer", "%s %s to %s: no answer", method, path, x.name)
		return 0, err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, err.Error()
	}
	d.record.add("consumer", "%s %s to %s: %d %s", method, path, x.name, r.StatusCode, strings.TrimSpace(string(b)))
	return r.StatusCode, string(b)
}

// submit hands in a job until an instance accepts it.
func (d *deployment) submit(path string, body any) error {
	for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(200 * time.Millisecond) {
		for _, x := range d.instances {
			if status, _ := d.call(x, http.MethodPost, path, body); status == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not accepted", path)
}

// state returns the state that an instance shows of a job, "" without one.
func (d *deployment) state(path string) string {
	for _, x := range d.instances {
		status, reply := d.call(x, http.MethodGet, path, nil)
		if status == http.StatusGone {
			return "gone"
		}
		for _, s := range []string{"pending", "running", "completed", "failed", "cancelled"} {
			if status == http.StatusOK && strings.Contains(reply, `"`+s+`"`) {
				return s
			}
		}
	}
	return ""
}
