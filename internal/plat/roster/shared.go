package roster

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// sharedMaxAge is how long a list is shared with further readers. It is less than the interval of 1 s between two reads
// of one reader, so that a reader never gets the same list twice in a row.
const sharedMaxAge = 900 * time.Millisecond

// Shared shares the lists of one client among several readers of a process, because the list is the largest message
// that an idle entry instance receives. It is safe for concurrent use.
type Shared struct {
	*Client
	list     func(context.Context) ([]Listing, error)
	readLock chan struct{} // held by the reader that checks the age of the list and calls the platform

	mu       sync.Mutex
	listings []Listing
	sentAt   time.Time // when the request for listings was sent; zero without listings
}

// NewShared returns a Shared for the readers of a client.
func NewShared(c *Client) *Shared {
	return &Shared{Client: c, list: c.List, readLock: make(chan struct{}, 1)}
}

// List returns a list that was requested less than 900 ms ago, or requests a new one. Callers must not change it.
func (s *Shared) List(ctx context.Context) ([]Listing, error) {
	select {
	case s.readLock <- struct{}{}:
		defer func() { <-s.readLock }()
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
	s.store(l, sent)
	return l, nil
}

func (s *Shared) recent() ([]Listing, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listings, !s.sentAt.IsZero() && time.Since(s.sentAt) < sharedMaxAge
}

func (s *Shared) store(l []Listing, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listings, s.sentAt = l, sent
}
