// Package fleet holds the domain types of the fleet: teams, pools, queues, instances, availability zones,
// keys, tasks and the versioned view of them.
package fleet

import (
	"errors"
	"fmt"
	"regexp"
)

// Names of the fleet's parts. Each one passes CheckName.
type (
	// TeamName names a team.
	TeamName string
	// PoolName names a pool.
	PoolName string
	// QueueName names a queue.
	QueueName string
	// AvailabilityZone names an availability zone.
	AvailabilityZone string
	// InstanceID identifies an instance of the platform.
	InstanceID string
	// EntryID identifies one incarnation of an entry instance, as "<name>.<incarnation>".
	EntryID string
	// TaskID identifies one task across the whole fleet.
	TaskID string
)

// MaxNameLength is the longest accepted name in bytes.
const MaxNameLength = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// ErrName is returned for a name that is empty, too long or holds characters outside a-z, 0-9, "-" and ".".
var ErrName = errors.New("bad name")

// CheckName reports whether a name is usable in keys, paths and log lines.
func CheckName[N ~string](n N) error {
	if len(n) > MaxNameLength || !namePattern.MatchString(string(n)) {
		return fmt.Errorf("%w: %q", ErrName, string(n))
	}
	return nil
}
