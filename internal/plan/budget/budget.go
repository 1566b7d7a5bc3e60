// Package budget computes changes of pool membership and checks each against the pools' availability budgets. It does
// no I/O.
//
// Every function takes a view and returns the items of one transaction that is conditional on that view's revision,
// so that concurrent operators and planners see each other's changes. An instance counts as available if it is active
// and its availability zone is in service. Instances that the caller knows to be unreachable, or that have not yet
// recovered after their zone returned to service, are passed as failed and don't count. Planned work may not take a
// pool below its min; a change that doesn't reduce the number of available instances, such as maintenance in a zone
// that is out of service, is always allowed.
//
// The meaning of a member's Target depends on its state. Draining without a target means that an operator or the
// platform drained the instance and that it stays so until Undrain. Draining or rebooting with a target is planned
// work, after which the instance is in that pool. Active with a target means that the instance is lent: it came from
// that spare pool and will return there.
package budget

import (
	"fmt"
	"slices"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/model/spec"
)

// Available returns the number of a pool's instances that are active, in a zone in service and not failed.
func Available(v fleet.View, p fleet.PoolName, failed ...fleet.InstanceID) int {
	n := 0
	for _, m := range v.Pool(p) {
		if isAvailable(v, m, failed) {
			n++
		}
	}
	return n
}

func isAvailable(v fleet.View, m fleet.PoolMember, failed []fleet.InstanceID) bool {
	return m.State == fleet.InstanceActive && v.Zone(m.Zone).State == fleet.ZoneIn && !slices.Contains(failed, m.ID)
}

// AllowedDisruptions returns how many more instances of a pool planned work may make unavailable, at least 0.
func AllowedDisruptions(v fleet.View, p fleet.PoolName, failed ...fleet.InstanceID) int {
	return max(0, Available(v, p, failed...)-v.Document().Pools[p].Min)
}

// Drain takes an instance out of service until Undrain.
func Drain(v fleet.View, id fleet.InstanceID, failed ...fleet.InstanceID) ([]fleet.Item, error) {
	return drain(v, id, "", failed)
}

// DrainForReboot takes an instance out of service for a reboot, after which it returns to its pool. A lent instance
// goes back to its spare pool instead, because a later return would cost another drain and reboot. An instance that
// is drained until Undrain, moves to another pool or is rebooting is rejected.
func DrainForReboot(v fleet.View, id fleet.InstanceID, failed ...fleet.InstanceID) ([]fleet.Item, error) {
	p, m, err := findMember(v, id)
	if err != nil {
		return nil, err
	}
	if m.State == fleet.InstanceDraining && m.Target != p {
		return nil, stateConflict(m, "is being drained for another reason")
	}
	if origin, ok := SparePoolOf(v, p, m); ok {
		return drain(v, id, origin, failed)
	}
	return drain(v, id, p, failed)
}

// SparePoolOf returns the spare pool that a member of a pool is lent from, also while it is returning there.
// A member that is moving to a spare pool for the first time counts as returning.
func SparePoolOf(v fleet.View, p fleet.PoolName, m fleet.PoolMember) (fleet.PoolName, bool) {
	pools := v.Document().Pools
	return m.Target, m.Target != "" && pools[m.Target].Spare && !pools[p].Spare
}

// Move takes an instance out of service for a reboot, after which it becomes a member of the target pool.
// Until then it remains a member of its current pool.
func Move(v fleet.View, id fleet.InstanceID, target fleet.PoolName, failed ...fleet.InstanceID) ([]fleet.Item, error) {
	p, _, err := findMember(v, id)
	if err != nil {
		return nil, err
	}
	if _, ok := v.Document().Pools[target]; !ok {
		return nil, reject.New(reject.KindRequest, reject.WorkNotRun, "unknown pool %q", target)
	}
	if p == target {
		return nil, reject.New(reject.KindRequest, reject.WorkNotRun, "instance %q is already in pool %q", id, target)
	}
	return drain(v, id, target, failed)
}

// drain marks an instance as draining for a reboot, after which it is in the target pool; with an empty target it
// drains until Undrain.
func drain(v fleet.View, id fleet.InstanceID, target fleet.PoolName, failed []fleet.InstanceID) ([]fleet.Item, error) {
	p, m, err := findMember(v, id)
	if err != nil {
		return nil, err
	}
	if m.State == fleet.InstanceRebooting {
		return nil, stateConflict(m, "can't be drained")
	}
	if isAvailable(v, m, failed) && AllowedDisruptions(v, p, failed...) == 0 {
		return nil, budgetExceeded(v, p, failed)
	}
	m.State, m.Target = fleet.InstanceDraining, target
	return replace(v, p, m), nil
}

