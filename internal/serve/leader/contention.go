package leader

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
)

// contendedPools is the name of the gauge of contended pools.
const contendedPools = "contended_pools"

// maxCustomerMetrics is the largest number of customers whose refusals are counted each by themselves; the others are counted as
// otherCustomers.
const (
	maxCustomerMetrics = 64
	otherCustomers     = "other"
)

// contentionMetrics are the metrics of contended pools.
type contentionMetrics struct {
	pools    metrics.Gauge
	refusals metrics.Counter
	registry metrics.Registry
	names    *nameSet
}

// nameSet is a bounded set of names.
type nameSet struct {
	mu    sync.Mutex
	names map[string]bool
}

// add reports whether a name is in the set or there was room for it.
func (n *nameSet) add(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.names[name] && len(n.names) < maxCustomerMetrics {
		n.names[name] = true
	}
	return n.names[name]
}

func newContentionMetrics(r metrics.Registry) contentionMetrics {
	return contentionMetrics{pools: metrics.GetOrRegisterGauge(contendedPools, r),
		refusals: metrics.GetOrRegisterCounter("contention_refusals", r), registry: r, names: &nameSet{names: map[string]bool{}}}
}

// refused counts the refusal of a job of a customer.
func (m contentionMetrics) refused(customer string) {
	m.refusals.Inc(1)
	if !m.names.add(customer) {
		customer = otherCustomers
	}
	metrics.GetOrRegisterCounter(fmt.Sprintf("contention_refusals{customer=%q}", customer), m.registry).Inc(1)
}

// reportArrivals tells the scheduler which machines are on their way to a pool, so that their capacity counts in the decisions about
// new jobs.
func (m *mover) reportArrivals() {
	s := m.session
	if !s.service.Contention {
		return
	}
	arriving, now, takes := map[string][]engine.Arrival{}, time.Now(), s.service.Moves.Move
	for _, op := range m.operations {
		if op.pool == "" {
			continue
		}
		at := now.Add(takes)
		if !op.startedAt.IsZero() {
			at = op.startedAt.Add(takes)
		} else if op.worker != "" {
			at = at.Add(s.scheduler.Usage(work.WorkerID(op.worker)).RemainingTime)
		}
		arriving[op.pool] = append(arriving[op.pool], engine.Arrival{At: at, Capacity: m.machines[op.machine].Capacity})
	}
	for _, list := range arriving {
		slices.SortFunc(list, func(a, b engine.Arrival) int {
			return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Capacity.CPU, b.Capacity.CPU))
		})
	}
	s.scheduler.SetArriving(arriving)
}
