package work

import (
	"slices"
	"strings"
	"time"
)

// Queue is where jobs are submitted.
type Queue struct {
	Name, Host, Prefix string
	// Pool runs the tasks.
	Pool string
	// Timeout bounds one request.
	Timeout time.Duration
	// Objective is the time that is added to the stretched work of a job for its service-level objective.
	Objective time.Duration
	// Stretch multiplies the job's longest chain of work in its objective.
	Stretch float64
	// Priority 0 comes first.
	Priority int
	// Attempts is how many runs of a task may fail.
	Attempts int
	// Open queues take jobs without a key.
	Open bool
	// NeedsTicket queues need a ticket for each worker.
	NeedsTicket bool
	// TicketCallTime and TicketWorkerTime are how long the advisor takes for a call and for every worker named in it;
	// TicketTTL is how long its tickets hold.
	TicketCallTime, TicketWorkerTime, TicketTTL time.Duration
}

// Pool is a set of machines that run the tasks of some queues.
type Pool struct {
	Name string
	// EnforcesLimits means that the workers reject what does not fit.
	EnforcesLimits bool
	// Spare pools hold machines that are off.
	Spare bool
	// Health is the path of the workers' health check, or "".
	Health string
}

// Customer is whose jobs a key may submit.
type Customer struct {
	Name string
	Keys []string
	// Weight is the share when all is full.
	Weight float64
	// Cap bounds what may run across all workers; zero fields mean no limit.
	Cap Need
}

// Config is one version of the operators' rules; it doesn't change.
type Config struct {
	Version   int64
	Queues    []Queue
	Pools     map[string]Pool
	Customers map[string]Customer
	// BodyLimit is the largest body of a request in bytes; 0 means no limit.
	BodyLimit int64
	// HeaderLimit is the largest header of a request in bytes; 0 means no limit.
	HeaderLimit int
	// HeaderTimeout and IdleTimeout bound the wait for a request's header and for the next request.
	HeaderTimeout, IdleTimeout time.Duration

	keys  map[string]string
	names map[string]int
	hosts map[string][]Queue
}

// NewConfig returns a config with its lookups prepared.
func NewConfig(c Config) *Config {
	c.keys = map[string]string{}
	for _, u := range c.Customers {
		for _, k := range u.Keys {
			c.keys[k] = u.Name
		}
	}
	c.names = map[string]int{}
	c.hosts = map[string][]Queue{}
	for i, q := range c.Queues {
		c.names[q.Name] = i
		c.hosts[q.Host] = append(c.hosts[q.Host], q)
	}
	for _, qs := range c.hosts {
		slices.SortFunc(qs, func(a, b Queue) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return &c
}

// Owner returns the customer that a key belongs to.
func (c *Config) Owner(key string) (string, bool) {
	name, ok := c.keys[key]
	return name, ok
}

// Route returns the queue with the longest prefix of a path at a host.
func (c *Config) Route(host, path string) (Queue, bool) {
	for _, q := range c.hosts[host] {
		if strings.HasPrefix(path, q.Prefix) {
			return q, true
		}
	}
	return Queue{}, false
}

// Queue returns a queue by its name.
func (c *Config) Queue(name string) (Queue, bool) {
	i, ok := c.names[name]
	if !ok {
		return Queue{}, false
	}
	return c.Queues[i], true
}
