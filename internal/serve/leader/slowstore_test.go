package leader_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plan/shift"
	"github.com/yuccahaven/yuccahaven/internal/serve/leader"
)

// moveTime is how long a machine is down for a move.
const moveTime = 1500 * time.Millisecond

// spareMachines are the machines of the cluster's workers, which can't be moved, and machines that are off.
type spareMachines struct {
	leader.Machines
	workers []work.Worker
	off     int

	mu sync.Mutex
	// lost means that calls take no effect and their outcomes are unknown.
	lost bool
	// moved is when each machine was first moved, changed when it was last moved, pools its pool since then.
	moved, changed map[string]time.Time
	pools          map[string]string
}

func newSpareMachines(off int) *spareMachines {
	return &spareMachines{off: off, moved: map[string]time.Time{}, changed: map[string]time.Time{}, pools: map[string]string{}}
}

// List implements leader.Machines.
func (m *spareMachines) List(context.Context) ([]leader.Machine, error) {
	var list []leader.Machine
	for _, w := range m.workers {
		list = append(list, leader.Machine{Name: "m-" + string(w.ID), Pool: w.Pool, Zone: w.Zone, Up: true,
			Worker: string(w.ID), Capacity: w.Capacity})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.off {
		name := fmt.Sprintf("off-%d", i)
		x := leader.Machine{Name: name, Pool: "spare", Up: time.Since(m.changed[name]) >= moveTime,
			Capacity: work.Need{CPU: 4000, Memory: 4000}}
		if p, ok := m.pools[name]; ok {
			x.Pool = p
		}
		list = append(list, x)
	}
	return list, nil
}

// Move implements leader.Machines.
func (m *spareMachines) Move(_ context.Context, machine, pool string, _ int64) leader.Result {
	if !strings.HasPrefix(machine, "off-") {
		return leader.Refused
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.moved[machine].IsZero() {
		m.moved[machine] = time.Now()
	}
	if m.lost {
		return leader.Unknown
	}
	m.changed[machine], m.pools[machine] = time.Now(), pool
	return leader.Started
}

// Load pattern: a queue's turn begins while the store takes 890 ms for each transaction. Guards against machines that
// come seconds late: they were moved only in the first second after the sending of a confirmed transaction, which is
// almost used up when the store confirms it.
func TestMachinesMoveWhileStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newSpareMachines(1000)
		c := newClusterOf(t, 1, 1, func(o *leader.Options) {
			m.workers = o.Fleet.(*fakes.Workers).List()
			o.Machines, o.Moves = m, leader.MoveOptions{Shift: shift.Default(), Move: moveTime}
		})
		c.rules.Configure(work.NewConfig(work.Config{Version: 2,
			Queues:    []work.Queue{{Name: "q", Pool: "p", Attempts: 3, Stretch: 2, Objective: time.Second}},
			Pools:     map[string]work.Pool{"p": {Name: "p"}, "spare": {Name: "spare", Spare: true}},
			Customers: map[string]work.Customer{"c": {Name: "c"}}}))
		time.Sleep(2 * time.Second)
		c.entries[0].link.SetFaults(fakes.Faults{Delay: 890 * time.Millisecond})
		// A stream of small jobs keeps the store busy with one transaction after the other.
		ctx, cancel := context.WithCancel(context.Background())
		var callers sync.WaitGroup
		callers.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				id := work.JobID(fmt.Sprintf("%016x", i+1))
				callers.Go(func() {
					c.submit(ctx, work.Job{ID: id, Queue: "q", Customer: "c", Accepted: time.Now().UnixMilli(),
						Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 10}}}})
				})
				time.Sleep(100 * time.Millisecond)
			}
		})
		var worst time.Duration
		for turn := range 6 {
			time.Sleep(3*time.Second + time.Duration(turn)*130*time.Millisecond)
			m.mu.Lock()
			clear(m.moved)
			m.mu.Unlock()
			began := time.Now()
			callers.Go(func() {
				c.submit(ctx, work.Job{ID: work.JobID(fmt.Sprintf("%016x", 1<<32+turn)), Queue: "q", Customer: "c",
					Accepted: time.Now().UnixMilli(), Steps: []work.Step{{Count: 40 << turn, Need: work.Need{CPU: 1000}}}})
			})
			for m.firstMove().IsZero() && time.Since(began) < 10*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			worst = max(worst, time.Since(began))
		}
		// At most one transaction, the interval of 200 ms between two decisions and a margin of 100 ms.
		if bound := 1190 * time.Millisecond; worst > bound {
			t.Errorf("the first machine moved %v after the demand", worst)
		}
		cancel()
		callers.Wait()
		c.kill(c.entries[0])
	})
}
