// Package assign decides which instances relay the leader's orders, and to which workers. It does no I/O.
package assign

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Options are the parameters of the decisions.
type Options struct {
	// MinWorkers is the number of workers from which relays are used. Below half of it they are not any more.
	MinWorkers int
	// WorkersPerRelay is the number of workers that one relay serves.
	WorkersPerRelay int
	// Margin is how much less suitable than another instance, by their election delays, a relay may be before that one
	// takes its place.
	Margin time.Duration
	// Imbalance is how many times as many workers as the average a relay may serve before it gives some away.
	Imbalance float64
}

// Default returns the default options.
func Default() Options {
	return Options{MinWorkers: 128, WorkersPerRelay: 128, Margin: 500 * time.Millisecond, Imbalance: 1.5}
}

// Instance is an instance that can relay orders.
type Instance struct {
	Name, Zone string
	// Delay is the instance's election delay: the longer, the less suitable the instance is.
	Delay time.Duration
}

// Worker is a worker that gets orders.
type Worker struct {
	ID   work.WorkerID
	Zone string
}

// Assignment names the relay of each worker. Workers without one get their orders from the leader.
type Assignment map[work.WorkerID]string

// Planner decides and remembers the relays.
type Planner struct {
	options Options
	relays  []Instance
}

// New returns a planner without relays.
func New(o Options) *Planner { return &Planner{options: o} }

// Relays returns the instances that relay orders now.
func (p *Planner) Relays() []Instance { return p.relays }

// Decide chooses relays among instances that can be reached and assigns the workers to them. It changes as little as
// possible of the former assignment: a worker whose relay stays keeps it unless that serves too many.
func (p *Planner) Decide(instances []Instance, workers []Worker, former Assignment) Assignment {
	p.relays = p.choose(instances, workers)
	if len(p.relays) == 0 {
		return Assignment{}
	}
	load := make(map[string]int, len(p.relays))
	zones := make(map[string]string, len(p.relays))
	for _, r := range p.relays {
		load[r.Name], zones[r.Name] = 0, r.Zone
	}
	most := max(1, int(p.options.Imbalance*float64(len(workers))/float64(len(p.relays))))
	assigned := make(Assignment, len(workers))
	var open []Worker
	for _, w := range workers {
		name := former[w.ID]
		if n, ok := load[name]; !ok || n >= most || zones[name] != w.Zone && p.hasRelay(w.Zone) {
			open = append(open, w)
			continue
		}
		assigned[w.ID] = name
		load[name]++
	}
	slices.SortFunc(open, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	for _, w := range open {
		name := p.leastLoaded(w.Zone, load, most)
		assigned[w.ID] = name
		load[name]++
	}
	return assigned
}

func (p *Planner) hasRelay(zone string) bool {
	return slices.ContainsFunc(p.relays, func(r Instance) bool { return r.Zone == zone })
}

// leastLoaded returns the relay of a zone that serves the fewest workers, or that of any zone if none there serves fewer
// than the most.
func (p *Planner) leastLoaded(zone string, load map[string]int, most int) string {
	best, bestOverall := "", ""
	for _, r := range p.relays {
		if r.Zone == zone && load[r.Name] < most && (best == "" || load[r.Name] < load[best]) {
			best = r.Name
		}
		if bestOverall == "" || load[r.Name] < load[bestOverall] {
			bestOverall = r.Name
		}
	}
	return cmp.Or(best, bestOverall)
}

// choose returns the relays: as many as the workers need, spread over the zones by their workers, the most suitable ones
// of each zone first. A present relay stays unless another instance of its zone is more suitable by the margin.
func (p *Planner) choose(instances []Instance, workers []Worker) []Instance {
	least := p.options.MinWorkers
	if len(p.relays) > 0 {
		least /= 2
	}
	if len(workers) < least || len(instances) == 0 {
		return nil
	}
	need := map[string]int{}
	for _, w := range workers {
		need[w.Zone]++
	}
	count := p.count(len(workers), need)
	if present := len(p.relays); present > count {
		// Half a relay's workers more, so that relays don't come and go with a few workers.
		count = min(present, p.count(len(workers)+p.options.WorkersPerRelay/2, need))
	}
	count = min(count, len(instances))
	present := map[string]bool{}
	for _, r := range p.relays {
		present[r.Name] = true
	}
	// Present relays count as more suitable by the margin.
	rank := func(i Instance) time.Duration {
		if present[i.Name] {
			return i.Delay - p.options.Margin
		}
		return i.Delay
	}
	candidates := slices.Clone(instances)
	slices.SortFunc(candidates, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name))
	})
	var chosen []Instance
	for len(chosen) < count {
		i := p.next(candidates, rank, need)
		c := candidates[i]
		chosen = append(chosen, c)
		need[c.Zone] -= p.options.WorkersPerRelay
		candidates = slices.Delete(candidates, i, i+1)
	}
	return chosen
}

// count returns how many relays the workers need, at least one for each zone with a good part of a relay's workers.
func (p *Planner) count(workers int, byZone map[string]int) int {
	zones := 0
	for _, n := range byZone {
		if n >= p.options.WorkersPerRelay/4 {
			zones++
		}
	}
	return max(zones, (workers+p.options.WorkersPerRelay-1)/p.options.WorkersPerRelay)
}

// next returns the index of the next relay: among the candidates that are about as suitable as the best one, the one
// whose zone has the most workers left.
func (p *Planner) next(candidates []Instance, rank func(Instance) time.Duration, need map[string]int) int {
	best := 0
	for i, c := range candidates {
		if rank(c) > rank(candidates[0])+p.options.Margin {
			break
		}
		if need[c.Zone] > need[candidates[best].Zone] {
			best = i
		}
	}
	return best
}
