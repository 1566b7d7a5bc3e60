// Package intake decides whether a leader takes on a new job. A leader that is short of processor time starts and stores less
// than is submitted; what it took on beyond that would be late, and answering for it would leave even less time. It does no I/O.
package intake

import (
	"time"
)

const (
	// shortDelay is how late the process begins what is due, on average, from which it counts as short of processor time.
	shortDelay = 10 * time.Millisecond
	// maxWaitShare bounds the wait for the start of a new job, as a share of the time that it may take.
	maxWaitShare = 0.5
	// hardFactor is the multiple of that bound from which customers within their share are refused too.
	hardFactor = 2
	// minStartRate is the least number of starts a second that is reckoned with.
	minStartRate = 200
	// minRetryAfter and maxRetryAfter bound when a refused caller may come back.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// Load is what the leader has to do, and how fast it does it.
type Load struct {
	// Delay is how late the process begins what is due, on average.
	Delay time.Duration
	// StartRate is the number of tasks that were started in the last second.
	StartRate float64
	// Backlog are the tasks that have not started, by customer; those of jobs that nobody waits for any more don't count.
	Backlog map[string]int
	// Commit is how long a transaction takes now.
	Commit time.Duration
}

// Job is what counts of a new job.
type Job struct {
	Customer string
	Tasks    int
	// Allowed is the time that the job may take from its acceptance to its end.
	Allowed time.Duration
	// Deadline is how long the caller waits for the confirmation.
	Deadline time.Duration
}

// Verdict is the decision about a job. RetryAfter and Reason are those of a refusal.
type Verdict struct {
	Refused    bool
	RetryAfter time.Duration
	Reason     string
}

// Controller decides about new jobs. It is not safe for concurrent use.
type Controller struct {
	load    Load
	total   int
	weights func(customer string) float64
}

// NewController returns a controller that knows no load yet and takes on everything. The function returns a customer's weight.
func NewController(weights func(customer string) float64) *Controller {
	return &Controller{weights: weights, load: Load{Backlog: map[string]int{}}}
}

// Observe records the present load.
func (c *Controller) Observe(l Load) {
	c.load, c.total = l, 0
	for _, n := range l.Backlog {
		c.total += n
	}
}

// Short reports whether the process is short of processor time.
func (c *Controller) Short() bool { return c.load.Delay >= shortDelay }

// Decide decides about a new job, and counts it in the load if it is taken on.
func (c *Controller) Decide(j Job) Verdict {
	// A job misses the transaction that is being sent and waits for that and for its own.
	if stored := 2 * c.load.Commit; stored > j.Deadline {
		return Verdict{true, clamp(stored - j.Deadline), "the store takes longer than the caller waits"}
	}
	if c.Short() && j.Tasks > 0 {
		limit := time.Duration(maxWaitShare * float64(j.Allowed))
		// The acceptance and the end of a job wait for a transaction each.
		stored := 2 * c.load.Commit
		wait := c.wait(c.total, 1) + stored
		if wait > hardFactor*limit || wait > limit && c.customerWait(j.Customer)+stored > limit {
			return Verdict{true, clamp(wait - limit), "more work than can be started in time"}
		}
	}
	c.load.Backlog[j.Customer] += j.Tasks
	c.total += j.Tasks
	return Verdict{}
}

// wait returns how long it takes to start a number of tasks at a share of the rate.
func (c *Controller) wait(tasks int, share float64) time.Duration {
	rate := max(c.load.StartRate, minStartRate) * share
	return time.Duration(float64(tasks) / rate * float64(time.Second))
}

// customerWait returns how long it takes to start the tasks of a customer at its weighted share of the rate.
func (c *Controller) customerWait(customer string) time.Duration {
	own, all := c.weights(customer), 0.0
	for name, n := range c.load.Backlog {
		if n > 0 || name == customer {
			all += c.weights(name)
		}
	}
	if c.load.Backlog[customer] == 0 || all <= 0 {
		return 0
	}
	return c.wait(c.load.Backlog[customer], own/all)
}

func clamp(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }
