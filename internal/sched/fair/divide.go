package fair

import (
	"time"

	"github.com/yuccahaven/yuccahaven/internal/sched/share"
)

const (
	// beyondFactor is by how much a customer's demand must exceed its share, and its demand by weight that of the others
	// together, for it to be beyond its share. In a peak of a queue all customers ask for more than their shares; the order by
	// latest start then serves them best. With 2 a customer at twice its share made 5 % of the others' jobs late, with 1.5 about 1 %.
	beyondFactor = 1.5
	// beyondPart is the least part of the pool by which it must exceed its share. A customer of a few jobs exceeds it by chance.
	beyondPart = 0.25
	// releaseDelay is how long a customer counts as beyond its share after it was last found so: the demand of a customer whose
	// jobs are refused varies with its retries.
	releaseDelay = time.Second
)

// Division detects contention of one pool and divides it among the customers. It is not safe for concurrent use.
type Division struct {
	claims    claims
	contended bool
	scarce    dimension
	// horizon is the time until the first miss in seconds, at least the mean run time of the waiting tasks.
	horizon, meanRunTime float64
	// work is the waiting work of each customer that was counted so far in the pass.
	work []float64
	// beyond is when each customer was last found beyond its share.
	beyond []time.Time
	report Report
}

// Report is the state of a contended pool, in thousandths of a core, megabytes or thousandths of an accelerator.
type Report struct {
	Scarce                     string
	Capacity, Running, Waiting float64
	// Horizon is the time until the first miss, Beyond the indexes of the customers beyond their share.
	Horizon time.Duration
	Beyond  []int
}

// Contended reports whether the pool was contended in the last pass.
func (d *Division) Contended() bool { return d.contended }

// Report returns the state of the pool in the last pass in which it was contended; it is valid until the next one.
func (d *Division) Report() Report { return d.report }

// Detect reports whether the pool is contended: served in the order of the items, some step that can still be in time would start
// too late. What fits into the free capacity starts at once; the rest starts at the rate at which the pool does work. Work of a
// customer beyond its cap does not keep others waiting. Once contended, a pool remains so until no late work waits, since the
// steps that miss their latest start no longer show in this test.
func (d *Division) Detect(c Capacity, items []Item, customers []Customer) bool {
	d.scarce = scarcest(c.Total, items)
	capacity, free := d.scarce.of(c.Total), max(d.scarce.of(c.Total)-d.scarce.of(c.Used), 0)
	if capacity <= 0 {
		d.contended = false
		return false
	}
	d.work = append(d.work[:0], make([]float64, len(customers))...)
	ahead, need, done, firstMiss := 0.0, 0.0, 0.0, -1.0
	late := false
	for i := range items {
		e := &items[i]
		if e.Class != OnTime && e.Class != Late {
			continue
		}
		late = late || e.Class == Late
		n := d.scarce.of(e.Need)
		need, done = need+n, done+n*e.RunTime
		if firstMiss < 0 && e.Class == OnTime && n > free && ahead > capacity*max(e.Slack, 0) {
			firstMiss = max(e.Slack, 0)
		}
		atOnce := min(n, free)
		free -= atOnce
		w := (n - atOnce) * e.RunTime
		if limit := d.scarce.of(customers[e.Customer].Cap); limit > 0 {
			w = min(w, max(limit*max(e.Slack, e.RunTime)-d.work[e.Customer], 0))
			d.work[e.Customer] += w
		}
		ahead += w
	}
	d.contended = firstMiss >= 0 || d.contended && late
	if !d.contended || need == 0 {
		d.contended = false
		return false
	}
	d.meanRunTime = done / need
	d.horizon = max(firstMiss, d.meanRunTime)
	d.report = Report{Scarce: d.scarce.String(), Capacity: capacity, Running: d.scarce.of(c.Used), Waiting: need,
		Horizon: time.Duration(max(firstMiss, 0) * float64(time.Second)), Beyond: d.report.Beyond[:0]}
	return true
}

// Divide divides what a contended pool can do until the first miss among the customers by weight, counts what they are running,
// and marks the items beyond the shares of customers that are beyond theirs. It reports whether any step is marked. Detect must
// have been called with the same items.
func (d *Division) Divide(items []Item, customers []Customer, runs Runs, now time.Time) (marked bool) {
	d.claims.reset(len(customers))
	for len(d.beyond) < len(customers) {
		d.beyond = append(d.beyond, time.Time{})
	}
	// A run holds its capacity for its whole run time: counted by what remains of it, the customer of the runs would get more
	// than its share of the capacity that is freed.
	runs(func(r Run) { d.claims.of(r.Customer).Allocated += int(d.scarce.of(r.Need) * d.meanRunTime) })
	for i := range items {
		if e := &items[i]; e.Class == OnTime || e.Class == Late {
			d.claims.of(e.Customer).Normal += int(d.scarce.of(e.Need) * e.RunTime)
		}
	}
	d.claims.setWeights(customers)
	demand, weights := 0.0, 0.0
	for i, o := range d.claims.active {
		if limit := d.scarce.of(customers[d.claims.index[i]].Cap); limit > 0 {
			o.Normal = min(o.Normal, max(int(limit*d.horizon)-o.Allocated, 0))
		}
		demand += float64(o.Allocated + o.Normal)
		weights += customers[d.claims.index[i]].weight()
	}
	budget := d.report.Capacity * d.horizon
	d.divide(budget)
	for i, o := range d.claims.active {
		customer, own := d.claims.index[i], float64(o.Allocated+o.Normal)
		weight := customers[customer].weight()
		if weights > weight && own > beyondFactor*o.Due() && own-o.Due() > beyondPart*budget &&
			own*(weights-weight) > beyondFactor*(demand-own)*weight {
			d.beyond[customer] = now
		}
		if d.IsBeyond(customer, now) {
			d.report.Beyond = append(d.report.Beyond, customer)
		}
	}
	if len(d.report.Beyond) == 0 {
		return false
	}
	// A customer that sends too much does not overtake its own accepted jobs, so that none of them is left unserved.
	for _, class := range [...]Class{Late, OnTime} {
		for i := range items {
			e := &items[i]
			if e.Class != class || !d.IsBeyond(e.Customer, now) {
				continue
			}
			o := d.claims.of(e.Customer)
			e.Beyond = float64(o.Allocated) >= o.Due()
			marked = marked || e.Beyond
			o.Allocated += int(d.scarce.of(e.Need) * e.RunTime)
		}
	}
	return marked
}

// IsBeyond reports whether a customer counts as beyond its share.
func (d *Division) IsBeyond(customer int, now time.Time) bool {
	return customer < len(d.beyond) && !d.beyond[customer].IsZero() && now.Sub(d.beyond[customer]) < releaseDelay
}

// MayReturn reports whether a customer was beyond its share so recently that callers who were refused then may still come back.
func (d *Division) MayReturn(customer int, now time.Time) bool {
	return customer < len(d.beyond) && !d.beyond[customer].IsZero() && now.Sub(d.beyond[customer]) < maxRetryAfter
}

// divide sets the shares of the claims.
func (d *Division) divide(capacity float64) { share.Divide(d.claims.active, capacity) }
