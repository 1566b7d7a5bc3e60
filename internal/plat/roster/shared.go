package roster

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// sharedFor is how long a list answers further readers. It is less than the second between two reads of one reader,
// so that a reader never gets the same list twice in a row.
const sharedFor = 900 * time.Millisecond

// Shared lets several readers of one process share the lists of one client; the list is the largest message that an
// entry instance receives at rest. It is safe for concurrent use.
type Shared struct {
	*Client
	list func(context.Context) ([]Listing, error)
	turn chan struct{} // held by the reader that asks the platform

	mu       sync.Mutex
	listings []Listing
	read     time.Time // when the request for listings was sent; zero without a list
}

// NewShared returns a reader for several users of a client.
func NewShared(c *Client) *Shared {
	return &Shared{Client: c, list: c.List, turn: make(chan struct{}, 1)}
}

// List returns a list that was asked for less than 900 ms ago, or asks for one. Callers must not change it.
func (s *Shared) List(ctx context.Context) ([]Listing, error) {
	select {
	case s.turn <- struct{}{}:
		defer func() { <-s.turn }()
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, context.Cause(ctx))
	}
	if l, ok := s.recent(); ok {
		return l, nil
	}
	sent := time.Now()
	l, err := s.list(ctx)
	if err != nil {
		return nil, err
	}
	s.keep(l, sent)
	return l, nil
}

func (s *Shared) recent() ([]Listing, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listings, !s.read.IsZero() && time.Since(s.read) < sharedFor
}

func (s *Shared) keep(l []Listing, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listings, s.read = l, sent
}
