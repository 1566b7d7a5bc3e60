package hedge

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

var (
	errNoReply = errors.New("no reply")
	errRefused = errors.New("refused")
)

// service replies after a delay; replies whose number is in lost never come.
type service struct {
	delay   time.Duration
	timeout time.Duration
	lost    func(call int) bool
	calls   atomic.Int64
}

func (s *service) call(ctx context.Context, _ int) (int, error) {
	n, d := int(s.calls.Add(1)), s.delay
	if s.lost(n) {
		d = s.timeout
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	if s.lost(n) {
		return 0, errNoReply
	}
	return n, nil
}

func conclusive(err error) bool { return errors.Is(err, errRefused) }

// Guards against a call that waits for its time-out because one reply was lost.
func TestLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPacer()
		s := &service{delay: 10 * time.Millisecond, timeout: 900 * time.Millisecond, lost: func(int) bool { return false }}
		for range 20 {
			if _, err := Do(t.Context(), p, conclusive, s.call); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		first := int(s.calls.Load()) + 1
		s.lost = func(call int) bool { return call <= first+1 }
		began := time.Now()
		if _, err := Do(t.Context(), p, conclusive, s.call); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took > 200*time.Millisecond {
			t.Errorf("took %v with two lost replies", took)
		}
	})
}

// Guards against copies that double the load of a service that has become slow for all calls.
func TestSlowServiceGetsFewCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPacer()
		s := &service{delay: 2 * time.Second, lost: func(int) bool { return false }}
		const calls = 100
		for range calls {
			if _, err := Do(t.Context(), p, conclusive, s.call); err != nil {
				t.Fatal(err)
			}
		}
		if s.calls.Load() > calls+maxSaved {
			t.Errorf("%d copies of %d calls", s.calls.Load(), calls)
		}
	})
}

// Guards against copies that hold up the calls of a service which has become slow and handles calls one after another: the first
// slow call may be copied, the next ones are not.
func TestServiceBecomesSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPacer()
		s := &service{delay: 10 * time.Millisecond, lost: func(int) bool { return false }}
		for i := range 40 {
			if i == 20 {
				s.delay = 550 * time.Millisecond
			}
			if _, err := Do(t.Context(), p, conclusive, s.call); err != nil {
				t.Fatal(err)
			}
		}
		if n := s.calls.Load(); n > 40+maxCopies {
			t.Errorf("%d copies of 40 calls", n)
		}
	})
}

// Guards against a call that ends with a failure of one copy while another one may still succeed, or that goes on after a
// conclusive error.
func TestErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &service{delay: time.Second, timeout: 1500 * time.Millisecond, lost: func(call int) bool { return call == 1 }}
		if n, err := Do(t.Context(), NewPacer(), conclusive, s.call); n != 2 || err != nil {
			t.Errorf("reply %d, %v", n, err)
		}
		began := time.Now()
		_, err := Do(t.Context(), NewPacer(), conclusive, func(context.Context, int) (int, error) { return 0, errRefused })
		if !errors.Is(err, errRefused) || time.Since(began) > 0 {
			t.Errorf("%v after %v", err, time.Since(began))
		}
	})
}
