package fleet

import "time"

// Document is the decoded configuration document: every section by kind and name.
type Document struct {
	Zones  map[AvailabilityZone]ZoneSection
	Pools  map[PoolName]PoolSection
	Teams  map[TeamName]TeamSection
	Queues map[QueueName]QueueSection
	Keys   map[TeamName]KeysSection
	Limits LimitsSection
}

// ZoneState is whether operators have an availability zone in service.
type ZoneState string

// The states of an availability zone in the document.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// ZoneSection is the section "zone/<name>".
type ZoneSection struct {
	State ZoneState `yaml:"state"`
	// Grace is how long running tasks may continue after the zone was taken out of service before idempotent ones are
	// moved.
	Grace time.Duration `yaml:"grace"`
}

// PoolSection is the section "pool/<name>".
type PoolSection struct {
	// Min is the availability budget: the number of instances that planned work must leave available.
	Min int `yaml:"min"`
	// Spare marks a pool whose instances may be lent to other pools.
	Spare bool `yaml:"spare"`
	// Quarantine caps the share of the pool's workers in quarantine, in percent.
	Quarantine int `yaml:"quarantine"`
	// Version is the system version that is rolled out to every instance of the pool; empty means no roll-out.
	Version string `yaml:"version"`
	// Wave is the maximum number of instances in maintenance at once.
	Wave int `yaml:"wave"`
}

// TeamSection is the section "team/<name>".
type TeamSection struct {
	// Share is the team's weight in the distribution of slots when the fleet is full.
	Share int `yaml:"share"`
	// Ceiling is the maximum number of slots of the team's running tasks across the whole fleet.
	Ceiling int `yaml:"ceiling"`
	// Customer is the name of the customer that the team belongs to.
	Customer string `yaml:"customer"`
}

// QueueSection is the section "queue/<name>".
type QueueSection struct {
	Team TeamName `yaml:"team"`
	// Open queues accept tasks without a key; they are accounted to Team.
	Open bool     `yaml:"open"`
	Pool PoolName `yaml:"pool"`
	// Timeout is the maximum time from submission to response.
	Timeout time.Duration `yaml:"timeout"`
	// Waiting is the maximum number of waiting tasks per entry instance.
	Waiting int `yaml:"waiting"`
	// Urgent queues are served before other queues of the same pool.
	Urgent bool `yaml:"urgent"`
	// Slots is the declared number of worker slots of one task.
	Slots int `yaml:"slots"`
	// Objective is the share of requests, in percent, that must be answered within Within.
	Objective float64       `yaml:"objective"`
	Within    time.Duration `yaml:"within"`
}

// KeyRole is the role that a key grants.
type KeyRole string

// The roles of keys.
const (
	RoleSubmit KeyRole = "submit"
	RoleEdit   KeyRole = "edit"
	RoleAdmin  KeyRole = "admin"
)

// Key is a granted key; its secret is never stored.
type Key struct {
	ID   string  `yaml:"id"`
	Role KeyRole `yaml:"role"`
	// Salt and Hash are hexadecimal; Hash is SHA-256 over salt and secret.
	Salt string `yaml:"salt"`
	Hash string `yaml:"hash"`
}

// KeysSection is the section "keys/<team>".
type KeysSection struct {
	Keys []Key `yaml:"keys"`
}

// LimitsSection is the section "limits".
type LimitsSection struct {
	// Body is the maximum size of a request body in bytes.
	Body int64 `yaml:"body"`
	// Retries is the maximum share of retries among starts, in percent.
	Retries int `yaml:"retries"`
}
