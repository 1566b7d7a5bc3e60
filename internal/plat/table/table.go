// Package table is the adapter to the platform's transactional table service.
package table

import (
	"context"
	"errors"
)

// Errors of the table service. An error that is none of these is a fault of the request itself.
var (
	// ErrConflict means that a condition did not hold and nothing was written.
	ErrConflict = errors.New("table: condition does not hold")
	// ErrUnavailable means that the service could not be reached and nothing was written.
	ErrUnavailable = errors.New("table: service unavailable")
	// ErrUnknown means that no reply came: the write may or may not have taken effect.
	ErrUnknown = errors.New("table: outcome unknown")
)

// Item is one stored key; Version is the commit number that last wrote it and is never 0.
type Item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Condition demands that a key is at a version; version 0 demands that it is absent.
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

// Transaction is applied whole if every condition holds, else not at all.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Reader reads the table; reads are linearizable.
type Reader interface {
	// Get returns the present items among the keys.
	Get(ctx context.Context, keys ...string) ([]Item, error)
	// Scan returns up to limit items whose key has the prefix, sorted, from the first key after "after".
	Scan(ctx context.Context, prefix, after string, limit int) ([]Item, error)
}

// Table reads and writes the table.
type Table interface {
	Reader
	// Commit applies a transaction and returns its commit number.
	Commit(ctx context.Context, t Transaction) (uint64, error)
}
