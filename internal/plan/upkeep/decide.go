// Package upkeep carries out planned maintenance: it rolls out each pool's version in waves and completes the
// reboots and moves that planners and operators started.
//
// The remaining work follows from the view alone, so a planner that replaces a failed one continues where that one
// stopped. The times and boot identifiers that a planner keeps in memory only avoid repeated work.
package upkeep

import (
	"slices"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plan/budget"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
)

const (
	// minDrainTime is how long an instance must have been draining before it can count as idle. A start based on the
	// earlier view can arrive up to 3 s after the drain was accepted (2 s of view freshness, 1 s of reservation); the
	// rest covers the time until every entry instance has received the drain.
	minDrainTime = 5 * time.Second
	// resultRetention bounds the wait for callers to fetch the results of ended tasks; it equals the retention of task
	// records.
	resultRetention = 10 * time.Minute
	// minRetryInterval and maxRetryInterval bound the interval between two reboot requests for an instance, which
	// starts at the minimum and doubles.
	minRetryInterval = 2 * time.Minute
	maxRetryInterval = 20 * time.Minute
	// lostTimeout is the time after which an instance that doesn't return from its reboot or doesn't answer stops
	// counting against the wave. It still counts as unavailable.
	lostTimeout = 10 * time.Minute
	// requiredProbes is the number of consecutive successful probes before an instance returns to service.
	requiredProbes = 3
)

// ProbeResult is the result of a probe; OK is false if the instance didn't answer or another one answered.
type ProbeResult struct {
	OK     bool
	Report worker.Report
}

// progress is the planner's in-memory record of an instance under maintenance.
type progress struct {
	state fleet.InstanceState
	// since is when the planner first observed the instance in this state.
	since time.Time
	// bootBefore is the last boot identifier known at a reboot request, or "" if none was known.
	bootBefore    string
	requestedAt   time.Time
	retryInterval time.Duration
	goodProbes    int
	// unresponsiveSince is when the instance stopped answering probes, or zero.
	unresponsiveSince time.Time
}

// action is one maintenance action on an instance.
type action interface{ instance() fleet.InstanceID }

