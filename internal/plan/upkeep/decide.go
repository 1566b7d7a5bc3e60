// Package upkeep carries out planned maintenance: it rolls pools to their version in waves and finishes the
// reboots and moves that planners and operators began.
//
// What remains to be done follows from the view alone, so a planner that starts after the death of another goes on
// where that one stopped. The times and boot identifiers that a planner remembers only spare it repeated work.
package upkeep

import (
	"slices"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plan/budget"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
)

// Times of the maintenance of one instance.
const (
	// settleFor is how long an instance must have been draining before it may be found idle. A start based on the
	// earlier view can arrive 2 s (freshness) and 1 s (reservation) after the drain was accepted; the rest covers
	// the time until every entry instance has seen the drain.
	settleFor = 5 * time.Second
	// resultsFor bounds the wait for callers to fetch the results of ended tasks; it is the retention of task records.
	resultsFor = 10 * time.Minute
	// retryFirst and retryMost are the first and the longest wait between two reboot requests for an instance.
	retryFirst = 2 * time.Minute
	retryMost  = 20 * time.Minute
	// lostAfter is when an instance that does not come back or does not answer stops counting in the wave. It still counts as
	// unavailable.
	lostAfter = 10 * time.Minute
	// provenBy is the number of consecutive good probes that prove an instance to be back.
	provenBy = 3
)

// ProbeResult is the answer of an instance to a probe; OK is false if it did not answer.
type ProbeResult struct {
	OK     bool
	Report worker.Report
}

// note is what the planner remembers of an instance under maintenance.
type note struct {
	state fleet.InstanceState
	// since is when the planner first saw the instance in this state.
	since time.Time
	// boot is the instance's boot identifier when the reboot was requested.
	boot      string
	requested time.Time
	retry     time.Duration
	good      int
	// silent is when the instance stopped answering, or zero.
	silent time.Time
}

// action is one thing to do for an instance.
type action interface{ instance() fleet.InstanceID }

type (
	// record notes the version of an instance that needs no reboot.
	record struct {
		id      fleet.InstanceID
		version string
	}
	// renew drains an instance for a reboot.
	renew struct{ id fleet.InstanceID }
	// cancel returns a draining instance to service because its reboot is not wanted any more.
	cancel struct {
		id   fleet.InstanceID
		pool fleet.PoolName
	}
	// mark notes in the view that a drained instance is rebooting.
	mark struct{ id fleet.InstanceID }
	// request asks the platform for the reboot.
	request struct {
		id      fleet.InstanceID
		version string
		boot    string
	}
	// activate returns a rebooted instance to service.
	activate struct {
		id      fleet.InstanceID
		version string
	}
)

func (a record) instance() fleet.InstanceID   { return a.id }
func (a renew) instance() fleet.InstanceID    { return a.id }
func (a cancel) instance() fleet.InstanceID   { return a.id }
func (a mark) instance() fleet.InstanceID     { return a.id }
func (a request) instance() fleet.InstanceID  { return a.id }
func (a activate) instance() fleet.InstanceID { return a.id }

// isPlanned reports whether planned work is under way on an instance, as opposed to an operator's hold.
func isPlanned(m fleet.PoolMember) bool {
	return m.State == fleet.InstanceRebooting || m.State == fleet.InstanceDraining && m.Target != ""
}

// wanted returns the version that an instance is to run after its reboot; "" stands for the one it runs.
func wanted(v fleet.View, p fleet.PoolName, m fleet.PoolMember) string {
	if s, ok := v.Document().Pools[m.Target]; ok {
		return s.Version
	}
	return v.Document().Pools[p].Version
}

// proceed decides what to do next for an instance under planned work and updates what is remembered of it.
func proceed(v fleet.View, p fleet.PoolName, m fleet.PoolMember, n *note, s ProbeResult, now time.Time) action {
	if n.state != m.State {
		*n = note{state: m.State, since: now, retry: retryFirst}
	}
	if s.OK {
		n.silent = time.Time{}
	} else if n.silent.IsZero() {
		n.silent = now
	}
	if m.State == fleet.InstanceDraining {
		return whileDraining(v, p, m, n, s, now)
	}
	return whileRebooting(v, p, m, n, s, now)
}

