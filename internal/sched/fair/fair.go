// Package fair decides who gets the capacity of a pool that can't do all its work in time: it detects that, divides the pool
// among the customers by weight, and refuses jobs that can't be done in time. It does no I/O.
package fair

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/share"
)

// Class is what a waiting step can still achieve.
type Class int

// The classes, in the order in which they go.
const (
	// Exempt steps, those of long-running tasks, take no part in the division.
	Exempt Class = iota
	OnTime
	Late
	// Expired steps belong to jobs that nobody is expected to wait for any more.
	Expired
)

// Item is a step with waiting tasks.
type Item struct {
	// Priority is that of its queue, the lower one goes first.
	Priority int
	Class    Class
	// Customer is the index of its customer.
	Customer int
	// Need is that of all its waiting tasks, RunTime the expected run time of one in seconds.
	Need    work.Need
	RunTime float64
	// Slack is the time in seconds until its latest start, Deadline that until its job's deadline.
	Slack, Deadline float64
	// Beyond is set by the division: the step is beyond its customer's share.
	Beyond bool
}

// Customer is what counts of a customer.
type Customer struct {
	// Weight is in thousandths; less than one counts as one.
	Weight int
	// Cap limits what its tasks use, zero fields mean no limit.
	Cap work.Need
}

func (c Customer) weight() float64 { return float64(max(c.Weight, 1)) }

// Capacity is what the usable workers of a pool have for finite tasks, and what these use of it.
type Capacity struct{ Total, Used work.Need }

// dimension is one of the resources.
type dimension int

const (
	cpu dimension = iota
	memory
	gpu
	dimensions
)

// of returns an amount of a resource. Accelerators count in thousandths, as CPU does, so that their work can be rounded to
// whole units.
func (d dimension) of(n work.Need) float64 {
	switch d {
	case memory:
		return float64(n.Memory)
	case gpu:
		return 1000 * float64(n.GPU)
	}
	return float64(n.CPU)
}

// String returns the name of the resource.
func (d dimension) String() string { return [...]string{"cpu", "memory", "gpu"}[d] }

// scarcest returns the resource of which the waiting work takes the largest part of the capacity, among those that the pool has.
func scarcest(total work.Need, items []Item) dimension {
	var sums [dimensions]float64
	for i := range items {
		if e := &items[i]; e.Class == OnTime || e.Class == Late {
			for d := range dimensions {
				sums[d] += d.of(e.Need) * e.RunTime
			}
		}
	}
	best := cpu
	for d := range dimensions {
		if has := d.of(total); has > 0 && sums[d]*best.of(total) > sums[best]*has {
			best = d
		}
	}
	return best
}

// claims are the running and waiting work of customers, kept from pass to pass so that a pass allocates nothing.
type claims struct {
	byCustomer []*share.Claim
	// active are those with work in this pass, customers their indexes in the order of byCustomer's.
	active []*share.Claim
	index  []int
}

// reset forgets all work.
func (c *claims) reset(customers int) {
	for len(c.byCustomer) < customers {
		c.byCustomer = append(c.byCustomer, nil)
	}
	clear(c.byCustomer)
	c.active, c.index = c.active[:0], c.index[:0]
}

// of returns the claim of a customer.
func (c *claims) of(customer int) *share.Claim {
	if o := c.byCustomer[customer]; o != nil {
		return o
	}
	n := len(c.active)
	if n < cap(c.active) {
		c.active = c.active[:n+1]
	} else {
		c.active = append(c.active, nil)
	}
	if c.active[n] == nil {
		c.active[n] = &share.Claim{}
	}
	*c.active[n] = share.Claim{}
	c.byCustomer[customer] = c.active[n]
	c.index = append(c.index, customer)
	return c.active[n]
}

// setWeights sets the weights of the claims.
func (c *claims) setWeights(customers []Customer) {
	for i, o := range c.active {
		o.Weight = customers[c.index[i]].Weight
	}
}

// Run is a running finite task.
type Run struct {
	Customer int
	Need     work.Need
	// Remaining is its expected remaining run time in seconds.
	Remaining float64
}

// Runs calls a function for each run of a pool.
type Runs func(f func(Run))

// Seconds returns a duration in seconds, at least 0.
func Seconds(d time.Duration) float64 { return max(d.Seconds(), 0) }
