// Package elect decides which entry instance holds the seat from which all orders come, and carries its writes.
//
// The seat is one row. Every transaction of its holder demands the row's last version and writes it anew, so that a
// transaction that is repeated or carried out late can't take effect after a newer one, and none takes effect once
// another instance has taken the seat. The version at which the seat was taken is the fencing token of every order.
package elect

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// LeaderKey is the key of the row.
const LeaderKey = "seat/main"

// LeaderRecord is the row.
type LeaderRecord struct {
	// Name and Boot identify the holder and its process; Address is where peers reach it.
	Name    string `json:"name"`
	Boot    string `json:"boot"`
	Address string `json:"address"`
	// Term counts the holders.
	Term int64 `json:"term"`
	// Sequence counts the transactions of the holder.
	Sequence int64 `json:"count"`
	// Released means that the holder has left the seat.
	Released bool `json:"open,omitempty"`
}

// Validate checks a seat after decoding.
func (s LeaderRecord) Validate() error {
	if s.Boot == "" || s.Address == "" || s.Term < 1 {
		return errors.New("elect: seat without a boot, address or term")
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
func (s Identity) Validate() error {
	if s.Name == "" || s.Address == "" {
		return errors.New("elect: instance without a name or address")
	}
	return nil
}

func encode(s LeaderRecord) ([]byte, error) {
	b, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("elect: encode seat: %w", err)
	}
	return b, nil
}

func decode(i table.Item) (LeaderRecord, error) {
	var s LeaderRecord
	if err := cbor.Unmarshal(i.Value, &s); err != nil {
		return LeaderRecord{}, fmt.Errorf("elect: decode seat: %w", err)
	}
	return s, s.Validate()
}
