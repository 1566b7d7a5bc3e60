// Package object is the adapter to the platform's object store.
package object

import (
	"context"
	"errors"
)

// Errors of the object store.
var (
	ErrAbsent      = errors.New("object: no such object")
	ErrUnavailable = errors.New("object: service unavailable")
)

// Store stores complete objects by name; a Put with the same name and body may be repeated.
type Store interface {
	Put(ctx context.Context, name string, body []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	Delete(ctx context.Context, name string) error
}
