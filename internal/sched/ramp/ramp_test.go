package ramp

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// script runs a file of testdata on a state machine.
type script struct {
	m           *StateMachine
	now         time.Time
	observation ZoneObservation
}

// run executes "new" (a new coordinator), "zone" (a status of the view), "sight" (changes the observation and ticks),
// "run T" (ticks twice a second, each with eight outcomes in other zones and, if some of its slots are in service, in
// the zone; with "rare" one task of the zone ends per second, with "quiet" none) and "echo" (a step reported by an
// entry).
func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	status := fleet.ZoneStatus{State: fleet.ZoneIn}
	if d.HasArg("out") {
		status.State = fleet.ZoneOut
	}
	if d.HasArg("generation") {
		d.ScanArgs(t, "generation", &status.Generation)
	}
	switch d.Cmd {
	case "new":
		s.observation = ZoneObservation{Workers: 4, Responding: 4, Proven: 4}
		s.m = New(s.now, status)
	case "zone":
		s.m.ApplyStatus(s.now, status)
	case "sight":
		for key, to := range map[string]*int{"responding": &s.observation.Responding, "proven": &s.observation.Proven,
			"leftover": &s.observation.Orphaned, "running": &s.observation.Running} {
			if d.HasArg(key) {
				d.ScanArgs(t, key, to)
			}
		}
		s.observation.OnlyZone = d.HasArg("alone")
		s.m.Tick(s.now, s.observation)
	case "echo":
		var step int
		d.ScanArgs(t, "step", &step)
		s.m.Resume(s.now, status.Generation, step)
	case "run":
		return s.elapse(t, d)
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return s.describe()
}

// elapse advances the time and lists each change of state with its time.
func (s *script) elapse(t *testing.T, d *datadriven.TestData) string {
	span, err := time.ParseDuration(d.CmdArgs[0].Key)
	if err != nil {
		t.Fatal(err)
	}
	from, slow := s.now, 1.0
	if d.HasArg("slow") {
		d.ScanArgs(t, "slow", &slow)
	}
	last, out := "", ""
	for ; s.now.Before(from.Add(span)); s.now = s.now.Add(500 * time.Millisecond) {
		for i := range 8 {
			ends := !d.HasArg("quiet") && (!d.HasArg("rare") || i == 0 && s.now.Nanosecond() == 0)
			if ends && s.m.Percent() > 0 {
				s.m.Observe(true, d.HasArg("failing") || d.HasArg("flaky") && i%4 == 0, slow)
			}
			s.m.Observe(false, d.HasArg("flaky") && i%4 == 0, 1)
		}
		s.m.Tick(s.now, s.observation)
		if now := s.describe(); now != last {
			out += fmt.Sprintf("%v: %s", s.now.Sub(from), now)
			last = now
		}
	}
	return out
}

func (s *script) describe() string {
	return fmt.Sprintf("%s %d%%, step %d, generation %d\n", s.m.State(), s.m.Percent(), s.m.Step(), s.m.Generation())
}

// TestStateMachine runs the scripts in testdata; each states the failure it guards against.
func TestStateMachine(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
		datadriven.RunTest(t, path, s.run)
	})
}
