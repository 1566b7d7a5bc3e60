package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The load and the crashes of the case.
const (
	jobsPerSecond = 20
	tasksPerJob   = 6
	taskCPU       = 4000
	taskWork      = 800 * time.Millisecond
	// A crash comes at a random time of at most crashGap after the one before. At most maxDown workers of 15, 13.3%, are
	// down at a time, each for crashDown.
	crashGap   = 700 * time.Millisecond
	crashDown  = time.Second
	maxDown    = 2
	loadTime   = 60 * time.Second
	finishTime = 14 * time.Second
)

// submit hands in a job of one step and reads its state until it has ended; it returns without an entry in the list if the
// job was not accepted.
func (s *stand) submit(id string, tasks int, x shape, step map[string]any, until time.Time) {
	spec, err := json.Marshal(x)
	if err != nil {
		panic(err)
	}
	step["count"], step["cpu"] = tasks, x.CPU
	a := s.client.retried(http.MethodPost, "/q/"+id, map[string]any{"spec": string(spec), "steps": []any{step}}, 5)
	s.record.add("POST %s: %d", id, a.status)
	if a.status != http.StatusOK {
		return
	}
	s.jobs.set(id, "")
	for time.Now().Before(until) {
		time.Sleep(time.Second)
		state, status := s.client.state(id)
		if s.jobs.set(id, state) {
			s.record.add("GET %s: %d %s", id, status, state)
		}
		if state == "completed" || state == "failed" || state == "cancelled" {
			return
		}
	}
}

// playCrash plays a steady load of short jobs. With trouble, single workers crash and come back.
func playCrash(s *stand) int {
	random := rand.New(rand.NewPCG(s.seed, 1))
	end := time.Now().Add(loadTime)
	until := end.Add(finishTime)
	var callers sync.WaitGroup
	if s.trouble {
		go func() {
			for time.Sleep(5 * time.Second); time.Now().Before(end); time.Sleep(time.Duration(random.Int64N(int64(crashGap)))) {
				if m := s.fleet.machines[random.IntN(len(s.fleet.machines))]; s.fleet.down() < maxDown {
					s.fleet.crash(m, crashDown, false)
				}
			}
		}()
	}
	for n := 1; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%016x", n)
		callers.Go(func() {
			s.submit(id, tasksPerJob, shape{CPU: taskCPU, WorkMS: taskWork.Milliseconds()},
				map[string]any{"estimateMs": taskWork.Milliseconds(), "memMb": 1024}, until)
		})
		time.Sleep(time.Second / jobsPerSecond)
	}
	callers.Wait()
	return s.verdict()
}

// verdict checks the accepted jobs: none is shown as failed unless one of its tasks has ended so, and all have ended.
func (s *stand) verdict() int {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	wrong, open := 0, 0
	for _, id := range s.jobs.order {
		switch state := s.jobs.states[id]; state {
		case "completed":
		case "failed":
			if n := s.fleet.ends[id]["failed"]; n == 0 {
				wrong++
				s.record.add("LOST: %s is shown as failed, and no run of it has ended failed", id)
			}
		default:
			open++
			s.record.add("not finished: %s is shown as %q", id, state)
		}
	}
	s.record.add("%d jobs accepted, %d shown as failed without cause, %d not finished", len(s.jobs.order), wrong, open)
	fmt.Printf("%d jobs accepted, %d shown as failed without cause, %d not finished\n", len(s.jobs.order), wrong, open)
	if wrong > 0 {
		return broken
	}
	if open > 0 {
		return failed
	}
	return held
}
