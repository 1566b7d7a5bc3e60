// Package table is the adapter to the platform's transactional table service.
package table

import (
	"context"
	"errors"
	"time"
)

// Errors of the table service. Any other error means that the request itself is invalid.
var (
	// ErrConflict means that a condition did not hold and nothing was written.
	ErrConflict = errors.New("table: condition does not hold")
	// ErrUnavailable means that the service could not be reached or was unavailable, and nothing was written; a read
	// that failed in any other way than an invalid request returns it too.
	ErrUnavailable = errors.New("table: service unavailable")
	// ErrUnknown means that there was no reply, or a server error without a code: the write may or may not have taken
	// effect.
	ErrUnknown = errors.New("table: outcome unknown")
)

// Item is one stored key; Version is the number of the commit that last wrote it and is never 0.
type Item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Condition requires that a key is at a version; version 0 requires that the key is absent.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes one key.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is applied completely if every condition holds, and otherwise not at all.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Reader reads the table; reads are linearizable.
type Reader interface {
	// Get returns the present items among the keys.
	Get(ctx context.Context, keys ...string) ([]Item, error)
	// Scan returns up to limit items whose key has the prefix, sorted, from the first key after "after"; an empty after
	// stands for the start.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Item, error)
}

// Clock is the steady clock of the table service, the same for all its clients.
type Clock interface {
	// Now returns bounds of the time that the clock shows now, or false while it is not known.
	Now() (earliest, latest time.Duration, ok bool)
}

// Table reads and writes the table.
type Table interface {
	Reader
	// Commit applies a transaction and returns its commit number.
	Commit(ctx context.Context, t Transaction) (uint64, error)
}
