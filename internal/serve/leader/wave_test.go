package leader_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plan/shift"
	"github.com/yuccahaven/yuccahaven/internal/serve/leader"
	"github.com/yuccahaven/yuccahaven/internal/state/rules"
)

// idleMachines are machines without workers whose maintenance begins at once and never ends, beside one machine for
// each worker of the cluster.
type idleMachines struct {
	count int
	// delay is the time from a call until the maintenance begins and the call returns.
	delay time.Duration

	mu         sync.Mutex
	maintained map[string]int
	// calling are the machines with a call in progress, for which others are declined.
	calling map[string]bool
}

func (m *idleMachines) name(i int) string { return fmt.Sprintf("m%02d", i) }

// List implements leader.Machines.
func (m *idleMachines) List(context.Context) ([]leader.Machine, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []leader.Machine
	for i := range m.count {
		maintained := m.maintained[m.name(i)] > 0
		list = append(list, leader.Machine{Name: m.name(i), Pool: "off", Up: !maintained, InMaintenance: maintained})
	}
	for i := range 4 {
		name := fmt.Sprintf("w%d", i)
		list = append(list, leader.Machine{Name: name, Pool: "p", Up: true, Worker: name, Capacity: work.Need{CPU: 4000}})
	}
	return list, nil
}

// Move implements leader.Machines.
func (m *idleMachines) Move(context.Context, string, string, int64) leader.Result {
	return leader.Refused
}

// Maintain implements leader.Machines.
func (m *idleMachines) Maintain(_ context.Context, machine string, _, _ int64) leader.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.calling[machine] {
		return leader.Busy
	}
	m.calling[machine] = true
	m.mu.Unlock()
	time.Sleep(m.delay)
	m.mu.Lock()
	m.calling[machine] = false
	m.maintained[machine]++
	return leader.Started
}

// Report implements leader.Machines.
func (m *idleMachines) Report(_ context.Context, _ int64, completed bool) error {
	if completed {
		return errors.New("no maintenance ends")
	}
	return nil
}

// Guards against jobs that are accepted late while a maintenance wave begins: the progress of the wave was stored by a
// transaction of its own for each machine, and new jobs waited behind all of these.
func TestWaveDoesNotDelayJobs(t *testing.T) {
	machines := &idleMachines{count: 60, maintained: map[string]int{}, calling: map[string]bool{}}
	testClusterWith(t, func(o *leader.Options) {
		o.Machines = machines
		o.Moves = leader.MoveOptions{Maintenance: 2 * time.Second, Shift: shift.Default()}
	}, func(c *cluster) {
		// The usual time of a transaction.
		for _, e := range c.entries {
			e.link.SetFaults(fakes.Faults{Delay: 10 * time.Millisecond})
		}
		wave := rules.Wave{Number: 1, Cap: machines.count, Within: time.Minute}
		for i := range machines.count {
			wave.Machines = append(wave.Machines, machines.name(i))
		}
		c.rules.AddWave(wave)
		for i := range 20 {
			if !c.accepts(i, 100*time.Millisecond) {
				t.Errorf("job %d is not accepted within 100 ms of a transaction of 10 ms", i)
			}
			time.Sleep(20 * time.Millisecond)
		}
		if len(machines.maintained) != machines.count {
			t.Errorf("maintenance of %d machines began", len(machines.maintained))
		}
		// A later leader must know that the maintenance has begun.
		c.kill(c.leader())
		time.Sleep(20 * time.Second)
		for name, n := range machines.maintained {
			if n != 1 {
				t.Errorf("the maintenance of %s began %d times", name, n)
			}
		}
	})
}

// Guards against more machines down for their maintenance than the cap of a wave (a LIMIT violation) after a handover
// of leadership: the new leader counted the machines before the calls of the former one had taken effect.
func TestWaveCapHoldsAcrossHandover(t *testing.T) {
	machines := &idleMachines{count: 60, maintained: map[string]int{}, calling: map[string]bool{}, delay: 700 * time.Millisecond}
	testClusterWith(t, func(o *leader.Options) {
		o.Machines = machines
		o.Moves = leader.MoveOptions{Maintenance: 2 * time.Second, Shift: shift.Default()}
	}, func(c *cluster) {
		wave := rules.Wave{Number: 1, Cap: 20, Within: 20 * time.Second}
		for i := range machines.count {
			wave.Machines = append(wave.Machines, machines.name(i))
		}
		former := c.leader()
		former.slow.Store(true)
		c.rules.AddWave(wave)
		time.Sleep(10 * time.Second)
		if l := c.leader(); l == nil || l == former {
			t.Error("leadership was not handed over")
		}
		if n := len(machines.maintained); n == 0 || n > wave.Cap {
			t.Errorf("%d machines are in maintenance, the cap is %d", n, wave.Cap)
		}
	})
}

// passingMachines are machines of which some run a worker. A maintenance takes upkeepTime, after which the machine is back;
// that of a machine with a worker ends the worker's runs.
type passingMachines struct {
	idleMachines
	crash, restart func(work.WorkerID)

	until map[string]time.Time
	// most is the largest number of machines in maintenance at once.
	most int
}

const upkeepTime = 2 * time.Second

// List implements leader.Machines.
func (m *passingMachines) List(ctx context.Context) ([]leader.Machine, error) {
	list, err := m.idleMachines.List(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, x := range list {
		list[i].InMaintenance = time.Now().Before(m.until[x.Name])
		list[i].Up = !list[i].InMaintenance
	}
	return list, err
}

// Maintain implements leader.Machines.
func (m *passingMachines) Maintain(_ context.Context, machine string, _, _ int64) leader.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maintained[machine]++
	m.until[machine] = time.Now().Add(upkeepTime)
	down := 0
	for _, until := range m.until {
		if time.Now().Before(until) {
			down++
		}
	}
	m.most = max(m.most, down)
	if machine[0] == 'w' {
		id := work.WorkerID(machine)
		m.crash(id)
		time.AfterFunc(upkeepTime, func() { m.restart(id) })
	}
	return leader.Started
}

