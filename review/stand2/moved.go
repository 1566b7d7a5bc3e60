package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// movedCase sends a queue to another pool and back, by two versions of the config, while tasks of its job run in the other pool.
// Then one of the workers there is cut off and runs on, and the process that leads is killed. No task may run twice at the same
// time.
func movedCase(trouble bool, r *record) error {
	const (
		full, job = "00000000000000e5", "00000000000000f6"
		poolA     = "pool-a"
		poolB     = "pool-b"
		cutTime   = 5 * time.Second
		watchTime = 10 * time.Second
	)
	p := newPlatform(r)
	for _, x := range []struct{ pool, zone, rack string }{{poolA, "zone-a", "r1-1"}, {poolA, "zone-b", "r1-2"},
		{poolB, "zone-a", "r2-1"}, {poolB, "zone-b", "r2-2"}} {
		if err := p.addWorkers(x.pool, x.zone, x.rack, 4); err != nil {
			return err
		}
	}
	d, err := newDeployment(p, []string{"zone-a", "zone-b", "zone-a"})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	p.setNeeds(full, []need{{CPU: workerCPU, Memory: 1000}})
	p.setNeeds(job, []need{{CPU: 4000, Memory: 1000, Work: 40 * time.Second}})
	if err := d.submit("/lasting/"+full, map[string]any{"spec": "full", "steps": []any{map[string]any{"count": 8, "cpu": workerCPU,
		"memMb": 1000, "longRunning": true, "antiAffinity": 1}}}); err != nil {
		return err
	}
	if err := awaitRuns(p, full, 8); err != nil {
		return err
	}
	if err := d.submit("/finite/"+job, map[string]any{"spec": "order", "steps": []any{map[string]any{"count": 40, "cpu": 4000,
		"memMb": 1000, "estimateMs": 40000}}}); err != nil {
		return err
	}
	r.add("operator", "version 2 sends the queue r-finite to %s", poolB)
	p.store.put("op", "config", configOf(2, poolB))
	if err := awaitRuns(p, job, 40); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		r.add("operator", "version 3 sends the queue r-finite to %s again", poolA)
		p.store.put("op", "config", configOf(3, poolA))
	}
	if status, _ := d.call(d.instances[0], http.MethodDelete, "/lasting/"+full, nil); status != http.StatusOK {
		return fmt.Errorf("cancelling %s: %d", full, status)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		cut := p.worker(p.history(job)[0].worker)
		r.add("trouble", "%s is cut off and runs on", cut.id)
		cut.setCut(true)
		time.AfterFunc(cutTime, func() {
			r.add("trouble", "the cut of %s heals", cut.id)
			cut.setCut(false)
		})
		time.Sleep(300 * time.Millisecond)
		if err := d.killLeader(); err != nil {
			return err
		}
	}
	for began := time.Now(); time.Since(began) < watchTime; time.Sleep(200 * time.Millisecond) {
		if err := ranTwice(p, job); err != nil {
			return err
		}
	}
	return nil
}

// killLeader kills the process that leads by its log, and starts it again half a second later.
func (d *deployment) killLeader() error {
	var leader *instance
	latest := ""
	for _, x := range d.instances {
		b, err := os.ReadFile(x.log)
		if err != nil {
			return err
		}
		for line := range strings.Lines(string(b)) {
			if _, at, ok := strings.Cut(line, `"ts":"`); ok && strings.Contains(line, "elect: leadership acquired") && at > latest {
				leader, latest = x, at
			}
		}
	}
	if leader == nil {
		return fmt.Errorf("no process leads")
	}
	d.record.add("trouble", "SIGKILL to %s", leader.name)
	if err := leader.process.Process.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-leader.exited
	time.Sleep(500 * time.Millisecond)
	leader.exited = make(chan struct{})
	return d.startProcess(leader)
}
