package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// The jobs of the case and the kills of the leader.
const (
	endsRounds = 6
	endsTasks  = 1200
	endsCPU    = 25
	endsMemory = 64
	endsWork   = 4 * time.Second
	// The leader is killed at a random time before the first task ends.
	endsLeastLead = 100 * time.Millisecond
	endsMostLead  = 500 * time.Millisecond
	endsDown      = time.Second
)

// playEnds plays one job of many small tasks after another. With trouble, the process that leads is killed before the tasks
// end, and started again.
func playEnds(s *stand) int {
	random := rand.New(rand.NewPCG(s.seed, 1))
	for n := 1; n <= endsRounds; n++ {
		id := fmt.Sprintf("%016x", n)
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.submit(id, endsTasks, shape{CPU: endsCPU, WorkMS: endsWork.Milliseconds()},
				map[string]any{"estimateMs": endsWork.Milliseconds(), "memMb": endsMemory}, time.Now().Add(15*time.Second))
		}()
		first, ok := s.firstStart(id)
		if !ok {
			s.record.add("no task of %s has started", id)
			return failed
		}
		if s.trouble {
			lead := endsLeastLead + time.Duration(random.Int64N(int64(endsMostLead-endsLeastLead)))
			time.Sleep(time.Until(first.Add(endsWork - lead)))
			s.system.kill(s.store.leader(), endsDown)
		}
		<-done
		time.Sleep(time.Second)
	}
	s.fleet.mu.Lock()
	twice := s.fleet.again()
	for _, name := range twice {
		s.record.add("TWICE: %s was started after a run of it had ended done, of which the system took note", name)
	}
	s.fleet.mu.Unlock()
	s.record.add("%d tasks were started after a run of them had ended done", len(twice))
	fmt.Printf("%d tasks were started after a run of them had ended done\n", len(twice))
	if len(twice) > 0 {
		return broken
	}
	return held
}

// firstStart waits until a task of a job has started.
func (s *stand) firstStart(id string) (time.Time, bool) {
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
		s.fleet.mu.Lock()
		h := s.fleet.tasks[id+".0.0.0"]
		s.fleet.mu.Unlock()
		if h != nil {
			return h.starts[0], true
		}
	}
	return time.Time{}, false
}
