// Package roster is the adapter to the platform's lagging list of live and leaving instances.
package roster

import "github.com/yuccahaven/yuccahaven/internal/model/fleet"

// State is what the platform says of an instance.
type State string

// The states of a listed instance.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Kind says what an instance is for.
type Kind string

// The kinds of instances.
const (
	Worker Kind = "worker"
	Entry  Kind = "entry"
)

// Listing is one instance as the platform lists it, possibly some seconds late.
type Listing struct {
	ID      fleet.InstanceID       `json:"id"`
	Kind    Kind                   `json:"kind"`
	Address string                 `json:"address"`
	Zone    fleet.AvailabilityZone `json:"zone"`
	Rack    string                 `json:"rack"`
	Slots   int                    `json:"slots"`
	State   State                  `json:"state"`
}
