package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	largeJob = "00000000000000c1"
	// largeSteps steps of largeCount tasks work side by side.
	largeSteps, largeCount = 2, 1800
	// downTime is how long all machines are without power.
	downTime = 9500 * time.Millisecond
	// recoveryTime is recoveryS, finishTime finish_s.
	recoveryTime = 12 * time.Second
	finishTime   = 14 * time.Second
	// smallJobs are handed in before and after the disruption.
	smallJobs = 12
)

// playLarge runs a large job whose tasks save their progress, and small jobs before and after the disruption: all entry
// instances lose power and are back after a while.
func playLarge(d *deployment, trouble bool) (bool, error) {
	steps := make([]step, 0, largeSteps)
	for range largeSteps {
		steps = append(steps, step{Count: largeCount, CPU: 80, Memory: 200, EstimateMS: 300000, Saves: true})
	}
	if !d.submit(0, largeJob, bodyOf(plan{WorkMS: []int64{300000}, Saves: true}, steps...)) {
		return false, errNotAccepted
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if starts, _ := d.fleet.history(); len(starts) >= largeSteps*largeCount {
			break
		}
	}
	starts, _ := d.fleet.history()
	d.record.say("%d of %d tasks of the large job have started", len(starts), largeSteps*largeCount)
	before := d.submitSmall("05")
	time.Sleep(3 * time.Second)
	d.record.say("before the disruption: %d of %d small jobs accepted", before, smallJobs)
	if trouble {
		if err := d.losePower(downTime); err != nil {
			return false, err
		}
	} else {
		time.Sleep(downTime)
	}
	time.Sleep(recoveryTime)
	d.record.log("terms of leadership so far: %d", d.terms())
	after := d.submitSmall("06")
	d.record.say("later than recoveryS after the machines are back: %d of %d small jobs accepted", after, smallJobs)
	time.Sleep(finishTime)
	known, completed := 0, 0
	for i := range smallJobs {
		status, text := d.ask(i, smallID("05", i))
		if status == http.StatusOK {
			known++
		}
		if strings.Contains(text, "completed") {
			completed++
		}
	}
	status, text := d.ask(1, largeJob)
	d.record.say("finish_s after the end of the traffic: of the small jobs before the disruption %d are known, %d completed; large job: %d %s; terms of leadership: %d",
		known, completed, status, text, d.terms())
	quiet := d.quiet()
	broken := false
	if before*4 >= smallJobs && after*4 < smallJobs {
		d.record.say("RECOVER: less than a quarter of the requests later than recoveryS is served")
		broken = true
	}
	if known < before || status != http.StatusOK {
		d.record.say("LOST: an accepted job isn't known or gets no answer in time")
		broken = true
	}
	if quiet {
		d.record.say("LOST: for 4 s, finish_s after the end of the traffic, nothing of the large job has run while all workers are idle")
		broken = true
	}
	return broken, nil
}

// ask asks for the state of a job, at the next instance after no answer and 503.
func (d *deployment) ask(first int, id string) (status int, text string) {
	for n := range 3 {
		if status, text = d.state((first+n)%len(d.instances), id); status != 0 && status != http.StatusServiceUnavailable {
			break
		}
	}
	return status, text
}

func smallID(group string, i int) string { return fmt.Sprintf("00000000000%s%03x", group, i) }

// submitSmall hands small jobs in and returns how many were accepted.
func (d *deployment) submitSmall(group string) int {
	body := bodyOf(plan{WorkMS: []int64{500}}, step{Count: 1, CPU: 500, Memory: 500, EstimateMS: 500})
	var accepted atomic.Int64
	var consumers sync.WaitGroup
	for i := range smallJobs {
		consumers.Go(func() {
			if d.submit(i, smallID(group, i), body) {
				accepted.Add(1)
			}
		})
	}
	consumers.Wait()
	return int(accepted.Load())
}

// losePower kills all entry instances at once and starts them again after a time.
func (d *deployment) losePower(down time.Duration) error {
	for _, x := range d.instances {
		if err := x.process.Process.Signal(syscall.SIGKILL); err != nil {
			return err
		}
	}
	for _, x := range d.instances {
		<-x.exited
	}
	d.record.log("all instances are without power")
	time.Sleep(down)
	for _, x := range d.instances {
		if err := d.launch(x); err != nil {
			return err
		}
	}
	return nil
}
