package place

import (
	"sync"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Fit reports which tasks fit on the largest worker of a pool; it is safe for concurrent use.
type Fit struct {
	mu       sync.Mutex
	revision uint64
	largest  map[fleet.PoolName]int
}

// Fits reports whether some worker of the pool, in any state, has enough slots for a task. In a pool without workers
// every task fits, because the size of its future workers is unknown.
func (f *Fit) Fits(v fleet.View, p fleet.PoolName, slots int) bool {
	l := f.Largest(v, p)
	return l == 0 || slots <= l
}

// Largest returns the slots of the pool's largest worker, 0 if it has none.
func (f *Fit) Largest(v fleet.View, p fleet.PoolName) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.largest == nil || f.revision != v.Revision() {
		f.revision, f.largest = v.Revision(), map[fleet.PoolName]int{}
	}
	l, ok := f.largest[p]
	if !ok {
		l = largest(v.Pool(p))
		f.largest[p] = l
	}
	return l
}

func largest(members []fleet.PoolMember) int {
	l := 0
	for _, m := range members {
		l = max(l, m.Slots)
	}
	return l
}
