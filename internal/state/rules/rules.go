// Package rules holds what the operators ask for: the newest config, the availability zones out of service and the
// maintenance waves.
package rules

import (
	"maps"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Wave asks that machines have their maintenance in time.
type Wave struct {
	Number   int64
	Machines []string
	// Within is the time for the whole wave.
	Within time.Duration
	// Cap bounds the machines under maintenance at once.
	Cap int
}

// Rules are the operators' wishes at one moment; they don't change.
type Rules struct {
	Config *work.Config
	// EvacuatedZones are the availability zones that get nothing.
	EvacuatedZones map[string]bool
	// Waves by number.
	Waves map[int64]Wave
}

// Cache holds the newest rules that this process knows of.
type Cache struct {
	mu      sync.Mutex
	rules   Rules
	changed chan struct{}
}

// NewCache returns a book without rules.
func NewCache() *Cache { return &Cache{changed: make(chan struct{})} }

// Current returns the rules in force, and a channel that is closed when they change. Config is nil before the first.
func (b *Cache) Current() (Rules, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rules, b.changed
}

// Configure puts a config in force unless a newer one is.
func (b *Cache) Configure(c *work.Config) bool {
	return b.change(func(r Rules) (Rules, bool) {
		if r.Config != nil && c.Version <= r.Config.Version {
			return r, false
		}
		r.Config = c
		return r, true
	})
}

// Evacuate takes an availability zone out of service or back.
func (b *Cache) Evacuate(zone string, out bool) {
	b.change(func(r Rules) (Rules, bool) {
		if r.EvacuatedZones[zone] == out {
			return r, false
		}
		next := maps.Clone(r.EvacuatedZones)
		if next == nil {
			next = map[string]bool{}
		}
		if out {
			next[zone] = true
		} else {
			delete(next, zone)
		}
		r.EvacuatedZones = next
		return r, true
	})
}

// AddWave adds a wave.
func (b *Cache) AddWave(w Wave) {
	b.change(func(r Rules) (Rules, bool) {
		next := maps.Clone(r.Waves)
		if next == nil {
			next = map[int64]Wave{}
		}
		next[w.Number] = w
		r.Waves = next
		return r, true
	})
}

// RemoveWave removes a wave.
func (b *Cache) RemoveWave(number int64) {
	b.change(func(r Rules) (Rules, bool) {
		if _, ok := r.Waves[number]; !ok {
			return r, false
		}
		next := maps.Clone(r.Waves)
		delete(next, number)
		r.Waves = next
		return r, true
	})
}

func (b *Cache) change(f func(Rules) (Rules, bool)) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	next, changed := f(b.rules)
	if !changed {
		return false
	}
	b.rules = next
	close(b.changed)
	b.changed = make(chan struct{})
	return true
}
