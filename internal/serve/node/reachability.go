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
	probeInterval = 2 * time.Second
	probeTimeout  = time.Second
	// maxProbeFailures is the number of consecutive failed probes after which an instance counts as unreachable.
	maxProbeFailures    = 3
	maxConcurrentProbes = 32
)

// reachability probes the members of the pools that this entry instance leads and keeps which are unreachable. Planned
// work counts these as unavailable, and the roster follower removes those that are no longer listed.
type reachability struct {
	views  *view.Replica
	prober alloc.Prober
	leads  func(fleet.PoolName) bool

	mu       sync.Mutex
	failures map[fleet.InstanceID]int
}

func (r *reachability) run(ctx context.Context) {
	pace.After(ctx, probeInterval, r.probe)
}

func (r *reachability) probe(ctx context.Context) {
	v := r.views.View()
	var members []fleet.PoolMember
	for _, p := range v.PoolNames() {
		if r.leads(p) {
			members = append(members, v.Pool(p)...)
		}
	}
	failed := make([]bool, len(members))
	var g errgroup.Group
	g.SetLimit(maxConcurrentProbes)
	for i, m := range members {
		g.Go(func() error {
			call, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			_, err := r.prober.Report(call, m.Address)
			failed[i] = err != nil
			return nil
		})
	}
	_ = g.Wait()
	r.update(members, failed)
}

func (r *reachability) update(members []fleet.PoolMember, failed []bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	failures := map[fleet.InstanceID]int{}
	for i, m := range members {
		if failed[i] {
			failures[m.ID] = r.failures[m.ID] + 1
		}
	}
	r.failures = failures
}

// failed returns the unreachable instances, sorted.
func (r *reachability) failed() []fleet.InstanceID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []fleet.InstanceID
	for id, n := range r.failures {
		if n >= maxProbeFailures {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
