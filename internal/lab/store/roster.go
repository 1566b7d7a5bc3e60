package store

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
)

// Errors of Leave and of a reboot.
var (
	ErrAbsent = errors.New("store: no such instance")
	ErrBusy   = errors.New("store: instance is not idle")
)

// Rebooter restarts an instance; it returns ErrBusy if the instance is not idle.
type Rebooter func(ctx context.Context, l roster.Listing, version string) error

// change is a change of an instance; the roster lists it when the lag has passed.
type change struct {
	at      time.Time
	listing roster.Listing
	removed bool
}

// instances holds the platform's current instances and the roster, which lists their changes with a lag.
type instances struct {
	mu       sync.Mutex
	lag      time.Duration
	pending  []change
	listed   map[fleet.InstanceID]roster.Listing
	current  map[fleet.InstanceID]roster.Listing
	rebooter Rebooter
}

func newInstances() *instances {
	return &instances{listed: map[fleet.InstanceID]roster.Listing{}, current: map[fleet.InstanceID]roster.Listing{}}
}

func (i *instances) put(l roster.Listing) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.current[l.ID] = l
	i.pending = append(i.pending, change{at: time.Now(), listing: l})
}

func (i *instances) remove(id fleet.InstanceID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.current, id)
	i.pending = append(i.pending, change{at: time.Now(), listing: roster.Listing{ID: id}, removed: true})
}

func (i *instances) leave(id fleet.InstanceID) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	l, ok := i.current[id]
	if !ok {
		return ErrAbsent
	}
	l.State = roster.Leaving
	i.current[id] = l
	i.pending = append(i.pending, change{at: time.Now(), listing: l})
	return nil
}

func (i *instances) list() []roster.Listing {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	n := 0
	for _, c := range i.pending {
		if now.Sub(c.at) < i.lag {
			break
		}
		n++
		if c.removed {
			delete(i.listed, c.listing.ID)
			continue
		}
		i.listed[c.listing.ID] = c.listing
	}
	i.pending = i.pending[n:]
	return slices.SortedFunc(maps.Values(i.listed), func(a, b roster.Listing) int { return cmp.Compare(a.ID, b.ID) })
}

func (i *instances) setLag(d time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lag = d
}

func (i *instances) requestReboot(ctx context.Context, id fleet.InstanceID, version string) error {
	i.mu.Lock()
	l, ok := i.current[id]
	f := i.rebooter
	i.mu.Unlock()
	if !ok || f == nil {
		return ErrAbsent
	}
	return f(ctx, l, version)
}
