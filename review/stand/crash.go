package main

import (
	"net/http"
	"strings"
	"time"
)

const (
	crashJob = "00000000000000b1"
	// crashAfter is how long after the start of the task its worker crashes, backAfter how long later the machine is back.
	crashAfter = 1500 * time.Millisecond
	backAfter  = 500 * time.Millisecond
)

// playCrash runs a job of one task that lasts. The disruption is the crash of its worker, twice, one and a half seconds after the task's
// start; the machine is back half a second later.
func playCrash(d *deployment, trouble bool) (bool, error) {
	body := bodyOf(plan{WorkMS: []int64{3600 * 1000}}, step{Count: 1, CPU: 3000, Memory: 16000, EstimateMS: 60000, LongRunning: true})
	if !d.submit(0, crashJob, body) {
		return false, errNotAccepted
	}
	crashes := 0
	began := time.Now()
	for time.Since(began) < 12*time.Second {
		time.Sleep(20 * time.Millisecond)
		starts, _ := d.fleet.history()
		if !trouble || crashes == 2 || len(starts) == 0 || time.Since(starts[len(starts)-1].at) < crashAfter {
			continue
		}
		w := d.fleet.runningOn(crashJob)[0]
		if w == nil {
			continue
		}
		w.crash()
		crashes++
		time.Sleep(backAfter)
		if _, err := d.fleet.add(w.machine, w.service, w.zone, w.rack, w.capacity); err != nil {
			return false, err
		}
	}
	broken := false
	for i := range d.instances {
		status, text := d.state(i, crashJob)
		if status == http.StatusOK && strings.Contains(text, "failed") {
			broken = true
		}
	}
	_, ends := d.fleet.history()
	for _, e := range ends {
		if e.how == howFailed {
			return false, errSetup
		}
	}
	if broken {
		d.record.say("LOST: the job is shown as failed; no worker has listed an end failed, and nobody has cancelled it")
	}
	return broken, nil
}
