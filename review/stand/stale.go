package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	staleJobs = 40
	// refusal is how long the store turns the leader's machine away.
	refusal = 4 * time.Second
	// cancelTime is cancel_ms, touchTime contactMs.
	cancelTime = 3 * time.Second
	touchTime  = 3 * time.Second
)

// playStale hands jobs of four steps in and cancels each at once, at other instances. The disruption is that the store turns
// the machine away that last wrote under a condition, and serves the others.
func playStale(d *deployment, trouble bool) (bool, error) {
	old := d.index(d.store.lastWriter())
	if old < 0 {
		return false, errSetup
	}
	if trouble {
		d.record.log("the store turns %s away", d.instances[old].name)
		d.store.refuse(d.instances[old].name, true)
	}
	body := bodyOf(plan{WorkMS: []int64{2500}}, step{Count: 1, CPU: 500, Memory: 500, EstimateMS: 2500},
		step{Count: 1, CPU: 500, Memory: 500, EstimateMS: 2500, After: []int{0}},
		step{Count: 1, CPU: 500, Memory: 500, EstimateMS: 2500, After: []int{1}},
		step{Count: 1, CPU: 500, Memory: 500, EstimateMS: 2500, After: []int{2}},
		step{Count: 1, CPU: 500, Memory: 500, EstimateMS: 2500, After: []int{3}})
	began := time.Now()
	var mu sync.Mutex
	acked := map[string]time.Time{}
	var consumers sync.WaitGroup
	inRotation := d.watchRotation(old)
	for i := range staleJobs {
		consumers.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			id := fmt.Sprintf("00000000000009%02x", i)
			if !d.submit((old+1+i%(len(d.instances)-1))%len(d.instances), id, body) {
				return
			}
			if !inRotation() {
				return
			}
			status, text := d.call(old, http.MethodDelete, prefix+id, nil, 3*time.Second)
			d.record.log("consumer: DELETE %s at %s: %d %s", id, d.instances[old].name, status, text)
			if status == http.StatusGone || status >= 200 && status < 300 {
				mu.Lock()
				acked[id] = time.Now()
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Until(began.Add(refusal)))
	d.store.refuse(d.instances[old].name, false)
	d.record.log("the store serves all machines again")
	healed := time.Now()
	consumers.Wait()
	time.Sleep(14 * time.Second)
	starts, _ := d.fleet.history()
	broken := false
	for _, s := range starts {
		at, ok := acked[s.name.job]
		if ok && s.at.After(at.Add(cancelTime)) && (!trouble || s.at.After(healed.Add(touchTime))) {
			d.record.say("UNASKED: %s started at %.3f s on %s, its job's cancelling was acknowledged at %.3f s", s.task,
				s.at.Sub(d.record.began).Seconds(), s.worker, at.Sub(d.record.began).Seconds())
			broken = true
		}
	}
	return broken, nil
}

// watchRotation checks an instance each second, as the platform does, and returns a function that reports whether it gets new
// channels: not after two misses.
func (d *deployment) watchRotation(i int) func() bool {
	var misses atomic.Int64
	go func() {
		for {
			if d.isReady(i) {
				misses.Store(0)
			} else {
				misses.Add(1)
			}
			d.record.log("readiness of %s: misses %d", d.instances[i].name, misses.Load())
			select {
			case <-d.fleet.done:
				return
			case <-time.After(time.Second):
			}
		}
	}()
	return func() bool { return misses.Load() < 2 }
}
