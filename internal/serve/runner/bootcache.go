package runner

import (
	"context"
	"sync"
	"time"
)

// bootCache caches the boot ids of workers for bootMaxAge. An outdated id is safe: with it, a worker's reply that it
// never started a task is distrusted, but it can't make such a reply trusted.
type bootCache struct {
	workers Workers
	mu      sync.Mutex
	boots   map[string]cachedBoot
}

type cachedBoot struct {
	boot string
	at   time.Time
}

const bootMaxAge = 10 * time.Second

func newBootCache(w Workers) *bootCache {
	return &bootCache{workers: w, boots: map[string]cachedBoot{}}
}

// get returns the boot id of a worker, or "" if it can't be read.
func (c *bootCache) get(ctx context.Context, address string) string {
	c.mu.Lock()
	b, ok := c.boots[address]
	c.mu.Unlock()
	if ok && time.Since(b.at) < bootMaxAge {
		return b.boot
	}
	at := time.Now()
	report, err := c.workers.Report(ctx, address)
	if err != nil {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.boots[address] = cachedBoot{boot: report.Boot, at: at}
	return report.Boot
}
