package main

import (
	"fmt"
	"net/http"
	"time"
)

// darkTime is how long the workers of the zone are down: the length of cold_return in the site file.
const darkTime = 4500 * time.Millisecond

// zoneCase has all workers of one zone go down without a word and come back together, while a job runs there that fits nowhere
// else. Its task never ends as failed, so that the job must not be shown as failed.
func zoneCase(trouble bool, r *record) error {
	p := newPlatform(r)
	if err := p.addWorkers("pool-a", "zone-a", "r1-1", 5); err != nil {
		return err
	}
	if err := p.addWorkers("pool-a", "zone-b", "r1-2", 6); err != nil {
		return err
	}
	d, err := newDeployment(p, []string{"zone-a", "zone-b", "zone-a"})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	const full, job = "00000000000000a1", "00000000000000b2"
	p.setNeeds(full, []need{{CPU: workerCPU, Memory: 1000}})
	p.setNeeds(job, []need{{CPU: 4000, Memory: 1000, Work: 9 * time.Second}})
	if err := d.submit("/lasting/"+full, map[string]any{"spec": "full", "steps": []any{map[string]any{"count": 5, "cpu": workerCPU,
		"memMb": 1000, "longRunning": true, "antiAffinity": 1, "requires": "r1-1"}}}); err != nil {
		return err
	}
	if err := awaitRuns(p, full, 5); err != nil {
		return err
	}
	if err := d.submit("/finite/"+job, map[string]any{"spec": "order", "steps": []any{map[string]any{"count": 1, "cpu": 4000,
		"memMb": 1000, "estimateMs": 9000}}}); err != nil {
		return err
	}
	if err := awaitRuns(p, job, 1); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		r.add("trouble", "the workers of zone-b go down for %v", darkTime)
		for _, w := range p.workers {
			if w.zone == "zone-b" {
				w.crash()
			}
		}
		time.Sleep(darkTime)
		for _, w := range p.workers {
			if w.zone == "zone-b" {
				w.begin()
			}
		}
		r.add("trouble", "the workers of zone-b are back")
	}
	for began := time.Now(); time.Since(began) < 40*time.Second; time.Sleep(time.Second) {
		switch d.state("/finite/" + job) {
		case "completed":
			return nil
		case "failed":
			return failedWithoutCause(p, job)
		}
	}
	return fmt.Errorf("job %s has not ended", job)
}

// failedWithoutCause returns how the rule was broken if no run of a job that is shown as failed has ended so.
func failedWithoutCause(p *platform, job string) error {
	hows := map[string]int{}
	for _, x := range p.history(job) {
		hows[x.how]++
	}
	if hows["failed"] > 0 {
		return fmt.Errorf("job %s has failed runs", job)
	}
	return errBroken{fmt.Sprintf("job %s is shown as failed, and no run of it has ended so: %v", job, hows)}
}

// awaitRuns waits until a number of runs of a job have started.
func awaitRuns(p *platform, job string, count int) error {
	for began := time.Now(); len(p.history(job)) < count; time.Sleep(20 * time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			return fmt.Errorf("job %s has started %d tasks of %d in 10 s", job, len(p.history(job)), count)
		}
	}
	return nil
}

// lateCase has a worker leave the order to start a task unanswered, crash and start again under its id. The order, which the
// network has held up, reaches its new life 8 s after it was sent. The task must not run twice at the same time.
func lateCase(trouble bool, r *record) error {
	const (
		job       = "00000000000000c3"
		downTime  = 3 * time.Second
		orderTime = 8 * time.Second
	)
	p := newPlatform(r)
	if err := p.addWorkers("pool-a", "zone-a", "r1-1", 4); err != nil {
		return err
	}
	if err := p.addWorkers("pool-a", "zone-b", "r1-2", 4); err != nil {
		return err
	}
	var victim *worker
	var held orderBody
	seen := make(chan struct{})
	if trouble {
		p.intercept = func(w *worker, b orderBody, _ *http.Request) bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			if of, _, err := stepOf(b.Task); err != nil || of != job {
				return false
			}
			if victim == nil {
				victim, held = w, b
				close(seen)
			}
			return w == victim && b.Run == held.Run
		}
	}
	d, err := newDeployment(p, []string{"zone-a", "zone-b", "zone-a"})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	p.setNeeds(job, []need{{CPU: 4000, Memory: 1000, Work: 12 * time.Second}})
	time.Sleep(2 * time.Second)
	if err := d.submit("/finite/"+job, map[string]any{"spec": "order", "steps": []any{map[string]any{"count": 1, "cpu": 4000,
		"memMb": 1000, "estimateMs": 12000}}}); err != nil {
		return err
	}
	if trouble {
		<-seen
		sent := time.Now()
		r.add("trouble", "%s leaves the order to start %s run %d unanswered", victim.id, held.Task, held.Run)
		time.Sleep(300 * time.Millisecond)
		victim.crash()
		time.Sleep(downTime)
		victim.begin()
		time.Sleep(time.Until(sent.Add(orderTime)))
		victim.mu.Lock()
		status, reason := victim.execute(victim.life, "/run-start", held)
		victim.mu.Unlock()
		r.add("trouble", "the order to start %s run %d reaches %s: %d %s", held.Task, held.Run, victim.id, status, reason)
		if status != http.StatusOK {
			return nil
		}
	}
	for began := time.Now(); time.Since(began) < 40*time.Second; time.Sleep(500 * time.Millisecond) {
		if err := ranTwice(p, job); err != nil {
			return err
		}
		if d.state("/finite/"+job) == "completed" {
			return ranTwice(p, job)
		}
	}
	return fmt.Errorf("job %s has not ended", job)
}

// ranTwice returns how two runs of a task overlapped, or how one started after another had ended done and that was noted.
func ranTwice(p *platform, job string) error {
	list := p.history(job)
	for i, x := range list {
		for _, y := range list[i+1:] {
			if x.task != y.task {
				continue
			}
			if x.to.IsZero() || y.from.Before(x.to) {
				return errBroken{fmt.Sprintf("%s run %d on %s and run %d on %s at the same time", x.task, x.number, x.worker, y.number,
					y.worker)}
			}
			if x.how == "done" && !x.notedAt.IsZero() {
				return errBroken{fmt.Sprintf("%s run %d starts after run %d has ended done", x.task, y.number, x.number)}
			}
		}
	}
	return nil
}
