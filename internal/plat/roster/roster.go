// Package roster is the adapter to the platform's list of live and leaving instances, which lags behind the instances.
package roster

import "github.com/yuccahaven/yuccahaven/internal/model/fleet"

// State is the state of a listed instance.
type State string

// States of a listed instance.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Kind is the role of an instance.
type Kind string

// Kinds of instances.
const (
	Worker Kind = "worker"
	Entry  Kind = "entry"
)

// Listing is one entry of the platform's list; it may be some seconds out of date.
type Listing struct {
	ID      fleet.InstanceID       `json:"id"`
	Kind    Kind                   `json:"kind"`
	Address string                 `json:"address"`
	Zone    fleet.AvailabilityZone `json:"zone"`
	Rack    string                 `json:"rack"`
	Slots   int                    `json:"slots"`
	State   State                  `json:"state"`
}
