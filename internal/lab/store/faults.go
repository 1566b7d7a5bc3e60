package store

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/port"
)

// Service is one of the services that the stand-in provides.
type Service string

// The services.
const (
	Table  Service = "table"
	Object Service = "object"
	Roster Service = "roster"
)

// Services returns every service.
func Services() []Service { return []Service{Table, Object, Roster} }

// Outage says how a service is out of order.
type Outage string

// The kinds of outage.
const (
	OutageNone Outage = ""
	// OutageRefuse refuses connections.
	OutageRefuse Outage = "refuse"
	// OutageHang accepts requests and neither applies nor answers them.
	OutageHang Outage = "hang"
)

// Faults are the switches of one service.
type Faults struct {
	Outage Outage `json:"outage"`
	// Delay is added before each request takes effect, in nanoseconds.
	Delay time.Duration `json:"delay"`
	// Lose is the number of next writes whose reply is lost after they took effect.
	Lose int `json:"lose"`
	// Fraction of writes, from 0 to 1, lose their reply as well.
	Fraction float64 `json:"fraction"`
}

// switchboard applies the faults of one service to its requests.
type switchboard struct {
	mu     sync.Mutex
	faults Faults
	// changed is closed when the outage changes, to release hanging requests.
	changed chan struct{}
	door    port.Endpoint
}

func newSwitchboard() *switchboard { return &switchboard{changed: make(chan struct{})} }

func (b *switchboard) set(f Faults) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	close(b.changed)
	b.changed = make(chan struct{})
	switch {
	case b.door == nil:
		return nil
	case f.Outage == OutageRefuse:
		b.door.Refuse()
		return nil
	}
	return b.door.Reopen()
}

func (b *switchboard) get() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// enter waits as the switches say and reports whether the request goes on; a request caught in an outage never does.
func (b *switchboard) enter(ctx context.Context) bool {
	b.mu.Lock()
	f, changed := b.faults, b.changed
	b.mu.Unlock()
	if f.Outage == OutageRefuse {
		return false
	}
	if f.Outage == OutageHang {
		select {
		case <-ctx.Done():
		case <-changed:
		}
		return false
	}
	if f.Delay > 0 {
		// The delay outlasts a client that gives up: a slow service applies the request all the same.
		<-time.After(f.Delay)
	}
	return true
}

// loses reports whether the reply to a write that took effect is lost.
func (b *switchboard) loses() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.faults.Lose > 0 {
		b.faults.Lose--
		return true
	}
	return b.faults.Fraction > 0 && rand.Float64() < b.faults.Fraction
}

// wrap puts a service's handler behind its switches; an abandoned request breaks its connection.
func (b *switchboard) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !b.enter(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}
