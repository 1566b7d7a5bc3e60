package work

import (
	"slices"
	"strings"
	"time"
)

// Queue is the configuration of a queue to which jobs are submitted.
type Queue struct {
	Name, Host, Prefix string
	// Pool runs the tasks.
	Pool string
	// Timeout bounds one request.
	Timeout time.Duration
	// Objective is the constant part of a job's service-level objective, added to Stretch times its critical path.
	Objective time.Duration
	// Stretch is the factor for the critical path, the job's longest chain of work, in its service-level objective.
	Stretch float64
	// Priority is the priority of the queue; 0 is the highest.
	Priority int
	// Attempts is the number of failed runs of one task after which the job fails; 0 means 1.
	Attempts int
	// Open queues accept jobs without a key.
	Open bool
	// NeedsTicket queues need a ticket for each worker that runs their tasks.
	NeedsTicket bool
	// TicketCallTime and TicketWorkerTime are the authorizer's times for a call and for every worker named in it;
	// TicketTTL is the time until its tickets expire.
	TicketCallTime, TicketWorkerTime, TicketTTL time.Duration
}

// Pool is a set of machines that run the tasks of some queues.
type Pool struct {
	Name string
	// EnforcesLimits means that the workers reject tasks that don't fit.
	EnforcesLimits bool
	// Spare pools hold machines that are off.
	Spare bool
	// Health is the path of the workers' health endpoint, or "".
	Health string
}

// Customer is the owner of jobs and of the keys to submit them.
type Customer struct {
	Name string
	Keys []string
	// Weight is the customer's weight in the distribution of capacity when demand exceeds it.
	Weight float64
	// Cap limits the total need of the customer's running tasks; zero fields mean no limit.
	Cap Need
}

// Config is one immutable version of the operators' rules.
type Config struct {
	Version   int64
	Queues    []Queue
	Pools     map[string]Pool
	Customers map[string]Customer
	// BodyLimit is the maximum size of a request body in bytes; 0 means no limit.
	BodyLimit int64
	// HeaderLimit is the maximum size of a request header in bytes; 0 means no limit.
	HeaderLimit int
	// HeaderTimeout and IdleTimeout bound the wait for a request's header and for the next request of a connection.
	HeaderTimeout, IdleTimeout time.Duration

	customerByKey map[string]string
	queueIndex    map[string]int
	queuesByHost  map[string][]Queue
}

// NewConfig returns a copy of a config with its lookup indexes built.
func NewConfig(c Config) *Config {
	c.customerByKey = map[string]string{}
	for _, u := range c.Customers {
		for _, k := range u.Keys {
			c.customerByKey[k] = u.Name
		}
	}
	c.queueIndex = map[string]int{}
	c.queuesByHost = map[string][]Queue{}
	for i, q := range c.Queues {
		c.queueIndex[q.Name] = i
		c.queuesByHost[q.Host] = append(c.queuesByHost[q.Host], q)
	}
	for _, qs := range c.queuesByHost {
		slices.SortFunc(qs, func(a, b Queue) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return &c
}

// CustomerOf returns the name of the customer that a key belongs to.
func (c *Config) CustomerOf(key string) (string, bool) {
	name, ok := c.customerByKey[key]
	return name, ok
}

// Route returns the queue at a host whose prefix is the longest match for a path.
func (c *Config) Route(host, path string) (Queue, bool) {
	for _, q := range c.queuesByHost[host] {
		if strings.HasPrefix(path, q.Prefix) {
			return q, true
		}
	}
	return Queue{}, false
}

// Queue returns a queue by name.
func (c *Config) Queue(name string) (Queue, bool) {
	i, ok := c.queueIndex[name]
	if !ok {
		return Queue{}, false
	}
	return c.Queues[i], true
}
