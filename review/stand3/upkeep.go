package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The load, the waves and the disruption of the case.
const (
	upkeepJobInterval = 50 * time.Millisecond
	upkeepTasks       = 6
	upkeepCPU         = 4000
	upkeepWork        = 1800 * time.Millisecond
	upkeepRounds      = 6
	upkeepRoundTime   = 13 * time.Second
	upkeepMachines    = 14
	upkeepAtOnce      = 8
	// For cloudTime after the beginning of a wave answers of the service for machines take slowCloud. By turns, those to calls for
	// upkeep are lost for lostTime and not lost for lostTime.
	cloudTime = 5 * time.Second
	slowCloud = 500 * time.Millisecond
	lostTime  = time.Second
	// upkeepEntryLag is how long after its start a worker writes its entry in the store, less than its heartbeat.
	upkeepEntryLag = 1400 * time.Millisecond
)

// playUpkeep plays a steady load with one wave after another. With trouble, the service for machines is slow at the beginning
// of each wave, and some of its answers are lost.
func playUpkeep(s *stand) int {
	random := rand.New(rand.NewPCG(s.seed, 1))
	end := time.Now().Add(upkeepRounds * upkeepRoundTime)
	until := end.Add(finishTime)
	s.fleet.mu.Lock()
	s.fleet.entryLag = upkeepEntryLag
	s.fleet.mu.Unlock()
	var callers sync.WaitGroup
	callers.Go(func() {
		for n := range upkeepRounds {
			began := time.Now()
			var names []string
			for _, i := range random.Perm(len(s.fleet.machines))[:upkeepMachines] {
				names = append(names, s.fleet.machines[i].name)
			}
			if s.trouble {
				for t := time.Duration(0); t < cloudTime; t += lostTime {
					lost := t/lostTime%2 == 0
					time.AfterFunc(t, func() { s.fleet.setTrouble(slowCloud, lost) })
				}
				time.AfterFunc(cloudTime, func() { s.fleet.setTrouble(0, false) })
			}
			s.fleet.askUpkeep(int64(n+1), names, upkeepAtOnce, 26*time.Second)
			time.Sleep(time.Until(began.Add(upkeepRoundTime)))
		}
	})
	for n := 1; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%016x", n)
		callers.Go(func() {
			s.submit(id, upkeepTasks, shape{CPU: upkeepCPU, WorkMS: upkeepWork.Milliseconds()},
				map[string]any{"estimateMs": upkeepWork.Milliseconds(), "memMb": 1024}, until)
		})
		time.Sleep(upkeepJobInterval)
	}
	callers.Wait()
	return s.twiceVerdict()
}

// twiceVerdict checks that no task had two runs at the same time, and that none was started after a run had ended done.
func (s *stand) twiceVerdict() int {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	again, overlaps := s.fleet.again(), len(s.fleet.twice)
	for _, name := range again {
		s.record.add("TWICE: %s was started after a run of it had ended done, of which the system took note", name)
	}
	text := fmt.Sprintf("%d starts beside another run of the task, %d tasks started after a run of them had ended done", overlaps,
		len(again))
	s.record.add("%s", text)
	fmt.Println(text)
	if overlaps+len(again) > 0 {
		return broken
	}
	return held
}
