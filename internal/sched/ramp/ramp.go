// Package ramp returns an availability zone to service in one pool by increasing the share of its slots in steps.
package ramp

import (
	"context"
	"time"

	"github.com/looplab/fsm"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// The states of a StateMachine.
const (
	// Out: an operator has taken the zone out of service, or none of its workers responds.
	Out = "out"
	// Settling: until all workers respond and no orphaned tasks run, or settleTimeout.
	Settling = "settling"
	// Probing: until each responding worker has answered enough probes in a row.
	Probing = "probing"
	// Ramping: the share of the slots in service grows in steps.
	Ramping = "ramping"
	// InService: all slots are in service.
	InService = "in service"
)

// The events of the state machine.
const (
	eventLeave   = "leave"
	eventReturn  = "return"
	eventSettle  = "settle"
	eventProve   = "prove"
	eventPass    = "pass"
	eventRecheck = "recheck"
	eventResume  = "resume"
)

const (
	// minStepDuration is the least duration of a step.
	minStepDuration = 500 * time.Millisecond
	// minStepOutcomes is the number of outcomes that a step waits for while tasks run, for at most maxStepDuration. In
	// a step with fewer outcomes the forgiven failure may be the only one, so that a zone whose tasks fail late would
	// pass every step.
	minStepOutcomes = 3
	maxStepDuration = 6 * time.Second
	// settleTimeout bounds how long unresponsive workers or orphaned tasks can delay the return: the longest lease of
	// 12.5 s and some probes. After it the responding workers return without the others.
	settleTimeout = 15 * time.Second
	// full is the share of a zone that is fully in service, in percent.
	full = 100
)

// shares are the steps of a ramp, in percent of the availability zone's slots. The baseline in lab/trial replaces the
// text of this declaration.
var shares = []int{10, 25, 50, 75, full}

// StepInService is the step reported for a zone in service; lower steps are 0 before the ramp and 1 to 5 in it.
var StepInService = len(shares) + 1

// ZoneObservation is the coordinator's view of the availability zone's workers.
type ZoneObservation struct {
	// Workers counts the workers in the view, Responding those that answer probes, Proven those among them that
	// answered enough probes in a row.
	Workers    int
	Responding int
	Proven     int
	// Orphaned counts running tasks that no entry reports, Running the slots in use.
	Orphaned int
	Running  int
	// OnlyZone reports whether no availability zone of the pool is in service.
	OnlyZone bool
}

// StateMachine controls the return of one availability zone in one pool; it is not safe for concurrent use.
type StateMachine struct {
	fsm        *fsm.FSM
	generation uint64
	step       int       // index into shares while ramping
	since      time.Time // start of the state or step
	// inherited is set for a return that began under an earlier coordinator, which may have reached a later step.
	inherited    bool
	ticked       bool // Tick has been called or the status has changed
	unresponsive bool // out because no worker responds, not by an operator
	// skipRamp is set if no zone was in service when this one returned after a loss of all its workers, or at the first
	// tick of an inherited return. Withholding the slots of the whole pool would then protect nothing.
	skipRamp          bool
	stepQuality       Quality
	otherZonesQuality Quality
	inServiceQuality  Quality // of the zone while it was in service
}

// New returns the state machine of a zone that is new to the coordinator.
func New(now time.Time, s fleet.ZoneStatus) *StateMachine {
	initial := Settling
	switch {
	case s.State == fleet.ZoneOut:
		initial = Out
	case s.Generation == 0:
		initial = InService // never taken out
	}
	return &StateMachine{
		fsm: fsm.NewFSM(initial, transitions(), fsm.Callbacks{}), generation: s.Generation, since: now,
		inherited: initial == Settling,
	}
}

func transitions() fsm.Events {
	all := []string{Out, Settling, Probing, Ramping, InService}
	return fsm.Events{
		{Name: eventLeave, Src: all[1:], Dst: Out},
		{Name: eventReturn, Src: []string{Out}, Dst: Settling},
		{Name: eventSettle, Src: []string{Settling}, Dst: Probing},
		{Name: eventProve, Src: []string{Probing}, Dst: Ramping},
		{Name: eventRecheck, Src: []string{Ramping}, Dst: Probing},
		{Name: eventPass, Src: []string{Probing, Ramping}, Dst: InService},
		{Name: eventResume, Src: []string{Settling, Probing}, Dst: Ramping},
	}
}

// State returns the current state.
func (m *StateMachine) State() string { return m.fsm.Current() }

// Generation returns the generation of the last applied zone status.
func (m *StateMachine) Generation() uint64 { return m.generation }

// Percent returns the share of the zone's slots that may be in use, in percent.
func (m *StateMachine) Percent() int {
	switch m.State() {
	case InService:
		return full
	case Ramping:
		return shares[m.step]
	}
	return 0
}

// Step returns the step that the return has reached; entries repeat it to the next coordinator.
func (m *StateMachine) Step() int {
	switch m.State() {
	case InService:
		return StepInService
	case Ramping:
		return m.step + 1
	}
	return 0
}

// ApplyStatus applies the zone's status in the view. Every new generation starts again from Out, because the
// coordinator may have missed a view in which the zone was out of service.
func (m *StateMachine) ApplyStatus(now time.Time, s fleet.ZoneStatus) {
	if s.Generation == m.generation && (s.State == fleet.ZoneOut) == (m.State() == Out && !m.unresponsive) {
		return
	}
	m.generation = s.Generation
	m.takeOut(now)
	m.inherited, m.skipRamp, m.unresponsive, m.ticked = false, false, false, true
	if s.State == fleet.ZoneIn {
		m.fire(now, eventReturn)
	}
}

// Resume continues at a step that an earlier coordinator reported to the entries for the same generation. It has an
// effect only on an inherited return that has not reached the ramp.
func (m *StateMachine) Resume(now time.Time, generation uint64, step int) {
	if !m.inherited || generation != m.generation || step < 1 || m.Step() > 0 {
		return
	}
	m.inherited = false
	m.fire(now, eventResume)
	m.step = min(step, len(shares)) - 1
	if step >= StepInService {
		m.fire(now, eventPass)
	}
}

// Observe records the outcome of a task in the zone itself or, if own is not set, in a zone in service. The slowness
// is the run time divided by the typical run time of the task's queue, 0 if unknown. Outcomes count only during the
// ramp, the zone's own also while it is in service.
func (m *StateMachine) Observe(own, failed bool, slowness float64) {
	switch {
	case own && m.State() == InService:
		m.inServiceQuality.halve()
		m.inServiceQuality.add(failed, slowness)
	case m.State() != Ramping:
	case own:
		m.stepQuality.add(failed, slowness)
	default:
		m.otherZonesQuality.add(failed, slowness)
	}
}

// Tick applies the transitions that depend on time and on the observation.
func (m *StateMachine) Tick(now time.Time, s ZoneObservation) {
	if s.Workers == 0 {
		return
	}
	if !m.ticked {
		m.ticked, m.skipRamp = true, m.inherited && s.OnlyZone
	}
	if s.Responding == 0 {
		m.handleLoss(now)
		return
	}
	switch m.State() {
	case Out:
		if m.unresponsive {
			m.unresponsive, m.skipRamp = false, s.OnlyZone
			m.fire(now, eventReturn)
		}
	case Settling:
		settled := s.Responding == s.Workers && s.Orphaned == 0
		if settled || now.Sub(m.since) >= settleTimeout {
			m.fire(now, eventSettle)
		}
	case Probing:
		m.checkProbes(now, s)
	case Ramping:
		m.evaluateStep(now, s)
	}
}

// handleLoss takes the zone out of service because none of its workers responds, unless it is out or settling.
func (m *StateMachine) handleLoss(now time.Time) {
	if s := m.State(); s == Out || s == Settling {
		return
	}
	m.takeOut(now)
	m.unresponsive, m.inherited = true, false
}

func (m *StateMachine) takeOut(now time.Time) {
	if m.State() != Out {
		m.fire(now, eventLeave)
	}
}

func (m *StateMachine) checkProbes(now time.Time, s ZoneObservation) {
	if s.Proven < s.Responding {
		return
	}
	m.inherited = false
	if m.skipRamp {
		m.fire(now, eventPass)
		return
	}
	m.fire(now, eventProve)
	m.step = 0
}

// evaluateStep ends a step that has lasted long enough and goes on with the next, the same or the previous one. Full
// service follows the last step; a first step that fails returns the zone to Probing.
func (m *StateMachine) evaluateStep(now time.Time, s ZoneObservation) {
	elapsed := now.Sub(m.since)
	if elapsed < minStepDuration ||
		m.stepQuality.Count < minStepOutcomes && s.Running > 0 && elapsed < maxStepDuration {
		return
	}
	reference := m.otherZonesQuality
	if s.OnlyZone || reference.Count < minOutcomes {
		reference = m.inServiceQuality
	}
	switch failing := m.stepQuality.Failing(reference); {
	case failing && m.step > 0:
		m.startStep(now, m.step-1)
	case failing:
		m.fire(now, eventRecheck)
	case m.stepQuality.Slow(reference):
		// The share stays as it is: a slow zone still completes tasks, and a cold one warms up only by running them.
		m.startStep(now, m.step)
	case m.step == len(shares)-1:
		m.fire(now, eventPass)
	default:
		m.startStep(now, m.step+1)
	}
}

func (m *StateMachine) startStep(now time.Time, step int) {
	m.step, m.since = step, now
	m.stepQuality, m.otherZonesQuality = Quality{}, Quality{}
}

// fire triggers an event and starts the time in the new state; the current state must allow the event.
func (m *StateMachine) fire(now time.Time, event string) {
	if err := m.fsm.Event(context.Background(), event); err != nil {
		panic("ramp: " + err.Error()) // the callers check the state first
	}
	m.startStep(now, m.step)
}
