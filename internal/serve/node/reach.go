package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/pace"
	"github.com/yuccahaven/yuccahaven/internal/sched/alloc"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
)

const (
	reachInterval = 2 * time.Second
	reachTimeout  = time.Second
	// reachMisses is the number of consecutive failed probes after which an instance counts as unreachable.
	reachMisses = 3
	reachAtOnce = 32
)

// reach knows which instances are unreachable among the pools that this entry instance leads. Planned work counts
// them as unavailable, and the roster's follower removes those that are no longer listed.
type reach struct {
	views  *view.Replica
	prober alloc.Prober
	leads  func(fleet.PoolName) bool

	mu     sync.Mutex
	misses map[fleet.InstanceID]int
}

func (r *reach) run(ctx context.Context) {
	pace.After(ctx, reachInterval, r.probe)
}

func (r *reach) probe(ctx context.Context) {
	v := r.views.View()
	var members []fleet.PoolMember
	for _, p := range v.PoolNames() {
		if r.leads(p) {
			members = append(members, v.Pool(p)...)
		}
	}
	missed := make([]bool, len(members))
	var g errgroup.Group
	g.SetLimit(reachAtOnce)
	for i, m := range members {
		g.Go(func() error {
			call, cancel := context.WithTimeout(ctx, reachTimeout)
			defer cancel()
			_, err := r.prober.Report(call, m.Address)
			missed[i] = err != nil
			return nil
		})
	}
	_ = g.Wait()
	r.note(members, missed)
}

func (r *reach) note(members []fleet.PoolMember, missed []bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	misses := map[fleet.InstanceID]int{}
	for i, m := range members {
		if missed[i] {
			misses[m.ID] = r.misses[m.ID] + 1
		}
	}
	r.misses = misses
}

// failed returns the unreachable instances, sorted.
func (r *reach) failed() []fleet.InstanceID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []fleet.InstanceID
	for id, n := range r.misses {
		if n >= reachMisses {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
