// Package place chooses the worker for a task: the one with the most free slots and connections, spread over
// availability zones and racks.
package place

import (
	"slices"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

const (
	// sample is how many equally free workers are compared by rack load. A small fixed number keeps a
	// placement's cost independent of the pool's size.
	sample = 8
	// DefaultConnections is the number of connections a worker accepts.
	DefaultConnections = 64
	// full is the share of an availability zone in service, in percent.
	full = 100
)

// Worker is what placement needs to know of a worker.
type Worker struct {
	ID    fleet.InstanceID
	Zone  fleet.AvailabilityZone
	Rack  string
	Slots int
}

// Node is a worker inside a picker.
type Node struct {
	Worker
	zone        *zone
	rack        *rack
	limit       int
	used        int
	connections int
	held        bool
	deferred    bool
	free        int // the bucket the node is in
	spare       int // free slots of a deferred node
	position    int // its position in the bucket
}

// Used returns the slots in use, permits included.
func (n *Node) Used() int { return n.used }

// Free returns the slots that may be given out now.
func (n *Node) Free() int { return n.free }

type rack struct{ used, slots int }

// load returns the used share of the rack's slots.
func (r *rack) load() float64 { return float64(r.used) / float64(max(r.slots, 1)) }

type zone struct {
	percent int
	slots   int
	used    int
	free    int
	racks   map[string]*rack
	buckets [][]*Node // by free slots
	cursor  int
}

// allowed returns the slots of the zone's share in service.
func (z *zone) allowed() int {
	if z.percent < full {
		return (z.slots*z.percent + full - 1) / full
	}
	return z.slots
}

// room returns the slots that may be given out in the zone now, deferred workers left out.
func (z *zone) room() int { return min(z.free, z.allowed()-z.used) }

// Picker holds the workers of one pool; it is not safe for concurrent use.
type Picker struct {
	connections int
	zones       map[fleet.AvailabilityZone]*zone
	order       []*zone
	deferred    []*Node
	free        int
}

// NewPicker returns an empty picker for workers that accept a number of connections each.
func NewPicker(connections int) *Picker {
	return &Picker{connections: connections, zones: map[fleet.AvailabilityZone]*zone{}}
}

// Add puts a worker into the picker, excluded until Limit allows it slots.
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
	p.insert(n)
	return n
}

// Remove takes a worker out.
func (p *Picker) Remove(n *Node) {
	p.extract(n)
	p.undefer(n)
	n.zone.slots -= n.Slots
	n.zone.used -= n.used
	n.rack.slots -= n.Slots
	n.rack.used -= n.used
}

// Use changes the slots in use of a worker.
func (p *Picker) Use(n *Node, slots int) {
	p.extract(n)
	n.used += slots
	n.zone.used += slots
	n.rack.used += slots
	p.insert(n)
}

// Limit sets how many slots of a worker may be in use; 0 excludes it.
func (p *Picker) Limit(n *Node, slots int) {
	if n.limit == slots {
		return
	}
	p.extract(n)
	n.limit = slots
	p.insert(n)
}

// Connections sets the open connections of a worker; a worker at its limit is excluded.
func (p *Picker) Connections(n *Node, open int) {
	if n.connections == open {
		return
	}
	p.extract(n)
	n.connections = open
	p.insert(n)
}

// LimitZone sets the share of an availability zone's slots that may be in use, in percent.
func (p *Picker) LimitZone(z fleet.AvailabilityZone, percent int) { p.zone(z).percent = percent }

// Free returns the free slots of the pool, not counting the limits of availability zones.
func (p *Picker) Free() int { return p.free }

// Pick returns the worker for a task of a number of slots, nil if none has room; it does not take the slots.
func (p *Picker) Pick(slots int) *Node {
	var best *zone
	var most float64
	for _, z := range p.order {
		room := z.room()
		if room < slots || z.top() < slots {
			continue
		}
		if k := float64(room) / float64(z.slots); best == nil || k > most {
			best, most = z, k
		}
	}
	if best == nil {
		return p.last(slots)
	}
	return best.pick()
}

