package leader_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/plan/shift"
	"github.com/yuccahaven/yuccahaven/internal/serve/leader"
	"github.com/yuccahaven/yuccahaven/internal/state/rules"
)

// resetTime is the time from a call until its connection is reset.
const resetTime = 100 * time.Millisecond

// unansweredMachines are machines of which the first call begins a maintenance and has no reply. Calls for a machine in
// maintenance are declined as busy, and lists fail from the first call on.
type unansweredMachines struct {
	idleMachines
	until map[string]time.Time
	// most is the largest number of machines in maintenance at once.
	most int
}

// List implements leader.Machines.
func (m *unansweredMachines) List(ctx context.Context) ([]leader.Machine, error) {
	m.mu.Lock()
	begun := len(m.until) > 0
	m.mu.Unlock()
	if begun {
		return nil, errors.New("no reply")
	}
	return m.idleMachines.List(ctx)
}

// Maintain implements leader.Machines.
func (m *unansweredMachines) Maintain(_ context.Context, machine string, _, _ int64) leader.Result {
	m.mu.Lock()
	if time.Now().Before(m.until[machine]) {
		m.mu.Unlock()
		return leader.Busy
	}
	first := len(m.until) == 0
	m.until[machine] = time.Now().Add(upkeepTime)
	down := 0
	for _, until := range m.until {
		if time.Now().Before(until) {
			down++
		}
	}
	m.most = max(m.most, down)
	m.mu.Unlock()
	if first {
		time.Sleep(resetTime)
		return leader.Unknown
	}
	return leader.Started
}

// Guards against more machines down for their maintenance than the cap of a wave (a LIMIT violation): a call that began one had
// no reply, the next call was declined because of that, and the machine no longer counted as taken while lists failed.
func TestBusyMachineAfterLostReplyCountsAsDown(t *testing.T) {
	machines := &unansweredMachines{idleMachines: idleMachines{count: 2}, until: map[string]time.Time{}}
	testClusterOf(t, 1, func(o *leader.Options) {
		o.Machines = machines
		o.Moves = leader.MoveOptions{Maintenance: upkeepTime, Shift: shift.Default()}
	}, func(c *cluster) {
		c.rules.AddWave(rules.Wave{Number: 1, Machines: []string{machines.name(0), machines.name(1)}, Cap: 1,
			Within: time.Minute})
		time.Sleep(resetTime + upkeepTime)
		machines.mu.Lock()
		defer machines.mu.Unlock()
		if len(machines.until) == 0 || machines.most > 1 {
			t.Errorf("maintenance of %d machines began, %d were down at once, the cap is 1", len(machines.until), machines.most)
		}
	})
}