// Undrain returns a draining instance to service in its pool and cancels its reboot or move. A lent instance becomes
// an ordinary member of the pool it was lent to.
func Undrain(v fleet.View, id fleet.InstanceID) ([]fleet.Item, error) {
	p, m, err := findMember(v, id)
	if err != nil {
		return nil, err
	}
	if m.State == fleet.InstanceRebooting {
		return nil, stateConflict(m, "can't be returned to service")
	}
	m.State, m.Target = fleet.InstanceActive, ""
	return replace(v, p, m), nil
}

// Reboot marks an instance drained by DrainForReboot or Move as rebooting; the caller must have found it idle.
func Reboot(v fleet.View, id fleet.InstanceID) ([]fleet.Item, error) {
	p, m, err := findMember(v, id)
	if err != nil {
		return nil, err
	}
	if m.State != fleet.InstanceDraining || m.Target == "" {
		return nil, stateConflict(m, "is not drained for a reboot")
	}
	m.State = fleet.InstanceRebooting
	return replace(v, p, m), nil
}

// Activate returns a rebooted instance to service with its reported version, as a member of its target pool. If that
// pool has since been removed, the instance stays in its current pool. An instance that leaves a spare pool for an
// ordinary one is lent.
func Activate(v fleet.View, id fleet.InstanceID, version string) ([]fleet.Item, error) {
	p, m, err := findMember(v, id)
	if err != nil {
		return nil, err
	}
	if m.State != fleet.InstanceRebooting {
		return nil, stateConflict(m, "is not rebooting")
	}
	target := m.Target
	m.State, m.Target, m.Version = fleet.InstanceActive, "", version
	if _, ok := v.Document().Pools[target]; !ok || target == p {
		return replace(v, p, m), nil
	}
	if pools := v.Document().Pools; pools[p].Spare && !pools[target].Spare {
		m.Target = p
	}
	return []fleet.Item{
		poolItem(p, without(v.Pool(p), id)),
		poolItem(target, with(v.Pool(target), m)),
	}, nil
}

// RecordVersion sets the version that an instance reported.
func RecordVersion(v fleet.View, id fleet.InstanceID, version string) ([]fleet.Item, error) {
	p, m, err := findMember(v, id)
	if err != nil {
		return nil, err
	}
	m.Version = version
	return replace(v, p, m), nil
}

func findMember(v fleet.View, id fleet.InstanceID) (fleet.PoolName, fleet.PoolMember, error) {
	p, ok := v.PoolOf(id)
	if !ok {
		return "", fleet.PoolMember{}, reject.New(reject.KindRequest, reject.WorkNotRun, "unknown instance %q", id)
	}
	m, _ := v.PoolMember(p, id)
	return p, m, nil
}

func stateConflict(m fleet.PoolMember, problem string) error {
	return reject.New(reject.KindConflict, reject.WorkNotRun, "instance %q is %s and %s", m.ID, m.State, problem)
}

func budgetExceeded(v fleet.View, p fleet.PoolName, failed []fleet.InstanceID) error {
	return reject.New(reject.KindBudget, reject.WorkNotRun, "%s", shortageMessage(v, p, Available(v, p, failed...)-1))
}

func shortageMessage(v fleet.View, p fleet.PoolName, available int) string {
	return fmt.Sprintf("pool %q would have %d of %d instances available, below its min of %d",
		p, max(0, available), len(v.Pool(p)), v.Document().Pools[p].Min)
}

// CheckZone returns a finding for each pool that would lose available instances and then have fewer than its min in the
// changed document if a changed section took its availability zone out of service.
func CheckZone(v fleet.View, s fleet.Section, d fleet.Document, failed ...fleet.InstanceID) []spec.Finding {
	z, ok := spec.ZoneName(s.Name)
	if !ok || d.Zones[z].State != fleet.ZoneOut || v.Zone(z).State == fleet.ZoneOut {
		return nil
	}
	after := v.WithDocument(d).WithZone(z, fleet.ZoneStatus{State: fleet.ZoneOut})
	var findings []spec.Finding
	for _, p := range v.PoolNames() {
		available := Available(after, p, failed...)
		if available < d.Pools[p].Min && available < Available(v, p, failed...) {
			findings = append(findings, spec.Finding{Section: s.Name, Message: shortageMessage(after, p, available)})
		}
	}
	return findings
}
