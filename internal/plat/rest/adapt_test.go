package rest

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"testing"
	"testing/synctest"
	"time"
)

// delayedService replies after the delays in turn, and then never.
type delayedService struct {
	delays *[]time.Duration
}

// RoundTrip implements http.RoundTripper.
func (s delayedService) RoundTrip(r *http.Request) (*http.Response, error) {
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	if len(*s.delays) == 0 {
		<-r.Context().Done()
		return nil, context.Cause(r.Context())
	}
	d := (*s.delays)[0]
	*s.delays = (*s.delays)[1:]
	select {
	case <-time.After(d):
		return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody, Request: r}, nil
	case <-r.Context().Done():
		return nil, context.Cause(r.Context())
	}
}

// Load pattern: the store replies up to a hundred times slower for some seconds, each call near the time-out. Guards against
// calls that are given up just before their reply: an acquisition of leadership was, so that its outcome was unknown, and
// nobody led for 1.5 s longer.
func TestTimeoutOfSlowService(t *testing.T) {
	const timeout, most = 900 * time.Millisecond, 2500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		delays := []time.Duration{10 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second}
		c := NewCaller("http://service", WithTimeout(timeout), WithSlowTimeout(most), WithTransport(delayedService{&delays}))
		call := func() (time.Duration, error) {
			began := time.Now()
			_, err := c.Do(t.Context(), Request{Method: http.MethodGet, Path: "/"})
			return time.Since(began), err
		}
		for range len(delays) {
			if took, err := call(); err != nil {
				t.Errorf("call of a slow service failed after %v: %v", took, err)
			}
		}
		if took, err := call(); !errors.Is(err, ErrNoReply) || took > most {
			t.Errorf("call of a silent service: %v after %v, want no reply within %v", err, took, most)
		}
		// What was slow some seconds ago is no reason to wait for a service that has failed since.
		time.Sleep(10 * time.Second)
		if took, err := call(); !errors.Is(err, ErrNoReply) || took > timeout {
			t.Errorf("10 s later: %v after %v, want no reply within %v", err, took, timeout)
		}
		delays = []time.Duration{10 * time.Millisecond, 10 * time.Millisecond}
		for range 2 {
			if _, err := call(); err != nil {
				t.Error(err)
			}
		}
		if took, _ := call(); took > timeout {
			t.Errorf("silent after quick replies: given up after %v, want within %v", took, timeout)
		}
	})
}
