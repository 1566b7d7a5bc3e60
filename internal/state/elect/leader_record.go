// Package elect elects the leader among the entry instances and commits the leader's writes. All commands come from the
// leader.
//
// Leadership is one row of the store, the leader record. Each transaction of the leader is conditional on the row's
// last version and writes the row again, so that a repeated or late transaction can't take effect after a newer one,
// and none takes effect after another instance has acquired leadership. The version at which leadership was acquired
// is the fencing token of all commands of the term.
package elect

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// LeaderKey is the key of the leader record.
const LeaderKey = "seat/main"

// LeaderRecord is the row that states which process leads and in which term.
type LeaderRecord struct {
	// Name and Boot identify the leader and its process; Address is where peers reach it.
	Name    string `json:"name"`
	Boot    string `json:"boot"`
	Address string `json:"address"`
	// Term rises by one each time leadership is acquired.
	Term int64 `json:"term"`
	// Sequence counts the leader's transactions in its term; the one that acquires leadership is 0.
	Sequence int64 `json:"count"`
	// Released means that the leader has released leadership.
	Released bool `json:"open,omitempty"`
	// Logged means that the store has a record of every machine operation that this leader, and former ones shortly
	// before it, were about to start.
	Logged bool `json:"logged,omitempty"`
}

// Validate checks a leader record after decoding.
func (r LeaderRecord) Validate() error {
	if r.Boot == "" || r.Address == "" || r.Term < 1 {
		return errors.New("elect: leader record without a boot, address or term")
	}
	return nil
}

// Identity identifies this process; Address is where peers reach it.
type Identity struct {
	Name    string `json:"name"`
	Boot    string `json:"boot"`
	Address string `json:"address"`
}

// Validate checks the row of an instance after decoding.
func (i Identity) Validate() error {
	if i.Name == "" || i.Address == "" {
		return errors.New("elect: instance without a name or address")
	}
	return nil
}

func encode(r LeaderRecord) ([]byte, error) {
	b, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("elect: encode leader record: %w", err)
	}
	return b, nil
}

func decode(i table.Item) (LeaderRecord, error) {
	var r LeaderRecord
	if err := cbor.Unmarshal(i.Value, &r); err != nil {
		return LeaderRecord{}, fmt.Errorf("elect: decode leader record: %w", err)
	}
	return r, r.Validate()
}
