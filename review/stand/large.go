package main

import (
	"fmt"
	"net/http"
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
	// smallBefore and smallAfter jobs are handed in before and after the disruption.
	smallBefore, smallAfter = 12, 48
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
	before := d.submitSmall("05", smallBefore)
	time.Sleep(3 * time.Second)
	d.record.say("before the disruption: %d of %d small jobs accepted", before, smallBefore)
	if trouble {
		if err := d.losePower(downTime); err != nil {
			return false, err
		}
	} else {
		time.Sleep(downTime)
	}
	time.Sleep(recoveryTime)
	d.record.log("terms of leadership so far: %d", d.terms())
	after := d.submitSmall("06", smallAfter)
	d.record.say("later than recoveryS after the machines are back: %d of %d small jobs accepted", after, smallAfter)
	time.Sleep(finishTime)
	known := 0
	for i := range smallBefore {
		if status, _ := d.ask(i, smallID("05", i)); status == http.StatusOK {
			known++
		}
	}
	served, requests := after+known, smallAfter+smallBefore
	d.record.say("finish_s after the end of the traffic: %d of %d jobs from before the disruption are known; terms of leadership: %d",
		known, before, d.terms())
	if before*4 >= smallBefore && served*4 < requests {
		d.record.say("RECOVER: %d of %d requests later than recoveryS are served", served, requests)
		return true, nil
	}
	return false, nil
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
func (d *deployment) submitSmall(group string, count int) int {
	body := bodyOf(plan{WorkMS: []int64{500}}, step{Count: 1, CPU: 500, Memory: 500, EstimateMS: 500})
	var accepted atomic.Int64
	var consumers sync.WaitGroup
	for i := range count {
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
