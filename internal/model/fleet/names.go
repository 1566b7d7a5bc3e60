// Package fleet defines the domain types of the fleet: teams, pools, queues, instances, availability zones, keys and
// tasks, and the versioned view of them.
package fleet

import (
	"errors"
	"fmt"
	"regexp"
)

// Names of the parts of the fleet, each valid by CheckName.
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
	// TaskID identifies one task, or one attempt of it, across the whole fleet.
	TaskID string
)

// MaxNameLength is the maximum length of a name in bytes.
const MaxNameLength = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// ErrName is returned for a name that is empty or too long, that contains characters other than a-z, 0-9, "-" and ".",
// or that starts or ends with "-" or ".".
var ErrName = errors.New("bad name")

// CheckName returns an error that wraps ErrName unless a name is usable in keys, paths and log lines.
func CheckName[N ~string](n N) error {
	if len(n) > MaxNameLength || !namePattern.MatchString(string(n)) {
		return fmt.Errorf("%w: %q", ErrName, string(n))
	}
	return nil
}