// begun returns the number of machines whose maintenance has begun.
func (m *passingMachines) begun() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.maintained)
}

// after returns the step before a step, if any.
func after(step int) []int {
	if step == 0 {
		return nil
	}
	return []int{step - 1}
}

// Load pattern: a wave of idle and busy machines, the latter with tasks of many seconds. Guards against more machines down
// at once than the cap while others are being drained, and against a wave that overruns its time.
func TestWaveDrainsBesideMaintenance(t *testing.T) {
	machines := &passingMachines{idleMachines: idleMachines{count: 30, maintained: map[string]int{}},
		until: map[string]time.Time{}}
	testClusterOf(t, 1, func(o *leader.Options) {
		o.Machines = machines
		o.Moves = leader.MoveOptions{Maintenance: upkeepTime, Shift: shift.Default()}
	}, func(c *cluster) {
		machines.crash, machines.restart = c.fakeWorkers.Crash, c.fakeWorkers.Restart
		c.fakeWorkers.SetRunTime(8 * time.Second)
		wave := rules.Wave{Number: 1, Cap: 4, Within: 24 * time.Second}
		for i := range 4 {
			j := work.Job{ID: work.JobID(fmt.Sprintf("%016x", i)), Queue: "q", Customer: "c", Accepted: time.Now().UnixMilli()}
			for range 6 {
				// Each task starts on the worker of the one before while others are busy.
				j.Steps = append(j.Steps, work.Step{Count: 1, Need: work.Need{CPU: 3000}, After: after(len(j.Steps))})
			}
			c.submit(context.Background(), j)
			wave.Machines = append(wave.Machines, fmt.Sprintf("w%d", i))
		}
		time.Sleep(time.Second)
		for i := range machines.count {
			wave.Machines = append(wave.Machines, machines.name(i))
		}
		c.rules.AddWave(wave)
		began := time.Now()
		for machines.begun() < len(wave.Machines) && time.Since(began) < wave.Within {
			time.Sleep(100 * time.Millisecond)
		}
		machines.mu.Lock()
		defer machines.mu.Unlock()
		if took := time.Since(began); len(machines.maintained) < len(wave.Machines) || took >= wave.Within {
			t.Errorf("%d of %d machines after %v", len(machines.maintained), len(wave.Machines), took)
		}
		if machines.most > wave.Cap {
			t.Errorf("%d machines were down at once, the cap is %d", machines.most, wave.Cap)
		}
		for name, n := range machines.maintained {
			if n != 1 {
				t.Errorf("the maintenance of %s began %d times", name, n)
			}
		}
	})
}

// fencedMachines decline each maintenance, because a later leader has acted on the machine.
type fencedMachines struct {
	idleMachines
	calls atomic.Int64
}

// Maintain implements leader.Machines.
func (m *fencedMachines) Maintain(context.Context, string, int64, int64) leader.Result {
	m.calls.Add(1)
	return leader.Fenced
}

// Guards against a former leader that goes on with one machine after the other, although the machine service has told it that
// a later leader acts.
func TestFencedMachineCallEndsLeadership(t *testing.T) {
	machines := &fencedMachines{idleMachines: idleMachines{count: 30, maintained: map[string]int{}}}
	testClusterOf(t, 1, func(o *leader.Options) {
		o.Machines, o.Moves = machines, leader.MoveOptions{Maintenance: time.Second, Shift: shift.Default()}
	}, func(c *cluster) {
		former := c.leader().elector.Load()
		record, _ := former.Leader()
		c.rules.AddWave(rules.Wave{Number: 1, Machines: []string{machines.name(0), machines.name(1)}, Cap: 1, Within: time.Minute})
		for machines.calls.Load() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		if now, ok := former.Leader(); !ok || now.Term == record.Term {
			t.Errorf("after a fenced call the leader of term %d still leads: %+v", record.Term, now)
		}
	})
}

// Guards against a wave whose time begins anew with each leader, because its beginning is stored only with its first
// machine: the wave goes at too slow a pace and ends late.
func TestBeginningOfWaveIsStored(t *testing.T) {
	machines := &idleMachines{count: 1, maintained: map[string]int{}}
	testClusterOf(t, 1, func(o *leader.Options) {
		o.Machines, o.Moves = machines, leader.MoveOptions{Maintenance: time.Second, Shift: shift.Default()}
	}, func(c *cluster) {
		c.submit(context.Background(), work.Job{ID: "00000000000000a1", Queue: "q", Customer: "c",
			Accepted: time.Now().UnixMilli(), Steps: []work.Step{{Count: 1, Need: work.Need{CPU: 10}, LongRunning: true}}})
		time.Sleep(time.Second)
		// The machine runs a long-running task that has nowhere to go.
		for i := 1; i < 4; i++ {
			c.fakeWorkers.Crash(work.WorkerID(fmt.Sprintf("w%d", i)))
		}
		c.rules.AddWave(rules.Wave{Number: 1, Machines: []string{"w0"}, Cap: 1, Within: time.Hour})
		time.Sleep(2 * time.Second)
		rows, err := c.store.Link().Scan(t.Context(), "wave/", "", 10)
		if err != nil || len(rows) != 1 {
			t.Errorf("%d rows of waves before the first machine is taken, %v", len(rows), err)
		}
	})
}
