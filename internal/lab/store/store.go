// Package store is a stand-in for the platform's table service, object store and roster.
// It keeps everything in memory and injects the faults that the real services show.
package store

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/yuccahaven/yuccahaven/internal/lab/port"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// Store is one stand-in for the three services.
type Store struct {
	table   *data
	roster  *instances
	boards  map[Service]*switchboard
	counts  map[Service]*counter
	writes  *rate.Limiter
	reads   *rate.Limiter
	mu      sync.Mutex
	objects map[string][]byte
}

// Option changes a setting of a Store.
type Option func(*Store)

// WithLimits bounds the writes and reads a second of table and object store together; 0 is unlimited.
func WithLimits(writes, reads int) Option {
	return func(s *Store) { s.writes, s.reads = limiter(writes), limiter(reads) }
}

// WithLag sets the time after which changes of instances are listed.
func WithLag(d time.Duration) Option { return func(s *Store) { s.roster.setLag(d) } }

// WithWatch calls f for each transaction that was applied, in the order of commits; f must not call the store.
func WithWatch(f func(table.Transaction)) Option { return func(s *Store) { s.table.watch = f } }

// WithRebooter sets how instances restart; the default asks the stand-in worker at the listed address.
func WithRebooter(f Rebooter) Option { return func(s *Store) { s.roster.reboot = f } }

// New returns an empty store.
func New(options ...Option) *Store {
	s := &Store{
		table: newData(), roster: newInstances(), objects: map[string][]byte{},
		boards: map[Service]*switchboard{}, counts: map[Service]*counter{},
	}
	s.roster.reboot = rebootOverHTTP
	for _, v := range Services() {
		s.boards[v], s.counts[v] = newSwitchboard(), &counter{}
	}
	for _, o := range options {
		o(s)
	}
	return s
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Listen serves a service on a TCP port.
func (s *Store) Listen(v Service, address string) (*port.TCP, error) {
	p, err := port.Listen(address, 0, s.Handler(v))
	if err != nil {
		return nil, fmt.Errorf("store: %s: %w", v, err)
	}
	s.boards[v].attach(p)
	return p, nil
}

// Join serves every service in a network in memory under the host names "table", "object" and "roster".
func (s *Store) Join(n *port.Network) {
	for _, v := range Services() {
		s.boards[v].attach(n.Listen(string(v), s.Handler(v)))
	}
}

// Handler serves a service behind its switches.
func (s *Store) Handler(v Service) http.Handler {
	m := http.NewServeMux()
	switch v {
	case Table:
		s.routeTable(m)
	case Object:
		s.routeObject(m)
	case Roster:
		s.routeRoster(m)
	}
	return s.boards[v].wrap(m)
}

// Set sets the switches of a service.
func (s *Store) Set(v Service, f Faults) error {
	b, ok := s.boards[v]
	if !ok {
		return fmt.Errorf("store: unknown service %q", v)
	}
	return b.set(f)
}

// Faults returns the switches of a service as they are now.
func (s *Store) Faults(v Service) Faults { return s.boards[v].get() }

// SetAll sets the switches of every service.
func (s *Store) SetAll(f Faults) error {
	for _, v := range Services() {
		if err := s.Set(v, f); err != nil {
			return err
		}
	}
	return nil
}

// SetLag sets the time after which changes of instances are listed.
func (s *Store) SetLag(d time.Duration) { s.roster.setLag(d) }

// Counters returns the counters of a service.
func (s *Store) Counters(v Service) Counters { return s.counts[v].get() }

// Put adds or changes an instance; the roster lists it once the lag has passed.
func (s *Store) Put(l roster.Listing) { s.roster.put(l) }

// Leave marks an instance as leaving; the roster lists that once the lag has passed.
func (s *Store) Leave(id fleet.InstanceID) error { return s.roster.leave(id) }

// Remove removes an instance; the roster lists it until the lag has passed.
func (s *Store) Remove(id fleet.InstanceID) { s.roster.remove(id) }

// Listed returns the roster as clients see it now.
func (s *Store) Listed() []roster.Listing { return s.roster.list() }

func (b *switchboard) attach(d port.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.door = d
}
