// Package ramp returns an availability zone to service in one pool step by step.
package ramp

import (
	"context"
	"time"

	"github.com/looplab/fsm"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// The states of a return.
const (
	Out       = "out"
	Settling  = "settling"
	Probing   = "probing"
	Ramping   = "ramping"
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
	// stepTime is the length of a step.
	stepTime = 500 * time.Millisecond
	// stepOutcomes is the number of outcomes that a step waits for while tasks run, stepLimit how long. The forgiven
	// failure may be the only outcome of a shorter step, so that a zone whose tasks fail late would pass them all.
	stepOutcomes = 3
	stepLimit    = 6 * time.Second
	// settleLimit is how long workers that stay silent or tasks without an owner can hold up the return: the
	// longest lease of 12.5 s and some probes. The workers that respond then return without the others.
	settleLimit = 15 * time.Second
	// full is the share of a zone in service, in percent.
	full = 100
)

// shares are the steps of a ramp in percent of the availability zone's slots.
var shares = []int{10, 25, 50, 75, full}

// StepInService is the step reported for a zone in service; lower steps are 0 before the ramp and 1 to 5 in it.
var StepInService = len(shares) + 1

// ZoneObservation is what the coordinator sees of the availability zone's workers.
type ZoneObservation struct {
	// Workers counts the workers in the view, Responding those that answer probes, Proven those of them that
	// answered enough probes in a row.
	Workers    int
	Responding int
	Proven     int
	// Leftover counts running tasks that no entry owns, Running the slots in use.
	Leftover int
	Running  int
	// OnlyZone is set if no availability zone of the pool is in service.
	OnlyZone bool
}

// StateMachine is the return of one availability zone in one pool; it is not safe for concurrent use.
type StateMachine struct {
	fsm        *fsm.FSM
	generation uint64
	step       int // index into shares while ramping
	since      time.Time
	// inherited is set until this coordinator has seen a departure: an earlier one may have come further.
	inherited bool
	seen      bool // the first tick has passed
	lost      bool // every worker stopped responding without a departure
	// skip is set if no zone was in service when this one returned from a departure that no operator asked for.
	// Holding back the slots of a whole pool would then protect nothing.
	skip   bool
	own    Quality
	others Quality
	before Quality // of the zone while it was in service
}

// New returns the machine of a zone that a coordinator has not dealt with before.
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

// Generation returns the generation of the zone's state that the machine follows.
func (m *StateMachine) Generation() uint64 { return m.generation }

// Percent returns the share of the zone's slots in service.
func (m *StateMachine) Percent() int {
	switch m.State() {
	case InService:
		return full
	case Ramping:
		return shares[m.step]
	}
	return 0
}

// Step returns how far the return has come, for the entries to echo.
func (m *StateMachine) Step() int {
	switch m.State() {
	case InService:
		return StepInService
	case Ramping:
		return m.step + 1
	}
	return 0
}

// Follow applies the zone's status in the view. Every new generation starts again from out, even if the
// coordinator saw only the return of a departure that was taken back.
func (m *StateMachine) Follow(now time.Time, s fleet.ZoneStatus) {
	if s.Generation == m.generation && (s.State == fleet.ZoneOut) == (m.State() == Out && !m.lost) {
		return
	}
	m.generation = s.Generation
	m.leave(now)
	m.inherited, m.skip, m.lost, m.seen = false, false, false, true
	if s.State == fleet.ZoneIn {
		m.to(now, eventReturn)
	}
}

// Resume takes over the step that entries saw last from an earlier coordinator of the same generation.
func (m *StateMachine) Resume(now time.Time, generation uint64, step int) {
	if !m.inherited || generation != m.generation || step < 1 || m.Step() > 0 {
		return
	}
	m.inherited = false
	m.to(now, eventResume)
	m.step = min(step, len(shares)) - 1
	if step >= StepInService {
		m.to(now, eventPass)
	}
}

// Observe takes in an outcome of a task in the zone itself or, if own is not set, in a zone in service. Slowness
// is the run time over the typical one of the task's queue.
func (m *StateMachine) Observe(own, failed bool, slowness float64) {
	switch {
	case own && m.State() == InService:
		m.before.age()
		m.before.add(failed, slowness)
	case m.State() != Ramping:
	case own:
		m.own.add(failed, slowness)
	default:
		m.others.add(failed, slowness)
	}
}

// Tick advances the return.
func (m *StateMachine) Tick(now time.Time, s ZoneObservation) {
	if s.Workers == 0 {
		return
	}
	if !m.seen {
		m.seen, m.skip = true, m.inherited && s.OnlyZone
	}
	if s.Responding == 0 {
		m.lose(now)
		return
	}
	switch m.State() {
	case Out:
		if m.lost {
			m.lost, m.skip = false, s.OnlyZone
			m.to(now, eventReturn)
		}
	case Settling:
		settled := s.Responding == s.Workers && s.Leftover == 0
		if settled || now.Sub(m.since) >= settleLimit {
			m.to(now, eventSettle)
		}
	case Probing:
		m.probe(now, s)
	case Ramping:
		m.climb(now, s)
	}
}

// lose handles an unplanned loss: no worker of the zone responds.
func (m *StateMachine) lose(now time.Time) {
	if s := m.State(); s == Out || s == Settling {
		return
	}
	m.leave(now)
	m.lost, m.inherited = true, false
}

func (m *StateMachine) leave(now time.Time) {
	if m.State() != Out {
		m.to(now, eventLeave)
	}
}

func (m *StateMachine) probe(now time.Time, s ZoneObservation) {
	if s.Proven < s.Responding {
		return
	}
	m.inherited = false
	if m.skip {
		m.to(now, eventPass)
		return
	}
	m.to(now, eventProve)
	m.step = 0
}

// climb judges the present step once it has lasted long enough.
func (m *StateMachine) climb(now time.Time, s ZoneObservation) {
	lasted := now.Sub(m.since)
	if lasted < stepTime || m.own.Count < stepOutcomes && s.Running > 0 && lasted < stepLimit {
		return
	}
	reference := m.others
	if s.OnlyZone || reference.Count < minCount {
		reference = m.before
	}
	switch failing := m.own.Failing(reference); {
	case failing && m.step > 0:
		m.turn(now, m.step-1)
	case failing:
		m.to(now, eventRecheck)
	case m.own.Slow(reference):
		// A slow zone still completes work, and a cold one warms up only by working.
		m.turn(now, m.step)
	case m.step == len(shares)-1:
		m.to(now, eventPass)
	default:
		m.turn(now, m.step+1)
	}
}

func (m *StateMachine) turn(now time.Time, step int) {
	m.step, m.since = step, now
	m.own, m.others = Quality{}, Quality{}
}

// to fires an event that the present state allows.
func (m *StateMachine) to(now time.Time, event string) {
	if err := m.fsm.Event(context.Background(), event); err != nil {
		panic("ramp: " + err.Error()) // the callers check the state first
	}
	m.turn(now, m.step)
}
