package fair

import (
	"hash/fnv"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

const (
	// worthFactor is the multiple of its allowed time up to which a late job is worth anything.
	worthFactor = 3
	// margin is by how much the expected end must exceed that bound: a wrong refusal costs a caller a job, and a late job is still
	// worth something.
	margin = 1.2
	// minRetryAfter and maxRetryAfter bound when a refused caller may come back; retrySpread is the part of the time by which
	// the returns are spread, so that the callers refused together don't come back together.
	minRetryAfter, maxRetryAfter = time.Second, 10 * time.Second
	retrySpread                  = 0.5
	// efficiency is the part of its capacity that a full pool uses for work: starting and reporting a task takes about 70 ms of a
	// run of 640 ms, on a worker of 64 cores ten tasks of 6.2 cores leave 2 unused, and the tasks of a step don't all start at once.
	efficiency = 0.8
	// rounds is the number of rounds in which the time is computed, and what the others have sent, and can do within their caps,
	// until then.
	rounds = 4
)

// Arrival is a machine on its way to a pool, at a time from now in seconds.
type Arrival struct {
	After    float64
	Capacity work.Need
}

// Load is the running and waiting work of a contended pool. The zero Load refuses nothing.
type Load struct {
	// Contended means that the pool can't do all its work in time now.
	Contended bool
	// Capacity is what the usable workers have for finite tasks, Free what of it no task uses.
	Capacity, Free work.Need
	Arriving       []Arrival
	// Work is the work that somebody waits for, by customer: resource-seconds in each dimension.
	Work []Work
}

// Work is the work of one customer: thousandths of a core, megabytes and thousandths of an accelerator times seconds.
type Work struct {
	Customer
	// Beyond means that the customer is beyond its share, or was so recently that callers who were refused then come back.
	Beyond bool
	// Arriving is the rate at which its work arrives, as Rates has it.
	Arriving Rate
	// sums are the running and waiting work, running the part of it that runs, need what the waiting tasks need.
	sums, running, need [dimensions]float64
}

// Add adds waiting tasks with a total need and a run time in seconds.
func (w *Work) Add(n work.Need, seconds float64) {
	for d := range dimensions {
		w.sums[d] += d.of(n) * seconds
		w.need[d] += d.of(n)
	}
}

// AddRunning adds running tasks with a total need and a remaining run time in seconds.
func (w *Work) AddRunning(n work.Need, seconds float64) {
	for d := range dimensions {
		w.sums[d] += d.of(n) * seconds
		w.running[d] += d.of(n) * seconds
	}
}

// Job is what counts of a new job.
type Job struct {
	ID       work.JobID
	Customer int
	// Work is its work, Chain the run time of its longest chain of steps in seconds, Allowed the time from its acceptance to its
	// deadline in seconds.
	Work           Work
	Chain, Allowed float64
	// Overrun is by how much it probably takes longer than its chain, in seconds.
	Overrun float64
}

// Verdict is the decision about a job; the rest is that of a refusal.
type Verdict struct {
	Refused    bool
	Reason     string
	Pool       string
	RetryAfter time.Duration
	// End is when the job is expected to end, Bound is when it should have.
	End, Bound time.Duration
	// Share is the part of the pool due to the customer by its weight, Others the waiting and running work of the others in the
	// scarcest resource.
	Share, Others float64
	Scarce        string
}

// Admit decides about a new job of finite tasks. The job is refused if its customer is beyond its share and the job can't meet its
// objective, or if it can't end while it is worth anything.
func (l *Load) Admit(j Job) Verdict {
	d, ok := l.scarcest()
	own := &l.Work[j.Customer]
	if !ok || !l.Contended && !own.Beyond {
		return Verdict{}
	}
	end := l.startAfter(j.Customer, d) + j.Chain
	allowed, limit, reason := worthFactor*j.Allowed, margin*worthFactor*j.Allowed, "the job can't end while it is worth anything"
	if own.Beyond {
		end += j.Overrun
		allowed, limit, reason = j.Allowed, j.Allowed, "customer beyond its share, and the job can't meet its objective"
	}
	if end <= limit {
		return Verdict{}
	}
	weights, others := 0.0, 0.0
	for i := range l.Work {
		if o := &l.Work[i]; o.sums[d] > 0 || i == j.Customer {
			weights += o.weight()
			if i != j.Customer {
				others += o.sums[d]
			}
		}
	}
	return Verdict{Refused: true, Reason: reason, RetryAfter: retryAfter(j.ID, end-allowed), End: seconds(end), Bound: seconds(allowed),
		Share: own.weight() / weights, Others: others, Scarce: d.String()}
}

// Accept counts a job that was taken on.
func (l *Load) Accept(j Job) {
	if j.Customer < len(l.Work) {
		for d := range dimensions {
			l.Work[j.Customer].sums[d] += j.Work.sums[d]
			l.Work[j.Customer].need[d] += j.Work.need[d]
		}
	}
}

// scarcest returns the resource of which the work takes the largest part of the capacity; ok is false if the capacity is 0.
func (l *Load) scarcest() (best dimension, ok bool) {
	highest := 0.0
	for d := range dimensions {
		total := 0.0
		for i := range l.Work {
			total += l.Work[i].sums[d]
		}
		if has := d.of(l.Capacity); has > 0 && total/has > highest {
			best, highest, ok = d, total/has, true
		}
	}
	return best, ok
}

// startAfter returns when the present work of a customer has started in seconds, by weighted fair sharing: until then each other
// customer has been served as much for its weight, or all that it wants, within its cap. A full pool starts work at the rate at
// which it does it; what fits into the free capacity starts at once.
func (l *Load) startAfter(customer int, d dimension) float64 {
	own := &l.Work[customer]
	perWeight := own.sums[d] / own.weight()
	waiting, need := 0.0, 0.0
	for i := range l.Work {
		waiting += l.Work[i].sums[d] - l.Work[i].running[d]
		need += l.Work[i].need[d]
	}
	atOnce := 0.0
	if need > 0 {
		atOnce = max(d.of(l.Free)-(1-efficiency)*d.of(l.Capacity), 0) * waiting / need
	}
	after := 0.0
	for round := range rounds {
		total := own.sums[d] - own.running[d] - atOnce
		for i := range l.Work {
			o := &l.Work[i]
			if i == customer {
				continue
			}
			wanted := o.sums[d]
			if own.Beyond {
				// Work of customers within their share that arrives meanwhile goes first.
				wanted += o.Arriving[d] * after
			}
			served := min(wanted, perWeight*o.weight())
			if limit := d.of(o.Cap); limit > 0 && round > 0 {
				served = min(served, limit*after)
			}
			total += max(served-o.running[d], 0)
		}
		if own.Beyond {
			total /= efficiency
		}
		after = l.timeFor(max(total, 0), d)
	}
	if limit := d.of(own.Cap); limit > 0 {
		after = max(after, (own.sums[d]-own.running[d])/limit)
	}
	return after
}

// timeFor returns how long the pool, with the machines that arrive, takes for an amount of work in seconds.
func (l *Load) timeFor(total float64, d dimension) float64 {
	// The arrivals are sorted by time.
	rate, at := d.of(l.Capacity), 0.0
	for _, a := range l.Arriving {
		if total <= 0 {
			return at
		}
		if done := rate * (a.After - at); done >= total {
			break
		} else if a.After > at {
			total, at = total-done, a.After
		}
		rate += d.of(a.Capacity)
	}
	return at + total/rate
}

// retryAfter returns a time spread by a hash of the job's id, within the bounds also where the wait exceeds them.
func retryAfter(id work.JobID, wait float64) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	spread := 1 + retrySpread*float64(h.Sum32()%1024)/1024
	wait = min(max(wait, minRetryAfter.Seconds()), maxRetryAfter.Seconds()/(1+retrySpread))
	return seconds(wait * spread)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
