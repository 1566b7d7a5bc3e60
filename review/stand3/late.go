package main

import (
	"fmt"
	"strings"
	"time"
)

// The disruption of the case, from the first order to start the task on.
const (
	lateRounds = 2
	lateWork   = 12 * time.Second
	// lateKill is when the leader is killed, lateCrash when the worker crashes, which is back lateDown later.
	lateKill  = 50 * time.Millisecond
	lateCrash = 350 * time.Millisecond
	lateDown  = 4500 * time.Millisecond
	// lateBy is when the order is carried out.
	lateBy = 5 * time.Second
	// lateEntryLag is how long after its start a worker writes its entry.
	lateEntryLag = 800 * time.Millisecond
	// lateRoundTime is the length of a round.
	lateRoundTime = 21 * time.Second
)

// lateOrders are the orders to start the tasks of one job that get no answer; the first one is carried out late.
type lateOrders struct {
	job     string
	machine *machine
	came    time.Time
	// ended means that later orders are answered.
	ended bool
}

// isHeld reports whether an order gets no answer; mu must be held.
func (f *fleet) isHeld(m *machine, b orderBody, path string) bool {
	l := &f.late
	if path != "/run-start" || l.job == "" || l.ended || !strings.HasPrefix(b.Task, l.job) {
		return false
	}
	f.record.add("order to start %s %d on %s gets no answer", b.Task, b.Run, m.id)
	if l.machine != nil {
		return true
	}
	l.machine, l.came = m, time.Now()
	time.AfterFunc(lateBy, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		reason := "not up"
		if m.up {
			m.endRuns()
			if reason = "fence"; b.Fence >= m.fence {
				m.fence = b.Fence
				reason = m.begin(b)
			}
		}
		f.record.add("the order to start %s %d reaches %s: %q", b.Task, b.Run, m.id, reason)
	})
	return true
}

// playLate hands in one job of one task after another. With trouble, the order to start the task is held up, the leader that has
// sent it is killed, and the worker crashes and comes back under its id.
func playLate(s *stand) int {
	s.fleet.mu.Lock()
	s.fleet.entryLag = lateEntryLag
	s.fleet.mu.Unlock()
	for n := 1; n <= lateRounds; n++ {
		began := time.Now()
		id := fmt.Sprintf("%016x", n)
		if s.trouble {
			s.fleet.mu.Lock()
			s.fleet.late = lateOrders{job: id}
			s.fleet.mu.Unlock()
		}
		go s.submit(id, 1, shape{CPU: 4000, WorkMS: lateWork.Milliseconds()}, map[string]any{"estimateMs": lateWork.Milliseconds(),
			"memMb": 1024}, began.Add(lateRoundTime))
		if s.trouble {
			s.disturb()
		}
		time.Sleep(time.Until(began.Add(lateRoundTime)))
	}
	return s.twiceVerdict()
}

// disturb plays the disruption once the order has come.
func (s *stand) disturb() {
	var l lateOrders
	for began := time.Now(); l.machine == nil && time.Since(began) < 5*time.Second; time.Sleep(5 * time.Millisecond) {
		s.fleet.mu.Lock()
		l = s.fleet.late
		s.fleet.mu.Unlock()
	}
	if l.machine == nil {
		return
	}
	time.Sleep(time.Until(l.came.Add(lateKill)))
	go s.system.kill(s.store.leader(), endsDown)
	time.Sleep(time.Until(l.came.Add(lateCrash)))
	s.fleet.mu.Lock()
	s.fleet.late.ended = true
	s.fleet.mu.Unlock()
	s.fleet.crash(l.machine, lateDown, true)
}
