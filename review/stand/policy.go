package main

import (
	"net/http"
	"time"
)

const policyJob = "00000000000000a1"

// playPolicy runs a job of two steps on a queue with a policy. The disruption is a config without that queue, while the first
// step runs.
func playPolicy(d *deployment, trouble bool) (bool, error) {
	body := bodyOf(plan{WorkMS: []int64{4000, 1000}, Ticket: true},
		step{Count: 2, CPU: 2000, Memory: 1000, EstimateMS: 4000},
		step{Count: 2, CPU: 2000, Memory: 1000, EstimateMS: 1000, After: []int{0}})
	if !d.submit(0, policyJob, body) {
		return false, errNotAccepted
	}
	time.Sleep(2 * time.Second)
	if len(d.fleet.runningOn(policyJob)) != 2 {
		return false, errSetup
	}
	if trouble {
		d.configure(false)
	}
	// finish_s after the end of the traffic.
	time.Sleep(16 * time.Second)
	idle := true
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		idle = idle && len(d.fleet.runningOn(policyJob)) == 0
	}
	_, ends := d.fleet.history()
	done := 0
	for _, e := range ends {
		if e.how == howDone {
			done++
		}
	}
	d.record.say("%d of 4 tasks have ended done; starts declined for want of a ticket: %d", done, d.fleet.declinedFor("ticket"))
	d.state(1, policyJob)
	if done < 4 && idle {
		d.record.say("LOST: the job has had nothing running for 4 s, %d s after its submission, although the turn of its second step has come and the workers are idle", 22)
	}
	if trouble {
		d.configure(true)
		for i := range d.instances {
			if status, text := d.state(i, policyJob); status == http.StatusOK {
				d.record.log("with the queue again: %s", text)
			}
		}
	}
	return done < 4 && idle, nil
}
