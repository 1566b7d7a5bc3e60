package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	burstJobs = 40
	// burstGap is the time between two jobs without the disruption: longer than a call of the advice service takes.
	burstGap = 400 * time.Millisecond
	// quietTime is longer than the time for which a job may have nothing running.
	quietTime = 4 * time.Second
)

// playBurst runs short jobs on a queue with a policy. The disruption is that they come at once.
func playBurst(d *deployment, trouble bool) (bool, error) {
	body := bodyOf(plan{WorkMS: []int64{500}, Ticket: true}, step{Count: 1, CPU: 2000, Memory: 1000, EstimateMS: 500})
	var consumers sync.WaitGroup
	var accepted atomic.Int64
	for i := range burstJobs {
		consumers.Go(func() {
			if d.submit(i, burstID(i), body) {
				accepted.Add(1)
			}
		})
		if !trouble {
			time.Sleep(burstGap)
		}
	}
	consumers.Wait()
	ended := time.Now()
	// finish_s after the end of the traffic, and as long again.
	time.Sleep(2 * finishTime)
	quiet := d.quiet()
	completed := 0
	for i := range burstJobs {
		if status, text := d.state(i%len(d.instances), burstID(i)); status == http.StatusOK && strings.Contains(text, "completed") {
			completed++
		}
	}
	d.record.say("%.0f s after the last job was handed in %d of %d accepted jobs are completed; nothing has run for 4 s: %t",
		time.Since(ended).Seconds(), completed, accepted.Load(), quiet)
	if accepted.Load() < burstJobs/2 {
		return false, errNotAccepted
	}
	if completed < int(accepted.Load()) && quiet {
		d.record.say("LOST: the other jobs have nothing running, although their turn has come and all workers are idle")
		return true, nil
	}
	return false, nil
}

func burstID(i int) string { return fmt.Sprintf("00000000000008%02x", i) }

// quiet reports whether nothing runs on any worker for quietTime.
func (d *deployment) quiet() bool {
	for began := time.Now(); time.Since(began) < quietTime; time.Sleep(20 * time.Millisecond) {
		if d.fleet.running() > 0 {
			return false
		}
	}
	return true
}