func whileDraining(v fleet.View, p fleet.PoolName, m fleet.PoolMember, n *note, s ProbeResult, now time.Time) action {
	version := wanted(v, p, m)
	if m.Target == p && (version == "" || s.OK && s.Report.Version == version) {
		return cancel{m.ID, p}
	}
	if now.Sub(n.since) < settleFor || !s.OK || !isIdle(s.Report, now.Sub(n.since)) {
		return nil
	}
	return mark{m.ID}
}

// isIdle reports whether a reboot interrupts no task and loses no result that a caller may still fetch.
func isIdle(r worker.Report, drained time.Duration) bool {
	if r.Used > 0 {
		return false
	}
	return !slices.ContainsFunc(r.Tasks, func(t worker.StatusOfOwner) bool {
		switch t.State {
		case worker.Reserved, worker.Running:
			return true
		case worker.Done, worker.Failed:
			return drained < resultsFor
		}
		return false
	})
}

func whileRebooting(v fleet.View, p fleet.PoolName, m fleet.PoolMember, n *note, s ProbeResult, now time.Time) action {
	version := wanted(v, p, m)
	rebooted := n.boot != "" && s.Report.Boot != n.boot || n.boot == "" && provesReboot(p, m, version, s.Report.Version)
	if s.OK && rebooted && !s.Report.Leaving && (version == "" || s.Report.Version == version) {
		if n.good++; n.good >= provenBy {
			return activate{m.ID, s.Report.Version}
		}
		return nil
	}
	n.good = 0
	if s.OK && !isIdle(s.Report, now.Sub(n.since)) {
		return nil
	}
	// An instance that does not answer may be rebooting at the request of the planner before this one.
	if n.requested.IsZero() && s.OK || now.Sub(latest(n.since, n.requested)) >= n.retry {
		return request{m.ID, version, s.Report.Boot}
	}
	return nil
}

// provesReboot reports whether a reported version proves a reboot that an earlier planner requested. A move of an
// instance whose version before is not known is no proof: it may have run the version already.
func provesReboot(p fleet.PoolName, m fleet.PoolMember, version, reported string) bool {
	return version != "" && reported == version && m.Version != version && (m.Target == p || m.Version != "")
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// candidates returns the active instances of a pool that need a reboot, those whose maintenance costs no
// availability first. Instances that are lent need none: they are rebooted on their way back.
func candidates(v fleet.View, p fleet.PoolName) []fleet.PoolMember {
	version := v.Document().Pools[p].Version
	if version == "" {
		return nil
	}
	var free, costly []fleet.PoolMember
	for _, m := range v.Pool(p) {
		switch {
		case m.State != fleet.InstanceActive || m.Version == version:
		case v.Zone(m.Zone).State == fleet.ZoneOut:
			free = append(free, m)
		default:
			costly = append(costly, m)
		}
	}
	return append(free, costly...)
}

// room returns how many more instances of a pool may enter maintenance now by its wave.
func room(v fleet.View, p fleet.PoolName, notes map[fleet.InstanceID]*note, now time.Time) int {
	under := 0
	for _, m := range v.Pool(p) {
		if isPlanned(m) && !isLost(m, notes[m.ID], now) {
			under++
		}
	}
	return max(0, v.Document().Pools[p].Wave-under)
}

// isLost reports whether an instance under maintenance no longer holds up others.
func isLost(m fleet.PoolMember, n *note, now time.Time) bool {
	if n == nil || n.state != m.State {
		return false
	}
	return m.State == fleet.InstanceRebooting && now.Sub(n.since) >= lostAfter ||
		!n.silent.IsZero() && now.Sub(n.silent) >= lostAfter
}

// begin decides which candidates enter maintenance; sights holds the answers of the candidates.
// A candidate that does not answer is passed over: it could not be seen idle.
func begin(v fleet.View, p fleet.PoolName, sights map[fleet.InstanceID]ProbeResult, room int, failed []fleet.InstanceID) []action {
	version := v.Document().Pools[p].Version
	budgeted := budget.Room(v, p, failed...)
	var actions []action
	for _, m := range candidates(v, p) {
		s, ok := sights[m.ID]
		if !ok || !s.OK {
			continue
		}
		if s.Report.Version == version {
			actions = append(actions, record{m.ID, version})
			continue
		}
		costs := v.Zone(m.Zone).State == fleet.ZoneIn && !slices.Contains(failed, m.ID)
		if room == 0 || costs && budgeted == 0 {
			continue
		}
		room--
		if costs {
			budgeted--
		}
		actions = append(actions, renew{m.ID})
	}
	return actions
}
