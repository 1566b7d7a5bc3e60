package roster

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestShared guards against one request per reader, against a list that is shared for longer than sharedMaxAge, and
// against a failed read that is shared.
func TestShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reads atomic.Int64
		var listErr error
		s := NewShared(NewClient("http://roster.invalid"))
		s.list = func(context.Context) ([]Listing, error) {
			reads.Add(1)
			time.Sleep(100 * time.Millisecond)
			return []Listing{{ID: "w1"}}, listErr
		}
		listErr = ErrUnavailable
		if _, err := s.List(t.Context()); !errors.Is(err, ErrUnavailable) {
			t.Fatalf("error %v from a failing roster, want ErrUnavailable", err)
		}
		listErr = nil
		listConcurrently(t, s)
		if n := reads.Load(); n != 2 {
			t.Errorf("%d requests for a failed read and ten readers, want 2", n)
		}
		time.Sleep(sharedMaxAge)
		listConcurrently(t, s)
		if n := reads.Load(); n != 3 {
			t.Errorf("%d requests after the list expired, want 3", n)
		}
	})
}

func listConcurrently(t *testing.T, s *Shared) {
	var g sync.WaitGroup
	for range 10 {
		g.Go(func() {
			if l, err := s.List(t.Context()); err != nil || len(l) != 1 {
				t.Errorf("list %v, error %v", l, err)
			}
		})
	}
	g.Wait()
}

// TestSharedContext guards against a reader that waits for another reader's request after its own context has ended.
func TestSharedContext(t *testing.T) {
	s := NewShared(NewClient("http://roster.invalid"))
	s.readLock <- struct{}{}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := s.List(ended); !errors.Is(err, ErrUnavailable) {
		t.Errorf("error %v for a reader whose context has ended, want ErrUnavailable", err)
	}
}
