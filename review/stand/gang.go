package main

import (
	"time"
)

const gangJob = "5c0e7a21d94b36f8"

// playGang runs a gang of three that saves its progress. Its first run fails by its own fault, so that the second one resumes.
// The disruption is the crash of one member's worker.
func playGang(d *deployment, trouble bool) (bool, error) {
	p := plan{WorkMS: []int64{11000}, Gang: 3, Saves: true, FailIndex: 0, FailAtMS: 2500}
	body := bodyOf(p, step{Count: 3, CPU: 20000, Memory: 4000, EstimateMS: 9000, Saves: true, Gang: true})
	if !d.submit(0, gangJob, body) {
		return false, errNotAccepted
	}
	crashed := false
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		starts, ends := d.fleet.history()
		failedAt := time.Time{}
		for _, e := range ends {
			if e.how == howFailed {
				failedAt = e.at
			}
		}
		again := 0
		for _, s := range starts {
			if !failedAt.IsZero() && s.at.After(failedAt) {
				again++
			}
		}
		// The second run has worked long enough for a checkpoint of its own.
		if trouble && !crashed && again == 3 && time.Since(starts[len(starts)-1].at) > 4*time.Second {
			if w := d.fleet.runningOn(gangJob)[2]; w != nil {
				w.crash()
				crashed = true
			}
		}
	}
	d.state(1, gangJob)
	return d.mixedGang(), nil
}

// mixedGang reports whether members of one run of a gang were told to resume from different checkpoints.
func (d *deployment) mixedGang() bool {
	starts, _ := d.fleet.history()
	byRun := map[int64]map[int]string{}
	for _, s := range starts {
		if byRun[s.number] == nil {
			byRun[s.number] = map[int]string{}
		}
		byRun[s.number][s.name.index] = s.checkpoint
	}
	mixed := false
	for number, members := range byRun {
		for _, i := range indexes(members) {
			if members[i] != members[indexes(members)[0]] {
				d.record.say("UNASKED: run %d of the gang was told %v: not the same lastCheckpoint for all members", number, members)
				mixed = true
				break
			}
		}
	}
	return mixed
}
