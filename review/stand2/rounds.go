package main

import (
	"fmt"
	"time"
)

const (
	roundCount    = 150
	roundInterval = 200 * time.Millisecond
	stepCount     = 12
	stepWork      = 150 * time.Millisecond
	// outTime is how long the zone is out of service; the site file has evacuations of 60 s.
	outTime = 25 * time.Second
)

// roundsCase takes a zone out of service and back, while a job with scheduled occurrences needs a label that only workers of
// this zone have. Its occurrences wait meanwhile and may overlap; the job must not be shown as failed.
func roundsCase(trouble bool, r *record) error {
	p := newPlatform(r)
	if err := p.addWorkers("pool-a", "zone-a", "r1-1", 4); err != nil {
		return err
	}
	if err := p.addWorkers("pool-a", "zone-b", "r1-2", 4); err != nil {
		return err
	}
	d, err := newDeployment(p, []string{"zone-a", "zone-b", "zone-a"})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	const job = "00000000000000d4"
	var needs []need
	var steps []any
	for i := range stepCount {
		step := map[string]any{"count": 1, "cpu": 200, "memMb": 100, "estimateMs": stepWork.Milliseconds(), "requires": "r1-2"}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		needs, steps = append(needs, need{CPU: 200, Memory: 100, Work: stepWork}), append(steps, step)
	}
	p.setNeeds(job, needs)
	first := time.Now().Add(time.Second)
	if err := d.submit("/finite/"+job, map[string]any{"spec": "round", "steps": steps, "times": roundCount,
		"firstMs": first.UnixMilli(), "intervalMs": roundInterval.Milliseconds()}); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	if trouble {
		r.add("operator", "op/evacuate/zone-b is written")
		p.store.put("op", "evacuate/zone-b", struct{}{})
		time.Sleep(outTime)
		p.store.put("op", "evacuate/zone-b", nil)
		r.add("operator", "op/evacuate/zone-b is removed")
	}
	for began := time.Now(); time.Since(began) < 70*time.Second; time.Sleep(time.Second) {
		switch d.state("/finite/" + job) {
		case "completed":
			return nil
		case "failed":
			return failedWithoutCause(p, job)
		}
	}
	return fmt.Errorf("job %s has not ended", job)
}
