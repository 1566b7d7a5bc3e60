// Package rules holds the operators' current rules: the config, the evacuated availability zones and the maintenance
// waves.
package rules

import (
	"maps"
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Wave is an operator's request for the maintenance of machines within a time limit.
type Wave struct {
	Number   int64
	Machines []string
	// Within is the time in which all machines must have had their maintenance.
	Within time.Duration
	// Cap is the largest number of machines in maintenance at once.
	Cap int
}

// Rules are the operators' rules at one point in time; a Rules value is never modified.
type Rules struct {
	Config *work.Config
	// EvacuatedZones are the availability zones that are out of service and get nothing new.
	EvacuatedZones map[string]bool
	// Waves are the current waves by number.
	Waves map[int64]Wave
}

// Cache holds the newest rules that this process knows of.
type Cache struct {
	mu      sync.Mutex
	rules   Rules
	changed chan struct{}
	// confirmedAt is the latest time of which all changes are known.
	confirmedAt time.Time
}

// NewCache returns an empty cache.
func NewCache() *Cache { return &Cache{changed: make(chan struct{})} }

// Current returns the current rules, and a channel that is closed when they change. Config is nil before the first call
// of Configure.
func (c *Cache) Current() (Rules, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rules, c.changed
}

// Confirm records that all changes before a point in time are known.
func (c *Cache) Confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// Age returns for how long the rules may have been out of date.
func (c *Cache) Age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.confirmedAt)
}

// Configure replaces the config unless the current one has the same or a newer version, and reports whether it did.
func (c *Cache) Configure(config *work.Config) bool {
	return c.change(func(r Rules) (Rules, bool) {
		if r.Config != nil && config.Version <= r.Config.Version {
			return r, false
		}
		r.Config = config
		return r, true
	})
}

// Evacuate marks an availability zone as evacuated or as back in service.
func (c *Cache) Evacuate(zone string, evacuated bool) {
	c.change(func(r Rules) (Rules, bool) {
		if r.EvacuatedZones[zone] == evacuated {
			return r, false
		}
		next := maps.Clone(r.EvacuatedZones)
		if next == nil {
			next = map[string]bool{}
		}
		if evacuated {
			next[zone] = true
		} else {
			delete(next, zone)
		}
		r.EvacuatedZones = next
		return r, true
	})
}

// AddWave adds a wave or replaces the wave with its number.
func (c *Cache) AddWave(w Wave) {
	c.change(func(r Rules) (Rules, bool) {
		next := maps.Clone(r.Waves)
		if next == nil {
			next = map[int64]Wave{}
		}
		next[w.Number] = w
		r.Waves = next
		return r, true
	})
}

// RemoveWave removes a wave if it is present.
func (c *Cache) RemoveWave(number int64) {
	c.change(func(r Rules) (Rules, bool) {
		if _, ok := r.Waves[number]; !ok {
			return r, false
		}
		next := maps.Clone(r.Waves)
		delete(next, number)
		r.Waves = next
		return r, true
	})
}

// change replaces the rules by the result of f if f reports a change, and closes the channel of the previous rules.
func (c *Cache) change(f func(Rules) (Rules, bool)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	next, changed := f(c.rules)
	if !changed {
		return false
	}
	c.rules = next
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}
