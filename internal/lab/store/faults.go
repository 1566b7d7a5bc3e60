package store

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/port"
)

// Service is one of the fake services.
type Service string

// The services.
const (
	Table  Service = "table"
	Object Service = "object"
	Roster Service = "roster"
)

// Services returns every service.
func Services() []Service { return []Service{Table, Object, Roster} }

// Outage is how a service fails to answer.
type Outage string

// The kinds of outage.
const (
	OutageNone Outage = ""
	// OutageRefuse refuses connections.
	OutageRefuse Outage = "refuse"
	// OutageHang accepts requests and neither applies nor answers them.
	OutageHang Outage = "hang"
)

// Faults configures the injected faults of one service.
type Faults struct {
	Outage Outage `json:"outage"`
	// Delay is added before each request takes effect, in nanoseconds.
	Delay time.Duration `json:"delay"`
	// Lose is the number of next writes that take effect and whose reply is lost.
	Lose int `json:"lose"`
	// Fraction is the share of further writes, from 0 to 1, whose reply is lost.
	Fraction float64 `json:"fraction"`
}

// faultInjector injects the faults of one service into its requests.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
	// changed is closed and replaced when the faults are set, to release hanging requests.
	changed  chan struct{}
	endpoint port.Endpoint
}

func newFaultInjector() *faultInjector { return &faultInjector{changed: make(chan struct{})} }

func (f *faultInjector) set(faults Faults) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	close(f.changed)
	f.changed = make(chan struct{})
	switch {
	case f.endpoint == nil:
		return nil
	case faults.Outage == OutageRefuse:
		f.endpoint.Refuse()
		return nil
	}
	return f.endpoint.Reopen()
}

func (f *faultInjector) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// beforeRequest applies outage and delay and reports whether the request proceeds; a request that arrives during an
// outage never does.
func (f *faultInjector) beforeRequest(ctx context.Context) bool {
	f.mu.Lock()
	faults, changed := f.faults, f.changed
	f.mu.Unlock()
	if faults.Outage == OutageRefuse {
		return false
	}
	if faults.Outage == OutageHang {
		select {
		case <-ctx.Done():
		case <-changed:
		}
		return false
	}
	if faults.Delay > 0 {
		// The delay does not end with the request's context: a slow service applies a request that its client gave up.
		<-time.After(faults.Delay)
	}
	return true
}

// losesReply reports whether the reply to the next applied write is lost.
func (f *faultInjector) losesReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.Lose > 0 {
		f.faults.Lose--
		return true
	}
	return f.faults.Fraction > 0 && rand.Float64() < f.faults.Fraction
}

// wrap returns a handler that injects faults before h; a request that does not proceed breaks its connection.
func (f *faultInjector) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.beforeRequest(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}
