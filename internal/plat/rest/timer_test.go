package rest

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// lateReader is a transport whose reply arrives in time and is read late, as in a process short of processor time.
type lateReader struct{ readAfter time.Duration }

// RoundTrip implements http.RoundTripper.
func (l lateReader) RoundTrip(r *http.Request) (*http.Response, error) {
	select {
	case <-time.After(l.readAfter):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	w := httptest.NewRecorder()
	w.WriteHeader(http.StatusOK)
	return w.Result(), nil
}

// Guards against a process short of processor time that takes a service for unresponsive: a time-out that fired late
// ended calls whose replies had arrived and waited to be read.
func TestLateTimerExtendsCall(t *testing.T) {
	const timeout = 450 * time.Millisecond
	for _, c := range []struct {
		name            string
		late, readAfter time.Duration
		ok              bool
		// ends is when the call returns.
		ends time.Duration
	}{
		{"timer in time, reply in time", 0, 400 * time.Millisecond, true, 400 * time.Millisecond},
		{"timer in time, no reply", 0, time.Minute, false, timeout},
		{"timer late, reply read late", 300 * time.Millisecond, 900 * time.Millisecond, true, 900 * time.Millisecond},
		// The second timer is late again and the third, and so on until the overrun is used up.
		{"timer late, no reply", 300 * time.Millisecond, time.Minute, false, timeout + 300*time.Millisecond +
			6*600*time.Millisecond + 500*time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := NewCaller("http://service", WithTimeout(timeout), WithTransport(lateReader{c.readAfter}))
				caller.after = func(d time.Duration, f func()) *time.Timer {
					return time.AfterFunc(d, func() {
						time.Sleep(c.late)
						f()
					})
				}
				began := time.Now()
				_, err := caller.Do(t.Context(), Request{Method: http.MethodGet, Path: "/"})
				if ok := err == nil; ok != c.ok {
					t.Errorf("error %v", err)
				}
				if d := time.Since(began); d != c.ends {
					t.Errorf("ended after %v, want %v", d, c.ends)
				}
			})
		})
	}
}