type (
	// recordVersion records the version of an instance that needs no reboot.
	recordVersion struct {
		id      fleet.InstanceID
		version string
	}
	// drainForReboot drains an instance for a reboot.
	drainForReboot struct{ id fleet.InstanceID }
	// cancelReboot returns a draining instance to service because its reboot is no longer needed.
	cancelReboot struct {
		id   fleet.InstanceID
		pool fleet.PoolName
	}
	// markRebooting records in the view that a drained instance is rebooting.
	markRebooting struct{ id fleet.InstanceID }
	// requestReboot asks the platform for the reboot; boot is the boot identifier in this pass's report, or "".
	requestReboot struct {
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

func (a recordVersion) instance() fleet.InstanceID  { return a.id }
func (a drainForReboot) instance() fleet.InstanceID { return a.id }
func (a cancelReboot) instance() fleet.InstanceID   { return a.id }
func (a markRebooting) instance() fleet.InstanceID  { return a.id }
func (a requestReboot) instance() fleet.InstanceID  { return a.id }
func (a activate) instance() fleet.InstanceID       { return a.id }

// isPlanned reports whether an instance is under planned work, as opposed to drained by an operator until Undrain.
func isPlanned(m fleet.PoolMember) bool {
	return m.State == fleet.InstanceRebooting || m.State == fleet.InstanceDraining && m.Target != ""
}

// desiredVersion returns the version that an instance runs after its reboot; "" means that the version stays.
func desiredVersion(v fleet.View, p fleet.PoolName, m fleet.PoolMember) string {
	if s, ok := v.Document().Pools[m.Target]; ok {
		return s.Version
	}
	return v.Document().Pools[p].Version
}

// nextAction returns the next action for an instance under planned work, or nil, and updates its progress.
func nextAction(v fleet.View, p fleet.PoolName, m fleet.PoolMember, pr *progress, r ProbeResult,
	now time.Time) action {
	if pr.state != m.State {
		*pr = progress{state: m.State, since: now, retryInterval: minRetryInterval}
	}
	if r.OK {
		pr.unresponsiveSince = time.Time{}
	} else if pr.unresponsiveSince.IsZero() {
		pr.unresponsiveSince = now
	}
	if m.State == fleet.InstanceDraining {
		return nextWhileDraining(v, p, m, pr, r, now)
	}
	return nextWhileRebooting(v, p, m, pr, r, now)
}

func nextWhileDraining(v fleet.View, p fleet.PoolName, m fleet.PoolMember, pr *progress, r ProbeResult,
	now time.Time) action {
	version := desiredVersion(v, p, m)
	if m.Target == p && (version == "" || r.OK && r.Report.Version == version) {
		return cancelReboot{m.ID, p}
	}
	if now.Sub(pr.since) < minDrainTime || !r.OK || !isIdle(r.Report, now.Sub(pr.since)) {
		return nil
	}
	return markRebooting{m.ID}
}

// isIdle reports whether a reboot would interrupt no task and lose no result that a caller may still fetch.
func isIdle(r worker.Report, drained time.Duration) bool {
	if r.Used > 0 {
		return false
	}
	return !slices.ContainsFunc(r.Tasks, func(t worker.ReportedTask) bool {
		switch t.State {
		case worker.Reserved, worker.Running:
			return true
		case worker.Done, worker.Failed:
			return drained < resultRetention
		}
		return false
	})
}

func nextWhileRebooting(v fleet.View, p fleet.PoolName, m fleet.PoolMember, pr *progress, r ProbeResult,
	now time.Time) action {
	version := desiredVersion(v, p, m)
	rebooted := pr.bootBefore != "" && r.Report.Boot != pr.bootBefore ||
		pr.bootBefore == "" && provesReboot(p, m, version, r.Report.Version)
	if r.OK && rebooted && !r.Report.Leaving && (version == "" || r.Report.Version == version) {
		if pr.goodProbes++; pr.goodProbes >= requiredProbes {
			return activate{m.ID, r.Report.Version}
		}
		return nil
	}
	pr.goodProbes = 0
	if r.OK && !isIdle(r.Report, now.Sub(pr.since)) {
		return nil
	}
	// An instance that doesn't answer may be rebooting at the request of a previous planner.
	if pr.requestedAt.IsZero() && r.OK || now.Sub(latest(pr.since, pr.requestedAt)) >= pr.retryInterval {
		return requestReboot{m.ID, version, r.Report.Boot}
	}
	return nil
}

// provesReboot reports whether a reported version proves a reboot that a previous planner requested. For a move, it
// proves nothing if the version before the move is unknown: the instance may already have run this version.
func provesReboot(p fleet.PoolName, m fleet.PoolMember, version, reported string) bool {
	return version != "" && reported == version && m.Version != version && (m.Target == p || m.Version != "")
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// candidates returns the active instances of a pool that need a reboot, first those in zones that are out of service,
// whose maintenance costs no availability. A lent instance is not rebooted in place: its drain sends it back to its
// spare pool, and the reboot is part of that move.
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

// waveCapacity returns how many more instances of a pool may enter maintenance under its wave limit.
func waveCapacity(v fleet.View, p fleet.PoolName, records map[fleet.InstanceID]*progress, now time.Time) int {
	inMaintenance := 0
	for _, m := range v.Pool(p) {
		if isPlanned(m) && !isLost(m, records[m.ID], now) {
			inMaintenance++
		}
	}
	return max(0, v.Document().Pools[p].Wave-inMaintenance)
}

// isLost reports whether an instance under maintenance exceeded lostTimeout and no longer counts against the wave.
func isLost(m fleet.PoolMember, pr *progress, now time.Time) bool {
	if pr == nil || pr.state != m.State {
		return false
	}
	return m.State == fleet.InstanceRebooting && now.Sub(pr.since) >= lostTimeout ||
		!pr.unresponsiveSince.IsZero() && now.Sub(pr.unresponsiveSince) >= lostTimeout
}

// startMaintenance returns the actions for candidates that enter maintenance, within the wave's capacity and the pool's
// budget, or already run the version. A candidate that doesn't answer its probe is skipped, because it can't be found
// idle.
func startMaintenance(v fleet.View, p fleet.PoolName, results map[fleet.InstanceID]ProbeResult, capacity int,
	failed []fleet.InstanceID) []action {
	version := v.Document().Pools[p].Version
	allowed := budget.AllowedDisruptions(v, p, failed...)
	var actions []action
	for _, m := range candidates(v, p) {
		r, ok := results[m.ID]
		if !ok || !r.OK {
			continue
		}
		if r.Report.Version == version {
			actions = append(actions, recordVersion{m.ID, version})
			continue
		}
		usesBudget := v.Zone(m.Zone).State == fleet.ZoneIn && !slices.Contains(failed, m.ID)
		if capacity == 0 || usesBudget && allowed == 0 {
			continue
		}
		capacity--
		if usesBudget {
			allowed--
		}
		actions = append(actions, drainForReboot{m.ID})
	}
	return actions
}
