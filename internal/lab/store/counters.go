package store

import (
	"sync"
	"time"
)

// Counters counts the operations of a service.
type Counters struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// ReadPeak and WritePeak are the largest numbers of reads and writes within one second of the wall clock.
	ReadPeak  int64 `json:"readpeak"`
	WritePeak int64 `json:"writepeak"`
	// Conflicts counts transactions whose conditions did not hold; these also count as writes.
	Conflicts int64 `json:"conflicts"`
	// Throttled counts operations that were declined because they exceeded the service's limit.
	Throttled int64 `json:"throttled"`
	// Lost counts replies that were lost after a write took effect.
	Lost int64 `json:"lost"`
}

type counter struct {
	mu            sync.Mutex
	total         Counters
	second        int64
	reads, writes int64
}

func (c *counter) read()  { c.add(1, 0) }
func (c *counter) write() { c.add(0, 1) }

func (c *counter) add(reads, writes int64) {
	now := time.Now().Unix()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now != c.second {
		c.second, c.reads, c.writes = now, 0, 0
	}
	c.reads += reads
	c.writes += writes
	c.total.Reads += reads
	c.total.Writes += writes
	c.total.ReadPeak = max(c.total.ReadPeak, c.reads)
	c.total.WritePeak = max(c.total.WritePeak, c.writes)
}

func (c *counter) update(f func(*Counters)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.total)
}

func (c *counter) get() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}
