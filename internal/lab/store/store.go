// Package store implements in-memory fakes of the platform's table service, object store and roster, which inject the
// faults that occur in the real services.
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

// Store is a fake of the three services.
type Store struct {
	table     *tableData
	roster    *instances
	injectors map[Service]*faultInjector
	counts    map[Service]*counter
	writes    *rate.Limiter
	reads     *rate.Limiter
	mu        sync.Mutex
	objects   map[string][]byte
}

// Option configures a Store.
type Option func(*Store)

// WithLimits bounds the writes and reads per second of table and object store together; 0 means unlimited.
func WithLimits(writes, reads int) Option {
	return func(s *Store) { s.writes, s.reads = newLimiter(writes), newLimiter(reads) }
}

// WithLag sets the delay after which the roster lists changes of instances.
func WithLag(d time.Duration) Option { return func(s *Store) { s.roster.setLag(d) } }

// WithCommitObserver calls f after each applied transaction, in the order of commits; f must not call the store.
func WithCommitObserver(f func(table.Transaction)) Option {
	return func(s *Store) { s.table.onCommit = f }
}

// WithRebooter sets how instances are rebooted; the default sends a request to the worker at the listed address.
func WithRebooter(f Rebooter) Option { return func(s *Store) { s.roster.rebooter = f } }

// New returns an empty store.
func New(options ...Option) *Store {
	s := &Store{
		table: newTableData(), roster: newInstances(), objects: map[string][]byte{},
		injectors: map[Service]*faultInjector{}, counts: map[Service]*counter{},
	}
	s.roster.rebooter = rebootOverHTTP
	for _, v := range Services() {
		s.injectors[v], s.counts[v] = newFaultInjector(), &counter{}
	}
	for _, o := range options {
		o(s)
	}
	return s
}

func newLimiter(perSecond int) *rate.Limiter {
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
	s.injectors[v].attach(p)
	return p, nil
}

// Join serves every service in an in-memory network under the host names "table", "object" and "roster".
func (s *Store) Join(n *port.Network) {
	for _, v := range Services() {
		s.injectors[v].attach(n.Listen(string(v), s.Handler(v)))
	}
}

// Handler returns the handler of a service, with its injected faults.
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
	return s.injectors[v].wrap(m)
}

// Set replaces the injected faults of a service.
func (s *Store) Set(v Service, f Faults) error {
	i, ok := s.injectors[v]
	if !ok {
		return fmt.Errorf("store: unknown service %q", v)
	}
	return i.set(f)
}

// Faults returns the current faults of a service.
func (s *Store) Faults(v Service) Faults { return s.injectors[v].get() }

// SetAll replaces the injected faults of every service.
func (s *Store) SetAll(f Faults) error {
	for _, v := range Services() {
		if err := s.Set(v, f); err != nil {
			return err
		}
	}
	return nil
}

// SetLag sets the delay after which the roster lists changes of instances.
func (s *Store) SetLag(d time.Duration) { s.roster.setLag(d) }

// Counters returns the counters of a service.
func (s *Store) Counters(v Service) Counters { return s.counts[v].get() }

// Put adds or changes an instance; the roster lists it when the lag has passed.
func (s *Store) Put(l roster.Listing) { s.roster.put(l) }

// Leave marks an instance as leaving; the roster lists that when the lag has passed.
func (s *Store) Leave(id fleet.InstanceID) error { return s.roster.leave(id) }

// Remove removes an instance; the roster lists it until the lag has passed.
func (s *Store) Remove(id fleet.InstanceID) { s.roster.remove(id) }

// Listed returns the current list of the roster.
func (s *Store) Listed() []roster.Listing { return s.roster.list() }

func (f *faultInjector) attach(e port.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoint = e
}