// Defer makes a worker the last choice: it gets work only when no other one has room.
func (p *Picker) Defer(n *Node, deferred bool) {
	if n.deferred == deferred {
		return
	}
	p.extract(n)
	n.deferred = deferred
	p.insert(n)
	if deferred {
		p.deferred = append(p.deferred, n)
	} else {
		p.undefer(n)
	}
}

func (p *Picker) undefer(n *Node) {
	p.deferred = slices.DeleteFunc(p.deferred, func(o *Node) bool { return o == n })
}

// last returns a deferred worker with room.
func (p *Picker) last(slots int) *Node {
	for _, n := range p.deferred {
		if n.spare >= slots && n.zone.allowed()-n.zone.used >= slots {
			return n
		}
	}
	return nil
}

// Hold chooses a worker to be kept for a task that fits none now: the worker with the most free slots of those
// that could ever run it. A held worker gets no other work until Unhold; nil if there is none.
func (p *Picker) Hold(slots int) *Node {
	var best *Node
	for _, z := range p.order {
		if z.percent < full {
			continue
		}
		if n := z.holdable(slots); n != nil && (best == nil || n.limit-n.used > best.limit-best.used) {
			best = n
		}
	}
	if best != nil {
		p.extract(best)
		best.held = true
		p.insert(best)
	}
	return best
}

// Fits reports whether a held worker has room for its task now.
func (p *Picker) Fits(n *Node, slots int) bool {
	return n.limit-n.used >= slots && n.connections < p.connections
}

// Allows reports whether a worker's limit lets it run a task at all.
func (p *Picker) Allows(n *Node, slots int) bool { return n.limit >= slots }

// Unhold ends a hold.
func (p *Picker) Unhold(n *Node) {
	p.extract(n)
	n.held = false
	p.insert(n)
}

func (p *Picker) zone(name fleet.AvailabilityZone) *zone {
	z, ok := p.zones[name]
	if !ok {
		z = &zone{percent: full, racks: map[string]*rack{}}
		p.zones[name] = z
		p.order = append(p.order, z)
	}
	return z
}

func (p *Picker) insert(n *Node) {
	n.free, n.spare = 0, 0
	if n.connections < p.connections && !n.held {
		n.free = max(min(n.limit, n.Slots)-n.used, 0)
	}
	if n.deferred {
		n.free, n.spare = 0, n.free
	}
	z := n.zone
	for len(z.buckets) <= n.free {
		z.buckets = append(z.buckets, nil)
	}
	n.position = len(z.buckets[n.free])
	z.buckets[n.free] = append(z.buckets[n.free], n)
	z.free += n.free
	p.free += n.free + n.spare
}

func (p *Picker) extract(n *Node) {
	z := n.zone
	b := z.buckets[n.free]
	last := b[len(b)-1]
	b[n.position] = last
	last.position = n.position
	b[len(b)-1] = nil
	z.buckets[n.free] = b[:len(b)-1]
	z.free -= n.free
	p.free -= n.free + n.spare
}

// top returns the most free slots of any worker of the zone.
func (z *zone) top() int {
	for i := len(z.buckets) - 1; i > 0; i-- {
		if len(z.buckets[i]) > 0 {
			return i
		}
	}
	return 0
}

// pick compares a few of the zone's freest workers by the load of their racks, then by connections.
func (z *zone) pick() *Node {
	b := z.buckets[z.top()]
	z.cursor++
	best := b[z.cursor%len(b)]
	for i := 1; i < min(sample, len(b)); i++ {
		n := b[(z.cursor+i)%len(b)]
		l, m := n.rack.load(), best.rack.load()
		if l < m || l == m && n.connections < best.connections {
			best = n
		}
	}
	return best
}

// holdable returns the zone's freest worker whose limit allows the slots, among those not yet held.
func (z *zone) holdable(slots int) *Node {
	for i := len(z.buckets) - 1; i >= 0; i-- {
		for _, n := range z.buckets[i] {
			if !n.held && n.limit >= slots {
				return n
			}
		}
	}
	return nil
}
