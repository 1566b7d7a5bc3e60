// Package place chooses the worker for a task: the one with the most free slots, spread over availability zones and
// racks, and with the fewest connections among equals.
package place

import (
	"slices"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

const (
	// sampleSize is how many equally free workers are compared by the use of their racks. A small fixed number keeps
	// the cost of a placement independent of the pool's size.
	sampleSize = 8
	// DefaultMaxConnections is the number of connections that a worker accepts.
	DefaultMaxConnections = 64
	// fullPercent is the share of an availability zone that is fully in service, in percent.
	fullPercent = 100
)

// Worker is the identity, location and size of a worker.
type Worker struct {
	ID    fleet.InstanceID
	Zone  fleet.AvailabilityZone
	Rack  string
	Slots int
}

// Node is a worker in a Picker.
type Node struct {
	Worker
	zone         *zone
	rack         *rack
	limit        int
	used         int
	connections  int
	cordoned     bool
	deferred     bool
	free         int // as returned by Free; index of the bucket with the node
	deferredFree int // free slots of a deferred worker
	bucketIndex  int // index within the bucket
}

// Used returns the slots in use, including those of permits.
func (n *Node) Used() int { return n.used }

// Free returns the free slots, 0 for a worker that is deferred, cordoned or at its limit of connections.
func (n *Node) Free() int { return n.free }

type rack struct{ used, slots int }

// usedShare returns the fraction of the rack's slots that are in use.
func (r *rack) usedShare() float64 { return float64(r.used) / float64(max(r.slots, 1)) }

type zone struct {
	inServicePercent int
	slots            int
	used             int
	free             int
	racks            map[string]*rack
	buckets          [][]*Node // by free slots
	cursor           int
}

// allowedSlots returns how many slots of the zone may be in use.
func (z *zone) allowedSlots() int {
	if z.inServicePercent < fullPercent {
		return (z.slots*z.inServicePercent + fullPercent - 1) / fullPercent
	}
	return z.slots
}

// availableSlots returns the free slots of the zone within its limit, without those of deferred workers.
func (z *zone) availableSlots() int { return min(z.free, z.allowedSlots()-z.used) }

// Picker tracks the free slots of one pool's workers; it is not safe for concurrent use.
type Picker struct {
	maxConnections int
	zones          map[fleet.AvailabilityZone]*zone
	zoneOrder      []*zone
	deferred       []*Node
	free           int
}

// NewPicker returns an empty picker for workers that each accept a number of connections.
func NewPicker(maxConnections int) *Picker {
	return &Picker{maxConnections: maxConnections, zones: map[fleet.AvailabilityZone]*zone{}}
}

// Add adds a worker; it is excluded until its limit is set.
func (p *Picker) Add(w Worker) *Node {
	z := p.zone(w.Zone)
	r, ok := z.racks[w.Rack]
	if !ok {
		r = &rack{}
		z.racks[w.Rack] = r
	}
	z.slots += w.Slots
	r.slots += w.Slots
	n := &Node{Worker: w, zone: z, rack: r}
	p.addToBucket(n)
	return n
}

// Remove removes a worker together with its slots in use.
func (p *Picker) Remove(n *Node) {
	p.removeFromBucket(n)
	p.removeDeferred(n)
	n.zone.slots -= n.Slots
	n.zone.used -= n.used
	n.rack.slots -= n.Slots
	n.rack.used -= n.used
}

// AddUsage changes the slots in use of a worker.
func (p *Picker) AddUsage(n *Node, slots int) {
	p.removeFromBucket(n)
	n.used += slots
	n.zone.used += slots
	n.rack.used += slots
	p.addToBucket(n)
}

// SetLimit sets how many slots of a worker may be in use; 0 excludes it.
func (p *Picker) SetLimit(n *Node, slots int) {
	if n.limit == slots {
		return
	}
	p.removeFromBucket(n)
	n.limit = slots
	p.addToBucket(n)
}

// SetConnections sets the open connections of a worker; a worker at its limit is excluded.
func (p *Picker) SetConnections(n *Node, open int) {
	if n.connections == open {
		return
	}
	p.removeFromBucket(n)
	n.connections = open
	p.addToBucket(n)
}

// SetZoneLimit sets the percentage of an availability zone's slots that may be in use.
func (p *Picker) SetZoneLimit(z fleet.AvailabilityZone, percent int) {
	p.zone(z).inServicePercent = percent
}

// Free returns the free slots of the pool, with those of deferred workers and regardless of the limits of availability
// zones.
func (p *Picker) Free() int { return p.free }

// Pick returns the worker for a task with a number of slots, nil if it fits on none. It does not mark the slots as in
// use.
func (p *Picker) Pick(slots int) *Node {
	var best *zone
	var most float64
	for _, z := range p.zoneOrder {
		available := z.availableSlots()
		if available < slots || z.mostFree() < slots {
			continue
		}
		if k := float64(available) / float64(z.slots); best == nil || k > most {
			best, most = z, k
		}
	}
	if best == nil {
		return p.pickDeferred(slots)
	}
	return best.pick()
}

// SetDeferred sets whether a worker is the last choice, which gets tasks only if they fit on no other worker.
func (p *Picker) SetDeferred(n *Node, deferred bool) {
	if n.deferred == deferred {
		return
	}
	p.removeFromBucket(n)
	n.deferred = deferred
	p.addToBucket(n)
	if deferred {
		p.deferred = append(p.deferred, n)
	} else {
		p.removeDeferred(n)
	}
}

func (p *Picker) removeDeferred(n *Node) {
	p.deferred = slices.DeleteFunc(p.deferred, func(o *Node) bool { return o == n })
}

// pickDeferred returns a deferred worker on which a task fits, nil if there is none.
func (p *Picker) pickDeferred(slots int) *Node {
	for _, n := range p.deferred {
		if n.deferredFree >= slots && n.zone.allowedSlots()-n.zone.used >= slots {
			return n
		}
	}
	return nil
}

// Cordon chooses a worker for a task that fits on none now, and keeps other tasks away from it until Uncordon. It is
// the worker with the most free slots of those whose limit allows the task and whose zone is fully in service; nil if
// there is none.
func (p *Picker) Cordon(slots int) *Node {
	var best *Node
	for _, z := range p.zoneOrder {
		if z.inServicePercent < fullPercent {
			continue
		}
		if n := z.cordonable(slots); n != nil && (best == nil || n.limit-n.used > best.limit-best.used) {
			best = n
		}
	}
	if best != nil {
		p.removeFromBucket(best)
		best.cordoned = true
		p.addToBucket(best)
	}
	return best
}

// Fits reports whether a task fits on a cordoned worker now, regardless of the limit of its availability zone.
func (p *Picker) Fits(n *Node, slots int) bool {
	return n.limit-n.used >= slots && n.connections < p.maxConnections
}

// Allows reports whether a task is within a worker's limit.
func (p *Picker) Allows(n *Node, slots int) bool { return n.limit >= slots }

// Uncordon lets a worker get new tasks again.
func (p *Picker) Uncordon(n *Node) {
	p.removeFromBucket(n)
	n.cordoned = false
	p.addToBucket(n)
}

func (p *Picker) zone(name fleet.AvailabilityZone) *zone {
	z, ok := p.zones[name]
	if !ok {
		z = &zone{inServicePercent: fullPercent, racks: map[string]*rack{}}
		p.zones[name] = z
		p.zoneOrder = append(p.zoneOrder, z)
	}
	return z
}

func (p *Picker) addToBucket(n *Node) {
	n.free, n.deferredFree = 0, 0
	if n.connections < p.maxConnections && !n.cordoned {
		n.free = max(min(n.limit, n.Slots)-n.used, 0)
	}
	if n.deferred {
		n.free, n.deferredFree = 0, n.free
	}
	z := n.zone
	for len(z.buckets) <= n.free {
		z.buckets = append(z.buckets, nil)
	}
	n.bucketIndex = len(z.buckets[n.free])
	z.buckets[n.free] = append(z.buckets[n.free], n)
	z.free += n.free
	p.free += n.free + n.deferredFree
}

func (p *Picker) removeFromBucket(n *Node) {
	z := n.zone
	b := z.buckets[n.free]
	last := b[len(b)-1]
	b[n.bucketIndex] = last
	last.bucketIndex = n.bucketIndex
	b[len(b)-1] = nil
	z.buckets[n.free] = b[:len(b)-1]
	z.free -= n.free
	p.free -= n.free + n.deferredFree
}

// mostFree returns the free slots of the zone's freest worker, cordoned and deferred ones left out.
func (z *zone) mostFree() int {
	for i := len(z.buckets) - 1; i > 0; i-- {
		if len(z.buckets[i]) > 0 {
			return i
		}
	}
	return 0
}

// pick returns one of the zone's freest workers: of a sample, the one with the least used rack, then with the fewest
// connections.
func (z *zone) pick() *Node {
	b := z.buckets[z.mostFree()]
	z.cursor++
	best := b[z.cursor%len(b)]
	for i := 1; i < min(sampleSize, len(b)); i++ {
		n := b[(z.cursor+i)%len(b)]
		l, m := n.rack.usedShare(), best.rack.usedShare()
		if l < m || l == m && n.connections < best.connections {
			best = n
		}
	}
	return best
}

// cordonable returns the zone's freest worker that is not cordoned and whose limit allows the slots.
func (z *zone) cordonable(slots int) *Node {
	for i := len(z.buckets) - 1; i >= 0; i-- {
		for _, n := range z.buckets[i] {
			if !n.cordoned && n.limit >= slots {
				return n
			}
		}
	}
	return nil
}
